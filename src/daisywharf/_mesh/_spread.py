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
MAX_SENT_BYTES: Final = 2_000_000
SEND_WINDOW_S: Final = 0.25

# More than are asked before a version is due.
MAX_SOURCES: Final = 16

Send = Callable[[Frame], None]


class Spread:
    """Hold who has a newer version and who was asked, and the bytes sent lately."""

    def __init__(self) -> None:
        self.wanted_version = 0
        self.sources: deque[Send] = deque()
        self.asked_at = float("-inf")
        self.copies_sent = 0
        self.recent_sends: deque[tuple[float, int]] = deque()


def record_source(spread: Spread, *, known: int, offered: int, send: Send) -> None:
    """Note who has a version that is newer than the one known here."""
    if offered <= known or offered < spread.wanted_version:
        return
    if offered > spread.wanted_version:
        spread.wanted_version = offered
        spread.sources.clear()
        spread.asked_at = float("-inf")
    if len(spread.sources) < MAX_SOURCES and send not in spread.sources:
        spread.sources.append(send)


def next_source(spread: Spread, *, known: int, now: float) -> Send | None:
    """Return whom to ask now, if anyone, and note it."""
    if spread.wanted_version <= known:
        spread.sources.clear()
    if not spread.sources or now - spread.asked_at < ASK_AGAIN_S:
        return None
    spread.asked_at = now
    spread.sources.rotate(-1)
    return spread.sources[-1]


def may_send(spread: Spread, size_bytes: int, *, now: float) -> bool:
    """Tell whether to send so many bytes to who asks for them, and note it."""
    while spread.recent_sends and now - spread.recent_sends[0][0] > SEND_WINDOW_S:
        spread.recent_sends.popleft()
    if (
        spread.recent_sends
        and sum(size for _, size in spread.recent_sends) + size_bytes > MAX_SENT_BYTES
    ):
        return False
    spread.recent_sends.append((now, size_bytes))
    spread.copies_sent += 1
    return True
