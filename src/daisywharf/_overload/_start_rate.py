"""Know how many calls a second a target in need takes.

Load pattern: a target that is in trouble names a limit far below what it gets, in each of its
answers and for as long as it is in need. Its slots stay free, so nothing else holds calls back.
"""

from typing import Final

UNLIMITED_PER_S: Final = float("inf")
# Answers on several connections are read out of order, and a failing part of a target may leave the
# limit out: an answer that doesn't name it ends it only so long after the last one that did.
KEPT_S: Final = 1.0


class StartRate:
    """Hold the limit that a target named last, in calls a second; none where none is known."""

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.named_at = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Tell whether the target names a limit."""
        return self.per_s is not None and self.per_s != UNLIMITED_PER_S


def name_limit(rate: StartRate, per_s: float, *, now: float) -> None:
    """Take a limit that an answer named, when its head was read."""
    rate.per_s = per_s
    rate.named_at = now


def hear_no_limit(rate: StartRate, *, heard_at: float) -> bool:
    """Take a sound answer without a limit; return whether that ended one."""
    was_limited = rate.is_limited
    if not was_limited or heard_at - rate.named_at >= KEPT_S:
        rate.per_s = UNLIMITED_PER_S
        return was_limited
    return False
