"""Check that the processor time of a call's decisions doesn't grow with the fleet's size."""

import argparse
import json
import statistics
import time
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from benchmarks._fake_service import SERVICE, build_fake_target, fake_zone
from daisywharf._context import RequestContext
from daisywharf._contract import Importance
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    TargetId,
)
from daisywharf._outcomes._once import OnceRecords, RunNow, StoredAnswer, begin, complete
from daisywharf._outcomes._once import tick as drop_expired
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._admission import (
    AdmissionState,
    CallId,
    current_level,
    finish,
    offer,
)
from daisywharf._overload._rates import BucketKey, RateState, take_token
from daisywharf._routing._retries import RetryBudget, RetryRatio, RetryRatioKey, earn_retry, lend
from daisywharf._routing._router import (
    CallOutcome,
    RouterState,
    choose,
    record_outcome,
    record_start,
    update_targets,
)

TARGET_COUNTS = (3, 30, 300, 3_000)
CUSTOMER_COUNTS = (2, 20, 200, 2_000)
CALLS = 2_000
ROUNDS = 15
CALL_PERIOD_S = 0.01
MAX_RATIO = 1.5
SLOTS = 140
US_PER_S = 1_000_000.0


class Point(msgspec.Struct, frozen=True):
    """Processor time per call at one size, and its ratio to that of the smallest size."""

    targets: int
    customers: int
    microseconds: float
    spread_microseconds: float
    ratio: float


class DecisionState:
    """The state that one call's decisions use, at the caller and at the gate."""

    def __init__(self, targets: int, customers: int) -> None:
        self.rng = Random(1)
        self.now = 1.0
        self.number = 0
        self.customers = [CustomerId(f"customer-{number}") for number in range(customers)]
        self.router = RouterState(service=SERVICE, zone=fake_zone(0), caller="vm-a")
        fakes = [build_fake_target(n, zones=3, slots=SLOTS) for n in range(targets)]
        update_targets(self.router, fakes, now=0.0)
        self.admission = AdmissionState(slots=SLOTS)
        self.rates = RateState()
        self.ratio = RetryRatio()
        self.once = OnceRecords(target_id=TargetId("t"), incarnation=Incarnation(1))


def decide(state: DecisionState) -> None:
    """Make every decision for one order that is admitted and answered."""
    state.number += 1
    state.now += CALL_PERIOD_S
    now = state.now
    context = _context(state)
    key = BucketKey(context.customer, context.call_class)
    take_token(state.rates, key, rate_per_second=1e6, burst=1e6, now=now)
    earn_retry(state.ratio, RetryRatioKey(context.customer, SERVICE))
    target = choose(state.router, now=now, rng=state.rng)
    assert target is not None
    record_start(state.router, target.target_id, now=now)
    lend(RetryBudget(context.retries))
    _pass_gate(state, context, now)
    record_outcome(
        state.router, target.target_id, CallOutcome.SUCCEEDED, latency_s=0.000_5, now=now
    )


def _pass_gate(state: DecisionState, context: RequestContext, now: float) -> None:
    call_id = CallId(context.request_id, 1)
    offer(state.admission, call_id, context, now=now)
    key = IdempotencyKey(context.request_id)
    ticket = Ticket(key, state.once.target_id, state.once.incarnation, expires_at=now + 1.0)
    assert isinstance(begin(state.once, ticket, now=now), RunNow)
    complete(state.once, key, StoredAnswer(200, (), b"done"), now=now)
    drop_expired(state.once, now=now)
    finish(state.admission, call_id, now=now, succeeded=True)
    current_level(state.admission, now=now)


def _context(state: DecisionState) -> RequestContext:
    return RequestContext(
        request_id=RequestId(f"r-{state.number}"),
        customer=state.customers[state.number % len(state.customers)],
        call_class=CallClassName("order"),
        importance=Importance.CRITICAL,
        deadline=state.now + 1.0,
        retries=3,
        idempotent=False,
    )


def _processor_s(work: Callable[[], None]) -> float:
    started = time.process_time()
    work()
    return time.process_time() - started


def measure(sizes: list[tuple[int, int]]) -> list[Point]:
    """Measure all sizes in each round, so that drift of the machine affects all of them alike."""
    states = [DecisionState(targets, customers) for targets, customers in sizes]
    rounds_by_size: list[list[float]] = [[] for _ in sizes]
    for _ in range(ROUNDS):
        for index, state in enumerate(states):
            rounds_by_size[index].append(_processor_s(partial(_run, state)))
    per_call = [[s / CALLS * US_PER_S for s in rounds] for rounds in rounds_by_size]
    median_us = [statistics.median(values) for values in per_call]
    return [
        Point(
            targets=targets,
            customers=customers,
            microseconds=round(median_us[index], 2),
            spread_microseconds=round(statistics.pstdev(per_call[index]), 2),
            ratio=round(median_us[index] / median_us[0], 3),
        )
        for index, (targets, customers) in enumerate(sizes)
    ]


def _run(state: DecisionState) -> None:
    for _ in range(CALLS):
        decide(state)


def main(arguments: list[str]) -> int:
    """Measure all sizes; return 1 if one takes over `MAX_RATIO` times the smallest's time."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks flat")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    by_targets = measure([(count, CUSTOMER_COUNTS[0]) for count in TARGET_COUNTS])
    by_customers = measure([(TARGET_COUNTS[0], count) for count in CUSTOMER_COUNTS])
    worst = max(point.ratio for point in by_targets + by_customers)
    report = {
        "by_targets": by_targets,
        "by_customers": by_customers,
        "worst_ratio": worst,
        "ratio_most": MAX_RATIO,
    }
    if options.json:
        print(json.dumps(msgspec.to_builtins(report), indent=1))
    else:
        for point in by_targets + by_customers:
            print(
                f"{point.targets:5} targets {point.customers:5} customers:"
                f" {point.microseconds:7.2f} us (spread {point.spread_microseconds:.2f}),"
                f" ratio {point.ratio:.3f}"
            )
    return 0 if worst <= MAX_RATIO else 1
