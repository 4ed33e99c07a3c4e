"""Log when a gate starts and stops refusing calls because of load."""

from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event


class SheddingState:
    """Hold the time in seconds since when a gate refuses calls; None while it refuses none."""

    def __init__(self) -> None:
        self.began_at: float | None = None


def log_shedding_change(state: SheddingState, target: str, level: Level, *, now: float) -> None:
    """Log that a gate starts or stops refusing calls, if its new level does so."""
    is_shedding = level.importance < OPEN_LEVEL.importance
    if is_shedding == (state.began_at is not None):
        return
    began_at, state.began_at = state.began_at, now if is_shedding else None
    if is_shedding:
        shown = f"{level.importance}.{level.sub_order}"
        log_event(Event.SHEDDING_STARTED, target=target, level=shown)
    elif began_at is not None:
        log_event(Event.SHEDDING_ENDED, target=target, shedding_s=round(now - began_at, 1))
