"""Simulate zones whose entries place calls at the targets of one service by announced loads."""

from collections import Counter
from collections.abc import Callable
from math import pi, sin
from random import Random

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import CallClassName, Incarnation, RequestId, TargetId, VmId, ZoneName
from daisywharf._outcomes._next_step import MAX_GATES_TRIED
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import SlotGate, arrive, capacity, expire, release
from daisywharf._routing._placement import (
    MAX_COMPARED,
    UNHEALTHY_FACTOR,
    Candidate,
    Placement,
    _draw,
    _expected_s,
    _occupied_fraction,
    _overdue_calls,
    _typical_latency_s,
    _unloaded_s,
    place,
    record_bytes,
    record_ended,
    record_load,
    record_sent,
    record_success,
    remove_target,
    set_target,
)
from daisywharf._topology import Address, ServiceName, Target
from daisywharf._virtual._loop import VirtualLoop, call_later, run_until

SAMPLE_PERIOD_S = 0.5
TICK_PERIOD_S = 0.05  # as a daemon's tick, which expires waiting calls
REPORT_PERIOD_S = 0.5  # of a loaded daemon
MAX_RELAY_S = 0.5  # until the daemon that relays a load to its zone reports
ONE_WAY_S = 0.001  # between zones
RESPONSE = "r"

PlaceCall = Callable[..., Candidate | None]
Demand = Callable[[int, float], float]


class ZoneSettings(msgspec.Struct, frozen=True):
    """Set the zones; `targets` is a number by zone, `bytes_by_kind` the bytes of a call.

    Demand is a function of zone number and time, as a multiple of the mean capacity of a zone.
    """

    targets: tuple[int, ...] = (8, 8, 8)
    entries: int = 25
    slots: int = 10
    work_s: float = 0.1
    max_wait_s: float = 0.06
    bytes_by_kind: tuple[tuple[str, int], ...] = ((RESPONSE, 5_000),)


class SpillSample(msgspec.Struct):
    """Hold the results of one sample period; calls are counted by zone of origin and target."""

    ends_at: float
    calls: Counter[tuple[int, int]]
    refused: int
    waited_s: float
    ended: int
    cross_bytes: int
    shares: tuple[float, ...]
    calls_by_kind: Counter[tuple[str, int, int]]

    def share_sent(self, zone: int) -> float:
        """Return the fraction of a zone's calls that went to other zones."""
        total = sum(count for (origin, _), count in self.calls.items() if origin == zone)
        return 1.0 - self.calls[zone, zone] / total if total else 0.0


class _ZoneCall:
    def __init__(self, zone: int, placement: Placement, kind: str, sent_at: float) -> None:
        self.zone = zone
        self.placement = placement
        self.kind = kind
        self.sent_at = sent_at
        self.work_s = 0.0
        self.excluded: set[TargetId] = set()
        self.candidate: Candidate | None = None


