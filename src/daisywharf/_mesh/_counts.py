"""Counters and latency histograms of one daemon, kept as plain numbers until exported."""

from bisect import bisect_left
from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._errors import ErrorKind
from daisywharf._ids import ServiceName, ZoneName
from daisywharf._overload._team_quota import TeamQuotas
from daisywharf._signals._metrics import Metric, Sample, counter, gauge

# Upper bounds of the latency buckets: from a quick read to the longest deadline of a site.
BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
MAX_SERIES: Final = 512
OTHER: Final = "other"
FAILED_OUTCOMES: Final = frozenset(
    {"5xx", ErrorKind.OUTCOME_UNKNOWN.value, ErrorKind.TIMED_OUT.value}
)

OutcomeLabels = tuple[str, str, str]


class RequestStats:
    """Count requests by route, service and outcome, and the latency of served ones by route."""

    def __init__(self) -> None:
        self.count_by_labels: dict[OutcomeLabels, int] = {}
        self.buckets_by_route: dict[str, list[int]] = {}
        self.seconds_by_route: dict[str, float] = {}

    def record_end(self, route: RouteName, service: ServiceName, outcome: str) -> None:
        """Count a request that ended; labels beyond MAX_SERIES count as OTHER."""
        labels = (str(route), str(service), outcome)
        if labels not in self.count_by_labels and len(self.count_by_labels) >= MAX_SERIES:
            labels = (OTHER, OTHER, outcome)
        self.count_by_labels[labels] = self.count_by_labels.get(labels, 0) + 1

    def record_latency(self, route: RouteName, seconds: float) -> None:
        """Add the latency of a served request, in seconds, to its route's histogram."""
        name: str = route
        buckets = self.buckets_by_route.get(name)
        if buckets is None:
            name = name if len(self.buckets_by_route) < MAX_SERIES else OTHER
            buckets = self.buckets_by_route.setdefault(name, [0] * (len(BUCKETS_S) + 1))
        buckets[bisect_left(BUCKETS_S, seconds)] += 1
        self.seconds_by_route[name] = self.seconds_by_route.get(name, 0.0) + seconds


class OutcomeTotals(msgspec.Struct):
    """Count the requests of one route by how they ended."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    given_up: int = 0


def add_outcome(totals: OutcomeTotals, outcome: str, count: int) -> None:
    """Add `count` requests with an outcome of `RequestStats` to the totals."""
    if outcome in FAILED_OUTCOMES:
        totals.failed += count
    elif outcome == ErrorKind.CANCELLED.value:
        totals.given_up += count
    elif outcome.endswith("xx"):
        totals.served += count
    else:
        totals.refused += count


def request_metrics(counts: RequestStats, *, zone: ZoneName) -> list[Metric]:
    """Return the metrics of how requests ended and of the latency of served ones."""
    ended = [
        Sample(count, {"route": route, "service": service, "outcome": outcome, "zone": zone})
        for (route, service, outcome), count in sorted(counts.count_by_labels.items())
    ]
    buckets, sums, totals = [], [], []
    for route, counted in sorted(counts.buckets_by_route.items()):
        cumulative = 0
        for upper_s, count in zip([*map(str, BUCKETS_S), "+Inf"], counted, strict=True):
            cumulative += count
            buckets.append(Sample(cumulative, {"route": route, "zone": zone, "le": upper_s}))
        sums.append(Sample(counts.seconds_by_route[route], {"route": route, "zone": zone}))
        totals.append(Sample(cumulative, {"route": route, "zone": zone}))
    name = "daisywharf_request_seconds"
    return [
        counter("daisywharf_requests_total", "Requests entered, by how they ended.", *ended),
        counter(f"{name}_bucket", "Served requests by latency, up to each end.", *buckets),
        counter(f"{name}_sum", "Seconds that served requests took.", *sums),
        counter(f"{name}_count", "Served requests.", *totals),
    ]


def team_metrics(quotas: TeamQuotas, *, bytes_sent: int) -> list[Metric]:
    """Return the metrics of teams' requests."""
    requested = [
        Sample(usage.requested, {"team": team})
        for team, usage in sorted(quotas.usage.usage_by_team.items())[:MAX_SERIES]
    ]
    refused = [
        Sample(bucket.refused, {"team": team})
        for team, bucket in sorted(quotas.bucket_by_team.items())[:MAX_SERIES]
    ]
    return [
        counter("daisywharf_team_requests_total", "Requests with a team's key.", *requested),
        counter("daisywharf_team_over_quota_total", "Requests over a team's quota.", *refused),
        counter("daisywharf_team_report_bytes_total", "Bytes of reports.", Sample(bytes_sent)),
    ]


def daemon_metrics(
    *,
    running: int,
    waiting: int,
    limit: int,
    level: float,
    started: int,
    limit_per_s: float,
    rejected_share: float,
    version: int,
    members: int,
    links_up: int,
    held_bytes: int,
    store_contact_age_s: float,
    confirmed_age_s: float,
    store_era: int,
) -> list[Metric]:
    """Return the metrics of a daemon's state.

    `limit` is the number of calls that run at once at a full gate, `limit_per_s` the target's rate
    limit in calls per second, `level` the importance from which requests are refused,
    `rejected_share` the share of the started calls that the target rejects as not run.
    """
    gauges = (
        ("daisywharf_gate_running", "Calls that run at the target.", running),
        ("daisywharf_gate_waiting", "Calls that wait for a slot.", waiting),
        ("daisywharf_gate_limit", "Calls that run at once at a full gate.", limit),
        ("daisywharf_gate_level", "Importance from which requests are refused.", level),
        ("daisywharf_gate_limit_per_second", "Calls a second that the target takes.", limit_per_s),
        (
            "daisywharf_gate_rejected_share",
            "Share of the calls sent to the target that it rejects.",
            rejected_share,
        ),
        ("daisywharf_configuration_version", "Version in force.", version),
        ("daisywharf_members", "Daemons known, this one included.", members),
        ("daisywharf_links_up", "Links to other daemons that are up.", links_up),
        ("daisywharf_held_bytes", "Bytes of bodies and answers held for others.", held_bytes),
        (
            "daisywharf_configuration_age_seconds",
            "Time for which the version in force may have been out of date.",
            confirmed_age_s,
        ),
        (
            "daisywharf_store_contact_age_seconds",
            "Time since the store answered.",
            store_contact_age_s,
        ),
        ("daisywharf_store_era", "Highest era of the store known, 0 if none.", store_era),
    )
    calls = counter(
        "daisywharf_gate_started_total", "Calls that were sent to the target.", Sample(started)
    )
    return [calls, *(gauge(name, text, Sample(value)) for name, text, value in gauges)]
