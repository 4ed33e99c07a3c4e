"""The worst load: a surge whose requests make four calls each to one deep service."""

import functools

from daisywharf._contract import Importance
from daisywharf._experiments._surge import Outcome, Stream, Surge

# karri-mesh scale-1 while one of the stock service's three targets is slow: 81 slots remain, which
# serve 3,450 calls of 22 ms per second. Browsing sends 990 requests per second with four calls
# each, orders 345, and stock checks 320 with one call each: 1.65 times the capacity.
BROWSE = Stream(Importance.NORMAL, per_s=990.0, calls=4)
ORDERS = Stream(Importance.CRITICAL, per_s=345.0, calls=4)
CHECKS = Stream(Importance.HIGH, per_s=320.0, calls=1, patience_s=0.05)
SLOTS = 81
LASTS_S = 8.0
SURGE = [BROWSE, ORDERS, CHECKS]


@functools.cache
def _simulate(*, follows_level: bool, slots: int = SLOTS) -> Surge:
    surge = Surge(slots=slots, work_s=0.022, follows_level=follows_level)
    surge.run(SURGE, lasts_s=LASTS_S)
    return surge


def _whole_fraction(outcome: Outcome) -> float:
    return outcome.whole / outcome.offered


def test_without_a_level_at_the_entries_most_of_the_work_is_thrown_away() -> None:
    outcomes = _simulate(follows_level=False).outcome_by_importance
    assert outcomes[Importance.NORMAL].thrown_away > outcomes[Importance.NORMAL].whole


def test_admitted_requests_get_complete_answers() -> None:
    outcomes = _simulate(follows_level=True).outcome_by_importance
    thrown_away = sum(o.thrown_away for o in outcomes.values())
    whole = sum(o.whole for o in outcomes.values())
    assert thrown_away <= 0.05 * whole


def test_the_least_important_are_refused_first() -> None:
    outcomes = _simulate(follows_level=True).outcome_by_importance
    assert outcomes[Importance.NORMAL].refused_at_entry > 0
    assert _whole_fraction(outcomes[Importance.CRITICAL]) >= 0.95
    assert _whole_fraction(outcomes[Importance.HIGH]) >= 0.95


def test_the_deep_service_stays_busy_during_the_surge() -> None:
    surge = _simulate(follows_level=True)
    calls = sum(surge.outcome_by_importance[s.importance].whole * s.calls for s in SURGE)
    possible = surge.gate.limit / surge.work_s * LASTS_S
    assert calls >= 0.8 * possible


def test_nothing_is_refused_when_capacity_suffices() -> None:
    outcomes = _simulate(follows_level=True, slots=200).outcome_by_importance
    assert sum(o.refused_at_entry for o in outcomes.values()) == 0


def test_the_level_opens_within_two_seconds_of_the_surge_s_end() -> None:
    surge = _simulate(follows_level=True)
    assert min(surge.level_history) < 2.9
    after = Surge(slots=SLOTS, work_s=0.022, follows_level=True)
    after.pressure.level = after.known_level = surge.level_history[-1]
    calm = [Stream(Importance.NORMAL, per_s=400.0, calls=4)]
    after.run(calm, lasts_s=2.0)
    assert after.level_history[-1] == 3.0
