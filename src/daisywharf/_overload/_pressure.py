"""Move a gate's shedding level by its own load, for the entries of the whole chain to follow.

Load pattern: a surge whose requests meet at one deep service, many calls each. What is let in must
fit there, or work done above is thrown away; and the level must neither swing nor stay shut. In a
small fleet an entry hears the level with the answers that it gets, at once. Among hundreds of
entries one hears of a small gate twice a second: there the level moves as much more slowly.
"""

from typing import Final

from daisywharf._context import SUB_ORDERS
from daisywharf._contract import Importance

OPEN: Final = float(len(Importance))
# Occupied part of the limit that the level steers to, with what waits; the limit itself leaves a
# target room. Where levels are heard late the load swings more, and at its mean a gate idles often.
LOAD_SETPOINT: Final = 0.95
SETPOINT_PER_AGE_S: Final = 0.1
# Importances a second by which the level moves, for a load off by 1, where entries hear it at once;
# half of it where they hear it after `HALF_SPEED_NEWS_S`.
SPEED_PER_S: Final = 1.0
HALF_SPEED_AGE_S: Final = 0.25
# Below this load nothing is refused, however fast it grows.
BUSY_LOAD: Final = 0.78
# Below this load the demand is gone, and the level opens faster.
EASY_LOAD: Final = 0.5
EASY_RISE_PER_S: Final = 6.0
LOAD_SMOOTHING_S: Final = 0.1
SMOOTHING_S_PER_AGE_S: Final = 0.33
# What an entry decides shows at the gate only after the work above: the load is taken as it will be
# then if it goes on as it does.
PREDICTION_S: Final = 0.3
PREDICTION_S_PER_AGE_S: Final = 0.4
# An entry that gets no answer of a gate hears of it in this time all the same.
MAX_REPORT_AGE_S: Final = 0.6
ARRIVALS_SMOOTHING_S: Final = 0.5
MAX_LOAD: Final = 2.0


class Pressure:
    """Hold a gate's level, an importance and a part of it, and the smoothed load behind it."""

    def __init__(self, *, now: float) -> None:
        self.level = OPEN
        self.load = 0.0
        self.growth_per_s = 0.0
        self.arrivals = 0
        self.arrivals_per_s = 0.0
        self.moved_at = now


def record_arrival(pressure: Pressure) -> None:
    """Count a call that reaches the gate; its answer tells one entry the level."""
    pressure.arrivals += 1


def report_age_s(pressure: Pressure, *, entries: int) -> float:
    """Return how old the level is that one of so many entries knows, in seconds."""
    if pressure.arrivals_per_s <= 0.0:
        return MAX_REPORT_AGE_S
    return min(MAX_REPORT_AGE_S, entries / pressure.arrivals_per_s)


def move_pressure(
    pressure: Pressure, *, load: float, ceiling: float, entries: int, now: float
) -> float:
    """Move the level by the present load and return it; `ceiling` refuses nothing."""
    elapsed_s = now - pressure.moved_at
    if elapsed_s <= 0.0:
        return pressure.level
    pressure.moved_at = now
    _update_arrival_rate(pressure, elapsed_s)
    age_s = report_age_s(pressure, entries=entries)
    margin = _predicted_margin(pressure, min(load, MAX_LOAD), elapsed_s, age_s)
    speed = SPEED_PER_S / (1.0 + age_s / HALF_SPEED_AGE_S)
    if margin > 0.0 and pressure.load < EASY_LOAD:
        speed = EASY_RISE_PER_S
    moved = min(pressure.level, ceiling) + margin * speed * min(elapsed_s, 1.0)
    pressure.level = min(max(moved, 0.0), ceiling)
    return pressure.level


def _update_arrival_rate(pressure: Pressure, elapsed_s: float) -> None:
    arrivals, pressure.arrivals = pressure.arrivals, 0
    weight = min(1.0, elapsed_s / ARRIVALS_SMOOTHING_S)
    pressure.arrivals_per_s += weight * (arrivals / elapsed_s - pressure.arrivals_per_s)


def _predicted_margin(pressure: Pressure, load: float, elapsed_s: float, age_s: float) -> float:
    """Smooth the load and return how far it will be below the aim."""
    weight = min(1.0, elapsed_s / (LOAD_SMOOTHING_S + SMOOTHING_S_PER_AGE_S * age_s))
    change = (load - pressure.load) * weight
    pressure.load += change
    pressure.growth_per_s += (change / elapsed_s - pressure.growth_per_s) * weight
    prediction_s = PREDICTION_S + PREDICTION_S_PER_AGE_S * age_s
    setpoint = LOAD_SETPOINT + SETPOINT_PER_AGE_S * age_s
    margin = setpoint - pressure.load - pressure.growth_per_s * prediction_s
    return max(0.0, margin) if pressure.load < BUSY_LOAD else margin


def rank_of(importance: int, sub_order: int) -> float:
    """Return a request's place among all, to be compared with a level."""
    return importance + sub_order / SUB_ORDERS


def is_shed(importance: int, sub_order: int, *, level: float) -> bool:
    """Tell whether a level refuses a request."""
    return rank_of(importance, sub_order) >= level
