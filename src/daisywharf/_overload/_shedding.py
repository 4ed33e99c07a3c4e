"""Move a gate's level so that the demand of all its entries fits what it gets done."""

from typing import Final

from daisywharf._context import Refusals
from daisywharf._contract import Importance
from daisywharf._overload._demand import Demand, fade, level_for_rate, note_arrival, note_refusals
from daisywharf._overload._level import OPEN_LEVEL, Level

AIM_LOAD: Final = 1.05
MAX_CUT_PART: Final = 0.35
LEAST_USED: Final = 0.2
CORRECTION_PERIOD_S: Final = 0.5
RATE_MEMORY_S: Final = 0.25
BOUND_STAY_S: Final = 0.02
BUSY_LOAD: Final = 0.85
LOAD_MEMORY_S: Final = 0.1


class Shedding:
    """Hold a gate's level and what it follows from; rates are per second."""

    def __init__(self) -> None:
        self.demand = Demand()
        self.level = OPEN_LEVEL
        self.completions = 0
        self.completions_per_second = 0.0
        self.load = 0.0
        self.used = 0.0
        self.moved_at = 0.0
        self.stays_until = 0.0


def note_call(
    shedding: Shedding, importance: Importance, sub_order: int, refusals: Refusals | None
) -> None:
    """Count a call that arrived, and those that its entry refused."""
    note_arrival(shedding.demand, importance, sub_order)
    if refusals is not None:
        note_refusals(shedding.demand, refusals)


def note_done(shedding: Shedding) -> None:
    """Count a call that gave its slot back."""
    shedding.completions += 1


def move_level(shedding: Shedding, *, load: float, running: int, limit: float, now: float) -> None:
    """Set the level to what fits at the present rate, corrected by the load."""
    elapsed_s = now - shedding.moved_at
    if elapsed_s <= 0.0:
        return
    shedding.moved_at = now
    weight = min(1.0, elapsed_s / RATE_MEMORY_S)
    rate = shedding.completions / elapsed_s
    shedding.completions = 0
    shedding.completions_per_second += (rate - shedding.completions_per_second) * weight
    shedding.used += (running / max(limit, 1.0) - shedding.used) * weight
    shedding.load += (load - shedding.load) * min(1.0, elapsed_s / LOAD_MEMORY_S)
    fade(shedding.demand, elapsed_s)
    if shedding.load < BUSY_LOAD and shedding.level == OPEN_LEVEL:
        return
    # What runs, not what could, gets done: a gate with free slots could do more.
    used = min(1.0, max(LEAST_USED, shedding.used))
    capacity = shedding.completions_per_second / used
    correction = (AIM_LOAD - shedding.load) * limit / CORRECTION_PERIOD_S
    correction = max(correction, -MAX_CUT_PART * capacity)
    fitting_rate = max(0.0, capacity + correction)
    wanted = level_for_rate(shedding.demand, fitting_rate)
    if now >= shedding.stays_until:
        shedding.level = step_level(shedding.level, wanted)
        if shedding.level.sub_order == 0:
            shedding.stays_until = now + BOUND_STAY_S


def step_level(present: Level, wanted: Level) -> Level:
    """Move towards a level, but stop at each bound of an importance, so that no two mix."""
    if wanted.importance < present.importance:
        if present.sub_order > 0:
            return Level(present.importance, 0)
        return max(wanted, Level(present.importance - 1, 0))
    if wanted.importance > present.importance:
        return Level(present.importance + 1, 0)
    return wanted
