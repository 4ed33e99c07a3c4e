"""A token bucket, which limits a rate and a burst."""

from typing import Final

import msgspec

# Rounding may leave slightly less than one token at the moment when one is due.
ROUNDING_TOLERANCE: Final = 1e-9


class Bucket(msgspec.Struct):
    """Hold `tokens` as of `refilled_at` (seconds); `burst` is the capacity in tokens."""

    rate_per_second: float
    burst: float
    tokens: float
    refilled_at: float


def refill(bucket: Bucket, *, rate_per_second: float, burst: float, now: float) -> None:
    """Add the tokens gained at the old rate until `now`, then set the new rate and burst."""
    refilled_tokens = max(0.0, now - bucket.refilled_at) * bucket.rate_per_second
    bucket.rate_per_second = rate_per_second
    bucket.burst = burst
    bucket.tokens = min(burst, bucket.tokens + refilled_tokens)
    bucket.refilled_at = now


def token_wait_s(bucket: Bucket) -> float:
    """Return the seconds from the last refill until a whole token is available, 0 if one is."""
    if bucket.tokens >= 1.0 - ROUNDING_TOLERANCE:
        return 0.0
    return (1.0 - bucket.tokens) / max(bucket.rate_per_second, ROUNDING_TOLERANCE)
