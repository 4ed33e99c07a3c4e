"""Start calls no faster than a target in need says that it takes them.

Load pattern: a target that is in trouble names a limit far below what it gets, in each of its
answers and for as long as it is in need. Its slots stay free, so nothing else holds calls back. All
calls for a target start at its gate: the sum is kept there, and calls wait for their turn by
importance.
"""

from typing import Final

from daisywharf._token_bucket import Bucket, refill, wait_s

# Of a target that names no limit: below all limits, and one byte in each load that gates announce.
UNLIMITED_PER_S: Final = -1
# A target that takes less gets this all the same: only answers tell that it takes more. The rule
# bears 5 requests in 4 s beyond a limit.
MIN_PER_S: Final = 0.25
# What may start at once after a pause: a call, and what the limit allows in this time. The rule
# bears what it allows in 2 s.
BURST_S: Final = 0.25
# Calls wait for their turn as many as start in this time; others are better off elsewhere.
MAX_WAIT_S: Final = 0.5
# Answers on several connections are read out of order, and a failing part of a target may leave the
# limit out: an answer that doesn't name it ends it only so long after the last one that did.
LIMIT_LIFETIME_S: Final = 1.0


class StartRate:
    """Hold the limit that a target named last, in calls a second; none where none is known."""

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.reported_at = float("-inf")
        self.bucket = Bucket(MIN_PER_S, 1.0, 0.0, 0.0)

    @property
    def is_limited(self) -> bool:
        """Tell whether the target names a limit."""
        return self.limit_per_s is not None and self.limit_per_s > UNLIMITED_PER_S


def record_limit(rate: StartRate, limit_per_s: float, *, now: float) -> None:
    """Take a limit that an answer named, when its head was read."""
    if not rate.is_limited:
        # What started before counts as the first burst.
        rate.bucket = Bucket(MIN_PER_S, 1.0, 0.0, now)
    rate.limit_per_s = limit_per_s
    rate.reported_at = now
    _refill(rate, now=now)


def record_no_limit(rate: StartRate, *, reported_at: float) -> bool:
    """Take a sound answer without a limit; return whether that ended one."""
    was_limited = rate.is_limited
    if not was_limited or reported_at - rate.reported_at >= LIMIT_LIFETIME_S:
        rate.limit_per_s = UNLIMITED_PER_S
        return was_limited
    return False


def limit_or_infinity(rate: StartRate) -> float:
    """Return the limit that a target named, in calls a second."""
    return rate.limit_per_s if rate.limit_per_s is not None and rate.is_limited else float("inf")


def start_delay_s(rate: StartRate, *, now: float) -> float:
    """Return the seconds until a call may start."""
    if not rate.is_limited:
        return 0.0
    _refill(rate, now=now)
    return wait_s(rate.bucket)


def record_start(rate: StartRate) -> None:
    """Count a call that starts."""
    if rate.is_limited:
        rate.bucket.tokens -= 1.0


def max_waiting(rate: StartRate) -> float:
    """Return how many calls may wait for their turn."""
    return max(1.0, limit_or_infinity(rate) * MAX_WAIT_S)


def _refill(rate: StartRate, *, now: float) -> None:
    assert rate.limit_per_s is not None
    per_s = max(MIN_PER_S, rate.limit_per_s)
    refill(rate.bucket, rate_per_second=per_s, burst=1.0 + BURST_S * per_s, now=now)
