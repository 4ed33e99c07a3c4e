"""The contract's rate and burst, as a token bucket for each customer and call class."""

import msgspec

from daisywharf._ids import CallClassName, CustomerId


class BucketKey(msgspec.Struct, frozen=True):
    """Name one customer's call class."""

    customer: CustomerId
    call_class: CallClassName


class Bucket(msgspec.Struct):
    """Hold the tokens of one call class; rate in requests a second, burst in requests."""

    rate_per_second: float
    burst: float
    tokens: float
    refilled_at: float


class RateState:
    """Hold the buckets that were used."""

    def __init__(self) -> None:
        self.bucket_by_key: dict[BucketKey, Bucket] = {}


def take_token(
    state: RateState, key: BucketKey, *, rate_per_second: float, burst: float, now: float
) -> float:
    """Take a token and return 0, or return the seconds until there is one."""
    bucket = state.bucket_by_key.get(key)
    if bucket is None:
        bucket = state.bucket_by_key[key] = Bucket(rate_per_second, burst, burst, now)
    gained = max(0.0, now - bucket.refilled_at) * bucket.rate_per_second
    bucket.rate_per_second = rate_per_second
    bucket.burst = burst
    bucket.tokens = min(burst, bucket.tokens + gained)
    bucket.refilled_at = now
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return 0.0
    return (1.0 - bucket.tokens) / max(rate_per_second, 1e-9)
