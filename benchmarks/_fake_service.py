"""Queueing models of one service's targets and callers, on a virtual clock."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from enum import Enum
from random import Random

import msgspec

from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._routing._router import CallOutcome
from daisywharf._topology import Address, Target

SERVICE = ServiceName("stock")
SERVICE_TIME_S = 0.01
TIMEOUT_S = 0.25
SAME_ZONE_ONE_WAY_S = 0.000_25
OTHER_ZONE_ONE_WAY_S = 0.001_5
COLD_DURATION_S = 10.0


class Fault(Enum):
    """Fault of a target.

    A lying target refuses every call at once, a cold one has restarted and is slow until it has
    warmed up, and a lost one never answers.
    """

    NONE = "none"
    SLOW = "slow"
    FAILING = "failing"
    LYING = "lying"
    COLD = "cold"
    LOST = "lost"


class Reply(msgspec.Struct, frozen=True):
    """Outcome of one call, as reported to its caller."""

    target_id: TargetId
    outcome: CallOutcome
    latency_s: float


class Clock:
    """Virtual clock that runs events in the order of their times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time_s: float, event: Callable[[], None]) -> None:
        """Schedule an event at a time."""
        heapq.heappush(self._events, (time_s, next(self._numbers), event))

    def run(self, until: float) -> None:
        """Run all events up to and including a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until


class FakeTarget:
    """Serve calls with a target's slots and a queue of as many places."""

    def __init__(self, target: Target, clock: Clock, rng: Random) -> None:
        self.target = target
        self.clock = clock
        self.rng = rng
        self.fault = Fault.NONE
        self.fault_at = 0.0
        self.busy = 0
        self.waiting: deque[Callable[[CallOutcome], None]] = deque()

    def receive(self, answer: Callable[[CallOutcome], None]) -> None:
        """Accept or refuse one call; a lost target never answers."""
        if self.fault is Fault.LOST:
            return
        if self.fault is Fault.LYING:
            answer(CallOutcome.REFUSED)
        elif self.fault is Fault.FAILING:
            answer(CallOutcome.FAILED)
        elif self.busy < self.target.slots:
            self._start(answer)
        elif len(self.waiting) < self.target.slots:
            self.waiting.append(answer)
        else:
            answer(CallOutcome.REFUSED)

    def _start(self, answer: Callable[[CallOutcome], None]) -> None:
        self.busy += 1
        service_s = self.rng.expovariate(1.0 / SERVICE_TIME_S) * self._slowdown()
        self.clock.at(self.clock.now + service_s, lambda: self._end(answer))

    def _slowdown(self) -> float:
        if self.fault is Fault.SLOW:
            return 10.0
        cold_left_s = COLD_DURATION_S - (self.clock.now - self.fault_at)
        if self.fault is Fault.COLD and cold_left_s > 0:
            return 1.0 + 9.0 * cold_left_s / COLD_DURATION_S
        return 1.0

    def _end(self, answer: Callable[[CallOutcome], None]) -> None:
        self.busy -= 1
        if self.fault is not Fault.LOST:
            answer(CallOutcome.SUCCEEDED)
        if self.waiting:
            self._start(self.waiting.popleft())


def build_fake_target(
    number: int, *, zones: int, slots: int, connections: int = 900, incarnation: int = 1
) -> Target:
    """Build a target of the fake service."""
    return Target(
        target_id=TargetId(f"stock-{number}"),
        service=SERVICE,
        vm=VmId(f"vm-{number}"),
        zone=fake_zone(number % zones),
        incarnation=Incarnation(incarnation),
        address=Address("127.0.0.1", 1024 + number % 60_000),
        slots=slots,
        connections=connections,
    )


def fake_zone(number: int) -> ZoneName:
    """Return the name of a zone."""
    return ZoneName(f"zone-{number}")


def send(clock: Clock, fake: FakeTarget, zone: ZoneName, on_reply: Callable[[Reply], None]) -> None:
    """Send one call from a zone and report its outcome, after `TIMEOUT_S` at the latest."""
    is_same_zone = zone == fake.target.zone
    one_way_s = SAME_ZONE_ONE_WAY_S if is_same_zone else OTHER_ZONE_ONE_WAY_S
    sent_at = clock.now
    is_open = True

    def end(outcome: CallOutcome) -> None:
        nonlocal is_open
        if is_open:
            is_open = False
            on_reply(Reply(fake.target.target_id, outcome, clock.now - sent_at))

    def answer(outcome: CallOutcome) -> None:
        clock.at(clock.now + one_way_s, lambda: end(outcome))

    clock.at(sent_at + one_way_s, lambda: fake.receive(answer))
    clock.at(sent_at + TIMEOUT_S, lambda: end(CallOutcome.TIMED_OUT))
