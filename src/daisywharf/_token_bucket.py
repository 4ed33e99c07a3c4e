"""A token bucket: what it takes in a second, and how much of that it may take at once."""

from typing import Final

import msgspec

# What rounding takes from a token that is due at this very moment.
ROUNDING_TOLERANCE: Final = 1e-9


class Bucket(msgspec.Struct):
    """Hold the tokens at a time; rate in tokens a second, burst in tokens."""

    rate_per_second: float
    burst: float
    tokens: float
    refilled_at: float


def refill(bucket: Bucket, *, rate_per_second: float, burst: float, now: float) -> None:
    """Add what the former rate brought until now, and go on with this rate and burst."""
    refilled_tokens = max(0.0, now - bucket.refilled_at) * bucket.rate_per_second
    bucket.rate_per_second = rate_per_second
    bucket.burst = burst
    bucket.tokens = min(burst, bucket.tokens + refilled_tokens)
    bucket.refilled_at = now


def wait_s(bucket: Bucket) -> float:
    """Return the seconds from the last refill until there is a token."""
    if bucket.tokens >= 1.0 - ROUNDING_TOLERANCE:
        return 0.0
    return (1.0 - bucket.tokens) / max(bucket.rate_per_second, ROUNDING_TOLERANCE)
