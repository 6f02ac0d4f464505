"""``chiveroad explain``: what is shown, and that it changes nothing."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import enum
import pathlib
import random
import threading
import typing

import msgspec
import pytest

from chiveroad.cli import _explain
from chiveroad import config
from chiveroad import control
from chiveroad import customers
from chiveroad import daemon
from chiveroad import errors
from chiveroad import membership
from chiveroad import metrics
from chiveroad import presence
from chiveroad import serving
from chiveroad import settings
from chiveroad import traffic
from chiveroad.traffic import _call
from chiveroad.traffic import _claims
from chiveroad.traffic import _entry
from chiveroad.traffic import _explanation
from chiveroad.traffic import _guard
from chiveroad.traffic import _quarantine
from chiveroad import wire
from standins import mesh
from tests import fakes
from tests import test_product

_PORTS = mesh.Ports()
KEY: typing.Final = "hhacruddedev3nax7u27"
HELD: typing.Final = customers.digest_key(KEY)
SLOTS: typing.Final = 4
_PLAIN: typing.Final = (int, float, str, bytes, bool, type(None), enum.Enum)


@dataclasses.dataclass
class Observed:
    """An entry with a guard of its own, and the members that it knows."""

    entry: _entry.Entry
    guard: _guard.Guard
    applied: control.Applied


def make_observed(
    with_customers: bool = False, fail_closed: bool = False
) -> Observed:
    """Return the entry of ``own`` with two more targets of ``glade``.

    ``/part`` is split between ``glade`` and ``dell``, which has no target.
    """
    kinds = {"k": config.Kind(2, True, 3_000, 900, 2)}
    items = dict(
        [
            config.service_item(
                config.Service(name, "t", SLOTS, 8, 8, ("*",), kinds)
            )
            for name in ("glade", "dell")
        ]
    )
    split = (config.Share("glade", 3), config.Share("dell", 1))
    for name, shares in (("read", ()), ("part", split)):
        route = config.Route(name, "t", f"/{name}", ("*",), "glade", "k", "")
        items |= [config.route_item(dataclasses.replace(route, split=shares))]
    if with_customers:
        customer = config.Customer("acme", (HELD,), 7, 5.0, 6.0)
        items |= [config.customer_item(customer)]
    changed = threading.Condition()
    applied = control.Applied(changed, confirmed_only=False)
    applied.offer(1, config.digest(items), items)
    view = membership.View(changed)
    view.merge(fakes.member(name) for name in ("own", "b"))
    view.merge([fakes.member("far", domain="other")])
    options = msgspec.structs.replace(
        fakes.options("own", domain="sherwood"),
        customers=settings.Customers(fail_closed),
        region="east-mids",
    )
    local = presence.LocalTarget("127.0.0.1:4")
    ready = presence.TargetStatus("i-7", "glade", presence.Phase.READY)
    local.set_status(ready)
    recorder = metrics.Recorder()
    guard = _guard.Guard(
        options,
        applied,
        typing.cast(_claims.Claims, None),
        recorder,
        wire.Native(),
        local,
    )
    entry = _entry.Entry(
        options, applied, view, guard, recorder, wire.Native()
    )
    return Observed(entry, guard, applied)


def state(value: object, seen: frozenset[int] = frozenset()) -> object:
    """Return all that an object holds, as plain values to compare."""
    if isinstance(value, _PLAIN):
        return value
    if id(value) in seen:
        return "seen"
    seen |= {id(value)}
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, threading.Event):
        return value.is_set()
    if isinstance(value, collections.abc.Mapping):
        return {str(key): state(held, seen) for key, held in value.items()}
    if isinstance(value, (list, tuple, collections.deque)):
        return [state(each, seen) for each in value]
    if isinstance(value, (set, frozenset)):
        return sorted(str(state(each, seen)) for each in value)
    names = [
        name
        for type_ in type(value).__mro__
        for name in getattr(type_, "__slots__", ())
    ]
    held = {name: getattr(value, name, None) for name in names}
    held |= getattr(value, "__dict__", {})
    if not type(value).__module__.startswith("chiveroad"):
        # The state of a histogram of latencies is its count.
        return f"{value!r} {getattr(value, 'total_count', '')}"
    return {name: state(each, seen) for name, each in held.items()}


def make_busy(found: Observed) -> None:
    """Fill the state of an entry and a guard with what it may change."""
    ticket = _guard._ticket(_hypothetical_call(found), 0.0)
    ticket.deadline_s = 1e9
    for _ in range(SLOTS + 2):
        found.guard._admission.limits = found.guard._limits()
        found.guard._admission.offer(
            dataclasses.replace(ticket, decided=threading.Event()), 1.0
        )
    found.entry._splitter.choose(found.applied.config.routes["part"])
    found.entry._budget.count("glade")
    found.entry._budget.spend("glade")
    for seen in found.entry._targets.survey("glade"):
        seen.stats.record_load(1, SLOTS, 1.0, "k", 50.0)
    for end in "ab":
        call = _hypothetical_call(found)
        found.entry.quarantine.target_ended(call, end)


def _hypothetical_call(found: Observed) -> _call.Call:
    question = traffic.Question("/read", key_digest=HELD)
    terms = _explanation._StatedTerms(question)
    request = _explanation._HypotheticalRequest(question)
    call, _ = found.entry.preview(terms).read_call(request)
    return call


QUESTIONS: typing.Final = [
    traffic.Question("/read"),
    traffic.Question("/part", "POST", "h", HELD, 10_000, 800),
    traffic.Question("/part", body_bytes=10_000_000),
    traffic.Question("/none"),
    traffic.Question("/read", timeout_ms=1),
]


@pytest.mark.parametrize("question", QUESTIONS)
@pytest.mark.parametrize("with_customers", [False, True])
def test_explaining_changes_nothing(
    question: traffic.Question, with_customers: bool
) -> None:
    """Guards against an explanation that is counted, or takes a turn."""
    found = make_observed(with_customers)
    make_busy(found)
    before = state(found.entry)
    assert "waiting" in str(before) and "_credits" in str(before)
    for _ in range(3):
        _explanation.explain(found.entry, question)
    assert state(found.entry) == before
    found.entry._splitter.choose(found.applied.config.routes["part"])
    assert state(found.entry) != before


def test_what_is_explained_is_what_is_decided_next() -> None:
    """Guards against an explanation by other rules than the entry's."""
    found = make_observed()
    make_busy(found)
    for _ in range(12):
        said = _explanation.explain(found.entry, traffic.Question("/part"))
        assert said.route is not None
        part = found.applied.config.routes["part"]
        assert said.route.service == found.entry._splitter.choose(part)
        call = _hypothetical_call(found)
        said = _explanation.explain(found.entry, traffic.Question("/read"))
        chosen, _ = found.entry._targets.pick(
            "glade", found.entry._targets.profile(call), ()
        )
        assert said.pick == chosen.instance


