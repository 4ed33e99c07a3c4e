"""Shedding levels: merging, and how the demand sets them."""

import pytest

from builders_overload import STOCK
from daisywharf._context import Refusals
from daisywharf._contract import Importance
from daisywharf._overload._demand import (
    Demand,
    learn_resend_factor,
    level_for_rate,
    record_admitted,
    record_refusals,
)
from daisywharf._overload._level import OPEN_LEVEL, Level, merge_levels
from daisywharf._overload._track import LevelTrack, lowest_recent_level, move_towards


def test_levels_merge_to_the_stricter_pair_and_the_busier_service() -> None:
    merged = merge_levels(Level(1, 5, 0.5, STOCK), Level(3, 0, 1.5))
    assert merged == Level(1, 5, 1.5)


def test_the_level_admits_the_most_important_part_of_the_demand() -> None:
    demand = Demand()
    for sub_order in range(0, 65_536, 656):
        record_admitted(demand, Importance.CRITICAL, sub_order)
        record_admitted(demand, Importance.LOW, sub_order)
    level = level_for_rate(demand, sum(demand.admitted_by_bin) * 0.75 / 0.25)
    assert level.importance == Importance.LOW
    assert level.sub_order == pytest.approx(32_768, rel=0.05)
    assert level_for_rate(demand, 1e9) == OPEN_LEVEL


def test_refusals_of_an_entry_count_as_demand_above_its_level() -> None:
    demand = Demand()
    record_refusals(demand, Refusals((0, 0, 80, 0), Importance.NORMAL, 32_768))
    level = level_for_rate(demand, 40 / 0.25)
    assert level.importance == Importance.NORMAL
    assert level.sub_order == pytest.approx(49_152, rel=0.05)


def test_resends_do_not_count_as_new_demand() -> None:
    demand = Demand()
    for sub_order in range(0, 32_768, 256):
        record_admitted(demand, Importance.NORMAL, sub_order)
    record_refusals(demand, Refusals((0, 0, 128 * 6, 0), Importance.NORMAL, 32_768))
    for _ in range(300):
        learn_resend_factor(demand, Level(Importance.NORMAL, 32_768))
    level = level_for_rate(demand, 192 / 0.25)
    assert level.sub_order == pytest.approx(49_152, rel=0.1)


def test_a_level_pauses_at_the_boundary_of_an_importance() -> None:
    track = LevelTrack(now=0.0)
    move_towards(track, Level(2, 100), now=0.0)
    assert track.level == Level(3, 0)
    move_towards(track, Level(2, 100), now=0.01)
    assert track.level == Level(3, 0)
    move_towards(track, Level(2, 100), now=0.03)
    assert track.level == Level(2, 100)
    assert lowest_recent_level(track, now=0.03) == Level(2, 100)
    move_towards(track, OPEN_LEVEL, now=0.1)
    assert track.level == Level(3, 0)
    assert lowest_recent_level(track, now=0.1) == Level(2, 100)
