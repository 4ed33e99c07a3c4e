"""Play entries that place calls at targets of which one is slow, on a virtual clock."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random

from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._routing._placement import (
    Candidate,
    Placement,
    hear_load,
    note_ended,
    note_sent,
    note_success,
    place,
    set_target,
)
from daisywharf._topology import Address, Target

SLOTS = 51


class SlowTargets:
    """Hold targets with slots, entries with a placement each, and how long calls took."""

    def __init__(self, *, work_s: tuple[float, ...], entries: int, seed: int = 1) -> None:
        self.work_s = list(work_s)
        self.rng = Random(seed)
        self.now = 0.0
        self.latencies: list[float] = []
        self.running = [0] * len(work_s)
        self.waiting: list[deque[Callable[[], None]]] = [deque() for _ in work_s]
        self.placements = [self._placement(n) for n in range(entries)]
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def _placement(self, entry: int) -> Placement:
        zones = [f"z{n}" for n in range(len(self.work_s))]
        placement = Placement(zone=ZoneName(zones[entry % len(zones)]))
        for number, zone in enumerate(zones):
            target = Target(
                target_id=TargetId(str(number)),
                service=ServiceName("lockwatch"),
                vm=VmId(f"vm-{number}"),
                zone=ZoneName(zone),
                incarnation=Incarnation(1),
                address=Address("10.0.0.1", 80),
                slots=SLOTS,
                connections=SLOTS,
            )
            set_target(placement, target.vm, target, cold_s=0.0, now=0.0)
        return placement

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._due, (when, next(self._numbers), act))

    def run(self, *, calls_per_s: float, lasts_s: float) -> None:
        """Let the entries place calls until a time."""
        self.at(self.now, lambda: self._arrive(calls_per_s))
        while self._due and self._due[0][0] < lasts_s:
            self.now, _, act = heapq.heappop(self._due)
            act()
        self._due.clear()

    def _arrive(self, calls_per_s: float) -> None:
        self.at(self.now + self.rng.expovariate(calls_per_s), lambda: self._arrive(calls_per_s))
        placement = self.rng.choice(self.placements)
        candidate = place(placement, "r", excluded=set(), now=self.now, rng=self.rng)
        assert candidate is not None
        note_sent(candidate, now=self.now)
        number, sent_at = int(candidate.record.target.target_id), self.now

        def start() -> None:
            self.running[number] += 1
            work_s = self.rng.expovariate(1.0 / self.work_s[number])
            self.at(self.now + work_s, lambda: self._end(placement, candidate, sent_at))

        if self.running[number] < SLOTS:
            start()
        else:
            self.waiting[number].append(start)

    def _end(self, placement: Placement, candidate: Candidate, sent_at: float) -> None:
        number = int(candidate.record.target.target_id)
        self.running[number] -= 1
        if self.waiting[number]:
            self.waiting[number].popleft()()
        latency_s = self.now - sent_at
        self.latencies.append(latency_s)
        note_ended(candidate)
        note_success(candidate, "r", latency_s=latency_s, now=self.now)
        hear_load(
            placement,
            candidate.record.target.target_id,
            occupied=self.running[number] + len(self.waiting[number]),
            limit=SLOTS,
            level=3.0,
            now=self.now,
        )
