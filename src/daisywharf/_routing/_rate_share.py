"""Keep an entry to its part of the calls a second that a target in need takes.

Load pattern: a target takes a few calls a second while the others of its service have room. Between
two words of its load it looks idle to each of many entries; what they all send there waits for
nothing and is turned away. The entries of its zone, which know the limit, send their parts of it;
its gate still adds them up. Where no other target is left, all send there what must be sent, and
its gate chooses.
"""

from random import Random
from typing import Final

from daisywharf._overload._start_rate import MIN_PER_S
from daisywharf._token_bucket import Bucket, refill, wait_s

# Part of the limit that entries share out: a gate that is asked for all of it counts as full, and
# would have its service refuse requests for which the others have room.
SHARED_FRACTION: Final = 0.8


class RateShare:
    """Hold what one target takes in all, in calls a second, and this entry's part of it."""

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.bucket: Bucket | None = None


def set_share(share: RateShare, limit_per_s: float | None) -> None:
    """Take what a target takes in all; none where it names no limit."""
    if share.limit_per_s is None or limit_per_s is None:
        share.bucket = None
    share.limit_per_s = limit_per_s


def has_share(share: RateShare, *, entries: int, now: float, rng: Random) -> bool:
    """Tell whether one of so many entries in the target's zone may send a call."""
    if share.limit_per_s is None:
        return True
    rate_per_s = max(MIN_PER_S, share.limit_per_s) * SHARED_FRACTION / max(1, entries)
    if share.bucket is None:
        # Entries hear of a limit at one moment; their parts are spread from the start.
        share.bucket = Bucket(rate_per_s, 1.0, rng.random(), now)
    refill(share.bucket, rate_per_second=rate_per_s, burst=1.0, now=now)
    return not wait_s(share.bucket)


def spend_share(share: RateShare) -> None:
    """Count a call that was sent."""
    if share.bucket is not None:
        share.bucket.tokens = max(0.0, share.bucket.tokens - 1.0)
