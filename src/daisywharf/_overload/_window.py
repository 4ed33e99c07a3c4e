"""An entry's window: how many requests it admits at once that use one loaded service."""

from typing import Final

from daisywharf._context import SUB_ORDERS, Refusals
from daisywharf._contract import Importance
from daisywharf._ids import ServiceName
from daisywharf._overload._demand import (
    Demand,
    decay,
    learn_resend_factor,
    level_for_rate,
    record_admitted,
    record_refused,
)
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._overload._queue import WaitingQueue
from daisywharf._overload._track import LevelTrack, lowest_recent_level, move_towards

# The window limits requests until the loaded service's shedding level reaches the entry. Once that
# service sheds, its level decides, and the window binds only if the level doesn't suffice.
LOAD_SETPOINT: Final = 1.0
# While the service sheds and its load is at most `MAX_GROWTH_LOAD`, the size is at least this many
# times the mean number of requests in flight.
SHEDDING_SIZE_FACTOR: Final = 2.0
MAX_GROWTH_LOAD: Final = 1.2
# A reported level this little below the open one, in importances, doesn't count as shedding.
OPEN_MARGIN: Final = 0.05
# Time constant of the reported load and level.
LOAD_SMOOTHING_S: Final = 0.1
# Without newer reports a load is used for `LOAD_LIFETIME_S`; a level is kept for `LEVEL_LIFETIME_S`
# and then rises, in importances per second.
LOAD_LIFETIME_S: Final = 1.0
LEVEL_LIFETIME_S: Final = 0.5
STALE_LEVEL_RISE_PER_S: Final = 2.0
# Time constant of the window's own rates.
RATE_SMOOTHING_S: Final = 0.2
# The window's level admits the rate of completions, and what fills the headroom and a queue of this
# many seconds of completions within `HEADROOM_PERIOD_S`.
INTENDED_QUEUE_WAIT_S: Final = 0.005
HEADROOM_PERIOD_S: Final = 0.1
# Decrease of the size factor per unit of load above the setpoint.
EXCESS_GAIN: Final = 0.3
# A window binds (it limits requests) if this fraction of its size is in flight or requests wait.
BINDING_FRACTION: Final = 0.9
# The strictest level that a window sets by itself: it refuses all requests but critical ones.
MIN_WINDOW_LEVEL: Final = Level(Importance.HIGH, 0)
# A window that binds changes by this fraction of the step that its load calls for.
SIZE_GAIN: Final = 0.5
# A new window has no limit for this long, until its rates are known.
LEARNING_S: Final = 1.0
# Requests that may always be in flight, so that the load stays known.
MIN_WINDOW: Final = 1.0
# Limits of the factor by which the size changes at once, and the factor for a window that doesn't
# bind.
MAX_SIZE_FACTOR: Final = 2.0
MIN_SIZE_FACTOR: Final = 0.7
IDLE_SIZE_FACTOR: Final = 0.93


class EntryWindow:
    """Hold an entry's state for the requests that use one downstream service.

    Times are in seconds of the gate's clock. `size` is the number of requests that may be in flight
    at once, `run_s` their mean run time, and `refused` counts the refused ones by importance.
    `load` and `rank_below` are the smoothed load and level of the downstream service as last
    reported at `reported_at`; the rank is the importance plus the fraction of sub-orders.
    """

    def __init__(self, service: ServiceName, *, now: float) -> None:
        self.service = service
        self.load = 0.0
        self.rank_below = float(OPEN_LEVEL.importance)
        self.reported_at = now
        self.in_flight = 0
        self.mean_in_flight = 0.0
        self.size = float("inf")
        self.completions_per_second = 0.0
        self.completions = 0
        self.run_s = 0.1
        self.created_at = now
        self.changed_at = now
        self.ticked_at = now
        self.queue = WaitingQueue()
        self.demand = Demand()
        self.track = LevelTrack(now=now)
        self.refused = [0] * len(Importance)


def record_level_below(window: EntryWindow, level: Level, *, now: float) -> None:
    """Update the smoothed load and level from the level that an answer carried."""
    weight = max(0.05, min(1.0, (now - window.reported_at) / LOAD_SMOOTHING_S))
    rank = level.importance + level.sub_order / SUB_ORDERS
    window.load += (level.load - window.load) * weight
    window.rank_below += (rank - window.rank_below) * weight
    window.reported_at = now


def has_headroom(window: EntryWindow) -> bool:
    """Return whether the window admits one more request."""
    return window.in_flight < window.size


def take_refusals(window: EntryWindow) -> Refusals | None:
    """Return and reset the counts of requests refused since the last call, or None if none were."""
    if not any(window.refused):
        return None
    level = window.track.level
    refusals = Refusals(tuple(window.refused), level.importance, level.sub_order)
    window.refused = [0] * len(Importance)
    return refusals


