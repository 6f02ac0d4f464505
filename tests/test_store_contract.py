"""Contract tests of the object API, run against every implementation.

Further implementations can be added to the fixture ``platform`` below.
"""

from __future__ import annotations

import collections.abc
import threading
import time
import typing

import pytest

from chiveroad import errors
from chiveroad import platform as adapter
from chiveroad import store
from standins import memory_store
from standins import object_api
from standins import platform_store
from tests import test_exchange

FILES = store.Kind.FILES


@pytest.fixture(params=["memory", "http", "objects"])
def platform(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[store.Store]:
    """Yield an empty object API."""
    if request.param == "memory":
        yield memory_store.MemoryStore(history_length=50)
        return
    objects = request.param == "objects"
    standin = platform_store if objects else object_api
    server = standin.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_address[1]}"
    if objects:
        yield adapter.ObjectStore(address, 3.0)
    else:
        yield store.HttpStore(address)
    server.shutdown()
    server.server_close()


def changes(
    platform: store.Store,
    kind: store.Kind,
    version: store.Revision,
    timeout_s: float,
) -> list[store.Event]:
    """Return all changes after a version, without bookmarks.

    A watch may end before its timeout; the next watch then starts at the last
    version that was received.
    """
    events: list[store.Event] = []
    end_s = time.monotonic() + timeout_s
    while (remaining_s := end_s - time.monotonic()) > 0:
        for event in platform.watch(kind, version, remaining_s):
            version = max(version, event.version)
            if event.object is not None:
                events.append(event)
    return events


def test_create_read_update_delete(platform: store.Store) -> None:
    created = platform.put(FILES, "a.toml", {"text": "ü"}, store.ABSENT)
    read = platform.get(FILES, "a.toml")
    assert read.version == created.version
    assert bytes(read.spec).decode() == '{"text":"ü"}'
    updated = platform.put(FILES, "a.toml", {"text": "2"}, read.version)
    assert updated.version > created.version
    platform.delete(FILES, "a.toml", updated.version)
    with pytest.raises(errors.StoreNotFound):
        platform.get(FILES, "a.toml")


@pytest.mark.parametrize("version", [store.ABSENT, store.Revision(1, 77)])
def test_write_with_another_version_conflicts(
    platform: store.Store, version: store.Revision
) -> None:
    platform.put(FILES, "a.toml", 1, store.ABSENT)
    with pytest.raises(errors.StoreConflict):
        platform.put(FILES, "a.toml", 2, version)
    with pytest.raises(errors.StoreConflict):
        platform.delete(FILES, "a.toml", store.Revision(1, 77))
    assert bytes(platform.get(FILES, "a.toml").spec) == b"1"


def test_absent_object_cannot_be_updated_or_deleted(
    platform: store.Store,
) -> None:
    with pytest.raises(errors.StoreConflict):
        platform.put(FILES, "a.toml", 1, store.Revision(1, 5))
    with pytest.raises(errors.StoreNotFound):
        platform.delete(FILES, "a.toml", store.Revision(1, 5))


