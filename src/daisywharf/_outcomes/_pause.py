"""Detect that this process was paused and resumed."""

from typing import Final

from daisywharf._outcomes._ticket import MAX_CLOCK_SKEW_S

PAUSE_LIMIT_S: Final = 1.0


class PauseState:
    """Hold when the process last ticked and when its last pause ended.

    Times are in seconds of its monotonic clock.
    """

    def __init__(self, *, now: float) -> None:
        self.ticked_at = now
        self.resumed_at = float("-inf")


def pause_tick(state: PauseState, *, now: float) -> float:
    """Return how many seconds the process was paused since the last tick, or 0.

    Call every 100 ms.
    """
    gap_s = now - state.ticked_at
    state.ticked_at = now
    if gap_s <= PAUSE_LIMIT_S:
        return 0.0
    state.resumed_at = now
    return gap_s


def deadline_on_arrival(
    time_left_s: float, *, sent_at: float, wall_now: float, now: float
) -> float:
    """Return the deadline, on the reader's monotonic clock, of a call sent with `time_left_s`.

    A call can wait in a connection's buffer while its reader is paused, and its stated time left
    doesn't shrink there. `sent_at` and `wall_now` are in seconds since 1970 by clocks that agree
    within `MAX_CLOCK_SKEW_S`, so its age is never overestimated, and underestimated by at most
    twice that.
    """
    age_s = max(0.0, wall_now - sent_at - MAX_CLOCK_SKEW_S)
    return now + time_left_s - age_s


def may_start(state: PauseState, *, deadline: float, now: float) -> bool:
    """Return whether a call may run now; check right before the run, despite earlier checks.

    A thread can resume before the tick that detects the pause, so the gap is checked here too.
    """
    return now < deadline and now - state.ticked_at <= PAUSE_LIMIT_S
