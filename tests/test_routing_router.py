"""Choosing by outcomes: two choices, own zone first, slow start, ejection and probes."""

from random import Random

import pytest

from builders_routing import (
    Answering,
    answer_well,
    build_router,
    build_target,
    build_targets,
    run_calls,
    zone_name,
)
from daisywharf._ids import TargetId
from daisywharf._routing._router import (
    CallOutcome,
    RouterState,
    choose,
    record_outcome,
    record_pause,
    record_start,
    update_targets,
)
from daisywharf._topology import Target, TargetState


def in_zone(targets: list[Target], zone: int) -> set[TargetId]:
    return {target.target_id for target in targets if target.zone == zone_name(zone)}


def test_no_target_is_chosen_if_none_may_be_called() -> None:
    draining = build_target(0, state=TargetState.DRAINING)
    router = build_router([draining])
    assert choose(router, now=0.0, rng=Random(1)) is None


def test_an_excluded_target_is_never_chosen() -> None:
    targets = build_targets(2)
    router = build_router(targets)
    rng = Random(1)
    excluded = frozenset({targets[0].target_id})
    chosen = {choose(router, now=0.0, rng=rng, excluded=excluded) for _ in range(50)}
    assert chosen == {targets[1]}
    everything = frozenset(target.target_id for target in targets)
    assert choose(router, now=0.0, rng=rng, excluded=everything) is None


def test_a_draining_target_gets_no_call_after_the_update() -> None:
    targets = build_targets(6)
    router = build_router(targets)
    draining = build_target(0, state=TargetState.DRAINING)
    update_targets(router, [draining, *targets[1:]], now=1.0)
    assert run_calls(router, answer_well, calls=300, start=1.0)[draining.target_id] == 0


@pytest.mark.parametrize("count", [3, 30, 300, 3_000])
def test_a_choice_looks_at_no_more_targets_as_the_fleet_grows(count: int) -> None:
    router = build_router(build_targets(count))
    router.target_by_id = {}
    run_calls(router, answer_well, calls=50, start=0.0)
    assert len(router.subset) <= 8


def test_all_but_a_few_calls_stay_in_the_own_zone() -> None:
    targets = build_targets(12)
    counts = run_calls(build_router(targets), answer_well, calls=1_000, start=0.0)
    assert sum(counts[target_id] for target_id in in_zone(targets, 0)) >= 950


def test_calls_leave_a_zone_that_refuses_and_come_back() -> None:
    targets = build_targets(12)
    own = in_zone(targets, 0)
    router = build_router(targets)

    def refuse_own(target: Target, _now: float) -> tuple[CallOutcome, float]:
        outcome = CallOutcome.REFUSED if target.target_id in own else CallOutcome.SUCCEEDED
        return outcome, 0.002

    counts = run_calls(router, refuse_own, calls=1_000, start=0.0)
    assert sum(counts[target_id] for target_id in own) <= 60
    run_calls(router, answer_well, calls=3_000, start=10.0)
    counts = run_calls(router, answer_well, calls=1_000, start=40.0)
    assert sum(counts[target_id] for target_id in own) >= 950


def test_calls_leave_an_own_zone_that_is_much_slower() -> None:
    targets = build_targets(3)

    def slow_own(target: Target, _now: float) -> tuple[CallOutcome, float]:
        return CallOutcome.SUCCEEDED, 0.2 if target == targets[0] else 0.01

    router = build_router(targets)
    run_calls(router, slow_own, calls=500, start=0.0)
    assert run_calls(router, slow_own, calls=500, start=5.0)[targets[0].target_id] <= 50


def test_a_target_that_refuses_quickly_attracts_no_calls_whatever_it_announces() -> None:
    targets = build_targets(12)
    liar = build_target(0, connections=1_000_000)

    def refuse(target: Target, _now: float) -> tuple[CallOutcome, float]:
        if target.target_id == liar.target_id:
            return CallOutcome.REFUSED, 0.000_1
        return CallOutcome.SUCCEEDED, 0.01

    router = build_router([liar, *targets[1:]])
    assert run_calls(router, refuse, calls=1_000, start=0.0)[liar.target_id] <= 30


def fail_one(failing: Target) -> Answering:
    def answer(target: Target, _now: float) -> tuple[CallOutcome, float]:
        outcome = CallOutcome.FAILED if target == failing else CallOutcome.SUCCEEDED
        return outcome, 0.001 if target == failing else 0.01

    return answer


def test_a_failing_target_is_ejected_and_only_probed() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    counts = run_calls(router, fail_one(targets[0]), calls=3_000, start=0.0)
    assert 1 <= counts[targets[0].target_id] <= 20


def test_a_target_that_answers_its_probe_is_readmitted_slowly() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    run_calls(router, fail_one(targets[0]), calls=1_000, start=0.0)
    early = run_calls(router, answer_well, calls=800, start=10.0)
    run_calls(router, answer_well, calls=3_000, start=18.0)
    late = run_calls(router, answer_well, calls=800, start=48.0)
    assert early[targets[0].target_id] < late[targets[0].target_id]
    assert late[targets[0].target_id] >= 100


