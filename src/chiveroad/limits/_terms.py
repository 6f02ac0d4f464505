"""The limits of each listening address, derived from the settings."""

from __future__ import annotations

import dataclasses
import enum
import resource
import typing

from chiveroad import settings

MIN_CONNECTIONS: typing.Final = 8
"""What each address has before the rest is shared; below this, it couldn't
serve its own ordinary peers."""

OWN_DESCRIPTORS: typing.Final = 1 / 3
"""The share of descriptors that is kept for files, the store, targets and
other daemons."""

BODY_MEMORY: typing.Final = 1 / 4
"""The share of the memory that buffered messages to the daemon may take; an
idle daemon uses up to half of the smallest instances that are supported."""

UNSTATED_BODY_BYTES: typing.Final = 256 * 1024 * 1024
"""Two of the largest control messages, each in two copies."""

_MIB: typing.Final = 1024 * 1024


class Place(enum.Enum):
    """A listening address; its value is its share of client connections."""

    ENTRY = 0.54
    GUARD = 0.25
    CONTROL = 0.11
    HEARTBEAT = 0.051
    READY = 0.049


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the clients of one address may hold.

    ``connections`` is 0 for no limit.  ``waiting_share`` is the share of the
    threads that may process requests which can wait for their client;
    ``min_wait_s`` is how long a client may keep a thread waiting even while
    threads are short, and ``body_wait_s`` for how long a small body is awaited
    without a thread.
    """

    connections: int = 0
    fields: int = 256
    waiting_share: float = 0.5
    min_wait_s: float = 1.0
    body_wait_s: float = 0.25


def derive(
    options: settings.Limits, capacity: settings.Capacity, place: Place
) -> Limits:
    """Return the limits of an address.

    >>> capacity = settings.Capacity(file_descriptors=4_100)
    >>> derive(settings.Limits(), capacity, Place.ENTRY).connections
    1462
    """
    descriptors = capacity.file_descriptors or _process_descriptors()
    for_clients = descriptors - int(OWN_DESCRIPTORS * descriptors)
    if options.connections:
        for_clients = min(for_clients, options.connections)
    shared = for_clients - MIN_CONNECTIONS * len(Place)
    return Limits(
        MIN_CONNECTIONS + int(place.value * max(0, shared)),
        options.fields,
        options.waiting_share,
        options.min_wait_ms / 1000,
        options.body_wait_ms / 1000,
    )


def body_bytes(options: settings.Limits, capacity: settings.Capacity) -> int:
    """Return how much memory buffered messages to the daemon may take.

    >>> body_bytes(settings.Limits(), settings.Capacity(memory_mb=200))
    52428800
    """
    if options.body_mb:
        return int(options.body_mb * _MIB)
    if capacity.memory_mb:
        return int(BODY_MEMORY * capacity.memory_mb * _MIB)
    return UNSTATED_BODY_BYTES


def _process_descriptors() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
