"""The figures of the overload benchmark, computed from a run's `Observations`."""

import msgspec

from benchmarks._overload_observations import Observations
from benchmarks._overload_run import GREEDY_CUSTOMER, Load, Scenario
from daisywharf._contract import Importance
from daisywharf._ids import CustomerId
from daisywharf._virtual._clients import ClientRequest, SendResult

RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.1
# The last sends before the surge end during it, so they don't show usual service.
EXCLUDED_BEFORE_SURGE_S = RECOVERY_WINDOW_S + 1.5
RECOVERY_MARGIN = 0.1
MS_PER_S = 1_000.0


class Figures(msgspec.Struct, frozen=True):
    """The figures of one run."""

    goodput_ratio: float
    important_success_ratio: float
    important_fits: bool
    priority_inversions: int
    priority_inversions_with_calls_below: int
    recovery_seconds: float
    attempts_per_request: float
    max_retries_in_one_tree: int
    wasted_work_ratio: float
    refusal_delay_ms: float
    refused_wait_ms: float
    worst_customer_loss_ratio: float | None
    p99_before_ms: float
    success_ratio: float
    capacity_per_second: float
    offered_per_second: float


def figures_of(scenario: Scenario, load: Load, observations: Observations) -> Figures:
    """Return the figures of a run."""
    start, end = scenario.surge_at, scenario.surge_end
    succeeded = [
        r for r in observations.results if r.kind is None and start <= r.send.sent_at < end
    ]
    allowed = sum(load.allowed.rate_by_class.values()) * scenario.surge_s
    requests = _requests(observations, start, end)
    # The greedy customer's contract only covers its mean demand: random arrivals exceed it.
    within_contract = [r for r in requests if r.customer != GREEDY_CUSTOMER]
    important = [r for r in within_contract if r.call_class.importance is Importance.CRITICAL]
    worked_s = sum(r.send.target_s for r in observations.results)
    wasted_s = sum(r.send.target_s for r in observations.results if r.kind is not None)
    waits = sorted(observations.refused_wait_s)
    return Figures(
        goodput_ratio=_ratio(len(succeeded), allowed),
        important_success_ratio=_answered_fraction(important),
        important_fits=load.allowed.important_fits,
        priority_inversions=observations.inversions,
        priority_inversions_with_calls_below=observations.inversions_with_calls_below,
        recovery_seconds=recovery_seconds(scenario, observations),
        attempts_per_request=_ratio(
            observations.first_calls + observations.retried_calls, observations.first_calls
        ),
        max_retries_in_one_tree=max((r.send.retries for r in observations.results), default=0),
        wasted_work_ratio=_ratio(wasted_s, worked_s),
        refusal_delay_ms=_p99(sorted(observations.refusal_delay_s)) * MS_PER_S,
        refused_wait_ms=_p99(waits) * MS_PER_S,
        worst_customer_loss_ratio=None,
        p99_before_ms=_p99(_latencies(_sent_within(observations, start - 3.0, start - 1.5)))
        * MS_PER_S,
        success_ratio=_answered_fraction(requests),
        capacity_per_second=sum(load.allowed.rate_by_class.values()),
        offered_per_second=sum(load.surge.values()),
    )


def recovery_seconds(scenario: Scenario, observations: Observations) -> float:
    """Return the seconds from the surge's end until all later windows are as before the surge."""
    start, end = scenario.surge_at, scenario.surge_end
    before = [
        _sent_within(observations, start - scenario.before_s + i * RECOVERY_STEP_S, None)
        for i in range(int((scenario.before_s - EXCLUDED_BEFORE_SURGE_S) / RECOVERY_STEP_S))
    ]
    max_p99_s = max(_p99(_latencies(window)) for window in before) * (1.0 + RECOVERY_MARGIN)
    min_success = min(_success_fraction(window) for window in before) * (1.0 - RECOVERY_MARGIN)
    last = scenario.after_s - RECOVERY_WINDOW_S - 2.0
    recovered_after_s = last
    for step in reversed(range(int(last / RECOVERY_STEP_S) + 1)):
        window = _sent_within(observations, end + step * RECOVERY_STEP_S, None)
        if _p99(_latencies(window)) > max_p99_s or _success_fraction(window) < min_success:
            break
        recovered_after_s = step * RECOVERY_STEP_S
    return round(recovered_after_s, 3)


def worst_customer_loss(scenario: Scenario, usual: Observations, greedy: Observations) -> float:
    """Return the largest fraction of answered requests that a customer loses to the greedy one."""
    usual_by_customer = answered_by_customer(scenario, usual)
    greedy_by_customer = answered_by_customer(scenario, greedy)
    losses = [
        1.0 - greedy_by_customer.get(customer, 0.0) / count
        for customer, count in usual_by_customer.items()
        if customer != GREEDY_CUSTOMER and count
    ]
    return max([0.0, *losses])


def answered_by_customer(scenario: Scenario, observations: Observations) -> dict[CustomerId, float]:
    """Return the number of each customer's requests in the surge that were answered."""
    counts: dict[CustomerId, float] = {}
    for request in _requests(observations, scenario.surge_at, scenario.surge_end):
        counts.setdefault(request.customer, 0.0)
        counts[request.customer] += request.answered_at is not None
    return counts


def _requests(observations: Observations, start: float, end: float) -> list[ClientRequest]:
    """Return the requests that were first sent in an interval."""
    by_id = {r.request.request_id: r.request for r in observations.results}
    return [r for r in by_id.values() if start <= r.first_sent_at < end]


def _sent_within(observations: Observations, start: float, end: float | None) -> list[SendResult]:
    """Return the results of sends in an interval, by default of one recovery window."""
    stop = start + RECOVERY_WINDOW_S if end is None else end
    return [r for r in observations.results if start <= r.send.sent_at < stop]


def _latencies(results: list[SendResult]) -> list[float]:
    return sorted(r.ended_at - r.send.sent_at for r in results if r.kind is None)


def _p99(values: list[float]) -> float:
    return values[min(len(values) - 1, int(len(values) * 0.99))] if values else 0.0


def _success_fraction(results: list[SendResult]) -> float:
    return _ratio(sum(r.kind is None for r in results), len(results))


def _answered_fraction(requests: list[ClientRequest]) -> float:
    return _ratio(sum(r.answered_at is not None for r in requests), len(requests))


def _ratio(part: float, whole: float) -> float:
    return part / whole if whole else 1.0
