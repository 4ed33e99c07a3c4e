"""Limit an entry to its share of a target's rate limit.

Load pattern: a target accepts only a few calls per second while the others of its service have
headroom. Between two announcements it looks idle to each of many entries; the calls they all send
to it wait and are then refused. So each entry of its zone, which knows the limit, sends its
share of it; the gate still enforces the sum. If no other target is available, entries send their
calls there regardless, and the gate decides.
"""

from random import Random
from typing import Final

from daisywharf._overload._start_rate import MIN_PER_S
from daisywharf._token_bucket import Bucket, refill, token_wait_s

# Fraction of the limit that entries share: a gate that gets calls at its full limit counts as full,
# and its service would refuse requests for which other targets have headroom.
SHARED_FRACTION: Final = 0.8


class RateShare:
    """Hold one target's rate limit, in calls per second, and this entry's share of it.

    `limit_per_s` is None if the target has no limit.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.bucket: Bucket | None = None


def set_share(share: RateShare, limit_per_s: float | None) -> None:
    """Set a target's rate limit in calls per second; None means no limit."""
    if share.limit_per_s is None or limit_per_s is None:
        share.bucket = None
    share.limit_per_s = limit_per_s


def has_share(share: RateShare, *, entries: int, now: float, rng: Random) -> bool:
    """Return whether one of `entries` entries in the target's zone may send a call."""
    if share.limit_per_s is None:
        return True
    rate_per_s = max(MIN_PER_S, share.limit_per_s) * SHARED_FRACTION / max(1, entries)
    if share.bucket is None:
        # Entries learn of a limit at the same time; a random first fill spreads their calls.
        share.bucket = Bucket(rate_per_s, 1.0, rng.random(), now)
    refill(share.bucket, rate_per_second=rate_per_s, burst=1.0, now=now)
    return not token_wait_s(share.bucket)


def spend_share(share: RateShare) -> None:
    """Charge a sent call to the share."""
    if share.bucket is not None:
        share.bucket.tokens = max(0.0, share.bucket.tokens - 1.0)