def test_exactly_one_of_concurrent_creators_succeeds(
    platform: store.Store,
) -> None:
    created = []

    def create(number: int) -> None:
        try:
            platform.put(FILES, "a.toml", number, store.ABSENT)
            created.append(number)
        except errors.StoreConflict:
            return

    threads = [threading.Thread(target=create, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(created) == 1
    assert bytes(platform.get(FILES, "a.toml").spec) == b"%d" % created[0]


def test_list_selects_a_prefix_and_has_the_latest_version(
    platform: store.Store,
) -> None:
    names = [f"a-{number}" for number in range(8)]
    for name in (*names, "b-1"):
        last = platform.put(store.Kind.CLAIMS, name, 1, store.ABSENT)
    listing = platform.list(store.Kind.CLAIMS, "a-")
    assert [item.name for item in listing.objects] == names
    assert listing.version == last.version
    assert platform.list(FILES).objects == ()


def test_watch_from_a_list_of_several_pages_misses_no_change(
    platform: store.Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change that is in neither the list nor the watch.

    An object is written between the calls for two pages of the list.
    """
    for number in range(2 * platform_store.PAGE):
        platform.put(FILES, f"b-{number}", 1, store.ABSENT)
    call = store.Client.call
    pages = 0

    def call_and_write(*arguments: typing.Any) -> store.Reply:
        nonlocal pages
        answer = call(*arguments)
        pages += 1
        if pages == 1:
            platform.put(FILES, "a", 1, store.ABSENT)
        return answer

    with monkeypatch.context() as patched:
        patched.setattr(store.Client, "call", call_and_write)
        listing = platform.list(FILES)
    if not pages:
        platform.put(FILES, "a", 1, store.ABSENT)
    assert "a" not in [item.name for item in listing.objects]
    events = changes(platform, FILES, listing.version, 0.1)
    assert [event.object.name for event in events if event.object] == ["a"]


def test_watch_from_a_version_misses_no_change(platform: store.Store) -> None:
    first = platform.put(FILES, "a.toml", 1, store.ABSENT)
    second = platform.put(FILES, "a.toml", 2, first.version)
    platform.put(store.Kind.LEASES, "other kind", 1, store.ABSENT)
    timer = threading.Timer(
        0.1, platform.delete, (FILES, "a.toml", second.version)
    )
    timer.start()
    events = changes(platform, FILES, first.version, 0.6)
    timer.join()
    assert [event.type for event in events] == [
        store.EventType.MODIFIED,
        store.EventType.DELETED,
    ]
    assert events[0].version == second.version


def test_recreated_object_has_a_newer_version_than_its_deletion(
    platform: store.Store,
) -> None:
    """Guards against a returned member that is regarded as gone.

    Daemons that received the deletion and the new object in one batch of
    changes regarded the member as gone.
    """
    first = platform.put(FILES, "a", 1, store.ABSENT)
    platform.delete(FILES, "a", first.version)
    recreated = platform.put(FILES, "a", 2, store.ABSENT)
    platform.put(FILES, "b", 1, store.ABSENT)
    events = changes(platform, FILES, first.version, 0.1)
    versions = [event.version for event in events]
    assert [event.type for event in events][0] is store.EventType.DELETED
    assert first.version < versions[0] < versions[1] == recreated.version


def test_watch_from_an_expired_version_fails(
    platform: store.Store,
) -> None:
    first = platform.put(FILES, "a.toml", 0, store.ABSENT)
    version = first.version
    for number in range(2_100):
        version = platform.put(FILES, "a.toml", number, version).version
    with pytest.raises(errors.StoreExpired):
        list(platform.watch(FILES, first.version, 0.1))
    listing = platform.list(FILES)
    assert changes(platform, FILES, listing.version, 0.05) == []


def test_value_size_is_limited_to_one_megabyte(platform: store.Store) -> None:
    platform.put(FILES, "a", "x" * 999_990, store.ABSENT)
    with pytest.raises(errors.StoreTooLarge):
        platform.put(FILES, "b", "x" * 1_000_000, store.ABSENT)


@pytest.fixture
def api() -> (
    collections.abc.Iterator[tuple[store.HttpStore, object_api.ObjectApi]]
):
    """Yield a client with a short timeout, and the API of its server."""
    server = object_api.serve("127.0.0.1", 0)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f"127.0.0.1:{server.server_address[1]}"
    yield store.HttpStore(address, timeout_s=0.2), server.api
    server.shutdown()
    server.server_close()


@pytest.mark.parametrize(
    ("faults", "error", "took_effect"),
    [
        ({"outage": True}, errors.StoreUnavailable, False),
        ({"lose_answers": 1}, errors.StoreOutcomeUnknown, True),
        ({"delay_ms": 400}, errors.StoreOutcomeUnknown, True),
    ],
)
def test_failed_write_reports_whether_it_may_have_taken_effect(
    api: tuple[store.HttpStore, object_api.ObjectApi],
    faults: dict[str, int],
    error: type[errors.StoreError],
    took_effect: bool,
) -> None:
    client, server_api = api
    server_api.faults = object_api.Faults(**faults)  # type: ignore[arg-type]
    with pytest.raises(errors.StoreUnavailable) as caught:
        client.put(FILES, "a.toml", 1, store.ABSENT)
    assert type(caught.value) is error
    server_api.faults = object_api.Faults()
    pause = threading.Event()
    pause.wait(0.5)
    names = [item.name for item in client.list(FILES).objects]
    assert names == (["a.toml"] if took_effect else [])


def test_unreachable_store_is_unavailable() -> None:
    client = store.HttpStore("127.0.0.1:9", timeout_s=0.2)
    with pytest.raises(errors.StoreUnavailable) as caught:
        client.put(FILES, "a.toml", 1, store.ABSENT)
    assert type(caught.value) is errors.StoreUnavailable


# Guards against taking an answer that was cut in its head for an empty one.
def test_answer_of_the_store_that_stops_at_any_byte_is_no_object() -> None:
    body = b'{"metadata":{"name":"a","revision":3},"spec":{"text":"t"}}'
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )
    for size in range(len(answer) + 1):
        with test_exchange.target(
            test_exchange.answering(answer[:size])
        ) as address:
            client = adapter.ObjectStore(address, 3.0)
            if size < len(answer):
                with pytest.raises(errors.StoreError):
                    client.get(FILES, "a")
                continue
            assert client.get(FILES, "a").version == store.Revision(0, 3)
