"""The recent demand by (importance, sub-order), and the level that admits a given rate of it."""

from typing import Final

from daisywharf._context import SUB_ORDERS, Refusals
from daisywharf._contract import Importance
from daisywharf._overload._level import OPEN_LEVEL, Level

BINS_PER_IMPORTANCE: Final = 16
SUB_ORDERS_PER_BIN: Final = SUB_ORDERS // BINS_PER_IMPORTANCE
BINS: Final = BINS_PER_IMPORTANCE * len(Importance)
# Time constant of the counts: a steady rate keeps a count of the rate times this.
DEMAND_DECAY_S: Final = 0.25
# The resend factor is updated only by a level at least this fraction of an importance away from its
# boundaries: nearer to them too few calls are admitted, or refused, to compare.
MIN_INFORMATIVE_FRACTION: Final = 0.15
MAX_RESEND_FACTOR: Final = 8.0
# Smoothing weight of one update.
RESEND_FACTOR_WEIGHT: Final = 0.05


class Demand:
    """Hold decaying counts of admitted and of refused calls by bins of (importance, sub-order).

    `resend_factor` is how many times each refused call is counted, because its caller resends it.
    """

    def __init__(self) -> None:
        self.admitted_by_bin = [0.0] * BINS
        self.refused_by_bin = [0.0] * BINS
        self.resend_factor = 1.0


def record_admitted(demand: Demand, importance: Importance, sub_order: int) -> None:
    """Count a call that an entry admitted."""
    demand.admitted_by_bin[_bin_of(importance, sub_order)] += 1.0


def record_refused(demand: Demand, importance: Importance, sub_order: int) -> None:
    """Count a call that this entry refused."""
    demand.refused_by_bin[_bin_of(importance, sub_order)] += 1.0


def record_refusals(demand: Demand, refusals: Refusals) -> None:
    """Count calls that an entry refused, spread evenly over the sub-orders its level refuses."""
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


def decay(demand: Demand, elapsed_s: float) -> None:
    """Decay the counts by the elapsed seconds."""
    decay_factor = max(0.0, 1.0 - elapsed_s / DEMAND_DECAY_S)
    demand.admitted_by_bin = [count * decay_factor for count in demand.admitted_by_bin]
    demand.refused_by_bin = [count * decay_factor for count in demand.refused_by_bin]


def learn_resend_factor(demand: Demand, lowest_level: Level) -> None:
    """Update the resend factor from refused and admitted calls of one importance.

    The lowest recent level lies within that importance, and calls below it were all admitted.
    Sub-orders are spread evenly, so those give the true demand above the level; the refused calls
    counted beyond that are resends.
    """
    fraction = lowest_level.sub_order / SUB_ORDERS
    if lowest_level.importance >= len(Importance) or not _is_informative(fraction):
        return
    start = lowest_level.importance * BINS_PER_IMPORTANCE
    bins_below = lowest_level.sub_order // SUB_ORDERS_PER_BIN
    admitted = sum(demand.admitted_by_bin[start : start + bins_below])
    refused = sum(demand.refused_by_bin[start : start + BINS_PER_IMPORTANCE])
    expected = admitted / max(bins_below, 1) * BINS_PER_IMPORTANCE * (1.0 - fraction)
    resend_factor = min(MAX_RESEND_FACTOR, max(1.0, refused / max(expected, 1.0)))
    demand.resend_factor += (resend_factor - demand.resend_factor) * RESEND_FACTOR_WEIGHT


def level_for_rate(demand: Demand, rate_per_second: float) -> Level:
    """Return the level that admits at most this rate of the recent demand."""
    remaining = rate_per_second * DEMAND_DECAY_S
    for index in range(BINS):
        count = demand.admitted_by_bin[index] + demand.refused_by_bin[index] / demand.resend_factor
        if count > remaining:
            importance, offset = divmod(index, BINS_PER_IMPORTANCE)
            fraction = remaining / count
            return Level(importance, int((offset + fraction) * SUB_ORDERS_PER_BIN))
        remaining -= count
    return OPEN_LEVEL


def _is_informative(fraction: float) -> bool:
    return MIN_INFORMATIVE_FRACTION <= fraction <= 1.0 - MIN_INFORMATIVE_FRACTION


def _bin_of(importance: Importance, sub_order: int) -> int:
    return importance * BINS_PER_IMPORTANCE + sub_order // SUB_ORDERS_PER_BIN
