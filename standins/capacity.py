"""Generates the tables and plots of the capacity page from the record."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import statistics
import typing

import msgspec

from standins import mesh
from standins import records

RECORD: typing.Final = mesh.ROOT / "docs" / "capacity" / "record.jsonl"

TARGETS: typing.Final = 5_700
SERVICES: typing.Final = 160
DOMAINS: typing.Final = 16
REGIONS: typing.Final = 5
CHANGES_PER_DAY: typing.Final = 6_900
DAY_S: typing.Final = 86_400
CALLS_PER_S: typing.Final = 330_000
RESTARTS_PER_DAY: typing.Final = 460
UPDATES_PER_RESTART: typing.Final = 4
LINK_BYTES_PER_S: typing.Final = 30_000_000 / 8


@dataclasses.dataclass(frozen=True)
class Record:
    """The figures of a record, and the commits they were measured at.

    In the file, a line with the commit precedes the figures of the commit.
    """

    commit: str
    figures: collections.abc.Sequence[records.Figure]

    def series(self, figure: str, note: str) -> list[tuple[float, float]]:
        """Return the sizes and values of a figure, in the order of the sizes.

        Figures of the second deployment are left out.
        """
        return sorted(
            (float(f.daemons), f.value)
            for f in self.figures
            if f.figure == figure
            and f.note == note
            and f.deployment != "aspen-coulee"
        )

    def value_at(self, figure: str, note: str, daemons: int = 0) -> float:
        """Return the value of a figure at a size, by default the largest."""
        points = self.series(figure, note)
        for size, value in points:
            if size == daemons:
                return value
        return points[-1][1]


@dataclasses.dataclass(frozen=True)
class Fit:
    """A linear fit of a series; ``spread`` is its largest residual."""

    slope: float
    constant: float
    spread: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.constant + self.slope * size


def read(path: pathlib.Path = RECORD) -> Record:
    """Read a record file."""
    decoder = msgspec.json.Decoder(records.Figure)
    commits = []
    figures = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith('{"commit"'):
            commits.append(f"`{msgspec.json.decode(line)['commit']}`")
            continue
        figures.append(decoder.decode(line))
    return Record(" and ".join(commits), figures)


def fit(series: collections.abc.Sequence[tuple[float, float]]) -> Fit:
    """Fit a line by least squares; one point gives a constant."""
    xs, ys = zip(*series, strict=True)
    if len(series) < 2:
        return Fit(0.0, ys[0], 0.0)
    slope, constant = statistics.linear_regression(xs, ys)
    spread = max(abs(y - (constant + slope * x)) for x, y in series)
    return Fit(slope, constant, spread)


def tables() -> list[str]:
    """Return the generated part of the page."""
    record = read()
    return [
        f"All figures are from the record of {record.commit}, "
        "`docs/capacity/record.jsonl`, one run of each part on one shared "
        "machine: the control plane at the later commit.",
        "",
        *_goals_table(record),
        "",
        *_slopes_table(record),
        "",
        *_roles_table(record),
        "",
        *_store_table(record),
        "",
        *_links_table(record),
        "",
        *_limits_table(record),
        "",
        *_service_table(record),
    ]


def _goals_table(record: Record) -> collections.abc.Iterator[str]:
    yield "## The letter's targets"
    yield ""
    yield "| target | measured | where | reached |"
    yield "| --- | --- | --- | --- |"
    view_mb = record.value_at("view_mb", "upstreams", TARGETS)
    config_mb = record.value_at("config_mb", "services", SERVICES)
    rss_mb = record.value_at("rss_mb", "tree", 13)
    added = record.value_at(
        "added_latency_p99_ms", _latency_note(250, "two hops")
    )
    added_slow = record.value_at(
        "added_latency_p99_ms", _latency_note(60, "two hops")
    )
    convergence_line = fit(record.series("convergence_p99_ms", "tree"))
    largest_point = record.series("convergence_p99_ms", "tree")[-1]
    cpu = record.value_at("control_cpu_percent", "tree", 13)
    busiest = record.value_at("control_cpu_percent_busiest", "tree", 13)
    churn = record.value_at(
        "control_bytes_per_daemon_per_s_churn", "tree", 104
    )
    rows = [
        (
            "0.94 ms added for 99 in 100",
            f"{added:.2f} ms at 250 calls/s, {added_slow:.2f} ms at 60",
            "two hops, decision log on",
            max(added, added_slow) <= 0.94,
        ),
        (
            "in force everywhere within 13 s",
            f"{largest_point[1]:.0f} ms for 99 in 100 at "
            f"{largest_point[0]:.0f} daemons; "
            f"the line gives {convergence_line.at(TARGETS) / 1000:.1f} s",
            "one machine carries all daemons, so the line is its processor's",
            None,
        ),
        (
            "32 MB a daemon",
            f"{rss_mb:.1f} MB, and {view_mb + config_mb:.1f} MB more for the "
            "view and the configuration at full size",
            "13 daemons; view and configuration alone",
            rss_mb + view_mb + config_mb <= 32,
        ),
        (
            "1.5% of a core for control",
            f"{cpu:.2f}% median, {busiest:.2f}% busiest",
            "13 daemons, calm",
            busiest <= 1.5,
        ),
        (
            "9 KB/s a daemon for control",
            f"{churn:.0f} B/s of message bodies",
            "104 daemons, a change about every half second",
            churn <= 9_000,
        ),
    ]
    for goal, value, condition, reached in rows:
        verdict = {True: "yes", False: "no", None: "not proved"}[reached]
        yield f"| {goal} | {value} | {condition} | {verdict} |"


def _latency_note(rate: int, hops: str) -> str:
    return f"{rate} calls/s, {hops}, decision log on"


SLOPES: typing.Final = (
    ("cold_start_ms", "tree", "daemons", TARGETS),
    ("convergence_p50_ms", "tree", "daemons", TARGETS),
    ("convergence_p99_ms", "tree", "daemons", TARGETS),
    ("store_calls_per_s", "tree", "daemons", TARGETS),
    ("store_calls_per_change", "tree", "daemons", TARGETS),
    ("control_bytes_per_daemon_per_s", "tree", "daemons", TARGETS),
    ("control_bytes_per_daemon_per_s_churn", "tree", "daemons", TARGETS),
    ("control_bytes_per_change_cross_region", "tree", "daemons", TARGETS),
    ("control_cpu_percent", "tree", "daemons", TARGETS),
    ("rss_mb", "tree", "daemons", TARGETS),
    ("recovery_ms_relay", "tree", "daemons", TARGETS),
    ("recovery_ms_merger", "tree", "daemons", TARGETS),
    ("recovery_ms_outage", "tree", "daemons", TARGETS),
    ("merge_ms", "services", "services", SERVICES),
    ("compile_ms", "services", "services", SERVICES),
    ("digest_ms", "services", "services", SERVICES),
    ("diff_ms", "services", "services", SERVICES),
    ("patch_ms", "services", "services", SERVICES),
    ("pack_ms", "services", "services", SERVICES),
    ("snapshot_bytes", "services", "services", SERVICES),
    ("delta_bytes", "services", "services", SERVICES),
    ("config_mb", "services", "services", SERVICES),
    ("pick_us", "upstreams", "upstreams", TARGETS),
    ("learn_us", "upstreams", "upstreams", TARGETS),
    ("first_view_ms", "upstreams", "upstreams", TARGETS),
    ("view_bytes", "upstreams", "upstreams", TARGETS),
    ("view_mb", "upstreams", "upstreams", TARGETS),
    ("domain_object_bytes", "upstreams", "upstreams", TARGETS),
)


def _slopes_table(record: Record) -> collections.abc.Iterator[str]:
    yield "## Slopes"
    yield ""
    yield (
        "A line through all sizes, value = constant + slope × size; spread is "
        "the largest distance of a measured value from it."
    )
    yield ""
    yield "| figure | sizes | values | slope | constant | spread | at |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for figure, note, unit, size in SLOPES:
        series = record.series(figure, note)
        line = fit(series)
        sizes = ", ".join(f"{x:.0f}" for x, _ in series)
        values = ", ".join(f"{y:.4g}" for _, y in series)
        yield (
            f"| {figure} | {sizes} {unit} | {values} | {line.slope:.3g} "
            f"| {line.constant:.3g} | {line.spread:.3g} "
            f"| {size}: {_value_or_no_growth(line, series, size)} |"
        )


def _value_or_no_growth(
    line: Fit, series: collections.abc.Sequence[tuple[float, float]], size: int
) -> str:
    """Return the value of the line, if the figure grows beyond its spread."""
    size_range = series[-1][0] - series[0][0]
    if line.slope * size_range <= line.spread:
        return "no growth beyond the spread"
    return f"{line.at(size):.4g}"


def _roles_table(record: Record) -> collections.abc.Iterator[str]:
    view_mb = record.value_at("view_mb", "upstreams", TARGETS)
    config_mb = record.value_at("config_mb", "services", SERVICES)
    view_bytes = record.value_at("view_bytes", "upstreams", TARGETS)
    pick_us = record.value_at("pick_us", "upstreams", TARGETS)
    domain_bytes = record.value_at("domain_object_bytes", "upstreams", TARGETS)
    merge_ms = record.value_at("merge_ms", "services", SERVICES)
    snapshot = record.value_at("snapshot_bytes", "services", SERVICES)
    change_bytes = record.value_at(
        "control_bytes_per_change_cross_region", "tree", 13
    )
    calls_per_daemon = CALLS_PER_S / TARGETS
    updates_per_s = RESTARTS_PER_DAY * UPDATES_PER_RESTART / DAY_S
    changes_per_s = CHANGES_PER_DAY / DAY_S
    yield "## Roles at the letter's size"
    yield ""
    yield "| role | state | messages | time | mechanism |"
    yield "| --- | --- | --- | --- | --- |"
    rows = [
        (
            "daemon as entry",
            f"configuration {config_mb:.2f} MB, view {view_mb:.2f} MB",
            f"{calls_per_daemon:.0f} calls/s",
            f"{pick_us:.0f} us a pick",
            "two choices among at most eight of each distance",
        ),
        (
            "daemon as guard",
            "slots and queue of one upstream",
            f"{calls_per_daemon:.0f} calls/s; claims apart",
            "see added latency",
            "exact count, short queue",
        ),
        (
            "daemon as member",
            f"view {view_bytes / 1e6:.2f} MB once as JSON",
            f"0.67 heartbeats/s, {updates_per_s:.3f} words on members/s, "
            f"{changes_per_s:.3f} changes/s",
            "see processor time above",
            "long poll of 1.5 s to one parent",
        ),
        (
            "relay or inner node of a domain",
            "as a member",
            "at most 16 children, 10.7 heartbeats/s",
            "see processor time above",
            "tree of fan-out 16, three steps for 357 daemons",
        ),
        (
            "relay as publisher",
            f"one object of {domain_bytes / 1e3:.0f} KB",
            f"{updates_per_s / DOMAINS:.4f} writes/s and 1 renewal/s",
            "",
            "one object a domain",
        ),
        (
            "leader, over the region link",
            "as a member",
            f"{change_bytes * changes_per_s:.0f} B/s for changes, "
            f"{domain_bytes * updates_per_s:.0f} B/s for members",
            "",
            "one watch of each kind a region; compressed deltas",
        ),
        (
            "merger",
            f"folder and accepted version, snapshot {snapshot / 1e3:.0f} KB",
            f"{changes_per_s:.3f} merges/s",
            f"{merge_ms:.0f} ms a merge",
            "lease; one conditional update",
        ),
    ]
    for row in rows:
        yield f"| {' | '.join(row)} |"


def _store_table(record: Record) -> collections.abc.Iterator[str]:
    calm_calls_per_s = record.value_at("store_calls_per_s", "tree", 13)
    per_change = record.value_at("store_calls_per_change", "tree", 13)
    calls_after_outage = record.value_at("store_calls_after_outage", "tree")
    measured_leases, expected_leases = 4 + 2 + 1, DOMAINS + REGIONS + 1
    yield "## The store"
    yield ""
    yield "| load | calls | how it is reckoned |"
    yield "| --- | --- | --- |"
    rows = [
        (
            "calm",
            f"{calm_calls_per_s * expected_leases / measured_leases:.0f}/s",
            f"{calm_calls_per_s:.1f}/s measured for {measured_leases} leases, "
            f"for {expected_leases}; daemons don't count",
        ),
        (
            "changes",
            f"{per_change * CHANGES_PER_DAY / DAY_S:.1f}/s",
            f"{per_change:.0f} calls a change measured, the calm ones of its "
            "time among them",
        ),
        (
            "after an outage of 10 s",
            f"{calls_after_outage:.0f} until the next change was in force",
            "measured at the largest size",
        ),
        (
            "all daemons restart at once",
            f"{TARGETS}/`start_spread_ms`",
            "one read of a lease each, spread; see the last table",
        ),
        (
            "baseline: every daemon watches",
            f"{2 * TARGETS} watches waiting",
            "two for each daemon; each counts as a call",
        ),
    ]
    for row in rows:
        yield f"| {' | '.join(row)} |"


def _links_table(record: Record) -> collections.abc.Iterator[str]:
    domain_bytes = record.value_at("domain_object_bytes", "upstreams", TARGETS)
    change_bytes = record.value_at(
        "control_bytes_per_change_cross_region", "tree", 13
    )
    calm = record.value_at("cross_region_bytes_calm", "tree", 13)
    snapshot = record.value_at("snapshot_bytes", "services", SERVICES)
    changes = change_bytes * CHANGES_PER_DAY / DAY_S
    updates = domain_bytes * RESTARTS_PER_DAY * UPDATES_PER_RESTART / DAY_S
    yield "## A region's link to the store"
    yield ""
    yield "| traffic | B/s | mechanism |"
    yield "| --- | --- | --- |"
    rows = [
        ("changes", changes, "one compressed delta a region"),
        (
            "members",
            updates,
            "one object of a domain for each word; deltas of it are the next "
            "thing to build",
        ),
        (
            "leases and status, calm",
            calm,
            "measured for one region of two domains",
        ),
        (
            "all three, of 30 Mbit/s",
            changes + updates + calm,
            f"{100 * (changes + updates + calm) / LINK_BYTES_PER_S:.3f}% "
            "of the link",
        ),
    ]
    for name, value, mechanism in rows:
        yield f"| {name} | {value:.0f} | {mechanism} |"
    resync_bytes = DOMAINS * domain_bytes + snapshot
    yield (
        f"| healed after an hour | {resync_bytes:.0f} B once "
        "| list of all domains "
        "and one snapshot |"
    )


def _limits_table(record: Record) -> collections.abc.Iterator[str]:
    added = record.value_at(
        "added_latency_p50_ms", _latency_note(250, "two hops")
    )
    merger_recovery_ms = record.value_at("recovery_ms_merger", "tree", 104)
    relay_recovery_ms = record.value_at("recovery_ms_relay", "tree", 104)
    yield "## What breaks first, and what failures cost"
    yield ""
    yield "| what | at which size | mechanism, or the way there |"
    yield "| --- | --- | --- |"
    rows = [
        (
            "claims of idempotency keys",
            "two writes each: about 100 a second fill 200 writes/s",
            "the store; the way: memory of two guards by the key's hash "
            "(design note 4)",
        ),
        (
            "a call 28 deep",
            f"{28 * added:.0f} ms added in the middle, at two hops each",
            "deadlines go all the way down; only the outermost entry tries "
            "again after an unknown outcome, so tries don't multiply",
        ),
        (
            "herd restart of the fleet",
            f"{TARGETS / 10:.0f} reads/s with `start_spread_ms = 10000`",
            "spread of the first read of a lease and of each one after it",
        ),
        (
            "death of a relay",
            f"{relay_recovery_ms:.0f} ms until the next change was in force, "
            "104 daemons",
            "children turn to their parent's parent; three contend",
        ),
        (
            "death of the merger",
            f"{merger_recovery_ms:.0f} ms until the next change was in force, "
            "104 daemons",
            "its lease lapses after 4 s; other leaders contend",
        ),
        (
            "a rack, a switch, a failure domain",
            "no more store calls than one lease's",
            "parents judge; a view that vanishes at once is kept",
        ),
        (
            "two regions lose each other for an hour",
            "nothing while both reach the store",
            "regions meet at the store only; one that loses the store serves "
            "with its last version",
        ),
        (
            "the view in every daemon",
            "grows with the fleet, see `view_mb`",
            "the way: only services that the daemon's routes lead to",
        ),
    ]
    for row in rows:
        yield f"| {' | '.join(row)} |"


def _service_table(record: Record) -> collections.abc.Iterator[str]:
    yield "## Weighted service, against baselines"
    yield ""
    yield "| load | way | weighted service | late | doubled, cut, untrue |"
    yield "| --- | --- | --- | --- | --- |"
    weighted = [f for f in record.figures if f.figure == "service_weighted"]
    values = {(f.figure, f.note): f.value for f in record.figures}
    for figure in sorted(
        weighted, key=lambda f: _configuration_and_load(f.note)[::-1]
    ):
        configuration, load = _configuration_and_load(figure.note)
        late = values["late_share", figure.note]
        violations = [
            int(values[name, figure.note])
            for name in ("doubled", "cut", "untrue_refusals")
        ]
        yield (
            f"| {load} | {configuration} | {figure.value:.3f} | {late:.3f} "
            f"| {violations[0]}, {violations[1]}, {violations[2]} |"
        )


def _configuration_and_load(note: str) -> tuple[str, str]:
    configuration, _, load = note.rpartition(", ")
    if load.startswith("one "):
        configuration, _, share = configuration.rpartition(", ")
        load = f"{share}, {load}"
    return configuration, load


PLOTS: typing.Final = {
    "convergence.svg": ("convergence_p99_ms", "ms"),
    "bytes.svg": ("control_bytes_per_daemon_per_s", "B/s a daemon"),
    "store-calls.svg": ("store_calls_per_s", "calls/s"),
}


def plots() -> dict[str, str]:
    """Return the plots by file name."""
    record = read()
    return {
        name: _plot(figure, unit, record)
        for name, (figure, unit) in PLOTS.items()
    }


def _plot(figure: str, unit: str, record: Record) -> str:
    series_by_distribution = {
        distribution: record.series(figure, distribution)
        for distribution in ("tree", "direct")
    }
    points = [
        point for series in series_by_distribution.values() for point in series
    ]
    widest = max(x for x, _ in points)
    highest = max(y for _, y in points) or 1.0
    parts = [
        '<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 420 260" '
        'font-family="sans-serif" font-size="11">',
        '<path d="M50 20V220H400" fill="none" stroke="black"/>',
        f'<text x="50" y="14">{figure}, {unit}</text>',
        f'<text x="400" y="238" text-anchor="end">{widest:.0f} daemons</text>',
        f'<text x="46" y="28" text-anchor="end">{highest:.0f}</text>',
        '<text x="46" y="222" text-anchor="end">0</text>',
    ]
    for colour, (distribution, series) in zip(
        ("#1f5fa8", "#b3541e"), series_by_distribution.items()
    ):
        positions = [
            (50 + 350 * x / widest, 220 - 200 * y / highest) for x, y in series
        ]
        line = " ".join(f"{x:.1f},{y:.1f}" for x, y in positions)
        parts.append(
            f'<polyline points="{line}" fill="none" stroke="{colour}"/>'
        )
        x, y = positions[-1]
        parts.append(
            f'<text x="{x - 40:.1f}" y="{y - 6:.1f}">{distribution}</text>'
        )
    return "\n".join([*parts, "</svg>", ""])
