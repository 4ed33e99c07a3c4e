"""Rate-limited targets: calls start no faster than the announced limit, and by importance."""

from collections.abc import Iterator

import pytest
from benchmarks._announcement_ledger import ALLOWED_EXTRA, ALLOWED_FACTOR, WINDOW_S
from msgspec.structs import replace

from daisywharf._contract import Importance
from daisywharf._experiments._placement import PlacementSettings, PlacementWorld
from daisywharf._experiments._surge import Stream, Surge
from daisywharf._ids import CallClassName, RequestId
from daisywharf._overload._actions import Admit, CallId
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import (
    SlotGate,
    arrive,
    load_ratio,
    next_start_delay_s,
    release,
    start_waiting,
)
from daisywharf._overload._start_rate import (
    BURST_S,
    LIMIT_LIFETIME_S,
    StartRate,
    record_limit,
    record_no_limit,
    start_delay_s,
)

# The load of karri-mesh's catalogue service on the day of the incident.
CATALOGUE = PlacementSettings(
    targets=6,
    slots=158,
    entries=16,
    work_ms=90.0,
    calls_per_s=440.0,
    patience_ms=360.0,
    slow_targets=0,
    slow_from_s=3.0,
    lasts_s=13.0,
)
SEEDS = range(1, 6)


def _limited(per_s: float) -> SlotGate:
    gate = SlotGate(slots=20)
    record_limit(gate.rate, per_s, now=0.0)
    return gate


def _call(number: int, *, importance: Importance = Importance.LOW) -> WaitingCall:
    call_id = CallId(RequestId(str(number)), number)
    return WaitingCall(call_id, CallClassName("r"), importance, 0, 0, 60.0, 0.0)


def _start_times(gate: SlotGate, *, until: float, pause_s: float = 0.0) -> Iterator[float]:
    """Offer more calls than the limit, pausing before every 5 s, and yield the start times."""
    now, number = 0.0, 0
    while now < until:
        number += 1
        is_offered = now % (5.0 + pause_s) >= pause_s
        offered = arrive(gate, _call(number), now=now) if is_offered else []
        for action in [*start_waiting(gate, now=now), *offered]:
            if isinstance(action, Admit):
                yield now
                release(gate, action.call_id, now=now)
        now += 0.01


@pytest.mark.parametrize("pause_s", [0.0, 6.0])
@pytest.mark.parametrize("per_s", [0.5, 4.1, 39.4])
def test_no_four_seconds_have_more_starts_than_the_rule_allows(
    per_s: float, pause_s: float
) -> None:
    starts = list(_start_times(_limited(per_s), until=33.0, pause_s=pause_s))
    max_starts = max(sum(first <= at <= first + 4.0 for at in starts) for first in starts)
    assert max_starts <= ALLOWED_FACTOR * WINDOW_S * per_s + ALLOWED_EXTRA
    assert max_starts <= WINDOW_S * per_s + BURST_S * per_s + 2.0
    assert len(starts) >= 33.0 * 5.0 / (5.0 + pause_s) * per_s * 0.95 - 1.0


def test_the_most_important_waiting_call_starts_next() -> None:
    gate = _limited(4.0)
    arrive(gate, _call(1), now=0.0)
    arrive(gate, _call(2, importance=Importance.HIGH), now=0.1)
    delay_s = next_start_delay_s(gate, now=0.1)
    assert delay_s == pytest.approx(0.15)
    assert start_waiting(gate, now=0.2) == []
    assert start_waiting(gate, now=0.25) == [Admit(CallId(RequestId("2"), 2))]


def test_a_gate_whose_rate_is_used_up_counts_as_full_though_its_slots_are_free() -> None:
    gate = _limited(4.0)
    for number in range(3):
        arrive(gate, _call(number), now=0.0)
    assert load_ratio(gate) > 1.0


def test_a_lower_limit_applies_at_once() -> None:
    rate = StartRate()
    record_limit(rate, 100.0, now=0.0)
    assert start_delay_s(rate, now=5.0) == 0.0
    record_limit(rate, 1.0, now=5.0)
    assert rate.bucket.tokens <= 1.0 + BURST_S


