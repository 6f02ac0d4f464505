"""Entries and heartbeats of other writers name no target; the others hold."""

from __future__ import annotations

import functools
import threading
import typing

import msgspec
import pytest

from chiveroad.control import _messages
from chiveroad.control import _record
from chiveroad import decoding
from chiveroad import errors
from chiveroad import membership
from chiveroad import platform as adapter
from chiveroad import presence
from chiveroad import serving
from chiveroad import store
from chiveroad import wire
from chiveroad.wire import _native
from standins import malformed
from standins import platform_store
from tests import fakes
from tests import test_follower
from tests import test_platform

NAME: typing.Final = "other-1"
RECORD: typing.Final = msgspec.to_builtins(
    _messages.MemberRecord(fakes.member(NAME), presence.Phase.READY),
)
WRITTEN: typing.Final = store.Revision(1, 7)
MALFORMED_RECORDS: typing.Final = dict(malformed.records(RECORD))


def record_of(name: str) -> _messages.MemberRecord:
    """Return a valid record of an instance."""
    return _messages.MemberRecord(fakes.member(name), presence.Phase.READY)


# Guards against one nested entry that makes a whole list unreadable.
def test_nested_entry_leaves_the_other_entries_readable() -> None:
    server = platform_store.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    client = adapter.ObjectStore(f"127.0.0.1:{server.server_address[1]}", 3.0)
    for name in ("a", NAME, "z"):
        spec: object = record_of(name)
        if name == NAME:
            spec = MALFORMED_RECORDS["nested"]
        server.api.store.put(store.Kind.MEMBERS, name, spec, store.ABSENT)
    listed = client.list(store.Kind.MEMBERS).objects
    watched = [
        event.object
        for event in client.watch(
            store.Kind.MEMBERS, store.Revision(1, 0), 0.1
        )
        if event.object is not None
    ]
    server.shutdown()
    server.server_close()
    for objects in (listed, watched):
        usable = [found.name for found in objects if _record.read(found)]
        assert usable == ["a", "z"]


# Guards against a record that fails wherever it is used, such as one whose
# number can't be encoded or whose address can't be connected to.
@pytest.mark.parametrize("label", MALFORMED_RECORDS)
def test_malformed_record_names_no_member(label: str) -> None:
    stored = store.StoredObject(NAME, WRITTEN, MALFORMED_RECORDS[label])
    assert _record.read(stored) is None


@pytest.mark.parametrize(
    ("started_at_ms", "sequence"), [(-1, 0), (2**54, 0), (0, -1), (0, 2**54)]
)
def test_record_with_a_superseded_target_out_of_range_is_ignored(
    started_at_ms: int, sequence: int
) -> None:
    superseded = _messages.SupersededTarget("i-1", started_at_ms, sequence)
    record = msgspec.structs.replace(record_of(NAME), superseded=(superseded,))
    spec = msgspec.Raw(msgspec.json.encode(record))
    assert _record.read(store.StoredObject(NAME, WRITTEN, spec)) is None


def test_record_with_a_nested_further_field_is_ignored() -> None:
    changed = malformed.with_nested_field(RECORD)
    assert _record.read(store.StoredObject(NAME, WRITTEN, changed)) is None


def test_record_under_another_name_names_no_member() -> None:
    spec = msgspec.Raw(msgspec.json.encode(record_of("a")))
    assert _record.read(store.StoredObject("a", WRITTEN, spec)) is not None
    assert _record.read(store.StoredObject(NAME, WRITTEN, spec)) is None


