"""The settings file of a daemon, validated whole at start."""

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
"""What a core of requests and their answers takes of a link, in Mbit/s, if it
carries 250 requests a second with 10 KB each; assumed, not measured."""


class _Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table whose keys are all known."""


class Listen(_Table, frozen=True):
    """The addresses that the daemon listens on, ``IP:PORT``.

    ``heartbeat`` takes the target's heartbeats and ``ready`` tells whether
    the daemon takes requests; without them neither is served.
    """

    entry: Address
    guard: Address
    control: Address
    heartbeat: Address | None = None
    ready: Address | None = None

    def addresses(self) -> list[str]:
        """Return all addresses that are set."""
        found = (self.entry, self.guard, self.control)
        more = (self.heartbeat, self.ready)
        return [*found, *(address for address in more if address)]


class Target(_Table, frozen=True):
    """The target beside the daemon.

    With ``heartbeats`` it tells its state itself; without, it counts as
    ready once it takes connections.
    """

    address: Address
    heartbeats: bool = False


class Platform(_Table, frozen=True):
    """The platform; ``region`` is where its object API stands.

    ``protocol`` is ``native`` for the product's own names, or the name of
    an adapter that translates the platform's.
    """

    address: Address
    region: Name = "anywhere"
    timeout_ms: Milliseconds = 3_000
    protocol: typing.Literal["native", "platform"] = "native"


class Capacity(_Table, frozen=True):
    """What the instance has for the daemon.

    ``cpu_share`` is a share of a processor that is ``cores`` times as fast
    as one core, ``link_mbps`` its link in Mbit/s, each way.  Daemons with
    more of it stand above others in the tree, see ``control``, and large
    bodies take no more of the link than ``serving.Uplink`` leaves them.
    """

    cpu_share: typing.Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cores: typing.Annotated[float, msgspec.Meta(gt=0)] = 1.0
    link_mbps: typing.Annotated[float, msgspec.Meta(gt=0)] = 1_000.0

    @property
    def percent(self) -> int:
        """Return what can be used of it, in percent of a core.

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

    ``source`` is where configurations come from: the ``folder`` that
    chiveroad merges and accepts, or the store, where they are ``accepted``
    already, and are to be in force everywhere within ``apply_within_s``.
    ``distribution`` is ``tree``, or ``direct`` for the baseline in
    which every daemon watches the store.  ``start_spread_ms`` spreads the
    first calls of daemons that start together.
    """

    source: typing.Literal["folder", "accepted"] = "folder"
    apply_within_s: typing.Annotated[float, msgspec.Meta(gt=0, le=600)] = 2.0
    distribution: typing.Literal["tree", "direct"] = "tree"
    start_spread_ms: Milliseconds = 300


class Traffic(_Table, frozen=True):
    """The entry and the guard.

    ``balancing`` is ``least-wait``, or a baseline: ``two-choices``,
    ``round-robin`` or ``least-reported``.  ``admission`` is ``objective``,
    or ``weight`` for the baseline.  ``limits`` switches the guard's slots
    and queue off, for a baseline only.  ``threads`` is how many requests
    each of the two may have in hand.  ``idle_timeout_ms`` is how long a
    caller's connection may be idle.  ``drain_limit_ms`` bounds a planned
    stop.  For ``leave_after_ms`` from its begin new callers are still let
    in, and for ``leave_while_busy_ms`` more while a request is in hand.
    """

    balancing: typing.Literal[
        "least-wait", "two-choices", "round-robin", "least-reported"
    ] = "least-wait"
    admission: typing.Literal["weight", "objective"] = "objective"
    limits: bool = True
    threads: typing.Annotated[int, msgspec.Meta(ge=4, le=512)] = 48
    idle_timeout_ms: Milliseconds = 10_000
    drain_limit_ms: Milliseconds = 30_000
    leave_after_ms: Milliseconds = 500
    leave_while_busy_ms: typing.Annotated[
        int, msgspec.Meta(ge=0, le=600_000)
    ] = 0


class Retries(_Table, frozen=True):
    """The retry budget that all daemons share.

    In any window, a service may see ``ratio`` of its requests and ``slack``
    more once again.
    """

    ratio: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    window_s: typing.Annotated[float, msgspec.Meta(gt=0, le=600)] = 10.0
    slack: typing.Annotated[float, msgspec.Meta(ge=0)] = 100.0


class Metrics(_Table, frozen=True):
    """Pushing metrics; without an address they are only served."""

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
    metrics: Metrics = Metrics()
    capacity: Capacity = Capacity()


_LIVE: typing.Final = frozenset({"service", "retries"})


def restart_needed(old: Settings, new: Settings) -> list[str]:
    """Return the names of changed settings that only a restart takes in."""
    return [
        outer
        for outer, name in zip(
            Settings.__struct_encode_fields__, Settings.__struct_fields__
        )
        if outer not in _LIVE and getattr(old, name) != getattr(new, name)
    ]


def named_path(argument: str | None = None) -> pathlib.Path:
    """Return the settings file named by an argument or the environment.

    :raises errors.UsageError: when neither names one.
    """
    named = argument or os.environ.get("CHIVEROAD_CONFIG")
    if not named:
        raise errors.UsageError("name a settings file, or CHIVEROAD_CONFIG")
    return pathlib.Path(named)


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :raises errors.SettingsError: with the file and the key at fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    return parse(text, str(path))


def pushes_encrypted(path: pathlib.Path) -> bool:
    """Tell whether a settings file has metrics pushed by HTTPS."""
    try:
        return load(path).metrics.push_address.startswith("https:")
    except errors.SettingsError:
        # Whoever uses the file reports what is wrong with it.
        return False


def parse(text: str, name: str = "settings") -> Settings:
    """Validate the text of a settings file."""
    try:
        table = tomllib.loads(text)
        settings = msgspec.convert(table, Settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.SettingsError(f"{name}: {exc}") from exc
    addresses = settings.listen.addresses()
    if len(set(addresses)) < len(addresses):
        raise errors.SettingsError(f"{name}: an address is used twice")
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
        raise errors.SettingsError(f"{name}: {address} has no usable port")
