"""Start calls no faster than the rate limit that a target announces.

Load pattern: a target in trouble announces a limit far below its present rate, in each of its
answers and for as long as the trouble lasts. Its slots stay free, so nothing else limits its calls.
All calls to a target start at its gate, so the limit is enforced there, and calls wait for their
turn by importance.
"""

from typing import Final

from daisywharf._token_bucket import Bucket, refill, token_wait_s

# Stands for "no limit": less than any limit, and one byte long in each load that gates announce.
UNLIMITED_PER_S: Final = -1
# Lowest rate at which a target is called, even if its limit is lower: only its answers can report
# a higher limit. The rule on target limits allows 5 requests in 4 s beyond a limit.
MIN_PER_S: Final = 0.25
# Burst after a pause: one call, and as many as the limit allows in this time. The rule on limits
# allows as many as the limit allows in 2 s.
BURST_S: Final = 0.25
# As many calls wait for their turn as start in this time; others are better placed elsewhere.
MAX_WAIT_S: Final = 0.5
# Answers on several connections are read out of order, and a failing part of a target may omit the
# limit: an answer without a limit ends it only this long after the last answer with one.
LIMIT_LIFETIME_S: Final = 1.0


class StartRate:
    """Hold the limit that a target last reported.

    `limit_per_s` is in calls per second, and None before the target's first answer.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.reported_at = float("-inf")
        self.bucket = Bucket(MIN_PER_S, 1.0, 0.0, 0.0)

    @property
    def is_limited(self) -> bool:
        """Return whether a limit is in effect."""
        return self.limit_per_s is not None and self.limit_per_s > UNLIMITED_PER_S


def record_limit(rate: StartRate, limit_per_s: float, *, now: float) -> None:
    """Record a limit, in calls per second, from an answer whose head was read at `now`."""
    if not rate.is_limited:
        # Calls that started before the limit count as the first burst, so the bucket starts empty.
        rate.bucket = Bucket(MIN_PER_S, 1.0, 0.0, now)
    rate.limit_per_s = limit_per_s
    rate.reported_at = now
    _refill(rate, now=now)


def record_no_limit(rate: StartRate, *, reported_at: float) -> bool:
    """Record a complete answer without a limit; return whether that ended a limit.

    `reported_at` is when the answer's head was read.
    """
    was_limited = rate.is_limited
    if not was_limited or reported_at - rate.reported_at >= LIMIT_LIFETIME_S:
        rate.limit_per_s = UNLIMITED_PER_S
        return was_limited
    return False


def limit_or_infinity(rate: StartRate) -> float:
    """Return the target's limit in calls per second, or infinity without one."""
    return rate.limit_per_s if rate.limit_per_s is not None and rate.is_limited else float("inf")


def start_delay_s(rate: StartRate, *, now: float) -> float:
    """Return the seconds until the limit allows a call to start."""
    if not rate.is_limited:
        return 0.0
    _refill(rate, now=now)
    return token_wait_s(rate.bucket)


def record_start(rate: StartRate) -> None:
    """Charge a starting call to the limit."""
    if rate.is_limited:
        rate.bucket.tokens -= 1.0


def max_waiting(rate: StartRate) -> float:
    """Return the maximum number of calls that may wait for their turn."""
    return max(1.0, limit_or_infinity(rate) * MAX_WAIT_S)


def _refill(rate: StartRate, *, now: float) -> None:
    assert rate.limit_per_s is not None
    per_s = max(MIN_PER_S, rate.limit_per_s)
    refill(rate.bucket, rate_per_second=per_s, burst=1.0 + BURST_S * per_s, now=now)
