"""Spread a new configuration: tell its version to many, send it to those that ask for it.

Load pattern: a configuration of a thousand routes (0.3 MB) in a zone of thirty VMs. Sent by each
daemon to each other, it fills their links for seconds, and calls behind it are given up as lost. So
each daemon asks one that has it, and one that has it sends so many bytes at a time; who got nothing
asks the next that has it.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from daisywharf._mesh._frames import Frame

# A version must be in force within 2 s: five can be asked in turn. Who gets no copy from them asks
# the store meanwhile (`_currency.py`).
ASK_AGAIN_S: Final = 0.4
# Of a link of 100 Mbit/s, which carries 3.1 MB in this time; calls need the rest.
MOST_BYTES: Final = 2_000_000
BYTES_WITHIN_S: Final = 0.25

# More than are asked before a version is due.
MOST_SOURCES: Final = 16

Send = Callable[[Frame], None]


class Spread:
    """Hold who has a newer version and who was asked, and the bytes sent lately."""

    def __init__(self) -> None:
        self.wanted = 0
        self.sources: deque[Send] = deque()
        self.asked_at = float("-inf")
        self.copies = 0
        self.sent: deque[tuple[float, int]] = deque()


def note_source(spread: Spread, *, known: int, said: int, send: Send) -> None:
    """Note who has a version that is newer than the one known here."""
    if said <= known or said < spread.wanted:
        return
    if said > spread.wanted:
        spread.wanted = said
        spread.sources.clear()
        spread.asked_at = float("-inf")
    if len(spread.sources) < MOST_SOURCES and send not in spread.sources:
        spread.sources.append(send)


def next_source(spread: Spread, *, known: int, now: float) -> Send | None:
    """Return whom to ask now, if anyone, and note it."""
    if spread.wanted <= known:
        spread.sources.clear()
    if not spread.sources or now - spread.asked_at < ASK_AGAIN_S:
        return None
    spread.asked_at = now
    spread.sources.rotate(-1)
    return spread.sources[-1]


def may_send(spread: Spread, count: int, *, now: float) -> bool:
    """Tell whether to send so many bytes to who asks for them, and note it."""
    while spread.sent and now - spread.sent[0][0] > BYTES_WITHIN_S:
        spread.sent.popleft()
    if spread.sent and sum(sent for _, sent in spread.sent) + count > MOST_BYTES:
        return False
    spread.sent.append((now, count))
    spread.copies += 1
    return True
