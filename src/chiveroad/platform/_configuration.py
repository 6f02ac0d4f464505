"""Translates configurations of the platform into chiveroad's items."""

from __future__ import annotations

import collections.abc
import typing
import urllib.parse

import msgspec

from chiveroad import config
from chiveroad import customers
from chiveroad import decoding
from chiveroad import errors
from chiveroad import wire

TEAM: typing.Final = "platform"
"""The team of all items: the platform has no teams, and its operator accepts
each configuration."""

MAX_PRIORITY: typing.Final = 99
_HEADER_CHARACTERS: typing.Final = "".join(map(chr, range(0x20, 0x7F)))
DEFAULT_TIMEOUT_S: typing.Final = 30.0
QUEUE_LENGTH: typing.Final = 64


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    """``priority`` is a rank: 0 is the most urgent."""

    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    traffic_split: list[_Share] | None = None
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_latency_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    allow_anonymous: bool = False


class _Tenant(msgspec.Struct):
    """A customer; ``priority`` is a rank, as in ``_Route``."""

    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 100


class _Limits(msgspec.Struct):
    """Limits for requests of callers.

    Callers reuse connections that have been idle for most of
    ``idle_timeout_s``.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float = 0.0


class _Configuration(msgspec.Struct):
    version: str
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[msgspec.Raw] | None = None


_Translated = tuple[config.Route, config.Kind, tuple[str, str]]

_decoder = msgspec.json.Decoder(_Configuration)
_route_decoder = msgspec.json.Decoder(_Route)
_tenant_decoder = msgspec.json.Decoder(_Tenant)


class Reader:
    """Reads configurations, and caches the translation of their parts.

    Most routes and customers are the same in successive configurations, so
    the translated ones of the last configuration are cached.
    """

    def __init__(self) -> None:
        self._cache: dict[bytes, _Translated] = {}
        self._customers: dict[bytes, tuple[str, str]] = {}

    def read(self, spec: msgspec.Raw) -> wire.AcceptedVersion:
        """Read a configuration.

        :raises errors.BadMessage: when the configuration can't be decoded.
        """
        try:
            configuration = decoding.decode(_decoder, spec)
            number = int(configuration.version.removeprefix("r"))
            routes = self._routes(configuration.routes)
            items = self._customer_items(configuration.tenants or ())
        except (msgspec.DecodeError, ValueError, OverflowError) as exc:
            raise errors.BadMessage(f"unreadable version: {exc}") from exc
        kinds: dict[str, dict[str, config.Kind]] = {}
        for route, kind, item in routes:
            items.append(item)
            for name in route.services():
                kinds.setdefault(name, {})[route.kind] = kind
        for service in configuration.services:
            translated = config.Service(
                name=service.name,
                team=TEAM,
                slots=0,
                connections=service.max_connections,
                queue_length=QUEUE_LENGTH,
                open_to=("*",),
                kinds=dict(sorted(kinds.get(service.name, {}).items())),
            )
            items.append(config.service_item(translated))
        if configuration.tenants is not None and not configuration.tenants:
            # Requests need a key, though no customer holds one.
            items.append(config.no_customers_item())
        if configuration.limits is not None:
            items.append(config.limits_item(_limits(configuration.limits)))
        return wire.AcceptedVersion(number, dict(sorted(items)))

    def _routes(
        self, texts: collections.abc.Iterable[msgspec.Raw]
    ) -> list[_Translated]:
        cached, self._cache = self._cache, {}
        routes: list[_Translated] = []
        for raw in texts:
            text = bytes(raw)
            translated = cached.get(text)
            if translated is None:
                route, kind = _translate(_route_decoder.decode(text))
                translated = route, kind, config.route_item(route)
            self._cache[text] = translated
            routes.append(translated)
        return routes

    def _customer_items(
        self, texts: collections.abc.Iterable[msgspec.Raw]
    ) -> list[tuple[str, str]]:
        cached, self._customers = self._customers, {}
        for raw in texts:
            text = bytes(raw)
            self._customers[text] = cached.get(text) or config.customer_item(
                _customer(_tenant_decoder.decode(text))
            )
        return list(self._customers.values())


def _customer(tenant: _Tenant) -> config.Customer:
    weight = 0
    if tenant.priority is not None:
        weight = _weight(tenant.priority)
    return config.Customer(
        # The name is sent in headers, which hold neither line ends nor
        # characters beyond Latin-1.
        name=urllib.parse.quote(tenant.name, safe=_HEADER_CHARACTERS),
        key_digests=tuple(
            customers.digest_key(key) for key in sorted(tenant.api_keys or ())
        ),
        weight=weight,
        rate_per_s=tenant.rate_per_s or 0.0,
        burst=tenant.burst or 0.0,
    )


def _weight(priority: int) -> int:
    return 1 + MAX_PRIORITY - min(max(0, priority), MAX_PRIORITY)


def _limits(limits: _Limits) -> config.Limits:
    return config.Limits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_ms=int(limits.header_timeout_s * 1000),
        idle_timeout_ms=int(limits.idle_timeout_s * 1000),
    )


def _translate(route: _Route) -> tuple[config.Route, config.Kind]:
    # Downloads may be retried as well; all other kinds may not.
    idempotent = route.kind in ("idempotent", "download")
    kind = config.Kind(
        weight=_weight(route.priority),
        idempotent=idempotent,
        timeout_ms=int(route.timeout_s * 1000),
        objective_ms=int(route.target_latency_s * 1000),
        max_attempts=route.max_attempts,
    )
    # The platform has no names for kinds, so the name is made of the values;
    # equal kinds get the same name.
    name = (
        f"{route.kind}-{kind.weight}-{kind.timeout_ms}-{kind.objective_ms}"
        f"-{kind.max_attempts}"
    )
    split = tuple(
        config.Share(share.service, share.weight)
        for share in sorted(
            route.traffic_split or (), key=lambda share: share.service
        )
    )
    translated = config.Route(
        name=route.name,
        team=TEAM,
        path=route.path_prefix,
        methods=(config.ANY_METHOD,),
        service=route.service or (split[0].service if split else ""),
        kind=name,
        host=route.host,
        split=split,
        anonymous=route.allow_anonymous,
    )
    return translated, kind
