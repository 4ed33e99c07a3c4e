"""Bound the bytes of bodies and answers that a daemon holds for others.

Load pattern: many callers send long bodies or read long answers slowly, so that what is held for
them outgrows the process's memory, and its end takes all other requests with it. What has been let
in goes on; new work is refused until enough of it has gone. Answers without end are no exception to
the bound: where it is overrun, the largest that is being read ends.
"""

from typing import Final

# Part of the process's memory. The rest holds the program, and the copies of what is on its way
# between daemons: a body is held at its entry, in a link's buffer and at its gate.
BUFFER_FRACTION: Final = 0.25
# Times the bound from which on answers that are being read end, the largest first.
OVERRUN_FACTOR: Final = 1.5
# Part of the bound that one answer may take: it is held at its gate, on a link and at its entry.
ANSWER_FRACTION: Final = 0.25


class MemoryBudget:
    """Hold how many bytes are kept for others, and how many may be.

    Beyond `max_bytes` new work is refused, beyond `max_overrun_bytes` answers that are being read
    end.
    """

    def __init__(self, *, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.max_overrun_bytes = max_bytes * OVERRUN_FACTOR
        self.max_answer_bytes = max_bytes * ANSWER_FRACTION
        self.buffered_bytes = 0
        self.unsent_bytes = 0

    @property
    def is_full(self) -> bool:
        """Tell whether new work must be refused."""
        return self.buffered_bytes + self.unsent_bytes > self.max_bytes

    @property
    def is_overrun(self) -> bool:
        """Tell whether answers that are being read must end."""
        return self.buffered_bytes + self.unsent_bytes > self.max_overrun_bytes


def max_buffered_bytes(memory_bytes: float) -> float:
    """Return how many bytes a process with so much memory may hold for others."""
    return memory_bytes * BUFFER_FRACTION


def add_buffered(memory: MemoryBudget, count: int) -> None:
    """Count bytes that came in; give them back with a negative count."""
    memory.buffered_bytes += count


def record_unsent(memory: MemoryBudget, count: int) -> None:
    """Take the bytes that wait, at this moment, to be read by others."""
    memory.unsent_bytes = count
