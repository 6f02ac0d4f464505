"""Tests of the platform adapter, with examples and with arbitrary input."""

from __future__ import annotations

import pathlib
import re

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest
import urllib3

from chiveroad import config
from chiveroad import daemon
from chiveroad import errors
from chiveroad import platform
from chiveroad.presence import _handler
from chiveroad import serving
from chiveroad import settings
from chiveroad import wire
from standins import mesh
from tests import fakes

ROOT = pathlib.Path(__file__).parent.parent
HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "born": 1_700_000_000_123,
    "info": {"service": "s1", "version": "v1", "zone": "z", "slots": 18},
    "status": {"state": "ready", "seq": 4, "cold_remaining_s": 1.5},
}
HEARTBEAT_URI = "/rpc?call=instances.heartbeat&of=i-7"
ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path_prefix": "/x/y/",
    "kind": "idempotent",
    "timeout_s": 1.5,
    "target_latency_s": 0.8,
    "priority": 1,
    "service": "s1",
    "max_attempts": 2,
}


class Request:
    """The part of a request that the adapter uses."""

    method = "POST"

    def __init__(self, uri: str, body: bytes) -> None:
        self.uri = uri
        self.path = uri.partition("?")[0]
        self._body = body

    def read_body(self, limit: int) -> bytes:
        """Return the body."""
        return self._body


def decode_heartbeat(uri: str, body: object) -> wire.Heartbeat | wire.Leave:
    """Decode a heartbeat with the adapter."""
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    request: serving.Request = Request(uri, raw)  # type: ignore[assignment]
    return platform.Protocol().read_heartbeat(request)


def test_heartbeat_and_leave_are_decoded() -> None:
    assert decode_heartbeat(HEARTBEAT_URI, HEARTBEAT) == wire.Heartbeat(
        "i-7",
        "s1",
        "10.128.0.9:8080",
        wire.TargetState.READY,
        4,
        1_700_000_000_123,
        18,
        1_500,
        "v1",
    )
    leave = HEARTBEAT_URI.replace("heartbeat", "deregister")
    assert decode_heartbeat(leave, b"") == wire.Leave("i-7")


ROUTES = st.dictionaries(
    st.sampled_from(["r-1", "r-2", "r-3"]),
    st.tuples(
        st.sampled_from(["/x/", "/x/y/", "/z/"]),
        st.sampled_from(["s1", "s2"]),
        st.sampled_from([0.5, 1.5]),
        st.booleans(),
    ),
)


def _specification(
    number: int, routes: dict[str, tuple[str, str, float, bool]]
) -> msgspec.Raw:
    written = []
    for name, (prefix, service, timeout_s, split) in routes.items():
        route = {**ROUTE, "name": name, "path_prefix": prefix}
        route |= {"service": service, "timeout_s": timeout_s}
        if split:
            del route["service"]
            route["traffic_split"] = [
                {"service": each, "weight": 1 + (each == service)}
                for each in ("s1", "s2")
            ]
        written.append(route)
    services = [{"name": "s1"}, {"name": "s2"}]
    body = {"version": f"r{number}", "routes": written, "services": services}
    return msgspec.Raw(msgspec.json.encode(body))


# Guards against a version that is in force, but leads requests as an earlier
# one does, as its routes were taken from there.
@hypothesis.given(st.lists(ROUTES, min_size=2, max_size=6))
def test_series_of_versions_leads_requests_as_each_version_alone(
    series: list[dict[str, tuple[str, str, float, bool]]],
) -> None:
    protocol = platform.Protocol()
    watching = child = config.Config({})
    for number, routes in enumerate(series, 1):
        specification = _specification(number, routes)
        read = protocol.read_version(specification)
        alone = config.Config(
            platform.Protocol().read_version(specification).items
        )
        watching = config.Config(read.items, previous=watching)
        delta = config.unpack_delta(
            config.pack_delta(config.diff(child.items, read.items))
        )
        child = config.Config(config.patch(child.items, delta), previous=child)
        for path in ("/x/1", "/x/y/1", "/z/", "/"):
            expected = alone.match("GET", path, "a.example")
            for compiled in (watching, child):
                found = compiled.match("GET", path, "a.example")
                assert found == expected
                if found is not None:
                    assert compiled.kind_of(found) == alone.kind_of(found)


# Guards against a heartbeat that is refused for a version of no use.
@pytest.mark.parametrize(
    ("named", "software_version"),
    [
        ("v2", "v2"),
        ("", ""),
        ("x" * 65, ""),
        ("v\n", ""),
        (7, ""),
        (None, ""),
        ({"major": 2}, ""),
    ],
)
def test_software_version_is_read_if_it_is_usable(
    named: object, software_version: str
) -> None:
    info = {"service": "s1", "slots": 18, "version": named}
    heartbeat = decode_heartbeat(HEARTBEAT_URI, HEARTBEAT | {"info": info})
    assert isinstance(heartbeat, wire.Heartbeat)
    assert heartbeat.software_version == software_version