def test_no_more_than_half_of_the_subset_is_ejected() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    good = router.subset[-1].target.target_id

    def fail_most(target: Target, _now: float) -> tuple[CallOutcome, float]:
        outcome = CallOutcome.SUCCEEDED if target.target_id == good else CallOutcome.FAILED
        return outcome, 0.01

    for start in range(0, 30, 10):
        run_calls(router, fail_most, calls=1_000, start=float(start))
        ejected = sum(record.is_ejected for record in router.subset)
        assert 1 <= ejected <= len(router.subset) / 2


def test_if_all_targets_fail_none_is_ejected() -> None:
    router = build_router(build_targets(12))
    run_calls(router, lambda _target, _now: (CallOutcome.FAILED, 0.01), calls=500, start=0.0)
    late = run_calls(router, lambda _target, _now: (CallOutcome.FAILED, 0.01), calls=500, start=5.0)
    assert len(late) >= 4


def eject(router: RouterState, target: Target) -> None:
    for _ in range(5):
        record_start(router, target.target_id, now=0.0)
        record_outcome(router, target.target_id, CallOutcome.FAILED, latency_s=0.0, now=0.0)
    assert router.record_by_id[target.target_id].is_ejected


def test_a_non_idempotent_call_or_a_retry_is_no_probe_while_other_calls_can_be() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    eject(router, targets[0])
    rng = Random(1)
    excluded = frozenset({targets[3].target_id})
    for _ in range(500):
        assert choose(router, now=10.0, rng=rng, is_idempotent=False) != targets[0]
        assert choose(router, now=10.0, rng=rng, excluded=excluded) != targets[0]
    assert choose(router, now=10.0, rng=rng) == targets[0]


def test_non_idempotent_calls_probe_if_no_other_call_did_for_long() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    eject(router, targets[0])
    rng = Random(1)
    chosen = [choose(router, now=30.0, rng=rng, is_idempotent=False) for _ in range(200)]
    assert targets[0] in chosen


def test_a_probe_that_never_ends_doesn_t_block_the_next() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    eject(router, targets[0])
    rng = Random(1)
    probes = []
    for tick in range(300):
        now = 30.0 + tick * 0.1
        target = choose(router, now=now, rng=rng)
        if target == targets[0]:
            record_start(router, target.target_id, now=now)
            probes.append(now)
    assert 2 <= len(probes) <= 7


@pytest.mark.parametrize("state", [TargetState.COLD, TargetState.SERVING])
def test_a_target_that_restarts_gets_a_rising_share(state: TargetState) -> None:
    targets = build_targets(12)
    router = build_router(targets)
    run_calls(router, answer_well, calls=500, start=0.0)
    restarted = build_target(0, incarnation=2, state=state)
    update_targets(router, [restarted, *targets[1:]], now=10.0)
    shares = [
        run_calls(router, answer_well, calls=200, start=10.0 + later)[restarted.target_id]
        for later in (0.0, 8.0, 20.0)
    ]
    assert shares[0] <= 20
    assert shares[0] < shares[1]
    assert shares[2] >= 30


def test_all_targets_starting_at_once_are_still_called() -> None:
    cold = [build_target(number, state=TargetState.COLD) for number in range(6)]
    assert sum(run_calls(build_router(cold), answer_well, calls=100, start=0.0).values()) == 100


def test_calls_in_flight_raise_the_cost_of_a_target() -> None:
    targets = [build_target(0), build_target(3)]
    router = build_router(targets)
    for _ in range(10):
        record_start(router, targets[0].target_id, now=0.0)
    assert choose(router, now=0.0, rng=Random(1)) == targets[1]


def test_calls_that_spanned_a_pause_are_not_recorded() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    run_calls(router, answer_well, calls=200, start=0.0)
    for record in router.subset:
        for _ in range(20):
            record_start(router, record.target.target_id, now=2.0)
    record_pause(router, now=60.0)
    for record in router.subset:
        for _ in range(20):
            record_outcome(
                router,
                record.target.target_id,
                CallOutcome.TIMED_OUT,
                latency_s=58.0,
                now=60.0,
            )
    assert not any(record.is_ejected for record in router.subset)
    assert all(record.in_flight == 0 for record in router.subset)
    assert len(run_calls(router, answer_well, calls=200, start=60.0)) >= 4


def test_old_records_expire_so_that_an_avoided_target_is_tried_again() -> None:
    targets = [build_target(0), build_target(3)]
    router = build_router(targets)

    def slow(target: Target, _now: float) -> tuple[CallOutcome, float]:
        return CallOutcome.SUCCEEDED, 1.0 if target == targets[0] else 0.01

    run_calls(router, slow, calls=20, start=0.0)
    counts = run_calls(router, answer_well, calls=1_000, start=30.0)
    assert counts[targets[0].target_id] >= 200


def test_the_record_of_a_target_that_left_is_dropped_after_its_last_call() -> None:
    targets = build_targets(12)
    router = build_router(targets)
    record_start(router, targets[0].target_id, now=0.0)
    update_targets(router, targets[1:], now=1.0)
    assert targets[0].target_id in router.record_by_id
    record_outcome(router, targets[0].target_id, CallOutcome.SUCCEEDED, latency_s=1.0, now=1.0)
    assert targets[0].target_id not in router.record_by_id
