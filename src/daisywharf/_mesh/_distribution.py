"""Distribute a new configuration: offer its version, and send copies only on request.

Load pattern: a configuration of a thousand routes (0.3 MB) in a zone of thirty VMs. If each daemon
sent it to all others, the copies would fill their links for seconds, and calls queued behind them
would be abandoned as lost. So a daemon requests a copy from one source at a time, and a source
limits the bytes it sends in a period. A daemon that got no copy asks the next source.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from daisywharf._mesh._frames import Frame

# A source that sent no copy in this time is given up for the next one. A version must be in force
# within 2 s, so five can be asked in turn. A daemon that gets no copy from them probes the store
# meanwhile (`_confirmation.py`).
SOURCE_TIMEOUT_S: Final = 0.4
# Copies may take this much of a 100 Mbit/s link, which carries 3.1 MB in `SEND_WINDOW_S`; calls
# need the rest.
MAX_SENT_BYTES: Final = 2_000_000
SEND_WINDOW_S: Final = 0.25

# More than can be asked before a version is due.
MAX_SOURCES: Final = 16

Send = Callable[[Frame], None]


class Distribution:
    """Hold the sources of the newest offered version, and the copies that were sent.

    `sources` holds the links to daemons that have `wanted_version`; the last one was asked at
    `asked_at`. `recent_sends` holds the time and the size in bytes of each copy sent in the last
    `SEND_WINDOW_S` seconds.
    """

    def __init__(self) -> None:
        self.wanted_version = 0
        self.sources: deque[Send] = deque()
        self.asked_at = float("-inf")
        self.copies_sent = 0
        self.recent_sends: deque[tuple[float, int]] = deque()


def record_source(distribution: Distribution, *, known: int, offered: int, send: Send) -> None:
    """Record a source that offers a version newer than the known one."""
    if offered <= known or offered < distribution.wanted_version:
        return
    if offered > distribution.wanted_version:
        distribution.wanted_version = offered
        distribution.sources.clear()
        distribution.asked_at = float("-inf")
    if len(distribution.sources) < MAX_SOURCES and send not in distribution.sources:
        distribution.sources.append(send)


def next_source(distribution: Distribution, *, known: int, now: float) -> Send | None:
    """Return the source to ask now and record that it is asked; None if none is due."""
    if distribution.wanted_version <= known:
        distribution.sources.clear()
    if not distribution.sources or now - distribution.asked_at < SOURCE_TIMEOUT_S:
        return None
    distribution.asked_at = now
    distribution.sources.rotate(-1)
    return distribution.sources[-1]


def may_send(distribution: Distribution, size_bytes: int, *, now: float) -> bool:
    """Return whether a copy of this size may be sent now, and record it if so.

    A copy larger than `MAX_SENT_BYTES` is sent only if no other was sent in the window.
    """
    while distribution.recent_sends and now - distribution.recent_sends[0][0] > SEND_WINDOW_S:
        distribution.recent_sends.popleft()
    if (
        distribution.recent_sends
        and sum(size for _, size in distribution.recent_sends) + size_bytes > MAX_SENT_BYTES
    ):
        return False
    distribution.recent_sends.append((now, size_bytes))
    distribution.copies_sent += 1
    return True
