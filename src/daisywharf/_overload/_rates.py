"""The contract's rate and burst, as a token bucket for each customer and call class."""

import msgspec

from daisywharf._ids import CallClassName, CustomerId
from daisywharf._token_bucket import Bucket, refill, token_wait_s


class BucketKey(msgspec.Struct, frozen=True):
    """Identify one customer's call class."""

    customer: CustomerId
    call_class: CallClassName


class RateState:
    """Hold the buckets used so far."""

    def __init__(self) -> None:
        self.bucket_by_key: dict[BucketKey, Bucket] = {}


def take_token(
    state: RateState, key: BucketKey, *, rate_per_second: float, burst: float, now: float
) -> float:
    """Take a token and return 0, or return the seconds until one is available."""
    bucket = state.bucket_by_key.get(key)
    if bucket is None:
        bucket = state.bucket_by_key[key] = Bucket(rate_per_second, burst, burst, now)
    refill(bucket, rate_per_second=rate_per_second, burst=burst, now=now)
    until_s = token_wait_s(bucket)
    if not until_s:
        bucket.tokens -= 1.0
    return until_s
