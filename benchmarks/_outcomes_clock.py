"""A virtual clock: events in order of their time, and nodes that can be stopped for a while."""

from collections.abc import Callable
from heapq import heappop, heappush

Step = Callable[[], None]


class VirtualClock:
    """Hold the events to come; `now` is in seconds since 1970."""

    def __init__(self, *, now: float) -> None:
        self.now = now
        self._count = 0
        self._events: list[tuple[float, int, Step]] = []

    def after(self, delay_s: float, step: Step) -> None:
        """Do a step later."""
        self._count += 1
        heappush(self._events, (self.now + delay_s, self._count, step))

    def run(self, *, until: float) -> None:
        """Do all steps that are due by a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, step = heappop(self._events)
            step()
        self.now = until


class Node:
    """Hold a process that can be stopped; what comes meanwhile is done when it continues."""

    def __init__(self, clock: VirtualClock, name: str, zone: int) -> None:
        self.clock = clock
        self.name = name
        self.zone = zone
        self.wall_offset = 0.0
        self.stopped_until = float("-inf")
        self.stopped_from = float("-inf")
        self._backlog: list[Step] = []

    @property
    def is_stopped(self) -> bool:
        """Tell whether the process stands still."""
        return self.clock.now < self.stopped_until

    @property
    def wall_now(self) -> float:
        """Return the time that the node's own clock shows."""
        return self.clock.now + self.wall_offset

    def do(self, step: Step) -> None:
        """Do a step now, or once the process continues."""
        if self.is_stopped:
            self._backlog.append(step)
        else:
            step()

    def after(self, delay_s: float, step: Step) -> None:
        """Do a step later by a timer of the process."""
        self.clock.after(delay_s, lambda: self.do(step))

    def stop_for(self, seconds: float) -> None:
        """Stop the process and continue it later."""
        if self.is_stopped:
            return
        self.stopped_from = self.clock.now
        self.stopped_until = self.clock.now + seconds
        self.clock.after(seconds, self._continue)

    def _continue(self) -> None:
        backlog, self._backlog = self._backlog, []
        for step in backlog:
            step()