def record_end(window: EntryWindow, run_s: float, *, succeeded: bool) -> None:
    """Record the end of an admitted request that ran for `run_s` seconds."""
    window.in_flight -= 1
    if succeeded:
        window.completions += 1
        window.run_s += (run_s - window.run_s) * 0.1


def adjust_window(window: EntryWindow, *, now: float) -> None:
    """Adjust the window's size towards the load setpoint, and its level to match."""
    elapsed_s = now - window.ticked_at
    if elapsed_s <= 0.0:
        return
    window.ticked_at = now
    _smooth_rates(window, elapsed_s)
    decay(window.demand, elapsed_s)
    if now - window.changed_at >= window.run_s * 0.5:
        window.changed_at = now
        _resize(window, now=now)
    _set_level(window, now=now)


def _smooth_rates(window: EntryWindow, elapsed_s: float) -> None:
    weight = min(1.0, elapsed_s / RATE_SMOOTHING_S)
    rate = window.completions / elapsed_s
    window.completions = 0
    window.completions_per_second += (rate - window.completions_per_second) * weight
    window.mean_in_flight += (window.in_flight - window.mean_in_flight) * weight


def _resize(window: EntryWindow, *, now: float) -> None:
    """Change the size by one step towards the load setpoint."""
    if now - window.reported_at > LOAD_LIFETIME_S:
        # No answer reported a load for long: admit requests to measure it again.
        window.size = max(window.size, MIN_WINDOW) * MAX_SIZE_FACTOR
        return
    base = max(window.mean_in_flight, MIN_WINDOW)
    if window.rank_below < OPEN_LEVEL.importance - OPEN_MARGIN:
        # The loaded service's own level decides, so the window grows and doesn't bind.
        if window.load <= MAX_GROWTH_LOAD:
            window.size = max(window.size, base * SHEDDING_SIZE_FACTOR)
        return
    if now - window.created_at < LEARNING_S:
        return
    factor = _size_factor(window)
    if window.size == float("inf"):
        window.size = base * factor
    elif window.in_flight >= window.size * BINDING_FRACTION or window.queue.size:
        window.size = max(MIN_WINDOW, window.size * (1.0 + (factor - 1.0) * SIZE_GAIN))
    else:
        window.size = max(MIN_WINDOW, window.size * IDLE_SIZE_FACTOR, base * factor)


def _size_factor(window: EntryWindow) -> float:
    """Return the factor by which the size would have to change to reach the load setpoint."""
    if window.load <= LOAD_SETPOINT:
        return min(MAX_SIZE_FACTOR, LOAD_SETPOINT / max(window.load, 0.01))
    # Above capacity the whole excess queues at that one service, so its load changes several
    # times as much as the number of requests in flight.
    return max(MIN_SIZE_FACTOR, 1.0 - (window.load - LOAD_SETPOINT) * EXCESS_GAIN)


def _set_level(window: EntryWindow, *, now: float) -> None:
    learn_resend_factor(window.demand, lowest_recent_level(window.track, now=now))
    wanted_level = _level_below(window, now=now)
    is_binding = window.in_flight >= window.size * BINDING_FRACTION or window.queue.size > 0
    if wanted_level == OPEN_LEVEL or is_binding:
        wanted_level = min(wanted_level, _window_level(window))
    move_towards(window.track, wanted_level, now=now)


def _window_level(window: EntryWindow) -> Level:
    """Return the level that admits as many requests per second as fit into the window."""
    rate = window.completions_per_second
    intended_queue = rate * INTENDED_QUEUE_WAIT_S
    headroom = window.size - window.in_flight + intended_queue - window.queue.size
    fitting_rate = max(0.0, rate + headroom / HEADROOM_PERIOD_S)
    # Critical requests are refused only if the loaded service's own level refuses them.
    return max(level_for_rate(window.demand, fitting_rate), MIN_WINDOW_LEVEL)


def _level_below(window: EntryWindow, *, now: float) -> Level:
    """Return the downstream service's last known level, which rises again once it is old."""
    age_s = now - window.reported_at
    rank = window.rank_below + max(0.0, age_s - LEVEL_LIFETIME_S) * STALE_LEVEL_RISE_PER_S
    importance = int(rank)
    if importance >= OPEN_LEVEL.importance:
        return OPEN_LEVEL
    return Level(importance, int((rank - importance) * SUB_ORDERS))


def refuses(window: EntryWindow, importance: Importance, sub_order: int) -> bool:
    """Return whether the window's level refuses a request."""
    return window.track.level.refuses(importance, sub_order)


def record_request(
    window: EntryWindow, importance: Importance, sub_order: int, *, is_refused: bool
) -> None:
    """Count an arriving request as admitted or refused."""
    if not is_refused:
        record_admitted(window.demand, importance, sub_order)
        return
    record_refused(window.demand, importance, sub_order)
    window.refused[importance] += 1
