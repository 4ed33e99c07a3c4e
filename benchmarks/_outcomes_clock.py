"""A virtual clock that runs events in time order, and processes that can be paused on it."""

from collections.abc import Callable
from heapq import heappop, heappush

Step = Callable[[], None]


class VirtualClock:
    """Queue of scheduled steps; `now` is in seconds since 1970."""

    def __init__(self, *, now: float) -> None:
        self.now = now
        self._count = 0
        self._events: list[tuple[float, int, Step]] = []

    def after(self, delay_s: float, step: Step) -> None:
        """Schedule a step after a delay."""
        self._count += 1
        heappush(self._events, (self.now + delay_s, self._count, step))

    def run(self, *, until: float) -> None:
        """Run all steps up to and including a time, and set `now` to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, step = heappop(self._events)
            step()
        self.now = until


class Node:
    """A process that can be paused; steps that fall due meanwhile run when it continues."""

    def __init__(self, clock: VirtualClock, name: str, zone: int) -> None:
        self.clock = clock
        self.name = name
        self.zone = zone
        self.wall_offset_s = 0.0
        self.paused_until = float("-inf")
        self.paused_from = float("-inf")
        self._backlog: list[Step] = []

    @property
    def is_paused(self) -> bool:
        """Return whether the process is paused."""
        return self.clock.now < self.paused_until

    @property
    def wall_now(self) -> float:
        """Return the time of the node's wall clock, which may be skewed, in seconds since 1970."""
        return self.clock.now + self.wall_offset_s

    def do(self, step: Step) -> None:
        """Run a step now, or once the process continues if it is paused."""
        if self.is_paused:
            self._backlog.append(step)
        else:
            step()

    def after(self, delay_s: float, step: Step) -> None:
        """Schedule a step on the process, which runs late if the process is paused then."""
        self.clock.after(delay_s, lambda: self.do(step))

    def pause_for(self, seconds: float) -> None:
        """Pause the process for a time; does nothing if it is paused already."""
        if self.is_paused:
            return
        self.paused_from = self.clock.now
        self.paused_until = self.clock.now + seconds
        self.clock.after(seconds, self._continue)

    def _continue(self) -> None:
        backlog, self._backlog = self._backlog, []
        for step in backlog:
            step()