def test_a_limit_ends_with_an_answer_without_it_but_not_with_one_read_out_of_order() -> None:
    rate = StartRate()
    record_limit(rate, 4.0, now=10.0)
    assert not record_no_limit(rate, reported_at=10.0 + LIMIT_LIFETIME_S / 2)
    assert rate.is_limited
    assert record_no_limit(rate, reported_at=10.0 + LIMIT_LIFETIME_S)
    assert start_delay_s(rate, now=11.0) == 0.0


def test_a_limit_of_zero_still_allows_calls_at_the_minimum_rate() -> None:
    starts = list(_start_times(_limited(0.0), until=60.0))
    assert 10 <= len(starts) <= 16


@pytest.mark.parametrize("seed", SEEDS)
def test_a_limited_target_costs_callers_nothing_while_others_have_headroom(seed: int) -> None:
    world = PlacementWorld(replace(CATALOGUE, limited_targets=1, limit_per_s=4.1), seed=seed)
    world.run(until_s=CATALOGUE.slow_from_s)
    world.apply_limits()
    before, answered = world.started[0], len(world.latencies_s)
    world.run(until_s=CATALOGUE.lasts_s)
    assert world.started[0] - before <= 4.1 * 10.0 + 3.0
    assert world.refused == 0
    assert world.second_gate_calls <= 0.01 * (len(world.latencies_s) - answered)


@pytest.mark.parametrize("seed", SEEDS)
def test_if_all_targets_are_limited_their_limits_are_used_up(seed: int) -> None:
    world = PlacementWorld(replace(CATALOGUE, limited_targets=6, limit_per_s=20.0), seed=seed)
    world.run(until_s=CATALOGUE.slow_from_s)
    world.apply_limits()
    before = sum(world.started)
    world.run(until_s=CATALOGUE.lasts_s)
    started = sum(world.started) - before
    assert 0.9 * 6 * 20.0 * 10.0 <= started <= 1.1 * 6 * 20.0 * 10.0


def _surge(*, follows_level: bool, seed: int) -> Surge:
    """Simulate four times the limit of a deep service, with four calls for most requests."""
    surge = Surge(slots=81, work_s=0.022, follows_level=follows_level, limit_per_s=200.0, seed=seed)
    streams = [
        Stream(Importance.NORMAL, 100.0, 4),
        Stream(Importance.CRITICAL, 34.0, 4),
        Stream(Importance.HIGH, 264.0, 1, patience_s=0.05),
    ]
    surge.run(streams, lasts_s=8.0)
    return surge


@pytest.mark.parametrize("seed", SEEDS)
def test_if_a_deep_service_is_limited_the_least_important_are_refused_before_any_work(
    seed: int,
) -> None:
    with_level = _surge(follows_level=True, seed=seed).outcome_by_importance
    without = _surge(follows_level=False, seed=seed).outcome_by_importance
    critical, normal = with_level[Importance.CRITICAL], with_level[Importance.NORMAL]
    # The users' penalty starts when the more important is served less often by 5 in 100.
    assert critical.whole / critical.offered >= normal.whole / normal.offered - 0.05
    assert critical.refused_at_entry / critical.offered <= 0.05
    thrown_away = sum(outcome.thrown_away for outcome in with_level.values())
    assert thrown_away <= 0.5 * sum(outcome.thrown_away for outcome in without.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_limited_target_gets_most_of_its_limit_while_the_others_are_full(seed: int) -> None:
    settings = replace(
        CATALOGUE, slots=20, calls_per_s=1_150.0, limited_targets=1, limit_per_s=40.0
    )
    world = PlacementWorld(settings, seed=seed)
    world.run(until_s=CATALOGUE.slow_from_s)
    world.apply_limits()
    before = world.started[0]
    world.run(until_s=CATALOGUE.lasts_s)
    assert 0.5 * 40.0 * 10.0 <= world.started[0] - before <= 40.0 * 10.0 + 11.0
