"""The model of an experiment: settings, a simulation, its samples, and its summary."""

from collections.abc import Callable
from typing import Any

import msgspec


class Sample(msgspec.Struct, frozen=True):
    """Hold the values of the interval that ends at `at_s`, in seconds, by column."""

    at_s: float
    value_by_column: dict[str, float]


class ExperimentResult(msgspec.Struct, frozen=True):
    """Hold the samples of one simulation, and by name the values that summarize all of it."""

    samples: list[Sample]
    sum_by_name: dict[str, float]


class Experiment(msgspec.Struct, frozen=True):
    """Describe one experiment: its load pattern, the type of its settings, and its simulation.

    `play` takes the settings and a seed.
    """

    load_pattern: str
    settings: type[msgspec.Struct]
    play: Callable[[Any, int], ExperimentResult]
