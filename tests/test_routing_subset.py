"""The bounded subset of targets that a caller keeps connections to."""

from collections import Counter

import pytest

from builders_routing import build_target, build_targets, zone_name
from daisywharf._ids import TargetId
from daisywharf._routing._subset import MAX_OTHER_ZONES_TARGETS, MAX_OWN_ZONE_TARGETS, pick_subset
from daisywharf._topology import Target


def picked(caller: str, targets: list[Target], zone: int = 0) -> set[TargetId]:
    subset = pick_subset(targets, caller=caller, zone=zone_name(zone))
    return {target.target_id for target in subset.own_zone + subset.other_zones}


@pytest.mark.parametrize("count", [1, 3, 30, 300, 3_000])
def test_a_subset_is_bounded_whatever_the_number_of_targets(count: int) -> None:
    subset = picked("vm-a", build_targets(count))
    assert 1 <= len(subset) <= MAX_OWN_ZONE_TARGETS + MAX_OTHER_ZONES_TARGETS


def test_a_caller_connects_to_other_zones_if_its_own_has_one_target() -> None:
    assert len(picked("vm-a", build_targets(3))) == 3


def test_a_target_that_leaves_displaces_no_other() -> None:
    targets = build_targets(60)
    for caller in (f"vm-{number}" for number in range(50)):
        before = picked(caller, targets)
        gone = min(before)
        after = picked(caller, [t for t in targets if t.target_id != gone])
        assert len(before - after) == 1
        assert gone in before - after


def test_a_target_that_joins_displaces_at_most_one() -> None:
    targets = build_targets(60)
    for caller in (f"vm-{number}" for number in range(50)):
        before = picked(caller, targets)
        assert len(before - picked(caller, [*targets, build_target(60)])) <= 1


def connections_by_target(targets: list[Target], callers: int, zones: int) -> Counter[TargetId]:
    callers_by_zone = {zone_name(zone): callers // zones for zone in range(zones)}
    count_by_target: Counter[TargetId] = Counter()
    for number in range(callers):
        subset = pick_subset(
            targets,
            caller=f"vm-{number}",
            zone=zone_name(number % zones),
            callers_by_zone=callers_by_zone,
        )
        count_by_target.update(t.target_id for t in subset.own_zone + subset.other_zones)
    return count_by_target


@pytest.mark.parametrize(("targets", "callers"), [(3, 30), (3, 300), (15, 3_000), (150, 3_000)])
def test_connections_stay_within_the_number_that_each_target_announces(
    targets: int, callers: int
) -> None:
    zones = 15 if targets >= 15 else 3
    counts = connections_by_target(build_targets(targets, zones=zones), callers, zones)
    assert max(counts.values()) <= 900


def test_a_small_target_is_picked_by_fewer_callers() -> None:
    small = build_target(0, connections=300)
    targets = [small, *build_targets(60)[1:]]
    counts = connections_by_target(targets, 600, 3)
    rest = sum(counts.values()) - counts[small.target_id]
    assert counts[small.target_id] < 0.6 * rest / 59


def test_one_wrong_announcement_of_connections_doesn_t_enlarge_all_subsets() -> None:
    honest = build_targets(15, zones=15)
    liar = build_target(0, zones=15, connections=1_000_000)
    counts = connections_by_target([liar, *honest[1:]], 3_000, 15)
    del counts[liar.target_id]
    assert max(counts.values()) <= 900
