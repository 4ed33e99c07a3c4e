"""Bound the memory for request bodies and answers that a daemon buffers.

Load pattern: many callers send long bodies or read long answers slowly, until the buffers outgrow
the process's memory and the process dies with all other requests. Requests that were accepted
continue; new ones are refused until enough memory is free again. The bound also covers endless
answers: where it is overrun, the largest answer that is being read is aborted. A frame from another
daemon that doesn't fit is skipped while it arrives, so that it is never held.
"""

from typing import Final

# Fraction of the process's memory. The rest is for the program and for copies in transit between
# daemons: a body is buffered at its entry, in a link and at its gate.
BUFFER_FRACTION: Final = 0.25
# Above the bound times this factor, answers that are being read are aborted, the largest first.
OVERRUN_FACTOR: Final = 1.5
# Bound on everything that is buffered, with the copies of accepted work that are in transit. With
# the program and the largest frame being decoded, it still fits into the process's memory.
HARD_FACTOR: Final = 2.0
# Fraction of the bound for one answer, which is buffered at its gate, on a link and at its entry.
ANSWER_FRACTION: Final = 0.25


class MemoryBudget:
    """Count the bytes that are buffered, and set bounds on them.

    Above `max_bytes` new requests are refused; above `max_overrun_bytes` answers that are being
    read are aborted; above `max_hard_bytes` nothing more is buffered. One answer may take at most
    `max_answer_bytes`.
    """

    def __init__(self, *, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.max_overrun_bytes = max_bytes * OVERRUN_FACTOR
        self.max_answer_bytes = max_bytes * ANSWER_FRACTION
        self.max_hard_bytes = max_bytes * HARD_FACTOR
        self.buffered_bytes = 0
        self.unsent_bytes = 0

    @property
    def is_full(self) -> bool:
        """Return whether new requests must be refused."""
        return self.buffered_bytes + self.unsent_bytes > self.max_bytes

    @property
    def is_overrun(self) -> bool:
        """Return whether answers that are being read must be aborted."""
        return self.buffered_bytes + self.unsent_bytes > self.max_overrun_bytes

    @property
    def is_exhausted(self) -> bool:
        """Return whether nothing more may be buffered."""
        return self.buffered_bytes + self.unsent_bytes > self.max_hard_bytes


def has_room_for_call(memory: MemoryBudget, count: int) -> bool:
    """Return whether a call of this many bytes, which could be refused, may be buffered."""
    return memory.buffered_bytes + memory.unsent_bytes + count <= memory.max_bytes


def has_room_for_copy(memory: MemoryBudget, count: int) -> bool:
    """Return whether this many bytes of accepted work may be buffered once more."""
    return memory.buffered_bytes + memory.unsent_bytes + count <= memory.max_hard_bytes


def max_buffered_bytes(memory_bytes: float) -> float:
    """Return how many bytes a process with this much memory may buffer."""
    return memory_bytes * BUFFER_FRACTION


def add_buffered(memory: MemoryBudget, count: int) -> None:
    """Add to the number of buffered bytes; a negative count releases them."""
    memory.buffered_bytes += count


class UnsentCount:
    """Count the bytes that one connection's peer hasn't read yet, as a part of a budget."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.bytes = 0


def set_unsent(count: UnsentCount, unsent_bytes: int) -> None:
    """Set the bytes that wait on this connection at this moment."""
    count.memory.unsent_bytes += unsent_bytes - count.bytes
    count.bytes = unsent_bytes