# Guards against daemons that stop following members at a malformed entry.
def test_daemons_follow_members_beside_malformed_entries() -> None:
    with test_follower.fleet("ab") as (shared, _, followers):
        for number, changed in enumerate(MALFORMED_RECORDS.values()):
            shared.put(
                store.Kind.MEMBERS, f"other-{number}", changed, store.ABSENT
            )
        for follower in followers.values():
            follower.start()
        test_follower.wait_for(lambda: _ready_members(followers) == {"ab"})
        # Malformed entries that come by a watch.
        for stored in shared.list(store.Kind.MEMBERS, "other-").objects:
            shared.put(
                store.Kind.MEMBERS, stored.name, stored.spec, stored.version
            )
        shared.put(store.Kind.MEMBERS, "c", record_of("c"), store.ABSENT)
        test_follower.accept(shared, 4)
        test_follower.wait_for(lambda: _ready_members(followers) == {"abc"})
        test_follower.wait_for(
            lambda: all(
                follower.node.applied.current.number == 4
                for follower in followers.values()
            )
        )


def _ready_members(
    followers: dict[str, test_follower.FollowerDaemon],
) -> set[str]:
    """Return the names of all ready members, as each daemon sees them."""
    return {
        "".join(
            member.instance
            for member in follower.node.view.all()
            if member.state is membership.State.READY
        )
        for follower in followers.values()
    }


@pytest.mark.parametrize(
    ("table", "name", "value"),
    [
        ("", "further", malformed.DEEP),
        ("", "born", malformed.HUGE),
        ("info", "slots", b"-1"),
        ("info", "slots", malformed.HUGE),
        ("status", "seq", malformed.HUGE),
        ("status", "cold_remaining_s", b"1e308"),
        ("status", "cold_remaining_s", b"-1e300"),
    ],
)
def test_malformed_heartbeat_is_refused(
    table: str, name: str, value: bytes
) -> None:
    changed = malformed.changed(test_platform.HEARTBEAT, table, name, value)
    with pytest.raises(errors.BadRequest):
        test_platform.decode_heartbeat(
            test_platform.HEARTBEAT_URI, bytes(changed)
        )


@pytest.mark.parametrize(
    "target_id", ["", "%0d%0aX-Deadline-Ms:%201", "a b", "a%0a"]
)
def test_heartbeat_with_an_id_that_fits_no_header_is_refused(
    target_id: str,
) -> None:
    uri = f"/rpc?call=instances.heartbeat&of={target_id}"
    with pytest.raises(errors.BadRequest):
        test_platform.decode_heartbeat(uri, test_platform.HEARTBEAT)


# Guards against the same in chiveroad's own protocol.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("upstream", b'"u\\r\\nX: y"'),
        ("upstream", b'"u\\n"'),
        ("upstream", b'""'),
        ("slots", malformed.HUGE),
        ("sequence", malformed.HUGE),
        ("started_at_ms", b"-1"),
        ("cold_ms", malformed.HUGE),
        ("further", malformed.DEEP),
    ],
)
def test_malformed_heartbeat_of_the_own_protocol_is_refused(
    name: str, value: bytes
) -> None:
    valid = {
        "upstream": "u-1",
        "service": "glade",
        "address": "10.0.0.9:80",
        "state": "ready",
        "sequence": 4,
        "started_at_ms": 1_700_000_000_123,
        "slots": 8,
        "cold_ms": 100,
    }
    for body, usable in (
        (msgspec.json.encode(valid), True),
        (bytes(malformed.changed(valid, "", name, value)), False),
    ):
        request = test_platform.Request(_native.HEARTBEAT_PATH, body)
        read = functools.partial(
            wire.Native().read_heartbeat,
            typing.cast(serving.Request, request),
        )
        if usable:
            assert isinstance(read(), wire.Heartbeat)
            continue
        with pytest.raises(errors.BadRequest):
            read()


def test_only_values_below_the_limit_of_nesting_are_dropped() -> None:
    decoder = msgspec.json.Decoder(list[msgspec.Raw])
    kept = b'{"a":"]}[{\\"","b":[[1],{}]}'
    values = decoding.decode_each(
        decoder, b"[" + kept + b"," + malformed.DEEP + b",2]"
    )
    assert bytes(values[0]) == kept
    assert bytes(values[2]) == b"2"
    assert len(bytes(values[1])) < 2 * decoding.MAX_DEPTH + 10
