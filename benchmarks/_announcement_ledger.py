"""Limits and leavings that targets announce in answers, and checks that they were respected."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

import msgspec

# From the users' rules LIMIT and DRAIN and from the site files (`stabilityWindowMs`, `drainMs`).
STABILITY_WINDOW_S: Final = 3.0
DRAIN_S: Final = 2.0
WINDOW_S: Final = 4.0
ALLOWED_FACTOR: Final = 1.5
ALLOWED_EXTRA: Final = 5.0
RELAYED_BEFORE_S: Final = 0.5

# The VM of a daemon, and the number of its process in the soak.
ProcessId = tuple[str, int]


class AnnouncedLimit(msgspec.Struct, frozen=True):
    """Record a target's limit from a time on, in requests a second; None ends the limit."""

    target: str
    per_s: float | None
    at: float


class RelayedAnnouncement(msgspec.Struct, frozen=True):
    """Record that the daemon of a VM passed on an answer with a target's announcement."""

    target: str
    vm: str
    process: int
    at: float


class Arrival(msgspec.Struct, frozen=True):
    """Record that a request, sent to the daemon of a VM, reached a target."""

    target: str
    request: str
    vm: str
    process: int
    sent_at: float
    at: float


class ExcusedInterval(msgspec.Struct, frozen=True):
    """Record that a VM was frozen or cut off for a time."""

    vm: str
    began_at: float
    ended_at: float


class AnnouncementLedger:
    """Hold targets' announcements, who passed them on, and what arrived; times in seconds."""

    def __init__(self) -> None:
        self.limits: list[AnnouncedLimit] = []
        self.relayed_limits: list[RelayedAnnouncement] = []
        self.relayed_leavings: list[RelayedAnnouncement] = []
        self.arrivals: list[Arrival] = []
        self.excused_intervals: list[ExcusedInterval] = []


def broken_announcements(ledger: AnnouncementLedger) -> list[str]:
    """Return a line for each announcement that wasn't respected."""
    return [*_find_arrivals_over_limit(ledger), *_find_sends_after_leaving(ledger)]


def count_checked_arrivals(ledger: AnnouncementLedger) -> int:
    """Return how many arrivals the check of LIMIT counts."""
    return sum(len(arrivals) for _, arrivals in _checked_intervals(ledger))


class LimitedInterval(msgspec.Struct, frozen=True):
    """Hold an interval in which a target always has a limit, with its limits in order."""

    target: str
    since: float
    until: float
    limits: tuple[AnnouncedLimit, ...]


def _checked_intervals(
    ledger: AnnouncementLedger,
) -> Iterator[tuple[LimitedInterval, list[Arrival]]]:
    """Yield each interval with limits and the arrivals that the check of LIMIT counts.

    An arrival counts if its daemon had passed on a limit of the interval at least
    `RELAYED_BEFORE_S` before, with no excused interval since.
    """
    for interval in _limited_intervals(ledger):
        relay_times_by_process = _relay_times_by_process(
            announcement
            for announcement in ledger.relayed_limits
            if announcement.target == interval.target
            and interval.since <= announcement.at <= interval.until
        )
        counted = [
            arrival
            for arrival in ledger.arrivals
            if arrival.target == interval.target
            and interval.since <= arrival.at <= interval.until
            and _was_relayed(
                ledger, relay_times_by_process, arrival, before=arrival.at - RELAYED_BEFORE_S
            )
        ]
        yield interval, sorted(counted, key=lambda arrival: arrival.at)


def _limited_intervals(ledger: AnnouncementLedger) -> Iterator[LimitedInterval]:
    limits_by_target: dict[str, list[AnnouncedLimit]] = defaultdict(list)
    for limit in ledger.limits:
        limits_by_target[limit.target].append(limit)
    for target, limits in limits_by_target.items():
        in_effect: list[AnnouncedLimit] = []
        for limit in [*limits, AnnouncedLimit(target, None, float("inf"))]:
            if limit.per_s is not None:
                in_effect.append(limit)
            elif in_effect:
                yield LimitedInterval(target, in_effect[0].at, limit.at, tuple(in_effect))
                in_effect = []


def _relay_times_by_process(relayed: Iterator[RelayedAnnouncement]) -> dict[ProcessId, list[float]]:
    relay_times_by_process: dict[ProcessId, list[float]] = defaultdict(list)
    for announcement in relayed:
        relay_times_by_process[announcement.vm, announcement.process].append(announcement.at)
    return relay_times_by_process


def _was_relayed(
    ledger: AnnouncementLedger,
    relay_times_by_process: dict[ProcessId, list[float]],
    arrival: Arrival,
    *,
    before: float,
) -> bool:
    """Return whether the daemon had passed an announcement on, with no excused interval since."""
    since = max(
        (
            interval.ended_at
            for interval in ledger.excused_intervals
            if interval.vm == arrival.vm and interval.began_at <= arrival.at
        ),
        default=float("-inf"),
    )
    return any(
        since <= at <= before
        for at in relay_times_by_process.get((arrival.vm, arrival.process), ())
    )


def _find_arrivals_over_limit(ledger: AnnouncementLedger) -> list[str]:
    """Return a line for each interval with a window in which too many requests arrived."""
    lines = []
    for interval, arrivals in _checked_intervals(ledger):
        for index, first in enumerate(arrivals):
            start = first.at
            if start < interval.since + STABILITY_WINDOW_S or start + WINDOW_S > interval.until:
                continue
            arrived = sum(1 for arrival in arrivals[index:] if arrival.at <= start + WINDOW_S)
            allowed = ALLOWED_FACTOR * _requests_allowed_in_window(interval, start) + ALLOWED_EXTRA
            if arrived > allowed:
                lines.append(
                    f"LIMIT {interval.target}: {arrived} requests in {WINDOW_S} s"
                    f" from {start:.2f} s on, {start - interval.since:.2f} s after it announced"
                    f" its limit; allowed {allowed:.1f}"
                )
                break
    return lines


def _requests_allowed_in_window(interval: LimitedInterval, start: float) -> float:
    """Return how many requests a target's limits allow in the window from `start`."""
    ends = [*(limit.at for limit in interval.limits[1:]), float("inf")]
    return sum(
        limit.per_s * max(0.0, min(end, start + WINDOW_S) - max(limit.at, start))
        for limit, end in zip(interval.limits, ends, strict=True)
        if limit.per_s is not None
    )


def _find_sends_after_leaving(ledger: AnnouncementLedger) -> list[str]:
    """Return a line for each request sent `DRAIN_S` after its daemon passed on the leaving."""
    lines = []
    relayed_by_target: dict[str, list[RelayedAnnouncement]] = defaultdict(list)
    for relayed in ledger.relayed_leavings:
        relayed_by_target[relayed.target].append(relayed)
    for arrival in ledger.arrivals:
        relay_times_by_process = _relay_times_by_process(
            iter(relayed_by_target.get(arrival.target, ()))
        )
        if _was_relayed(ledger, relay_times_by_process, arrival, before=arrival.sent_at - DRAIN_S):
            lines.append(
                f"DRAIN {arrival.request}: reached {arrival.target} from {arrival.vm}, which had"
                f" passed on {DRAIN_S} s before it was sent that the target is leaving"
            )
    return lines
