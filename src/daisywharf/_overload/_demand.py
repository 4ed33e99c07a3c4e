"""The recent demand by (importance, sub-order), and the level that admits a given part of it."""

from typing import Final

from daisywharf._context import SUB_ORDERS, Refusals
from daisywharf._contract import Importance
from daisywharf._overload._level import OPEN_LEVEL, Level

BINS_PER_IMPORTANCE: Final = 16
SUB_ORDERS_PER_BIN: Final = SUB_ORDERS // BINS_PER_IMPORTANCE
BINS: Final = BINS_PER_IMPORTANCE * len(Importance)
DEMAND_MEMORY_S: Final = 0.25
LEAST_SETTLED_PART: Final = 0.15
MOST_REPEATS: Final = 8.0
REPEATS_WEIGHT: Final = 0.05


class Demand:
    """Hold decaying counts of let-in and of refused calls by bins of (importance, sub-order).

    `repeats` is how often a refused call is counted, since its caller sends it again.
    """

    def __init__(self) -> None:
        self.let_in_by_bin = [0.0] * BINS
        self.refused_by_bin = [0.0] * BINS
        self.repeats = 1.0


def note_let_in(demand: Demand, importance: Importance, sub_order: int) -> None:
    """Count a call that an entry let in."""
    demand.let_in_by_bin[_bin_of(importance, sub_order)] += 1.0


def note_refused(demand: Demand, importance: Importance, sub_order: int) -> None:
    """Count a call that this entry refused."""
    demand.refused_by_bin[_bin_of(importance, sub_order)] += 1.0


def note_refusals(demand: Demand, refusals: Refusals) -> None:
    """Count calls that an entry refused, spread evenly over what its level refuses."""
    for importance, count in enumerate(refusals.counts[: len(Importance)]):
        if count <= 0:
            continue
        refused_from = 0.0
        if importance == refusals.importance:
            refused_from = min(refusals.sub_order, SUB_ORDERS - 1) / SUB_ORDERS_PER_BIN
        first = int(refused_from)
        share = count / (BINS_PER_IMPORTANCE - refused_from)
        start = importance * BINS_PER_IMPORTANCE
        demand.refused_by_bin[start + first] += share * (first + 1 - refused_from)
        for index in range(start + first + 1, start + BINS_PER_IMPORTANCE):
            demand.refused_by_bin[index] += share


def fade(demand: Demand, elapsed_s: float) -> None:
    """Let old calls weigh less."""
    kept = max(0.0, 1.0 - elapsed_s / DEMAND_MEMORY_S)
    demand.let_in_by_bin = [count * kept for count in demand.let_in_by_bin]
    demand.refused_by_bin = [count * kept for count in demand.refused_by_bin]


def learn_repeats(demand: Demand, settled: Level) -> None:
    """Compare the refused calls of an importance with those let in below a level of some time.

    Sub-orders are spread evenly, so that those let in tell the true demand of the rest.
    """
    part = settled.sub_order / SUB_ORDERS
    if settled.importance >= len(Importance) or not _is_telling(part):
        return
    start = settled.importance * BINS_PER_IMPORTANCE
    place = settled.sub_order // SUB_ORDERS_PER_BIN
    below = sum(demand.let_in_by_bin[start : start + place])
    refused = sum(demand.refused_by_bin[start : start + BINS_PER_IMPORTANCE])
    expected = below / max(place, 1) * BINS_PER_IMPORTANCE * (1.0 - part)
    repeats = min(MOST_REPEATS, max(1.0, refused / max(expected, 1.0)))
    demand.repeats += (repeats - demand.repeats) * REPEATS_WEIGHT


def level_for_rate(demand: Demand, rate_per_second: float) -> Level:
    """Return the level under which at most this rate of the recent demand arrives."""
    left = rate_per_second * DEMAND_MEMORY_S
    for index in range(BINS):
        count = demand.let_in_by_bin[index] + demand.refused_by_bin[index] / demand.repeats
        if count > left:
            importance, place = divmod(index, BINS_PER_IMPORTANCE)
            part = left / count
            return Level(importance, int((place + part) * SUB_ORDERS_PER_BIN))
        left -= count
    return OPEN_LEVEL


def _is_telling(part: float) -> bool:
    return LEAST_SETTLED_PART <= part <= 1.0 - LEAST_SETTLED_PART


def _bin_of(importance: Importance, sub_order: int) -> int:
    return importance * BINS_PER_IMPORTANCE + sub_order // SUB_ORDERS_PER_BIN
