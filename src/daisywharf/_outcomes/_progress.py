"""Tell a call on a silent connection from a slow one by asking its gate over another."""

from enum import Enum
from typing import Final

PROBE_AFTER_S: Final = 0.8
SILENCE_LIMIT_S: Final = 1.5
# One answer may be on its way while the gate is asked; two in a row can't be.
MISSES_TO_CUT: Final = 2


class GateWord(Enum):
    """Name what a gate said of a call over a new connection."""

    OPEN = "open"
    NOT_OPEN = "not-open"
    UNREACHABLE = "unreachable"


class CallProgress:
    """Hold when a call was last known to be in its gate's hands; times in seconds."""

    def __init__(self, *, sent_at: float) -> None:
        self.proven_at = sent_at
        self.misses = 0


def needs_probe(progress: CallProgress, *, now: float) -> bool:
    """Tell whether the gate is to be asked for the call."""
    return now - progress.proven_at >= PROBE_AFTER_S


def note_word(progress: CallProgress, word: GateWord, *, now: float) -> bool:
    """Take a gate's word; tell whether the call's connection is to be cut."""
    if word is GateWord.OPEN:
        progress.proven_at = now
        progress.misses = 0
        return False
    if word is GateWord.NOT_OPEN:
        progress.misses += 1
        return progress.misses >= MISSES_TO_CUT
    return now - progress.proven_at >= SILENCE_LIMIT_S
