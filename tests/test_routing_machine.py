"""The router's invariants in any order of updates, calls, outcomes and pauses."""

from collections import Counter
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from builders_routing import build_router, build_target, build_targets
from daisywharf._ids import TargetId
from daisywharf._routing._router import (
    CallOutcome,
    choose,
    record_outcome,
    record_pause,
    record_start,
    update_targets,
)
from daisywharf._topology import TargetState


class RouterMachine(RuleBasedStateMachine):
    """Drive one router and compare it with a plain count of the calls in flight."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.rng = Random(1)
        self.targets = build_targets(9)
        self.router = build_router(self.targets)
        self.in_flight: Counter[TargetId] = Counter()

    @rule(seconds=st.sampled_from([0.001, 0.1, 1.0, 6.0, 30.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(excluded=st.frozensets(st.integers(0, 8), max_size=9))
    def call(self, excluded: frozenset[int]) -> None:
        excluded_ids = frozenset(TargetId(f"stock-{number}") for number in excluded)
        target = choose(self.router, now=self.now, rng=self.rng, excluded=excluded_ids)
        usable = {
            t.target_id
            for t in self.targets
            if t.state is not TargetState.DRAINING and t.target_id not in excluded_ids
        }
        if target is None:
            subset = {record.target.target_id for record in self.router.subset}
            assert not (usable & subset)
            return
        assert target.target_id in usable
        assert target in self.targets
        record_start(self.router, target.target_id, now=self.now)
        self.in_flight[target.target_id] += 1

    @precondition(lambda self: self.in_flight.total() > 0)
    @rule(
        pick=st.integers(0, 1_000),
        outcome=st.sampled_from(CallOutcome),
        latency_s=st.sampled_from([0.0, 0.01, 1.0]),
    )
    def end(self, pick: int, outcome: CallOutcome, latency_s: float) -> None:
        target_id = sorted(self.in_flight.elements())[pick % self.in_flight.total()]
        record_outcome(self.router, target_id, outcome, latency_s=latency_s, now=self.now)
        self.in_flight[target_id] -= 1

    @rule(
        number=st.integers(0, 8),
        incarnation=st.integers(1, 3),
        state=st.sampled_from(TargetState),
    )
    def change(self, number: int, incarnation: int, state: TargetState) -> None:
        changed = build_target(number, incarnation=incarnation, state=state)
        kept = [t for t in self.targets if t.target_id != changed.target_id]
        self.targets = [*kept, changed]
        update_targets(self.router, self.targets, now=self.now)

    @rule(count=st.integers(0, 9))
    def remove_targets(self, count: int) -> None:
        self.targets = self.targets[:count]
        update_targets(self.router, self.targets, now=self.now)

    @rule()
    def pause(self) -> None:
        record_pause(self.router, now=self.now)

    @invariant()
    def counts_each_call_in_flight_once(self) -> None:
        recorded = {
            target_id: record.in_flight
            for target_id, record in self.router.record_by_id.items()
            if record.in_flight
        }
        assert recorded == {t: count for t, count in self.in_flight.items() if count}

    @invariant()
    def keeps_records_only_of_the_subset_and_of_calls_in_flight(self) -> None:
        subset = {record.target.target_id for record in self.router.subset}
        for target_id, record in self.router.record_by_id.items():
            assert target_id in subset or record.in_flight

    @invariant()
    def spills_at_most_the_maximum_fraction(self) -> None:
        assert 0.0 <= self.router.spill.fraction <= 0.998


RouterMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=40
)
TestRouter = RouterMachine.TestCase
