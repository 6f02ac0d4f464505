"""The data classes of an accepted configuration."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request that a service takes.

    ``weight`` ranks kinds against each other under overload: the least is
    shed first.  ``idempotent`` says that running a request twice does no
    harm.  ``timeout_ms`` bounds the whole request.
    """

    weight: int
    idempotent: bool
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service, owned by one team, with its limits for each upstream."""

    name: str
    team: str
    slots: int
    connections: int
    queue_length: int
    open_to: tuple[str, ...]
    kinds: dict[str, Kind]

    def admits(self, team: str) -> bool:
        """Tell whether the team's routes may lead to this service."""
        return team == self.team or "*" in self.open_to or team in self.open_to


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route from a path prefix and methods to a kind of a service."""

    name: str
    team: str
    path: str
    methods: tuple[str, ...]
    service: str
    kind: str


Items: typing.TypeAlias = collections.abc.Mapping[str, str]
"""A configuration as canonical JSON texts by key, ``service/NAME`` or
``route/NAME``.  Deltas and digests work on this form."""

_service_decoder = msgspec.json.Decoder(Service)
_route_decoder = msgspec.json.Decoder(Route)
_encoder = msgspec.json.Encoder(order="sorted")


class Config:
    """One configuration, ready to be looked up; it never changes.

    ``match`` takes the route with the longest path prefix that ends at a
    path separator.

    >>> config = Config(service_item(service), ...)
    >>> config.match("POST", "/reservations/17").kind
    'reserve'
    """

    def __init__(self, items: Items) -> None:
        self.items = dict(items)
        self.services: dict[str, Service] = {}
        self.routes: dict[str, Route] = {}
        for key, text in self.items.items():
            if key.startswith("service/"):
                service = _service_decoder.decode(text)
                self.services[service.name] = service
            else:
                route = _route_decoder.decode(text)
                self.routes[route.name] = route
        self._by_match = {
            (method, route.path): route
            for route in self.routes.values()
            for method in route.methods
        }

    def match(self, method: str, path: str) -> Route | None:
        """Return the route for the method and path, or None."""
        prefix = path.rstrip("/") or "/"
        while True:
            route = self._by_match.get((method, prefix))
            if route is not None:
                return route
            if prefix == "/":
                return None
            prefix = prefix.rsplit("/", 1)[0] or "/"

    def kind_of(self, route: Route) -> Kind:
        """Return the kind that the route leads to."""
        return self.services[route.service].kinds[route.kind]

    def dangling(self) -> list[str]:
        """Return the names of routes whose service or kind is missing."""
        return [
            route.name
            for route in self.routes.values()
            if route.service not in self.services
            or route.kind not in self.services[route.service].kinds
        ]


def service_item(service: Service) -> tuple[str, str]:
    """Return the key and canonical text of a service."""
    return f"service/{service.name}", _encoder.encode(service).decode()


def route_item(route: Route) -> tuple[str, str]:
    """Return the key and canonical text of a route."""
    return f"route/{route.name}", _encoder.encode(route).decode()
