"""The clock of a daemon's data path."""

import time
from typing import Final

import msgspec


def boot_now() -> float:
    """Return seconds since the VM started, those for which it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return milliseconds since 1970 by the VM's time of day, which may jump."""
    return time.time_ns() // 1_000_000


# Longer than a core may stand still for its quota, shorter than any client waits.
PAUSE_LIMIT_S: Final = 1.0


class Suspension(msgspec.Struct):
    """Hold by how much the clock that counts suspensions was ahead of the one that doesn't."""

    ahead_s: float
    ticked_at: float


def note_tick(state: Suspension, *, now: float, steady_now: float) -> float:
    """Return the seconds for which the process stood still since the last tick, or 0."""
    gap_s = max(now - steady_now - state.ahead_s, now - state.ticked_at)
    state.ahead_s = now - steady_now
    state.ticked_at = now
    return gap_s if gap_s > PAUSE_LIMIT_S else 0.0
