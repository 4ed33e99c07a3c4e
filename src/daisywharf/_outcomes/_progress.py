"""Tell a call on a silent connection from a slow one by asking its gate over another."""

from enum import Enum
from typing import Final

PROBE_AFTER_S: Final = 0.8
SILENCE_LIMIT_S: Final = 1.5
# One answer may be on its way while the gate is asked; two in a row can't be.
MISSES_BEFORE_CLOSE: Final = 2


class ProbeResult(Enum):
    """Name what a gate said of a call over a new connection."""

    OPEN = "open"
    NOT_OPEN = "not-open"
    UNREACHABLE = "unreachable"


class CallProgress:
    """Hold when a call was last known to be in its gate's hands; times in seconds."""

    def __init__(self, *, sent_at: float) -> None:
        self.last_alive_at = sent_at
        self.misses = 0


def needs_probe(progress: CallProgress, *, now: float) -> bool:
    """Tell whether the gate is to be asked for the call."""
    return now - progress.last_alive_at >= PROBE_AFTER_S


def record_probe_result(progress: CallProgress, result: ProbeResult, *, now: float) -> bool:
    """Take a gate's word; tell whether the call's connection is to be cut."""
    if result is ProbeResult.OPEN:
        progress.last_alive_at = now
        progress.misses = 0
        return False
    if result is ProbeResult.NOT_OPEN:
        progress.misses += 1
        return progress.misses >= MISSES_BEFORE_CLOSE
    return now - progress.last_alive_at >= SILENCE_LIMIT_S
