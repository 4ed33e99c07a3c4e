"""Estimate whether a call can still finish at its gate.

Load pattern: calls wait at a full gate until little of their time is left. A call that starts then
holds a slot until its deadline and is thrown away, while others wait for the slot.
"""

from typing import Final

import msgspec

# Smoothing weight of one run, and runs after which the mean is used.
RUN_WEIGHT: Final = 0.1
MIN_RUNS: Final = 10
# A call is started with at least this fraction of its route's mean run time left. Of runs that
# spread like the sum of four equal steps, a quarter take less: the chance from which a request is
# worth starting (see `_chain_chance`).
MIN_TIME_FRACTION: Final = 0.6
# Without further runs the mean halves in this time, so that a route whose calls are all refused is
# tried again: its target may have become faster.
HALF_LIFE_S: Final = 2.0
# More routes than a configuration has; the names come from other daemons.
MAX_ROUTES: Final = 1024


class RunTime(msgspec.Struct):
    """Hold the mean run time of one route, in seconds, the number of runs, and the last one's end.

    Runs that failed or were rejected don't count.
    """

    mean_s: float
    runs: int
    ended_at: float


class RunTimes:
    """Hold the run times of the calls at one target, by route."""

    def __init__(self) -> None:
        self.run_time_by_route: dict[str, RunTime] = {}


def record_run(times: RunTimes, route: str, seconds: float, *, now: float) -> None:
    """Smooth the run time of a call that was answered into its route's mean.

    A mean that has halved without runs stays so if the run confirms it: one fast run must not bring
    back the mean from before.
    """
    known = times.run_time_by_route.get(route)
    if known is None:
        if len(times.run_time_by_route) < MAX_ROUTES:
            times.run_time_by_route[route] = RunTime(seconds, 1, now)
        return
    mean_s = min(known.mean_s, max(seconds, _faded_s(known, now)))
    known.mean_s = mean_s + (seconds - mean_s) * RUN_WEIGHT
    known.runs += 1
    known.ended_at = now


def min_time_s(times: RunTimes, route: str, *, now: float) -> float:
    """Return the seconds that a call of a route needs to be worth starting; 0 if unknown."""
    known = times.run_time_by_route.get(route)
    if known is None or known.runs < MIN_RUNS:
        return 0.0
    return MIN_TIME_FRACTION * _faded_s(known, now)


def _faded_s(known: RunTime, now: float) -> float:
    """Return the mean run time, halved for each `HALF_LIFE_S` since the last run."""
    fraction: float = 0.5 ** (max(0.0, now - known.ended_at) / HALF_LIFE_S)
    return known.mean_s * fraction
