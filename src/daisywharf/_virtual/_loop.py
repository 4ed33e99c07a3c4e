"""A loop of timed callbacks under a virtual clock."""

import heapq
from collections.abc import Callable
from itertools import count


class VirtualLoop:
    """Hold the virtual time (seconds) and the callbacks to come."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = count()


def call_later(loop: VirtualLoop, delay_s: float, callback: Callable[[], None]) -> None:
    """Run a callback after a delay; callbacks of one time run in the order of their calls."""
    heapq.heappush(loop.events, (loop.now + delay_s, next(loop.sequence_numbers), callback))


def run_until(loop: VirtualLoop, end: float) -> None:
    """Run all callbacks up to a time, and set the clock to it."""
    events = loop.events
    while events and events[0][0] <= end:
        loop.now, _, callback = heapq.heappop(events)
        callback()
    loop.now = end
