"""Set a gate's shedding level so that the demand of all its entries fits its capacity."""

from typing import Final

from daisywharf._context import Refusals
from daisywharf._contract import Importance
from daisywharf._overload._demand import (
    Demand,
    decay,
    learn_resend_factor,
    level_for_rate,
    record_admitted,
    record_refusals,
)
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._overload._track import LevelTrack, lowest_recent_level, move_towards, raised_level

# Load (calls running and waiting, over the limit) at which the admitted rate equals the capacity;
# above 1, so that a few calls wait and all slots are used.
LOAD_SETPOINT: Final = 1.12
# Below this load the level opens, by up to `LOW_LOAD_RISE_PER_S` importances per second.
LOW_LOAD: Final = 0.5
LOW_LOAD_RISE_PER_S: Final = 40.0
# The level that refuses all calls but critical ones.
CRITICAL_ONLY_LEVEL: Final = Level(Importance.HIGH, 0)
# A load above the setpoint reduces the admitted rate by at most this fraction of the capacity.
MAX_CUT_FRACTION: Final = 0.35
# Smallest fraction of slots in use from which the capacity is extrapolated.
MIN_USED_FRACTION: Final = 0.2
# Time in which the calls above or below the setpoint are to be worked off or admitted.
CORRECTION_PERIOD_S: Final = 0.5
# Time constant of the smoothed rate of completions.
RATE_SMOOTHING_S: Final = 0.25
# Below this load an open level stays open, and call classes aren't moved to a service's window.
BUSY_LOAD: Final = 0.85
LOAD_SMOOTHING_S: Final = 0.1


class Shedding:
    """Hold a gate's shedding level and the estimates behind it.

    `completions` counts calls since `moved_at`, when the level was last moved. `load` (running and
    waiting calls) and `used_fraction` (running calls) are smoothed and relative to the limit.
    """

    def __init__(self) -> None:
        self.demand = Demand()
        self.track = LevelTrack(now=0.0)
        self.completions = 0
        self.completions_per_second = 0.0
        self.load = 0.0
        self.used_fraction = 0.0
        self.moved_at = 0.0


def record_call(
    shedding: Shedding, importance: Importance, sub_order: int, refusals: Refusals | None
) -> None:
    """Count an arriving call, and the requests that its entry reports as refused."""
    record_admitted(shedding.demand, importance, sub_order)
    if refusals is not None:
        record_refusals(shedding.demand, refusals)


def record_completion(shedding: Shedding) -> None:
    """Count a call that released its slot."""
    shedding.completions += 1


def move_level(shedding: Shedding, *, load: float, running: int, limit: float, now: float) -> None:
    """Move the level towards the one that admits the estimated capacity, corrected by the load."""
    elapsed_s = now - shedding.moved_at
    if elapsed_s <= 0.0:
        return
    shedding.moved_at = now
    weight = min(1.0, elapsed_s / RATE_SMOOTHING_S)
    rate = shedding.completions / elapsed_s
    shedding.completions = 0
    shedding.completions_per_second += (rate - shedding.completions_per_second) * weight
    shedding.used_fraction += (running / max(limit, 1.0) - shedding.used_fraction) * weight
    shedding.load += (load - shedding.load) * min(1.0, elapsed_s / LOAD_SMOOTHING_S)
    decay(shedding.demand, elapsed_s)
    learn_resend_factor(shedding.demand, lowest_recent_level(shedding.track, now=now))
    if shedding.load < BUSY_LOAD and shedding.track.level == OPEN_LEVEL:
        return
    # Completions measure only the slots in use: a gate with free slots could complete more.
    used_fraction = min(1.0, max(MIN_USED_FRACTION, shedding.used_fraction))
    capacity = shedding.completions_per_second / used_fraction
    correction = (LOAD_SETPOINT - shedding.load) * limit / CORRECTION_PERIOD_S
    correction = max(correction, -MAX_CUT_FRACTION * capacity)
    fitting_rate = max(0.0, capacity + correction)
    wanted_level = level_for_rate(shedding.demand, fitting_rate)
    # While critical work fits, only less important work is refused to clear a backlog.
    critical_level = min(level_for_rate(shedding.demand, capacity), CRITICAL_ONLY_LEVEL)
    wanted_level = max(wanted_level, critical_level)
    if shedding.load < LOW_LOAD:
        # The demand estimate lags; a gate with low load opens without waiting for it to decay.
        rise = LOW_LOAD_RISE_PER_S * elapsed_s * (1.0 - shedding.load / LOW_LOAD)
        wanted_level = max(wanted_level, raised_level(shedding.track.level, rise))
    move_towards(shedding.track, wanted_level, now=now)
