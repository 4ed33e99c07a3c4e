"""Refuse a request at its entry by what every service of its chain can bear.

Load pattern: requests that need a deep service many times over, beside others that end sooner. Only
those whose chain meets the loaded service are refused, the least important first, before any work
is done for them; calls of what was let in go on.
"""

from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._ids import ServiceName
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._pressure import OPEN

# Mean calls of a run, and visits of a service by a request, that are taken for chance below.
MIN_CALLS_PER_RUN: Final = 0.4
MIN_VISITS: Final = 0.3
MAX_DEPTH: Final = 27  # the deepest chain that the users plan for
VISITS_LIFETIME_S: Final = 1.0
NO_SERVICE: Final = ServiceName("")
# A chain that seems to make more calls than this was learned wrongly.
MAX_VISITS: Final = 1_000.0


class Step(msgspec.Struct, frozen=True):
    """Name a route at one of the services that it leads to."""

    route: RouteName
    service: ServiceName


class ChainState:
    """Hold what was learned of calls below, by the reporting VM, and the visits worked out."""

    def __init__(self) -> None:
        self.rows_by_reporter: dict[str, tuple[CallsBelow, ...]] = {}
        self.visits_by_step: dict[Step, dict[ServiceName, float]] = {}
        self.computed_at = float("-inf")


def record_rows(state: ChainState, reporter: str, rows: tuple[CallsBelow, ...]) -> None:
    """Take what one VM learned."""
    if rows:
        state.rows_by_reporter[reporter] = rows


def forget_reporter(state: ChainState, reporter: str) -> None:
    """Drop what one VM learned."""
    state.rows_by_reporter.pop(reporter, None)


def known_rows(state: ChainState) -> list[CallsBelow]:
    """Return the mean calls of runs over all VMs, in a fixed order."""
    rows = [
        CallsBelow(step.service, step.route, callee.service, callee.route, calls)
        for step, calls_by_callee in _mean_rows(state).items()
        for callee, calls in calls_by_callee.items()
    ]
    return sorted(rows, key=lambda row: (row.service, row.route, row.callee_route))


def visits_of(state: ChainState, step: Step, *, now: float) -> dict[ServiceName, float]:
    """Return how often one request visits each service, the one that it is for included."""
    if now - state.computed_at > VISITS_LIFETIME_S:
        state.computed_at = now
        state.visits_by_step.clear()
    visits = state.visits_by_step.get(step)
    if visits is None:
        visits = state.visits_by_step[step] = _compute_visits(_mean_rows(state), step)
    return visits


class ChainLevel(msgspec.Struct, frozen=True):
    """Hold the strictest level on a request's way and the service that asks for it."""

    level: float
    service: ServiceName


def chain_level(
    visits: dict[ServiceName, float], level_by_service: dict[ServiceName, float]
) -> ChainLevel:
    """Return the strictest level on a request's way."""
    strictest = ChainLevel(OPEN, NO_SERVICE)
    for service, count in visits.items():
        level = level_by_service.get(service, OPEN)
        if count >= MIN_VISITS and level < strictest.level:
            strictest = ChainLevel(level, service)
    return strictest


def _mean_rows(state: ChainState) -> dict[Step, dict[Step, float]]:
    sums: dict[Step, dict[Step, float]] = {}
    reporters: dict[Step, set[str]] = {}
    for reporter, rows in state.rows_by_reporter.items():
        for row in rows:
            step = Step(RouteName(row.route), ServiceName(row.service))
            callee = Step(RouteName(row.callee_route), ServiceName(row.callee_service))
            calls_by_callee = sums.setdefault(step, {})
            calls_by_callee[callee] = calls_by_callee.get(callee, 0.0) + row.calls
            reporters.setdefault(step, set()).add(reporter)
    return {
        step: {
            callee: calls / len(reporters[step])
            for callee, calls in callees.items()
            if calls / len(reporters[step]) >= MIN_CALLS_PER_RUN
        }
        for step, callees in sums.items()
    }


def _compute_visits(rows: dict[Step, dict[Step, float]], start: Step) -> dict[ServiceName, float]:
    visits = {start.service: 1.0}
    frontier = {start: 1.0}
    for _ in range(MAX_DEPTH):
        below: dict[Step, float] = {}
        for step, count in frontier.items():
            for callee, calls in rows.get(step, {}).items():
                below[callee] = below.get(callee, 0.0) + count * calls
        if not below:
            break
        for step, count in below.items():
            visits[step.service] = visits.get(step.service, 0.0) + count
        frontier = {step: count for step, count in below.items() if count >= MIN_VISITS}
        if sum(frontier.values()) > MAX_VISITS:
            break
    return visits
