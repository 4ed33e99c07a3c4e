"""The calculations of the size benchmark; the benchmark itself doesn't run in CI."""

import os

from benchmarks import size
from benchmarks._size_samples import ProcessSample, cpu_percent, sample_of, spread_of


def test_a_sample_of_this_process_is_plausible() -> None:
    sample = sample_of(os.getpid())
    assert sample.threads >= 1
    assert 0 < sample.proportional_mb <= sample.resident_mb


def test_cpu_percent_is_relative_to_one_core() -> None:
    before, after = (ProcessSample(at, at / 20, 1.0, 1.0, 1) for at in (10.0, 30.0))
    assert round(cpu_percent(before, after), 6) == 5.0


def test_a_spread_holds_least_median_and_largest() -> None:
    spread = spread_of([3.0, 1.0, 2.0])
    assert (spread.least, spread.median, spread.largest) == (1.0, 2.0, 3.0)


def test_a_fit_through_points_on_a_line_is_exact() -> None:
    line = size._fit_line([1.0, 2.0, 4.0], [3.0, 5.0, 9.0])
    assert (line.at_zero, line.per_daemon_of_zone, line.r_squared) == (1.0, 2.0, 1.0)
