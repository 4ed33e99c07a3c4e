"""Move a gate's shedding level by its own load, for the entries of the whole chain to follow.

Load pattern: a surge whose requests meet at one deep service, many calls each. What is let in must
fit there, or work done above is thrown away; and the level must neither swing nor stay shut.
"""

from typing import Final

from daisywharf._context import SUB_ORDERS
from daisywharf._contract import Importance

OPEN: Final = float(len(Importance))
# Occupied part of the limit that the level steers to; the limit itself leaves a target room.
AIM_LOAD: Final = 0.92
# Importances a second by which the level falls and rises, for a load off by 1; twice as fast, the
# level swings (tests/test_overload_surge.py).
FALL_PER_S: Final = 1.5
RISE_PER_S: Final = 1.5
# Below this load nothing is refused, however fast it grows.
BUSY_LOAD: Final = 0.78
# Below this load the demand is gone, and the level opens faster.
EASY_LOAD: Final = 0.5
EASY_RISE_PER_S: Final = 6.0
LOAD_MEMORY_S: Final = 0.1
# What an entry decides shows at the gate only after the work above: the load is taken as it will be
# then if it goes on as it does.
FORESIGHT_S: Final = 0.25
MOST_LOAD: Final = 2.0


class Pressure:
    """Hold a gate's level, an importance and a part of it, and the smoothed load behind it."""

    def __init__(self, *, now: float) -> None:
        self.level = OPEN
        self.load = 0.0
        self.growth_per_s = 0.0
        self.moved_at = now


def move_pressure(pressure: Pressure, *, load: float, ceiling: float, now: float) -> float:
    """Move the level by the present load and return it; `ceiling` refuses nothing."""
    elapsed_s = now - pressure.moved_at
    if elapsed_s <= 0.0:
        return pressure.level
    pressure.moved_at = now
    weight = min(1.0, elapsed_s / LOAD_MEMORY_S)
    change = (min(load, MOST_LOAD) - pressure.load) * weight
    pressure.load += change
    pressure.growth_per_s += (change / elapsed_s - pressure.growth_per_s) * weight
    room = AIM_LOAD - pressure.load - pressure.growth_per_s * FORESIGHT_S
    if pressure.load < BUSY_LOAD:
        room = max(0.0, room)
    if room < 0.0:
        speed = FALL_PER_S
    else:
        speed = EASY_RISE_PER_S if pressure.load < EASY_LOAD else RISE_PER_S
    moved = min(pressure.level, ceiling) + room * speed * min(elapsed_s, 1.0)
    pressure.level = min(max(moved, 0.0), ceiling)
    return pressure.level


def rank_of(importance: int, sub_order: int) -> float:
    """Return a request's place among all, to be compared with a level."""
    return importance + sub_order / SUB_ORDERS


def is_shed(importance: int, sub_order: int, *, level: float) -> bool:
    """Tell whether a level refuses a request."""
    return rank_of(importance, sub_order) >= level