# Guards against an explanation that shows another outcome than callers get.
@pytest.mark.parametrize(
    ("question", "code"),
    [
        (traffic.Question("/read", key_digest=HELD), None),
        (traffic.Question("/read"), errors.KeyRefused.code),
        (traffic.Question("/read", key_digest="x"), errors.KeyRefused.code),
        (traffic.Question("/none"), errors.NoRoute.code),
    ],
)
def test_refusals_are_those_of_the_entry(
    question: traffic.Question, code: int | None
) -> None:
    said = _explanation.explain(make_observed(True).entry, question)
    assert (said.refusal and said.refusal.code) == code
    assert bool(said.pick) == (code is None)
    if code is None:
        assert said.customer is not None
        assert (said.customer.name, said.customer.weight) == ("acme", 7)
        assert said.key_confirmed


def test_key_that_is_not_confirmed_is_shown() -> None:
    """Guards against a key that seems valid while requests get a 503."""
    question = traffic.Question("/read", key_digest=HELD)
    said = _explanation.explain(make_observed(True, True).entry, question)
    assert said.refusal is not None
    assert said.refusal.code == errors.KeyUnconfirmed.code
    assert said.key_confirmed is False


def test_candidates_say_why_they_are_not_picked() -> None:
    """Guards against a reason that isn't the balancer's."""
    found = make_observed()
    make_busy(found)
    by_name = {
        seen.member.instance: seen.stats
        for seen in found.entry._targets.survey("glade")
    }
    by_name["b"].record_block(1e9, 1.0)
    by_name["far"].ejected_until_s = 1e9
    said = _explanation.explain(found.entry, traffic.Question("/read"))
    assert {each.instance: each.why for each in said.candidates} == {
        "own": "picked",
        "b": "it has just refused a request",
        "far": "ejected after failures",
    }
    assert said.wait == "yes: for a slot"
    assert [each.distance for each in said.candidates][-1] == "region"


