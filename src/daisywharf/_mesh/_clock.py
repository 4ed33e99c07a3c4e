"""The clock of a daemon's data path."""

import time


def boot_now() -> float:
    """Return seconds since the VM started, those for which it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return milliseconds since 1970 by the VM's time of day, which may jump."""
    return time.time_ns() // 1_000_000
