"""Data classes of an accepted configuration, and its route lookup."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import msgspec

DEFAULT_MAX_ATTEMPTS: typing.Final = 3
ANY_METHOD: typing.Final = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request that a service accepts.

    ``weight`` ranks kinds against each other under overload: requests of the
    kind with the lowest weight are rejected first.  ``idempotent`` says that
    running a request twice does no harm.  ``timeout_ms`` bounds the whole
    request, ``objective_ms`` is the latency that callers expect, or 0 where
    none is stated, and ``max_attempts`` is how many targets one request may
    be sent to.
    """

    weight: int
    idempotent: bool
    timeout_ms: int
    objective_ms: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service, owned by one team, with the limits of each of its targets.

    ``slots`` is 0 where each target states its own number in its heartbeats.
    """

    name: str
    team: str
    slots: int
    connections: int
    queue_length: int
    open_to: tuple[str, ...]
    kinds: dict[str, Kind]

    def admits(self, team: str) -> bool:
        """Return whether the team's routes may lead to this service."""
        return team == self.team or "*" in self.open_to or team in self.open_to


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The share of a route's requests that is sent to one service."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route from a host, a path prefix and methods to a kind of a service.

    An empty ``host`` matches any host, ``ANY_METHOD`` any method.  A path
    that ends with a slash matches only paths that begin with it.  ``split``,
    unless empty, lists all services that receive a share of the requests,
    ``service`` among them; each of these services must define the kind.
    ``anonymous`` routes admit callers without a customer's key.
    """

    name: str
    team: str
    path: str
    methods: tuple[str, ...]
    service: str
    kind: str
    host: str = ""
    split: tuple[Share, ...] = ()
    anonymous: bool = False

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that the route leads to."""
        if not self.split:
            return (self.service,)
        return tuple(share.service for share in self.split)


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer whose requests are known by a key.

    ``key_digests`` are the digests of its keys, see ``customers.digest_key``.
    ``weight`` takes the place of the weight of a request's kind, unless it is
    0.  ``rate_per_s`` and ``burst`` limit its requests at all daemons
    together; a rate of 0 is no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a request, and on the time to send its head.

    ``max_body_bytes`` is 0 where bodies aren't limited.
    ``idle_timeout_ms`` is for how long callers may rely on an idle
    connection, 0 where that isn't stated.
    """

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 0
    head_timeout_ms: int = 5_000
    idle_timeout_ms: int = 0


LIMITS_KEY: typing.Final = "limits/callers"

NO_CUSTOMERS_KEY: typing.Final = "customers/none"
"""The item of a version that requires keys although it lists no customer."""

Items: typing.TypeAlias = collections.abc.Mapping[str, str]
"""A configuration as canonical JSON texts by key: ``service/NAME``,
``route/NAME``, ``customer/NAME``, ``LIMITS_KEY`` or ``NO_CUSTOMERS_KEY``.
Deltas and digests are computed on it."""

_service_decoder = msgspec.json.Decoder(Service)
_route_decoder = msgspec.json.Decoder(Route)
_customer_decoder = msgspec.json.Decoder(Customer)
_limits_decoder = msgspec.json.Decoder(Limits)
_encoder = msgspec.json.Encoder(order="sorted")


class Config:
    """One immutable configuration, indexed for lookup.

    ``match`` selects the route with the longest matching path prefix.  A
    prefix ends at a path separator.

    ``demands_keys`` says that the version lists customers, or states that its
    list is empty: a version that removes the last customer revokes its keys,
    and doesn't open the routes to everyone.

    :param items: the canonical texts by key.
    :param previous: an earlier version of the configuration; items that
        haven't changed since are reused instead of being decoded again.

    >>> config = Config(service_item(service), ...)
    >>> config.match("POST", "/reservations/17").kind
    'reserve'
    """

    def __init__(self, items: Items, previous: Config | None = None) -> None:
        self.items = dict(items)
        self.services: dict[str, Service] = {}
        self.routes: dict[str, Route] = {}
        self.customers: dict[str, Customer] = {}
        self.limits = Limits()
        for key, text in self.items.items():
            reusable = (
                previous
                if previous and previous.items.get(key) == text
                else None
            )
            if key.startswith("service/"):
                service = _service(key, text, reusable)
                self.services[service.name] = service
            elif key == LIMITS_KEY:
                self.limits = _limits_decoder.decode(text)
            elif key == NO_CUSTOMERS_KEY:
                continue
            elif key.startswith("customer/"):
                customer = _customer(key, text, reusable)
                self.customers[customer.name] = customer
            else:
                route = _route(key, text, reusable)
                self.routes[route.name] = route
        self._by_host = self._index(previous)
        self._by_key = {
            digest: customer
            for customer in self.customers.values()
            for digest in customer.key_digests
        }
        self.demands_keys = _demands_keys(self.items)

    def _index(self, previous: Config | None) -> dict[str, _Paths]:
        """Return the routes by host, method and path.

        Hosts without a changed route share their table with the previous
        configuration.
        """
        by_host: dict[str, _Paths] = {}
        changed_hosts: set[str] | None = None
        if previous is not None:
            old_routes, new_routes = previous.routes, self.routes
            changed_routes = [
                route
                for name, route in (*old_routes.items(), *new_routes.items())
                if old_routes.get(name) is not new_routes.get(name)
            ]
            changed_hosts = {route.host for route in changed_routes}
            by_host = {
                host: paths
                for host, paths in previous._by_host.items()
                if host not in changed_hosts
            }
        for route in self.routes.values():
            if changed_hosts is None or route.host in changed_hosts:
                paths = by_host.setdefault(route.host, {})
                for method in route.methods:
                    paths[method, route.path] = route
        return by_host

    def match(self, method: str, path: str, host: str = "") -> Route | None:
        """Return the route for the method, path and host, or None.

        Routes of this host precede routes that match any host.
        """
        for paths in (self._by_host.get(host), self._by_host.get("")):
            route = _longest_match(paths, method, path) if paths else None
            if route is not None:
                return route
        return None

    def kind_of(self, route: Route) -> Kind:
        """Return the kind that the route leads to."""
        return self.services[route.service].kinds[route.kind]

    def customer_of(self, key_digest: str) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self._by_key.get(key_digest)

    def dangling(self) -> list[str]:
        """Return the names of routes whose service or kind is missing."""
        return [
            route.name
            for route in self.routes.values()
            for name in route.services()
            if name not in self.services
            or route.kind not in self.services[name].kinds
        ]


_Paths = dict[tuple[str, str], Route]


def _service(key: str, text: str, reusable: Config | None) -> Service:
    service = (
        reusable.services.get(key.removeprefix("service/"))
        if reusable
        else None
    )
    return service or _service_decoder.decode(text)


def _route(key: str, text: str, reusable: Config | None) -> Route:
    route = (
        reusable.routes.get(key.removeprefix("route/")) if reusable else None
    )
    return route or _route_decoder.decode(text)


def _customer(key: str, text: str, reusable: Config | None) -> Customer:
    customer = (
        reusable.customers.get(key.removeprefix("customer/"))
        if reusable
        else None
    )
    return customer or _customer_decoder.decode(text)


def _longest_match(paths: _Paths, method: str, path: str) -> Route | None:
    for prefix in _prefixes(path):
        route = paths.get((method, prefix)) or paths.get((ANY_METHOD, prefix))
        if route is not None:
            return route
    return None


def _prefixes(path: str) -> collections.abc.Iterator[str]:
    """Yield a path and its prefixes, longest first.

    Each prefix ends before or after a path separator.

    >>> list(_prefixes("/a/b"))
    ['/a/b', '/a/', '/a', '/']
    """
    yield path
    end = len(path)
    while (separator := path.rfind("/", 0, end)) >= 0:
        yield path[: separator + 1]
        if separator:
            yield path[:separator]
        end = separator


def service_item(service: Service) -> tuple[str, str]:
    """Return the key and canonical text of a service."""
    return f"service/{service.name}", _encoder.encode(service).decode()


def route_item(route: Route) -> tuple[str, str]:
    """Return the key and canonical text of a route.

    The text names ``anonymous`` only where it is set, so that configurations
    without customers have the texts, and digests, that they always had.
    """
    fields = msgspec.to_builtins(route)
    if not route.anonymous:
        del fields["anonymous"]
    return f"route/{route.name}", _encoder.encode(fields).decode()


def customer_item(customer: Customer) -> tuple[str, str]:
    """Return the key and canonical text of a customer."""
    return f"customer/{customer.name}", _encoder.encode(customer).decode()


def no_customers_item() -> tuple[str, str]:
    """Return the key and canonical text that state an empty list."""
    return NO_CUSTOMERS_KEY, "{}"


def keep_key_demand(base: Items, items: Items) -> dict[str, str]:
    """Return a merged version's items with the demand for keys of its base.

    The files that defined the last customer may be gone, so that a merge
    alone can't tell its removal from a folder that never had customers.

    >>> keep_key_demand({"customer/tusk": "{}"}, {"route/r": "{}"})
    {'customers/none': '{}', 'route/r': '{}'}
    """
    kept = dict(items)
    if _demands_keys(base) and not _demands_keys(items):
        kept.update([no_customers_item()])
    return dict(sorted(kept.items()))


def _demands_keys(items: Items) -> bool:
    return any(
        key == NO_CUSTOMERS_KEY or key.startswith("customer/") for key in items
    )


def limits_item(limits: Limits) -> tuple[str, str]:
    """Return the key and canonical text of the limits for callers."""
    return LIMITS_KEY, _encoder.encode(limits).decode()
