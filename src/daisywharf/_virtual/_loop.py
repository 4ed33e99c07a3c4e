"""An event loop of timed callbacks under a virtual clock."""

import heapq
from collections.abc import Callable
from itertools import count


class VirtualLoop:
    """Hold the virtual time in seconds and the scheduled callbacks."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = count()


def call_later(loop: VirtualLoop, delay_s: float, callback: Callable[[], None]) -> None:
    """Schedule a callback after a delay; those due at the same time run in scheduling order."""
    heapq.heappush(loop.events, (loop.now + delay_s, next(loop.sequence_numbers), callback))


def run_until(loop: VirtualLoop, end: float) -> None:
    """Run all callbacks due up to `end`, in seconds, and set the clock to it."""
    events = loop.events
    while events and events[0][0] <= end:
        loop.now, _, callback = heapq.heappop(events)
        callback()
    loop.now = end
