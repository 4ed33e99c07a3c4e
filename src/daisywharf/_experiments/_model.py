"""What an experiment is: settings, a play that gives samples over time, and sums."""

from collections.abc import Callable
from typing import Any

import msgspec


class Sample(msgspec.Struct, frozen=True):
    """Hold what was seen in the span that ends at `at_s`, by column."""

    at_s: float
    value_by_column: dict[str, float]


class ExperimentResult(msgspec.Struct, frozen=True):
    """Hold the samples of one play, and its sums."""

    samples: list[Sample]
    sum_by_name: dict[str, float]


class Experiment(msgspec.Struct, frozen=True):
    """Describe one experiment: the load pattern, its settings and how it is played."""

    load_pattern: str
    settings: type[msgspec.Struct]
    play: Callable[[Any, int], ExperimentResult]
