"""Bound, over the whole fleet, the calls that a service gets again.

Load pattern: targets fail or lose answers while demand is high, and every repeat of a request
repeats its calls below. Each daemon spends no more than its own first requests earn, so that the
sum over the fleet keeps the ratio without any exchange.
"""

from collections import deque
from typing import Final

from daisywharf._ids import ServiceName

# Part of its allowance that a daemon spends itself: windows of daemons and fleet don't line up.
SPENT_PART: Final = 0.7


class RepeatBudget:
    """Hold the first requests and the repeats of each service in the last windows."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.firsts_by_service: dict[ServiceName, deque[float]] = {}
        self.repeats_by_service: dict[ServiceName, deque[tuple[float, float]]] = {}


def note_first(budget: RepeatBudget, service: ServiceName, *, now: float) -> None:
    """Count a client's request for a service."""
    firsts = budget.firsts_by_service.setdefault(service, deque())
    firsts.append(now)
    _forget(firsts, now - budget.window_s)


def take_repeat(
    budget: RepeatBudget, visits: dict[ServiceName, float], *, daemons: int, now: float
) -> bool:
    """Take the price of a repeat with its calls below, or nothing where one is too dear."""
    for service, count in visits.items():
        if _spent(budget, service, now=now) + count > _allowed(budget, service, daemons, now):
            return False
    for service, count in visits.items():
        budget.repeats_by_service.setdefault(service, deque()).append((now, count))
    return True


def _allowed(budget: RepeatBudget, service: ServiceName, daemons: int, now: float) -> float:
    firsts = budget.firsts_by_service.get(service, deque())
    _forget(firsts, now - budget.window_s)
    extra = budget.extra / max(1, daemons)
    return SPENT_PART * (budget.ratio * len(firsts) + extra)


def _spent(budget: RepeatBudget, service: ServiceName, *, now: float) -> float:
    repeats = budget.repeats_by_service.get(service)
    if not repeats:
        return 0.0
    while repeats and repeats[0][0] <= now - budget.window_s:
        repeats.popleft()
    return sum(count for _, count in repeats)


def _forget(times: deque[float], before: float) -> None:
    while times and times[0] <= before:
        times.popleft()
