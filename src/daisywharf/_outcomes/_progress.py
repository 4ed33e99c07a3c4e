"""Distinguish a call on a silent connection from a slow one by probing over another connection."""

from enum import Enum
from typing import Final

PROBE_AFTER_S: Final = 0.8
SILENCE_LIMIT_S: Final = 1.5
# The answer may be in transit during one probe, but not during two in a row.
MISSES_BEFORE_CLOSE: Final = 2


class ProbeResult(Enum):
    """Name the results of probing a gate for a call over a new connection.

    `NOT_OPEN` means that the gate answered without the call, `UNREACHABLE` that it didn't answer.
    """

    OPEN = "open"
    NOT_OPEN = "not-open"
    UNREACHABLE = "unreachable"


class CallProgress:
    """Hold when a call was last known to be open at its gate.

    Times are in seconds of the monotonic clock. `misses` counts the probes answered `NOT_OPEN`
    since the last one that was answered `OPEN`.
    """

    def __init__(self, *, sent_at: float) -> None:
        self.last_alive_at = sent_at
        self.misses = 0


def needs_probe(progress: CallProgress, *, now: float) -> bool:
    """Return whether the gate should be probed for the call."""
    return now - progress.last_alive_at >= PROBE_AFTER_S


def record_probe_result(progress: CallProgress, result: ProbeResult, *, now: float) -> bool:
    """Record a probe's result; return whether the call's connection should be closed."""
    if result is ProbeResult.OPEN:
        progress.last_alive_at = now
        progress.misses = 0
        return False
    if result is ProbeResult.NOT_OPEN:
        progress.misses += 1
        return progress.misses >= MISSES_BEFORE_CLOSE
    return now - progress.last_alive_at >= SILENCE_LIMIT_S
