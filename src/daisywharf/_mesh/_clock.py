"""Clocks of a daemon's data path."""

import time


def boot_now() -> float:
    """Return the seconds since the VM booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the milliseconds since the Unix epoch by the wall clock, which may jump."""
    return time.time_ns() // 1_000_000
