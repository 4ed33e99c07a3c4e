"""Refuse a request at its entry by the shedding levels of all services in its call chain.

Load pattern: requests that call a deep service many times, mixed with others that never reach it.
Only requests whose chain includes the loaded service are refused, the least important first, before
any work is done for them; the calls of admitted requests continue.

A day that starts with a surge is the second pattern: nothing is known of the calls below a route
yet, and what is admitted is thrown away in the deep services. So for a short time, a request of
such a route counts as visiting every service.
"""

from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._ids import ServiceName
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._level_controller import OPEN

# Mean calls per run, and visits of a service per request, below these values are treated as noise.
MIN_CHAIN_CALLS_PER_RUN: Final = 0.4
MIN_VISITS: Final = 0.3
MAX_DEPTH: Final = 27  # the deepest call chain that users plan for
# Visits are computed anew after this time.
VISITS_LIFETIME_S: Final = 1.0
NO_SERVICE: Final = ServiceName("")
# For this long after its first request here, a route without reported calls counts as unknown;
# after that, its runs make no calls. Calls are reported every 0.5 s at the start.
UNKNOWN_S: Final = 2.0
# A daemon that started this much earlier reports all calls that it has learned.
MIN_LEARNED_S: Final = 5.0
# A chain that appears to make more calls than this was estimated wrongly.
MAX_VISITS: Final = 1_000.0


class Step(msgspec.Struct, frozen=True):
    """Identify a node of the call graph: a route at one of the services that it leads to."""

    route: RouteName
    service: ServiceName


class ChainState:
    """Hold the reported calls by reporting VM, and the visits computed from them.

    `known_steps` are those whose calls were ever reported. `is_learned` means that the calls were
    learned before this daemon started, so that a route without any makes none.
    """

    def __init__(self) -> None:
        self.rows_by_reporter: dict[str, tuple[CallsBelow, ...]] = {}
        self.visits_by_step: dict[Step, dict[ServiceName, float]] = {}
        self.computed_at = float("-inf")
        self.first_requested_at: dict[RouteName, float] = {}
        self.known_steps: set[Step] = set()
        self.is_learned = False


def record_rows(state: ChainState, reporter: str, rows: tuple[CallsBelow, ...]) -> None:
    """Replace one VM's report, unless the new one is empty."""
    if not rows:
        return
    state.rows_by_reporter[reporter] = rows
    steps = {Step(RouteName(row.route), ServiceName(row.service)) for row in rows}
    if not steps <= state.known_steps:
        # What is new counts at once: within the lifetime of visits, a surge would pass.
        state.known_steps |= steps
        state.visits_by_step.clear()


def forget_reporter(state: ChainState, reporter: str) -> None:
    """Remove one VM's report."""
    state.rows_by_reporter.pop(reporter, None)


def record_request(state: ChainState, route: RouteName, *, now: float) -> None:
    """Record when a route was first requested at this daemon."""
    state.first_requested_at.setdefault(route, now)


def is_unknown(state: ChainState, step: Step, *, now: float) -> bool:
    """Return whether nothing can be known yet of the calls below a step."""
    if state.is_learned or step in state.known_steps:
        return False
    return now - state.first_requested_at.get(step.route, now) < UNKNOWN_S


def known_rows(state: ChainState) -> list[CallsBelow]:
    """Return the mean calls per run over all reporting VMs, in a fixed order."""
    rows = [
        CallsBelow(step.service, step.route, callee.service, callee.route, calls)
        for step, calls_by_callee in _mean_rows(state).items()
        for callee, calls in calls_by_callee.items()
    ]
    return sorted(rows, key=lambda row: (row.service, row.route, row.callee_route))


def visits_of(state: ChainState, step: Step, *, now: float) -> dict[ServiceName, float]:
    """Return the mean visits of each service by one request, including the service it is for."""
    if now - state.computed_at > VISITS_LIFETIME_S:
        state.computed_at = now
        state.visits_by_step.clear()
    visits = state.visits_by_step.get(step)
    if visits is None:
        visits = state.visits_by_step[step] = _compute_visits(_mean_rows(state), step)
    return visits


class ChainLevel(msgspec.Struct, frozen=True):
    """Hold the strictest level in a request's call chain and the service that set it."""

    level: float
    service: ServiceName


def strictest_level(level_by_service: dict[ServiceName, float]) -> ChainLevel:
    """Return the strictest level of all services, for a request whose chain is unknown."""
    return chain_level(dict.fromkeys(level_by_service, 1.0), level_by_service)


def chain_level(
    visits: dict[ServiceName, float], level_by_service: dict[ServiceName, float]
) -> ChainLevel:
    """Return the strictest level among the services that a request visits."""
    strictest = ChainLevel(OPEN, NO_SERVICE)
    for service, count in visits.items():
        level = level_by_service.get(service, OPEN)
        if count >= MIN_VISITS and level < strictest.level:
            strictest = ChainLevel(level, service)
    return strictest


def _mean_rows(state: ChainState) -> dict[Step, dict[Step, float]]:
    """Return the mean calls per run to each callee, without the small means."""
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
            if calls / len(reporters[step]) >= MIN_CHAIN_CALLS_PER_RUN
        }
        for step, callees in sums.items()
    }


def _compute_visits(rows: dict[Step, dict[Step, float]], start: Step) -> dict[ServiceName, float]:
    """Follow the mean calls down from `start`, one depth at a time, and add up the visits."""
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
