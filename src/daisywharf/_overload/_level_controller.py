"""Control a gate's shedding level by its own load; the entries of the whole chain apply it.

Load pattern: a surge whose requests meet at one deep service, with many calls each. The admitted
requests must fit there, or upstream work is wasted; and the level must neither oscillate nor stay
closed. In a small fleet an entry receives the level at once, with its answers. Among hundreds of
entries each receives a small gate's level only twice a second; there the level moves more slowly,
in proportion to that delay.
"""

from typing import Final

from daisywharf._context import SUB_ORDERS
from daisywharf._contract import Importance

OPEN: Final = float(len(Importance))
# Setpoint of the load (running and waiting calls over the capacity); the gate's limit itself leaves
# the target some headroom. Where reports of the level are old the load swings more, and a gate
# whose mean load is at the setpoint is often idle, so the setpoint rises with their age.
LOAD_SETPOINT: Final = 0.95
SETPOINT_PER_AGE_S: Final = 0.1
# Speed of the level, in importances per second at a load error of 1, where entries receive the
# level at once; half of it where the level is `HALF_SPEED_AGE_S` old when they receive it.
SPEED_PER_S: Final = 1.0
HALF_SPEED_AGE_S: Final = 0.25
# Below this load the level never falls, however fast the load grows.
BUSY_LOAD: Final = 0.78
# Below this load the surge has ended, and the level opens faster: by `LOW_LOAD_RISE_PER_S`
# importances per second at a load error of 1.
LOW_LOAD: Final = 0.5
LOW_LOAD_RISE_PER_S: Final = 6.0
# Time constant of the smoothed load, and its increase per second of the reports' age.
LOAD_SMOOTHING_S: Final = 0.1
SMOOTHING_S_PER_AGE_S: Final = 0.33
# An entry's decision affects the gate only after the upstream work is done, so the load is
# extrapolated to that time at its present growth. Old reports delay the effect further.
PREDICTION_S: Final = 0.3
PREDICTION_S_PER_AGE_S: Final = 0.4
# An entry without answers from a gate receives its level by other messages within this time.
MAX_REPORT_AGE_S: Final = 0.6
ARRIVALS_SMOOTHING_S: Final = 0.5
# A larger load counts as this.
MAX_LOAD: Final = 2.0


class LevelController:
    """Hold a gate's level and the smoothed load that drives it.

    `level` is the rank (see `rank_of`) from which on requests are refused. `load` is the running
    and waiting calls over the gate's capacity, `arrivals` counts calls since `moved_at`.
    """

    def __init__(self, *, now: float) -> None:
        self.level = OPEN
        self.load = 0.0
        self.growth_per_s = 0.0
        self.arrivals = 0
        self.arrivals_per_s = 0.0
        self.moved_at = now


def record_arrival(controller: LevelController) -> None:
    """Count a call that arrives at the gate; its answer carries the level to one entry."""
    controller.arrivals += 1


def report_age_s(controller: LevelController, *, entries: int) -> float:
    """Return the age, in seconds, of the level that one of `entries` entries has received."""
    if controller.arrivals_per_s <= 0.0:
        return MAX_REPORT_AGE_S
    return min(MAX_REPORT_AGE_S, entries / controller.arrivals_per_s)


def move_level(
    controller: LevelController, *, load: float, ceiling: float, entries: int, now: float
) -> float:
    """Move the level by the present load and return it; at `ceiling` nothing is refused."""
    elapsed_s = now - controller.moved_at
    if elapsed_s <= 0.0:
        return controller.level
    controller.moved_at = now
    _update_arrival_rate(controller, elapsed_s)
    age_s = report_age_s(controller, entries=entries)
    margin = _predicted_margin(controller, min(load, MAX_LOAD), elapsed_s, age_s)
    speed = SPEED_PER_S / (1.0 + age_s / HALF_SPEED_AGE_S)
    if margin > 0.0 and controller.load < LOW_LOAD:
        speed = LOW_LOAD_RISE_PER_S
    moved = min(controller.level, ceiling) + margin * speed * min(elapsed_s, 1.0)
    controller.level = min(max(moved, 0.0), ceiling)
    return controller.level


def _update_arrival_rate(controller: LevelController, elapsed_s: float) -> None:
    arrivals, controller.arrivals = controller.arrivals, 0
    weight = min(1.0, elapsed_s / ARRIVALS_SMOOTHING_S)
    controller.arrivals_per_s += weight * (arrivals / elapsed_s - controller.arrivals_per_s)


def _predicted_margin(
    controller: LevelController, load: float, elapsed_s: float, age_s: float
) -> float:
    """Smooth the load and return the setpoint minus the predicted load.

    `age_s` is the age of the level when entries receive it.
    """
    weight = min(1.0, elapsed_s / (LOAD_SMOOTHING_S + SMOOTHING_S_PER_AGE_S * age_s))
    change = (load - controller.load) * weight
    controller.load += change
    controller.growth_per_s += (change / elapsed_s - controller.growth_per_s) * weight
    prediction_s = PREDICTION_S + PREDICTION_S_PER_AGE_S * age_s
    setpoint = LOAD_SETPOINT + SETPOINT_PER_AGE_S * age_s
    margin = setpoint - controller.load - controller.growth_per_s * prediction_s
    return max(0.0, margin) if controller.load < BUSY_LOAD else margin


def rank_of(importance: int, sub_order: int) -> float:
    """Return a request's rank (importance plus fraction of sub-orders), to compare with a level."""
    return importance + sub_order / SUB_ORDERS


def is_shed(importance: int, sub_order: int, *, level: float) -> bool:
    """Return whether a level refuses a request."""
    return rank_of(importance, sub_order) >= level