@pytest.mark.parametrize(
    ("uri", "body", "error"),
    [
        (HEARTBEAT_URI, b"\xff\x00", errors.BadRequest),
        (HEARTBEAT_URI, {**HEARTBEAT, "address": 7}, errors.BadRequest),
        (
            HEARTBEAT_URI,
            {**HEARTBEAT, "status": {"state": "up"}},
            errors.BadRequest,
        ),
        (HEARTBEAT_URI, {**HEARTBEAT, "info": {}}, errors.BadRequest),
        ("/rpc?call=instances.heartbeat", HEARTBEAT, errors.BadRequest),
        ("/rpc?call=instances.other&of=i-7", HEARTBEAT, errors.NoRoute),
        ("/", HEARTBEAT, errors.NoRoute),
    ],
)
def test_invalid_heartbeat_is_refused(
    uri: str, body: object, error: type[errors.Refusal]
) -> None:
    with pytest.raises(error):
        decode_heartbeat(uri, body)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@hypothesis.given(
    st.binary(max_size=200)
    | json_values.map(msgspec.json.encode)
    | st.fixed_dictionaries(
        {}, optional={name: json_values for name in HEARTBEAT}
    ).map(msgspec.json.encode)
)
def test_arbitrary_heartbeat_is_decoded_or_refused(body: bytes) -> None:
    try:
        decode_heartbeat(HEARTBEAT_URI, body)
    except errors.BadRequest:
        return


@hypothesis.given(
    st.binary(max_size=200) | json_values.map(msgspec.json.encode)
)
def test_arbitrary_configuration_is_decoded_or_rejected(spec: bytes) -> None:
    try:
        platform.Protocol().read_version(msgspec.Raw(spec))
    except errors.BadMessage:
        return


@hypothesis.given(
    st.integers(100, 599), st.dictionaries(st.text(), st.text(max_size=40))
)
def test_arbitrary_answer_headers_are_decoded(
    status: int, headers: dict[str, str]
) -> None:
    terms = platform.Protocol().read_answer(
        status, lambda name, default: headers.get(name, default)
    )
    assert terms.ran or status == 421 or "X-Not-Executed" in headers


@pytest.mark.parametrize(
    ("status", "headers", "ran", "genuine"),
    [
        (200, {"X-Request-Id": "q", "X-Server-Stamp": "s"}, True, True),
        (200, {"X-Request-Id": "q"}, True, False),
        (200, {"X-Server-Stamp": "s"}, True, False),
        (500, {"X-Request-Id": "q", "X-Server-Stamp": "s"}, True, True),
        (500, {}, True, True),
        (503, {"X-Not-Executed": "1"}, False, True),
        (421, {"X-Instance-Id": "i-8"}, False, True),
        (503, {}, True, True),
    ],
)
def test_answer_headers_give_ran_and_genuine(
    status: int, headers: dict[str, str], ran: bool, genuine: bool
) -> None:
    terms = platform.Protocol().read_answer(
        status, lambda name, default: headers.get(name, default)
    )
    assert (terms.ran, terms.genuine) == (ran, genuine)


@pytest.mark.parametrize(
    ("text", "per_s"),
    [
        ("", wire.UNLIMITED),
        ("47.2", 47.2),
        ("3", 3.0),
        ("0", 0.0),
        ("-1", None),
        ("1e9", None),
        ("nan", None),
        ("9" * 400, None),
        ("47,2", None),
    ],
)
def test_rate_limit_of_an_answer_is_decoded(
    text: str, per_s: float | None
) -> None:
    headers = {"Server-Limit": text, "Server-Leaving": "1"}
    terms = platform.Protocol().read_answer(
        200, lambda name, default: headers.get(name, default)
    )
    assert (terms.rate_limit_per_s, terms.leaving) == (per_s, True)


def test_configuration_is_translated() -> None:
    split = {
        **ROUTE,
        "name": "r-2",
        "path_prefix": "/x/",
        "kind": "non_idempotent",
        "service": None,
        "traffic_split": [
            {"service": "s2", "weight": 10},
            {"service": "s1", "weight": 90},
        ],
    }
    services = [
        {"name": name, "max_connections": 120} for name in ("s1", "s2")
    ]
    spec = {"version": "r12", "routes": [ROUTE, split], "services": services}
    found = platform.Protocol().read_version(
        msgspec.Raw(msgspec.json.encode(spec))
    )
    assert found.number == 12
    translated_config = config.Config(found.items)
    assert not translated_config.dangling()
    route = translated_config.match("DELETE", "/x/y/z", "a.example")
    assert route is not None and route.name == "r-1"
    assert translated_config.kind_of(route) == config.Kind(
        99, True, 1_500, 800, 2
    )
    other = translated_config.match("GET", "/x/q", "a.example")
    assert other is not None and other.services() == ("s1", "s2")
    assert not translated_config.kind_of(other).idempotent
    assert translated_config.match("GET", "/x/y", "a.example") == other
    assert translated_config.match("GET", "/x/y/z", "b.example") is None