def test_quarantine_is_shown_for_a_known_content() -> None:
    """Guards against a request that seems to be sent but is refused."""
    found = make_observed()
    for end in "abc":
        found.entry.quarantine.target_ended(_hypothetical_call(found), end)
    said = _explanation.explain(found.entry, traffic.Question("/read"))
    assert said.refusal is not None and said.quarantine is not None
    assert said.refusal.code == errors.Quarantined.code
    assert said.quarantine.ended == 3
    content = _quarantine.content_of(_hypothetical_call(found))
    assert said.quarantine.content == content
    sized = traffic.Question("/read", body_bytes=5)
    said = _explanation.explain(found.entry, sized)
    assert said.quarantine is not None and not said.quarantine.known


class _Page(serving.Handler):
    """Serves the page of an entry, and keeps what was asked."""

    def __init__(self, entry: _entry.Entry) -> None:
        self._entry = entry
        self.bodies: list[bytes] = []

    def handle(self, request: serving.Request) -> None:
        """Answer a question."""
        self.bodies.append(request.uri.encode())
        read_body = request.read_body

        def kept(limit: int) -> bytes:
            self.bodies.append(read_body(limit))
            return self.bodies[-1]

        request.read_body = kept  # type: ignore[method-assign]
        traffic.explain_page(self._entry, request)


@contextlib.contextmanager
def served(handler: serving.Handler) -> collections.abc.Iterator[str]:
    """Serve a handler; yield its address."""
    address = _PORTS.take()
    server = serving.Server(address, handler, 4)
    server.open()
    yield address
    server.stop()


def test_command_sends_the_digest_alone_and_states_the_outcome(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a key that leaves the command, and its exit codes."""
    key_file = tmp_path / "key"
    key_file.write_text(f"{KEY}\n")
    page = _Page(make_observed(True).entry)
    with served(page) as address:
        sent = test_product.run(
            *("explain", "/read", "--daemon", address, "-o", "json"),
            *("--key-file", str(key_file)),
        )
        refused = test_product.run("explain", "/read", "--daemon", address)
    assert sent.returncode == 0, sent.stderr
    decision = msgspec.json.decode(sent.stdout)["decision"]
    assert decision["customer"]["name"] == "acme"
    assert decision["refusal"] is None
    received = b"".join(page.bodies)
    assert HELD.encode() in received and KEY.encode() not in received
    assert KEY not in sent.stdout + sent.stderr
    assert refused.returncode == _explain.REFUSED_EXIT_CODE
    assert "Would be refused with 401, E4036" in refused.stdout
    assert "ms ago" in refused.stdout


def test_command_needs_a_daemon_or_a_store(tmp_path: pathlib.Path) -> None:
    """Guards against a command that fails without saying why."""
    finished = test_product.run("explain", "/read")
    assert finished.returncode == errors.UsageError.exit_code
    assert "--daemon" in finished.stderr
    with pytest.raises(errors.UsageError):
        _explain.read_key(tmp_path / "none")


def test_daemon_serves_the_page_and_refuses_what_is_no_question() -> None:
    """Guards against a page that isn't served, or fails on any input."""
    entry, guard, control_address = (_PORTS.take() for _ in range(3))
    tested = daemon.Daemon(
        fakes.options(entry=entry, guard=guard, control=control_address)
    )
    with served(tested._control) as address:
        said = _explain.ask_daemon(address, traffic.Question("/read"))
        assert said.refusal is not None
        assert said.refusal.code == errors.NotReady.code
        with pytest.raises(errors.PeerUnavailable):
            wrong = typing.cast(traffic.Question, {"path": 1})
            _explain.ask_daemon(address, wrong)
