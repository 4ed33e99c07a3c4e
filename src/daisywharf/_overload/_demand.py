"""The recent demand by (importance, sub-order), and the level that admits a given part of it."""

from typing import Final

from daisywharf._context import SUB_ORDERS, Refusals
from daisywharf._contract import Importance
from daisywharf._overload._level import OPEN_LEVEL, Level

BINS_PER_IMPORTANCE: Final = 16
SUB_ORDERS_PER_BIN: Final = SUB_ORDERS // BINS_PER_IMPORTANCE
BINS: Final = BINS_PER_IMPORTANCE * len(Importance)
DEMAND_MEMORY_S: Final = 0.25


class Demand:
    """Hold decaying counts of calls by bins of (importance, sub-order)."""

    def __init__(self) -> None:
        self.count_by_bin = [0.0] * BINS


def note_arrival(demand: Demand, importance: Importance, sub_order: int) -> None:
    """Count a call that arrived, admitted or not."""
    demand.count_by_bin[importance * BINS_PER_IMPORTANCE + sub_order // SUB_ORDERS_PER_BIN] += 1.0


def note_refusals(demand: Demand, refusals: Refusals) -> None:
    """Count calls that an entry refused, spread over what its level refuses."""
    for importance, count in enumerate(refusals.counts[: len(Importance)]):
        if count <= 0:
            continue
        first = 0
        if importance == refusals.importance:
            first = min(BINS_PER_IMPORTANCE - 1, refusals.sub_order // SUB_ORDERS_PER_BIN)
        share = count / (BINS_PER_IMPORTANCE - first)
        start = importance * BINS_PER_IMPORTANCE
        for index in range(start + first, start + BINS_PER_IMPORTANCE):
            demand.count_by_bin[index] += share


def fade(demand: Demand, elapsed_s: float) -> None:
    """Let old calls weigh less."""
    kept = max(0.0, 1.0 - elapsed_s / DEMAND_MEMORY_S)
    demand.count_by_bin = [count * kept for count in demand.count_by_bin]


def level_for_rate(demand: Demand, rate_per_second: float) -> Level:
    """Return the level under which at most this rate of the recent demand arrives."""
    left = rate_per_second * DEMAND_MEMORY_S
    for index, count in enumerate(demand.count_by_bin):
        if count > left:
            importance, place = divmod(index, BINS_PER_IMPORTANCE)
            part = left / count
            return Level(importance, int((place + part) * SUB_ORDERS_PER_BIN))
        left -= count
    return OPEN_LEVEL
