"""Customers in operators' files, and the command that makes digests."""

from __future__ import annotations

import pathlib
import typing

import msgspec
import pytest

from chiveroad import config
from chiveroad import customers
from chiveroad import errors
from tests import keyed
from tests import test_config
from tests import test_product

DIGEST: typing.Final = customers.digest_key(keyed.KEY)
OTHER: typing.Final = customers.digest_key(keyed.OTHER_KEY)
FILE: typing.Final = f"""{test_config.GLADE}anonymous = true
[customer.tusk]
key_digests = ["{DIGEST}"]
weight = 30
rate_per_s = 12.5
burst = 12
[customer.horn]
key_digests = ["{OTHER}"]
"""
SHARED: typing.Final = FILE.replace(OTHER, DIGEST)


def test_customers_of_a_file_are_in_the_configuration() -> None:
    merged = config.merge([test_config.source("a.toml", FILE)])
    assert not [verdict for verdict in merged.verdicts if verdict.code]
    read = config.Config(merged.items)
    tusk = config.Customer("tusk", (DIGEST,), 30, 12.5, 12.0)
    assert read.customers == {
        "tusk": tusk,
        "horn": config.Customer("horn", (OTHER,)),
    }
    assert read.customer_of(DIGEST) == tusk
    assert read.routes["sessions"].anonymous
    assert keyed.KEY not in str(merged)


# Guards against files without customers that give other bytes than before.
def test_files_without_customers_give_the_same_items() -> None:
    items = config.merge(test_config.BASE).items
    assert not any(
        "anonymous" in text or key.startswith("customer/")
        for key, text in items.items()
    )


# Guards against values that can't be used, named at another line, and against
# a key that was pasted by mistake and is repeated in a message.
@pytest.mark.parametrize(
    ("old", "new", "error", "line"),
    [
        (DIGEST, keyed.KEY, errors.KeyDigestForm, 12),
        (DIGEST, DIGEST.upper(), errors.KeyDigestForm, 12),
        (DIGEST, DIGEST[1:], errors.KeyDigestForm, 12),
        (DIGEST, "-", errors.KeyDigestForm, 12),
        (f'["{DIGEST}"]', f'"{keyed.KEY}"', errors.FileShape, 12),
        (f'"{DIGEST}"', keyed.KEY, errors.FileSyntax, 12),
        ("key_digests", f'api_key = "{keyed.KEY}" #', errors.FileShape, 12),
        (OTHER, keyed.OTHER_KEY, errors.KeyDigestForm, 17),
        ("= 12.5", "= -0.5", errors.CustomerLimit, 14),
        ("= 12.5", "= nan", errors.CustomerLimit, 14),
        ("= 12.5", "= inf", errors.CustomerLimit, 14),
        ("burst = 12", "burst = -1", errors.CustomerLimit, 15),
        ("rate_per_s = 12.5", "#", errors.CustomerLimit, 15),
        ("= 12.5", "= 0", errors.CustomerLimit, 15),
        ("weight = 30", "weight = 101", errors.FileShape, 13),
        ("anonymous = true", "anonymous = 1", errors.FileShape, 10),
    ],
)
def test_invalid_customer_is_rejected_with_its_line(
    old: str, new: str, error: type[errors.FileError], line: int
) -> None:
    changed = FILE.replace(old, new, 1)
    assert changed != FILE
    with pytest.raises(error) as caught:
        config.parse("a.toml", changed)
    assert (caught.value.file, caught.value.line) == ("a.toml", line)
    assert caught.value.hint
    assert type(caught.value) is error
    for key in (keyed.KEY, keyed.OTHER_KEY):
        assert key not in str(caught.value)


RIVAL: typing.Final = f"""team = "rival"
[customer.fang]
key_digests = ["{DIGEST}"]
"""


# Guards against a file that takes a key, or a name, of another customer over,
# whichever file is merged first.
@pytest.mark.parametrize("name", ["05-rival.toml", "50-rival.toml"])
@pytest.mark.parametrize(
    ("text", "error"),
    [
        (RIVAL, errors.KeyDigestShared),
        (RIVAL.replace("fang", "tusk"), errors.CustomerOwned),
    ],
)
def test_file_that_takes_a_customer_over_changes_nothing(
    name: str, text: str, error: type[errors.FileError]
) -> None:
    before = config.merge([test_config.source("10-glade.toml", FILE)])
    files = [*before.sources, test_config.source(name, text)]
    after = config.merge(files, before.sources)
    assert after.items == before.items
    [verdict] = [each for each in after.verdicts if each.code]
    assert (verdict.file, verdict.code, verdict.line) == (name, error.code, 2)
    assert verdict.hint and DIGEST not in verdict.message


# Guards against a digest that two customers of one file hold.
def test_digest_of_two_customers_of_a_file_is_rejected() -> None:
    merged = config.merge([test_config.source("a.toml", SHARED)])
    [verdict] = merged.verdicts
    assert verdict.code == errors.KeyDigestShared.code
    assert verdict.line == 11
    assert not merged.items


# Guards against a key in the arguments or the output of a command, and a
# digest that no request's key has.
def test_command_reads_the_key_from_the_standard_input(
    tmp_path: pathlib.Path,
) -> None:
    shown = test_product.run(
        "key-digest", "--output", "json", stdin=f"{keyed.KEY}\n"
    )
    assert shown.returncode == 0
    digest = msgspec.json.decode(shown.stdout)["key_digest"]
    assert (
        digest
        == DIGEST
        == customers.digest_credential(f"Bearer {keyed.KEY}", "Bearer")
    )
    for arguments, stdin in (
        (["key-digest", keyed.KEY], ""),
        (["key-digest", f"--key={keyed.KEY}"], ""),
        (["key-digest"], ""),
        (["key-digest"], f" {keyed.KEY}"),
        (["key-digest"], f"{keyed.KEY}\u00e9"),
        (["key-digest"], keyed.KEY * 30),
    ):
        refused = test_product.run(*arguments, stdin=stdin)
        assert refused.returncode == errors.UsageError.exit_code
        assert "E1003" in refused.stderr
        assert keyed.KEY not in refused.stderr + refused.stdout
    (tmp_path / "a.toml").write_text(FILE.replace(OTHER, keyed.OTHER_KEY))
    checked = test_product.run("check", str(tmp_path))
    assert checked.returncode == errors.FileError.exit_code
    assert keyed.OTHER_KEY not in checked.stdout + checked.stderr
    assert "E2018" in checked.stdout
