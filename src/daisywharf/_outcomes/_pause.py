"""Notice that this process was stopped and continued."""

from typing import Final

from daisywharf._outcomes._ticket import CLOCK_BOUND_S

PAUSE_LIMIT_S: Final = 1.0


class PauseState:
    """Hold when the process last ran; times are in seconds of its monotonic clock."""

    def __init__(self, *, now: float) -> None:
        self.ticked_at = now
        self.paused_until = float("-inf")


def pause_tick(state: PauseState, *, now: float) -> float:
    """Return the seconds that the process was stopped for, or 0; call every 100 ms."""
    gap_s = now - state.ticked_at
    state.ticked_at = now
    if gap_s <= PAUSE_LIMIT_S:
        return 0.0
    state.paused_until = now
    return gap_s


def deadline_on_arrival(
    time_left_s: float, *, sent_at: float, wall_now: float, now: float
) -> float:
    """Return the deadline, on the reader's clock, of a call sent at `sent_at` with time left.

    A call can lie in a connection's buffer while its reader is stopped, and its time left with
    it. `sent_at` and `wall_now` are in seconds since 1970 by clocks that agree within
    `CLOCK_BOUND_S`, so a call is never taken for fresher than that.
    """
    age_s = max(0.0, wall_now - sent_at - CLOCK_BOUND_S)
    return now + time_left_s - age_s


def may_start(state: PauseState, *, deadline: float, now: float) -> bool:
    """Tell whether a call may be run now: ask right before the run, whatever was decided before.

    A thread can wake before the tick that notices the pause, so the gap is judged here as well.
    """
    return now < deadline and now - state.ticked_at <= PAUSE_LIMIT_S