class ZoneWorld:
    """Simulate gates, entries and the late announcements of loads between them."""

    def __init__(
        self, settings: ZoneSettings, demand: Demand, *, seed: int, place_call: PlaceCall = place
    ) -> None:
        self.settings = settings
        self.place_call = place_call
        self.demand = demand
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.zone_of_gate = [z for z, count in enumerate(settings.targets) for _ in range(count)]
        self.gates = [SlotGate(slots=settings.slots) for _ in self.zone_of_gate]
        self.lost: set[int] = set()
        self.placements = [
            [self._placement(zone) for _ in range(settings.entries)]
            for zone in range(len(settings.targets))
        ]
        self.samples: list[SpillSample] = []
        self._bytes_by_kind = dict(settings.bytes_by_kind)
        self._call_by_id: dict[CallId, _ZoneCall] = {}
        self._last_number = 0
        self._begin_sample()
        for zone in range(len(settings.targets)):
            self._schedule_arrival(zone)
        for number in range(len(self.gates)):
            self._schedule_report(number, self.rng.random() * REPORT_PERIOD_S)
        call_later(self.loop, TICK_PERIOD_S, self._tick)

    @property
    def calls_per_s_of_zone(self) -> float:
        """Return the calls per second that fill the gates of a zone of mean size."""
        limits = sum(gate.limit for gate in self.gates)
        return limits / self.settings.work_s / len(self.settings.targets)

    def _placement(self, zone: int) -> Placement:
        placement = Placement(zone=ZoneName(f"z{zone}"))
        placement.entries = self.settings.entries
        for number, target_zone in enumerate(self.zone_of_gate):
            target = Target(
                target_id=TargetId(str(number)),
                service=ServiceName("stock"),
                vm=VmId(f"vm-{number}"),
                zone=ZoneName(f"z{target_zone}"),
                incarnation=Incarnation(1),
                address=Address("10.0.0.1", 80),
                slots=self.settings.slots,
                connections=self.settings.slots,
            )
            set_target(placement, target.vm, target, cold_s=0.0, now=0.0)
        return placement

    def run(self, *, until_s: float) -> None:
        """Place calls until a time in seconds, and sample the results."""
        while self.loop.now < until_s - 1e-9:
            run_until(self.loop, min(until_s, self.loop.now + SAMPLE_PERIOD_S))
            self._end_sample()

    def remove_gates(self, numbers: range) -> None:
        """Remove targets in order: their gates run what they hold and get no more calls."""
        self.lost.update(numbers)
        for placements in self.placements:
            for placement in placements:
                for number in numbers:
                    remove_target(placement, TargetId(str(number)))

    def _begin_sample(self) -> None:
        self.calls: Counter[tuple[int, int]] = Counter()
        self.calls_by_kind: Counter[tuple[str, int, int]] = Counter()
        self.refused = self.ended = self.cross_bytes = 0
        self.waited_s = 0.0

    def _end_sample(self) -> None:
        shares = tuple(
            sum(placement.spill.share for placement in placements) / len(placements)
            for placements in self.placements
        )
        self.samples.append(
            SpillSample(
                self.loop.now,
                self.calls,
                self.refused,
                self.waited_s,
                self.ended,
                self.cross_bytes,
                shares,
                self.calls_by_kind,
            )
        )
        self._begin_sample()

    def _schedule_arrival(self, zone: int) -> None:
        rate = max(1e-3, self.demand(zone, self.loop.now)) * self.calls_per_s_of_zone
        call_later(self.loop, self.rng.expovariate(rate), lambda: self._arrive(zone))

    def _arrive(self, zone: int) -> None:
        self._schedule_arrival(zone)
        kind = self.rng.choice(self.settings.bytes_by_kind)[0]
        placement = self.rng.choice(self.placements[zone])
        self._place(_ZoneCall(zone, placement, kind, self.loop.now))

    def _place(self, call: _ZoneCall) -> None:
        now = self.loop.now
        candidate = self.place_call(
            call.placement, call.kind, excluded=call.excluded, now=now, rng=self.rng
        )
        if candidate is None:
            self.refused += 1
            return
        call.candidate = candidate
        record_sent(candidate, now=now)
        number = int(candidate.record.target.target_id)
        zone = self.zone_of_gate[number]
        self.calls[call.zone, zone] += 1
        self.calls_by_kind[call.kind, call.zone, zone] += 1
        if zone == call.zone:
            self._arrive_at_gate(call, number)
        else:
            call_later(self.loop, ONE_WAY_S, lambda: self._arrive_at_gate(call, number))

    def _arrive_at_gate(self, call: _ZoneCall, number: int) -> None:
        now = self.loop.now
        self._last_number += 1
        call_id = CallId(RequestId(str(self._last_number)), 0)
        self._call_by_id[call_id] = call
        latest_start = max(call.sent_at + self.settings.max_wait_s, now + 0.001)
        waiting = WaitingCall(
            call_id, CallClassName(call.kind), Importance.HIGH, 0, 0, latest_start, now
        )
        self._apply(number, arrive(self.gates[number], waiting, now=now))

    def _apply(self, number: int, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self._run(number, action.call_id)
            elif isinstance(action, Refuse):
                call = self._call_by_id.pop(action.call_id)
                self._return(call, number, lambda call=call: self._try_another_gate(call, number))

    def _run(self, number: int, call_id: CallId) -> None:
        work_s = self.rng.expovariate(1.0 / self.settings.work_s)
        self.waited_s += self.loop.now - self._call_by_id[call_id].sent_at
        self.ended += 1
        call_later(self.loop, work_s, lambda: self._end(number, call_id))

    def _return(self, call: _ZoneCall, number: int, then: Callable[[], None]) -> None:
        """Call back when a gate's answer is at its entry."""
        is_own = self.zone_of_gate[number] == call.zone
        call_later(self.loop, 0.0002 if is_own else ONE_WAY_S, then)

    def _try_another_gate(self, call: _ZoneCall, number: int) -> None:
        assert call.candidate is not None
        record_ended(call.candidate)
        self._record_load(call.placement, number, measured_at=self.loop.now)
        call.excluded.add(call.candidate.record.target.target_id)
        if len(call.excluded) >= MAX_GATES_TRIED:
            self.refused += 1
        else:
            self._place(call)

    def _end(self, number: int, call_id: CallId) -> None:
        call = self._call_by_id.pop(call_id)
        self._apply(number, release(self.gates[number], call_id, now=self.loop.now))
        self._return(call, number, lambda: self._answer(call, number))

    def _answer(self, call: _ZoneCall, number: int) -> None:
        now, candidate = self.loop.now, call.candidate
        assert candidate is not None
        record_ended(candidate)
        record_success(candidate, call.kind, latency_s=now - call.sent_at, now=now)
        count = self._bytes_by_kind[call.kind]
        record_bytes(call.placement, call.kind, count)
        if self.zone_of_gate[number] != call.zone:
            self.cross_bytes += count
        self._record_load(call.placement, number, measured_at=now)

    def _record_load(self, placement: Placement, number: int, *, measured_at: float) -> None:
        gate = self.gates[number]
        record_load(
            placement,
            TargetId(str(number)),
            occupied=len(gate.running) + gate.queue.size,
            limit=round(capacity(gate)),
            level=3.0,
            heard_at=measured_at,
        )

    def _schedule_report(self, number: int, delay_s: float) -> None:
        call_later(self.loop, delay_s, lambda: self._report(number))

    def _report(self, number: int) -> None:
        """Announce a load to the own zone now, and to each other zone when its relay reports."""
        if number in self.lost:
            return
        self._schedule_report(number, REPORT_PERIOD_S)
        gate, measured_at = self.gates[number], self.loop.now
        occupied, limit = len(gate.running) + gate.queue.size, round(capacity(gate))

        def tell(placements: list[Placement]) -> None:
            for placement in placements:
                record_load(
                    placement,
                    TargetId(str(number)),
                    occupied=occupied,
                    limit=limit,
                    level=3.0,
                    heard_at=measured_at,
                )

        for zone, placements in enumerate(self.placements):
            is_own = zone == self.zone_of_gate[number]
            delay_s = ONE_WAY_S if is_own else self.rng.random() * MAX_RELAY_S
            call_later(self.loop, delay_s, lambda placements=placements: tell(placements))

    def _tick(self) -> None:
        for number, gate in enumerate(self.gates):
            self._apply(number, expire(gate, now=self.loop.now))
        call_later(self.loop, TICK_PERIOD_S, self._tick)


def place_by_occupied_slots(
    placement: Placement, kind: str, *, excluded: set[TargetId], now: float, rng: Random
) -> Candidate | None:
    """Choose a target by the rule before shares: by the own zone's occupied slots and fixed costs.

    Without failing, draining and limited targets, for which the rules don't differ.
    """
    usable = [c for c in placement.candidates if c.record.target.target_id not in excluded]
    if not usable:
        return None
    if len(usable) > 1 and rng.random() < 0.02:
        return rng.choice(usable)
    typical_s = _typical_latency_s(usable, kind)
    if len(usable) <= MAX_COMPARED:
        return min(
            usable,
            key=lambda c: (
                _expected_s(c, kind, typical_s, now, other_zone_s=0.003)
                * (1.0 + _overdue_calls(c, now))
                * (1.0 + 0.05 * rng.random())
            ),
        )
    own = [
        c
        for c in usable
        if c.record.is_own_zone
        and _unloaded_s(c, kind, typical_s, now) <= UNHEALTHY_FACTOR * typical_s
    ]
    if own:
        occupied = sum(_occupied_fraction(c, now) for c in own) / len(own)
        if rng.random() >= (occupied - 0.6) / (0.95 - 0.6):
            usable = own
    return _draw(usable, kind, now=now, rng=rng)


def constant(*levels: float) -> Demand:
    """Return a demand that stays at a level by zone."""
    return lambda zone, _now: levels[zone]


def waves(mean: float, *, swing: float = 0.55, period_s: float = 15.0, zones: int = 3) -> Demand:
    """Return a demand that swings around its mean in each zone, one zone after another."""
    return lambda zone, now: mean * (1.0 + swing * sin(2.0 * pi * (now / period_s + zone / zones)))


def steps(*levels: tuple[float, float], at_s: float) -> Demand:
    """Return a demand that changes once, from the first to the second level of each zone."""
    return lambda zone, now: levels[zone][now >= at_s]


def refused_fraction(samples: list[SpillSample]) -> float:
    refused = sum(sample.refused for sample in samples)
    return refused / max(1, refused + sum(sample.ended for sample in samples))


def mean_wait_ms(samples: list[SpillSample]) -> float:
    waited_s = sum(sample.waited_s for sample in samples)
    return 1_000.0 * waited_s / max(1, sum(sample.ended for sample in samples))


def cross_bytes(samples: list[SpillSample]) -> int:
    return sum(sample.cross_bytes for sample in samples)


def crossing_calls(samples: list[SpillSample]) -> Counter[tuple[int, int]]:
    """Return the number of calls by zone of origin and of target, for those that differ."""
    totals: Counter[tuple[int, int]] = Counter()
    for sample in samples:
        totals.update({pair: n for pair, n in sample.calls.items() if pair[0] != pair[1]})
    return totals


def exchanged_fraction(samples: list[SpillSample]) -> float:
    """Return the fraction of calls that zones sent each other in both directions at one time."""
    zones = range(len(samples[0].shares))
    exchanged = sum(
        min(sample.calls[one, other], sample.calls[other, one])
        for sample in samples
        for one in zones
        for other in range(one)
    )
    return 2.0 * exchanged / sum(sum(sample.calls.values()) for sample in samples)


def turns(values: list[float], *, min_change: float) -> int:
    """Return how often a series changes direction, by more than `min_change` each time."""
    count, direction, extreme = 0, 0, values[0]
    for value in values:
        if direction >= 0 and value > extreme or direction <= 0 and value < extreme:
            if direction == 0 and abs(value - extreme) > min_change:
                direction = 1 if value > extreme else -1
            if direction:
                extreme = value
        elif abs(value - extreme) > min_change:
            count += 1
            direction, extreme = -direction, value
    return count
