"""Notice that this process was stopped and continued."""

from typing import Final

PAUSE_LIMIT_S: Final = 1.0


class PauseState:
    """Hold when the process last ran; times are in seconds of its monotonic clock."""

    def __init__(self, *, now: float) -> None:
        self.ticked_at = now
        self.paused_until = float("-inf")


def pause_tick(state: PauseState, *, now: float) -> float:
    """Return the seconds that the process was stopped for, or 0; call every 100 ms."""
    gap = now - state.ticked_at
    state.ticked_at = now
    if gap <= PAUSE_LIMIT_S:
        return 0.0
    state.paused_until = now
    return gap


def may_start(state: PauseState, *, deadline: float, now: float) -> bool:
    """Tell whether a call may be run now: ask right before the run, whatever was decided before.

    A thread can wake before the tick that notices the pause, so the gap is judged here as well.
    """
    return now < deadline and now - state.ticked_at <= PAUSE_LIMIT_S
