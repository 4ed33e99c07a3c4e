"""The window of an entry: how many requests it keeps in flight through one loaded service."""

from typing import Final

from daisywharf._contract import Importance
from daisywharf._ids import ServiceName
from daisywharf._overload._demand import Demand, fade, level_for_rate
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._overload._queue import WaitingQueue, oldest_wait_s

# The load that a window aims at, by the importance of the first calls that it refuses. The
# steps between them make entries give up less important work first, without talking together.
AIM_BY_IMPORTANCE: Final = (1.30, 1.14, 1.09, 1.04, 1.04)
LOAD_MEMORY_S: Final = 0.1
LOAD_LIFETIME_S: Final = 1.0
RATE_MEMORY_S: Final = 0.2
LEVEL_SLACK: Final = 1.15
MAX_ENTRY_WAIT_S: Final = 0.02
MIN_WINDOW: Final = 1.0
MAX_STEP: Final = 1.25
MIN_STEP: Final = 0.7


class EntryWindow:
    """Hold what an entry knows of the requests that pass one service further down."""

    def __init__(self, service: ServiceName, *, now: float) -> None:
        self.service = service
        self.load = 0.0
        self.load_heard_at = now
        self.in_flight = 0
        self.mean_in_flight = 0.0
        self.size = float("inf")
        self.completions_per_second = 0.0
        self.completions = 0
        self.residence_s = 0.1
        self.changed_at = now
        self.ticked_at = now
        self.queue = WaitingQueue()
        self.demand = Demand()
        self.level = OPEN_LEVEL


def note_load(window: EntryWindow, load: float, *, now: float) -> None:
    """Blend in a load that came back on an answer."""
    elapsed = now - window.load_heard_at
    weight = max(0.05, min(1.0, elapsed / LOAD_MEMORY_S))
    window.load += (load - window.load) * weight
    window.load_heard_at = now


def has_room(window: EntryWindow) -> bool:
    """Tell whether one more request may go through."""
    return window.in_flight < window.size


def note_end(window: EntryWindow, residence_s: float, *, succeeded: bool) -> None:
    """Count a request that left."""
    window.in_flight -= 1
    if succeeded:
        window.completions += 1
        window.residence_s += (residence_s - window.residence_s) * 0.1


def adjust(window: EntryWindow, *, now: float) -> None:
    """Move the window towards the load that it aims at, and the level with it."""
    elapsed = now - window.ticked_at
    if elapsed <= 0.0:
        return
    window.ticked_at = now
    _average(window, elapsed)
    fade(window.demand, elapsed)
    if now - window.changed_at >= window.residence_s * 0.5:
        window.changed_at = now
        _resize(window, now=now)
    _set_level(window, now=now)


def _average(window: EntryWindow, elapsed_s: float) -> None:
    weight = min(1.0, elapsed_s / RATE_MEMORY_S)
    rate = window.completions / elapsed_s
    window.completions = 0
    window.completions_per_second += (rate - window.completions_per_second) * weight
    window.mean_in_flight += (window.in_flight - window.mean_in_flight) * weight


def _resize(window: EntryWindow, *, now: float) -> None:
    if now - window.load_heard_at > LOAD_LIFETIME_S:
        # Nothing was heard for long: let requests through to learn the load anew.
        window.size = max(window.size, MIN_WINDOW) * MAX_STEP
        return
    aim = AIM_BY_IMPORTANCE[window.level.importance]
    step = aim / max(window.load, 0.01)
    base = max(window.mean_in_flight, MIN_WINDOW)
    if window.size == float("inf"):
        window.size = base * step
        return
    lowest = window.size * MIN_STEP
    if window.in_flight >= window.size * 0.9 or window.queue.size:
        bounded = min(MAX_STEP, max(MIN_STEP, step))
        window.size = max(MIN_WINDOW, window.size * (1.0 + (bounded - 1.0) * 0.5))
        return
    window.size = max(MIN_WINDOW, lowest, base * step)


def _set_level(window: EntryWindow, *, now: float) -> None:
    is_full = window.in_flight >= window.size * 0.9
    waited_s = oldest_wait_s(window.queue, now=now)
    if not is_full and not waited_s:
        window.level = OPEN_LEVEL
        return
    room = max(0.0, window.size - window.in_flight)
    rate = window.completions_per_second * LEVEL_SLACK + room / RATE_MEMORY_S
    window.level = level_for_rate(window.demand, rate)


def refuses(window: EntryWindow, importance: Importance, sub_order: int) -> bool:
    """Tell whether a request is refused at once."""
    return window.level.refuses(importance, sub_order)


def level_of(window: EntryWindow) -> Level:
    """Return the level of the window."""
    return window.level