def test_limits_of_a_configuration_are_translated() -> None:
    spec = {
        "version": "r1",
        "routes": [],
        "services": [],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }
    found = platform.Protocol().read_version(
        msgspec.Raw(msgspec.json.encode(spec))
    )
    translated_config = config.Config(found.items)
    assert translated_config.limits == config.Limits(
        16_384, 67_108_864, 3_000, 15_000
    )
    assert config.Config({}).limits == config.Limits()


def _fill_template(text: str, values: dict[str, str]) -> str:
    """Fill in a template in the same way as the platform."""

    def section(match: re.Match[str]) -> str:
        value = values.get(match[1])
        return match[2].replace("{{.}}", value) if value else ""

    text = re.sub(r"{{#([a-z0-9_.]+)}}(.*?){{/\1}}", section, text)
    return re.sub(r"{{([a-z0-9_.]+)}}", lambda m: values[m[1]], text)


def _template_values() -> dict[str, str]:
    """Return a value for each placeholder of the template."""
    values = {
        "node_name": "sidecar-z-1",
        "service": "s1",
        "zone": "z",
        "region": "r",
        "ip": "10.0.0.1",
        "internal_port_range.0": "7000",
        "app_address": "10.0.0.1:9000",
        "platform.address": "10.0.0.9:1",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.retry_window_s": "10",
        "bounds.budget_slack": "60",
        "bounds.config_apply_s": "3",
        "bounds.grace_period_s": "6",
        "limits.cpu_share": "0.43",
        "limits.cores": "1",
        "limits.link_mbps": "7.0",
        "limits.memory_mb": "200",
        "limits.file_descriptors": "4100",
        "bounds.revoke_s": "4",
        "bounds.revoke_fail_closed": "true",
        "bounds.quota_window_s": "6",
        "bounds.quota_overage": "0.2",
        "bounds.quota_slack": "30",
    }
    for port, name in enumerate(("inbound", "outbound", "ready", "control")):
        values[f"listen_addresses.{name}"] = f"10.0.0.1:{port + 1}"
    return values


def test_settings_template_gives_valid_settings() -> None:
    """Each placeholder is at a place where its value is valid.

    The optional placeholders may be left empty.
    """
    text = (ROOT / "deploy" / "settings.toml").read_text()
    values = _template_values()
    found = settings.parse(_fill_template(text, values))
    assert found.control.source == "accepted"
    assert found.control.apply_within_s == 3.0
    assert found.capacity.percent == 35
    optional = re.findall(r"{{#([a-z0-9_.]+)}}", text)
    assert len(optional) == 13
    assert found.customers == settings.Customers(
        True, 4.0, 6.0, 0.2, 30.0, record_keys=True
    )
    assert found.capacity.memory_mb == 200
    assert found.capacity.file_descriptors == 4100
    for name in set(optional):
        del values[name]
    without_optional = settings.parse(_fill_template(text, values))
    assert without_optional.control == settings.Control(source="accepted")
    assert without_optional.capacity == settings.Capacity()
    assert without_optional.customers == settings.Customers()
    assert without_optional.traffic.kill_after_s is None
    assert found.retries.ratio == 0.2


# Guards against requests that a planned stop breaks off while the platform
# leaves the process more time.  Answers that come before the last sixth of
# that time must be passed on.
@pytest.mark.parametrize("grace_s", [4, 6, 10, 30, 120])
def test_planned_stop_uses_the_time_until_the_platform_kills(
    grace_s: int,
) -> None:
    text = (ROOT / "deploy" / "settings.toml").read_text()
    values = {**_template_values(), "bounds.grace_period_s": f"{grace_s}"}
    found = settings.parse(_fill_template(text, values)).traffic
    last_answer_s = found.stop_limit_s - daemon.FINAL_ANSWERS_S
    assert 5 / 6 * grace_s <= last_answer_s
    assert found.stop_limit_s < grace_s


def test_retry_time_for_an_unrecorded_leave_keeps_fractions() -> None:
    """The refusal of an unrecorded leave states a retry time below 1 s.

    Rounded up to whole seconds, the 0.2 s became 1 s, and the target repeated
    its leave too late.
    """
    ports = mesh.Ports()
    entry, guard, control, heartbeat, target = (ports.take() for _ in range(5))
    options = msgspec.structs.replace(
        fakes.options(entry=entry, guard=guard, control=control),
        listen=settings.Listen(entry, guard, control, heartbeat),
        target=settings.Target(target, heartbeats=True),
        platform=settings.Platform(ports.take(), protocol="platform"),
        control=settings.Control(source="accepted"),
    )
    opened_daemon = daemon.Daemon(options)
    opened_daemon._open_servers()
    try:
        leave = HEARTBEAT_URI.replace("heartbeat", "deregister")
        answer = urllib3.request(
            "POST", f"http://{heartbeat}{leave}", retries=False
        )
    finally:
        serving.stop_all(
            (*opened_daemon._status_servers, *opened_daemon._servers)
        )
    assert answer.status == 503
    retry_s = float(answer.headers["Retry-After"])
    assert retry_s == _handler.RECORD_RETRY_MS / 1000
