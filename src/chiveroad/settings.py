"""Reads and validates the settings file of a daemon."""

from __future__ import annotations

import ipaddress
import os
import pathlib
import tomllib
import typing

import msgspec

from chiveroad import errors

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
Label = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")
]
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9a-f.:\[\]]+:[0-9]+$")
]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=600_000)]


MBPS_PER_CORE: typing.Final = 20.0
"""The link capacity that the traffic of one core uses, in Mbit/s: 250 requests
a second with 10 KB each."""


EXIT_RESERVE_S: typing.Final = 0.75
"""Time from the limit of a planned stop until the process has ended: the
removal of its record and the stop of its servers."""

EXIT_RESERVE_SHARE: typing.Final = 1 / 8
"""Upper bound of the reserve, as a share of the time until the kill."""


class _Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table that rejects unknown keys."""


class Listen(_Table, frozen=True):
    """The addresses that the daemon listens on, ``IP:PORT``.

    ``heartbeat`` receives the target's heartbeats, and ``ready`` reports
    whether the daemon accepts requests; each is optional.
    """

    entry: Address
    guard: Address
    control: Address
    heartbeat: Address | None = None
    ready: Address | None = None

    def addresses(self) -> list[str]:
        """Return all addresses that are set."""
        required = (self.entry, self.guard, self.control)
        optional = (self.heartbeat, self.ready)
        return [*required, *(address for address in optional if address)]


class Target(_Table, frozen=True):
    """The daemon's local target.

    With ``heartbeats`` the target reports its state; without them it counts
    as ready once it accepts connections.
    """

    address: Address
    heartbeats: bool = False


class Platform(_Table, frozen=True):
    """The platform; ``region`` is the region of its object API.

    ``protocol`` is ``native`` for chiveroad's own names and formats, or the
    name of an adapter for the platform's names and formats.
    """

    address: Address
    region: Name = "anywhere"
    timeout_ms: Milliseconds = 3_000
    protocol: typing.Literal["native", "platform"] = "native"


class Capacity(_Table, frozen=True):
    """The resources of the instance that the daemon may use.

    ``cpu_share`` is a share of a processor that is ``cores`` times as fast
    as one core, ``link_mbps`` its link in Mbit/s, each way; ``memory_mb`` and
    ``file_descriptors`` are 0 where they aren't stated.  Daemons with more
    capacity are parents of others in the tree, see ``control``.
    ``serving.Uplink`` limits the share of the link for large bodies.
    """

    cpu_share: typing.Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cores: typing.Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    file_descriptors: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    link_mbps: typing.Annotated[float, msgspec.Meta(gt=0)] = 1_000.0

    @property
    def percent(self) -> int:
        """Return the usable capacity, in percent of a core.

        >>> Capacity(cpu_share=2.0, link_mbps=10.0).percent
        50
        """
        processor = 100 * self.cpu_share * self.cores
        return int(min(processor, 100 * self.link_mbps / MBPS_PER_CORE))


class Log(_Table, frozen=True):
    """The log, written to the standard error stream."""

    level: typing.Literal["debug", "info", "warning", "error"] = "info"
    format: typing.Literal["text", "json"] = "text"


class Control(_Table, frozen=True):
    """The control plane.

    ``source`` is the source of configurations: ``folder`` if chiveroad
    merges and accepts the files of a folder, ``accepted`` if the store holds
    configurations that are accepted already; these are to be in force
    everywhere within ``apply_within_s``.
    ``distribution`` is ``tree``, or ``direct`` for the baseline in
    which every daemon watches the store.  ``start_spread_ms`` spreads the
    first calls of daemons that start simultaneously.
    """

    source: typing.Literal["folder", "accepted"] = "folder"
    apply_within_s: typing.Annotated[float, msgspec.Meta(gt=0, le=600)] = 2.0
    distribution: typing.Literal["tree", "direct"] = "tree"
    start_spread_ms: Milliseconds = 300


class Traffic(_Table, frozen=True):
    """The entry and the guard.

    ``balancing`` is ``least-wait``, or a baseline: ``two-choices``,
    ``round-robin`` or ``least-reported``.  ``admission`` is ``objective``,
    or ``weight`` for the baseline.  ``limits = false`` disables the guard's
    slots and queue, for a baseline only.  ``threads`` is how many requests
    the entry and the guard may each process concurrently.
    With ``move_waiting`` a request that would have to wait at a busy target
    goes to another one that has capacity.
    ``idle_timeout_ms`` is how long a caller's connection may be idle.
    ``kill_after_s`` is when the platform kills a process that was asked to
    stop; the limit of a planned stop follows from it.  Where it isn't set,
    ``drain_limit_ms`` is the limit.  New connections are accepted for
    ``leave_after_ms`` from the start of the stop, and for
    ``leave_while_busy_ms`` more while a request is running.
    """

    balancing: typing.Literal[
        "least-wait", "two-choices", "round-robin", "least-reported"
    ] = "least-wait"
    admission: typing.Literal["weight", "objective"] = "objective"
    limits: bool = True
    move_waiting: bool = True
    threads: typing.Annotated[int, msgspec.Meta(ge=4, le=512)] = 48
    idle_timeout_ms: Milliseconds = 10_000
    drain_limit_ms: Milliseconds = 30_000
    kill_after_s: (
        typing.Annotated[float, msgspec.Meta(gt=0, le=600)] | None
    ) = None
    leave_after_ms: Milliseconds = 500
    leave_while_busy_ms: typing.Annotated[
        int, msgspec.Meta(ge=0, le=600_000)
    ] = 0

    @property
    def stop_limit_s(self) -> float:
        """Return how long a planned stop may take, less the exit itself.

        >>> Traffic(kill_after_s=10).stop_limit_s
        9.25
        """
        if self.kill_after_s is None:
            return self.drain_limit_ms / 1000
        reserve_s = min(EXIT_RESERVE_S, EXIT_RESERVE_SHARE * self.kill_after_s)
        return self.kill_after_s - reserve_s


class Retries(_Table, frozen=True):
    """The retry budget that all daemons share.

    In any window, a service may receive as many retries as ``ratio`` of its
    requests, plus ``slack``.
    """

    ratio: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    window_s: typing.Annotated[float, msgspec.Meta(gt=0, le=600)] = 10.0
    slack: typing.Annotated[float, msgspec.Meta(ge=0)] = 100.0


class Customers(_Table, frozen=True):
    """The bounds for customers' keys and quotas.

    With ``record_keys`` the store records that requests need keys, so that a
    daemon that starts after the last customer was removed refuses their keys.
    ``fail_closed`` implies it where versions are accepted outside of
    chiveroad; the versions that chiveroad merges state it themselves.  With
    ``fail_closed`` a request with a key is refused once the
    configuration hasn't been confirmed for almost ``revoke_within_s``, so
    that no request sent later than that after a key was revoked is run.  In
    any window of ``quota_window_s`` a customer's requests may exceed its
    rate and burst by ``quota_overage``, a share, and ``quota_slack``
    requests more.
    """

    fail_closed: bool = False
    revoke_within_s: typing.Annotated[float, msgspec.Meta(gt=0, le=600)] = 5.0
    quota_window_s: typing.Annotated[float, msgspec.Meta(gt=0, le=600)] = 5.0
    quota_overage: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    quota_slack: typing.Annotated[float, msgspec.Meta(ge=0)] = 20.0
    record_keys: bool = False


class Hedging(_Table, frozen=True):
    """Second attempts for the slowest requests.

    ``share`` bounds them as a share of a service's requests; 0 turns them
    off.
    """

    share: typing.Annotated[float, msgspec.Meta(ge=0, le=0.5)] = 0.0


class Limits(_Table, frozen=True):
    """What clients may hold; see ``limits.Limits``.

    ``connections`` is the number of connections at all addresses together,
    and ``body_mb`` the memory of messages to the daemon that are read as a
    whole; where they are 0 they follow from ``[capacity]``.  ``fields`` is
    the number of header fields of a request.
    """

    connections: typing.Annotated[int, msgspec.Meta(ge=0)] = 0
    body_mb: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    fields: typing.Annotated[int, msgspec.Meta(ge=16, le=10_000)] = 256
    waiting_share: typing.Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.5
    min_wait_ms: Milliseconds = 1_000
    body_wait_ms: Milliseconds = 250


class Metrics(_Table, frozen=True):
    """The push of metrics; without an address, metrics are only served."""

    push_address: str = ""
    push_interval_ms: Milliseconds = 10_000


class Settings(_Table, frozen=True):
    """All settings of one daemon."""

    instance: Label
    service: Label
    failure_domain: Label
    region: Label
    listen: Listen
    target: Target = msgspec.field(name="upstream")
    platform: Platform
    log: Log = Log()
    control: Control = Control()
    traffic: Traffic = Traffic()
    retries: Retries = Retries()
    customers: Customers = Customers()
    hedging: Hedging = Hedging()
    metrics: Metrics = Metrics()
    capacity: Capacity = Capacity()
    limits: Limits = Limits()


_RELOADABLE: typing.Final = frozenset({"service", "retries"})


def restart_needed(old: Settings, new: Settings) -> list[str]:
    """Return the names of changed settings that need a restart."""
    return [
        key
        for key, attribute in zip(
            Settings.__struct_encode_fields__, Settings.__struct_fields__
        )
        if key not in _RELOADABLE
        and getattr(old, attribute) != getattr(new, attribute)
    ]


def named_path(argument: str | None = None) -> pathlib.Path:
    """Return the settings file given as an argument or in the environment.

    :raises errors.UsageError: when neither gives a file.
    """
    path_text = argument or os.environ.get("CHIVEROAD_CONFIG")
    if not path_text:
        raise errors.UsageError(
            "no settings file: pass its path, or set CHIVEROAD_CONFIG"
        )
    return pathlib.Path(path_text)


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :raises errors.SettingsError: naming the file and the invalid key.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    return parse(text, str(path))


def pushes_encrypted(path: pathlib.Path) -> bool:
    """Return whether the settings push metrics over HTTPS."""
    try:
        return load(path).metrics.push_address.startswith("https:")
    except errors.SettingsError:
        # The error is reported when the daemon loads the file.
        return False


def parse(text: str, name: str = "settings") -> Settings:
    """Validate the text of a settings file.

    :param name: the name of the file for error messages.
    :raises errors.SettingsError: naming the file and the invalid key.
    """
    try:
        table = tomllib.loads(text)
        settings = msgspec.convert(table, Settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.SettingsError(f"{name}: {exc}") from exc
    addresses = settings.listen.addresses()
    if len(set(addresses)) < len(addresses):
        raise errors.SettingsError(
            f"{name}: two addresses in [listen] are equal"
        )
    for address in [*addresses, settings.target.address]:
        _check_address(address, name)
    return settings


def _check_address(address: str, name: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as exc:
        raise errors.SettingsError(f"{name}: {exc}") from exc
    if not 0 < int(port) < 65_536:
        raise errors.SettingsError(
            f"{name}: the port of {address} is not within 1 to 65535"
        )
