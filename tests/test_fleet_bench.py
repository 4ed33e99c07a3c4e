"""The fleet's stated bounds, checked on small fixed cases of the benchmark."""

import pytest
from benchmarks.fleet import Fault, Figures, run_fleet

MAX_IN_FORCE_S = 5.0
MAX_DRAIN_SPREAD_S = 2.0
MAX_OVERSHOOT_STEADY = 0.05
MAX_OVERSHOOT_PARTITION = 0.10
MAX_BYTES_PER_S = 13_000.0
MAX_READ_GROWTH_RATIO = 1.3


def run(fault: Fault, *, daemons: int = 12) -> Figures:
    """Run one case with three zones and 5% message loss."""
    return run_fleet(daemons=daemons, zones=3, seed=1, loss=0.05, fault=fault)


@pytest.mark.parametrize("fault", list(Fault))
def test_bounds_hold_under_each_fault(fault: Fault) -> None:
    figures = run(fault)
    assert figures.reverts == 0
    assert figures.edits_not_in_force == 0
    assert figures.config_in_force_seconds["max"] <= MAX_IN_FORCE_S
    assert figures.drains_not_known == 0
    assert figures.new_work_after_drain_seconds <= MAX_DRAIN_SPREAD_S
    assert figures.not_rejoined == 0
    is_partition = fault is Fault.ZONE_CUT
    bound = MAX_OVERSHOOT_PARTITION if is_partition else MAX_OVERSHOOT_STEADY
    assert figures.share_overshoot_ratio <= bound
    assert figures.bytes_per_second_per_daemon <= MAX_BYTES_PER_S


def test_calls_to_the_platform_hardly_grow_with_the_fleet() -> None:
    small, large = run(Fault.NONE), run(Fault.NONE, daemons=24)
    reads = small.platform_reads_per_second, large.platform_reads_per_second
    assert reads[1] <= reads[0] * MAX_READ_GROWTH_RATIO
    assert large.platform_writes_per_second <= small.platform_writes_per_second + 0.1


def test_the_same_seed_gives_the_same_figures() -> None:
    assert run(Fault.NONE, daemons=6) == run(Fault.NONE, daemons=6)
