"""Simulate entries that place calls at targets, some of them slow, by the announced loads."""

from random import Random

import msgspec

from daisywharf._contract import Importance
from daisywharf._experiments._model import ExperimentResult, Sample
from daisywharf._experiments._targets import build_placement
from daisywharf._ids import (
    CallClassName,
    RequestId,
    TargetId,
)
from daisywharf._outcomes._next_step import MAX_GATES_TRIED
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import (
    SlotGate,
    arrive,
    capacity,
    expire,
    next_start_delay_s,
    record_run_time,
    release,
    start_waiting,
)
from daisywharf._overload._start_rate import record_limit
from daisywharf._routing._placement import (
    Candidate,
    Placement,
    place,
    record_ended,
    record_load,
    record_sent,
    record_success,
)
from daisywharf._virtual._loop import VirtualLoop, call_later, run_until

TICK_PERIOD_S = 0.05  # as a daemon's tick, which expires waiting calls and sends reports
REPORT_PERIOD_S = 1.0  # the report period of a daemon
SAMPLE_PERIOD_S = 0.5
REFUSAL_DELAY_S = 0.001  # until a refusal is back at the entry
ROUTE = "r"


class PlacementSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the targets, entries and load.

    The defaults are those of the service `lockwatch` of szv-wharf in the scenario trouble-2.
    """

    targets: int = 3
    slots: int = 51
    zones: int = 3
    entries: int = 13
    work_ms: float = 40.0
    calls_per_s: float = 1_400.0
    patience_ms: float = 1_000.0
    slow_targets: int = 1
    slow_factor: float = 12.0
    slow_from_s: float = 3.0
    # Number of targets that announce a limit from `slow_from_s` on, and the limit.
    limited_targets: int = 0
    limit_per_s: float = 4.0
    lasts_s: float = 7.0
    reports_each: int = 32  # entries that the daemon of one target reports to per period


class PlacedCall:
    """Hold one call, with the gates that refused it so far."""

    def __init__(self, placement: Placement, *, sent_at: float) -> None:
        self.placement = placement
        self.sent_at = sent_at
        self.excluded: set[TargetId] = set()
        self.candidate: Candidate | None = None


class PlacementWorld:
    """Simulate targets with their gates, and entries; `latencies_s` are of answered calls."""

    def __init__(self, settings: PlacementSettings, *, seed: int = 1) -> None:
        self.settings = settings
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.work_s = [settings.work_ms / 1_000.0] * settings.targets
        self.gates = [SlotGate(slots=settings.slots) for _ in range(settings.targets)]
        self.placements = [self._placement(n) for n in range(settings.entries)]
        self.latencies_s: list[float] = []
        self.refused = 0
        self.second_gate_calls = 0
        self.started = [0] * settings.targets
        self._gates_awaiting_start: set[int] = set()
        self.samples: list[Sample] = []
        self._call_by_id: dict[CallId, PlacedCall] = {}
        self._last_call_number = 0
        self._last_reported_entry = [self.rng.randrange(settings.entries) for _ in self.gates]
        self._schedule_arrival()
        call_later(self.loop, TICK_PERIOD_S, self._tick)
        for number in range(len(self.gates)):
            call_later(
                self.loop,
                self.rng.random() * REPORT_PERIOD_S,
                lambda n=number: self._report(n),  # type: ignore[misc]
            )

    def _placement(self, entry: int) -> Placement:
        settings = self.settings
        placement = build_placement(
            entry=entry, targets=settings.targets, slots=settings.slots, zones=settings.zones
        )
        placement.entries = -(-settings.entries // settings.zones)
        return placement

    def run(self, *, until_s: float) -> None:
        """Place calls until a time in seconds, and sample the results."""
        while self.loop.now < until_s:
            first_index, refused_before = len(self.latencies_s), self.refused
            run_until(self.loop, min(until_s, self.loop.now + SAMPLE_PERIOD_S))
            self._sample(self.latencies_s[first_index:], refused=self.refused - refused_before)

    def apply_limits(self) -> None:
        """Apply the limit of each limited target from now on."""
        for gate in self.gates[: self.settings.limited_targets]:
            record_limit(gate.rate, self.settings.limit_per_s, now=self.loop.now)

    def _sample(self, latencies_s: list[float], *, refused: int) -> None:
        loads = [len(gate.running) + gate.queue.size for gate in self.gates]
        mean = sum(loads) / len(loads)
        values = {
            "answers/s": len(latencies_s) / SAMPLE_PERIOD_S,
            "refused/s": refused / SAMPLE_PERIOD_S,
            "p50 ms": _quantile_ms(latencies_s, 0.5),
            "p99 ms": _quantile_ms(latencies_s, 0.99),
            "busiest/mean": round(max(loads) / mean, 2) if mean else 0.0,
            "waiting": sum(gate.queue.size for gate in self.gates),
        }
        self.samples.append(Sample(self.loop.now, values))

    def _schedule_arrival(self) -> None:
        call_later(self.loop, self.rng.expovariate(self.settings.calls_per_s), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        self._place(PlacedCall(self.rng.choice(self.placements), sent_at=self.loop.now))

    def _place(self, call: PlacedCall) -> None:
        now = self.loop.now
        candidate = place(call.placement, ROUTE, excluded=call.excluded, now=now, rng=self.rng)
        if candidate is None:
            self.refused += 1
            return
        call.candidate = candidate
        record_sent(candidate, now=now)
        self._last_call_number += 1
        call_id = CallId(RequestId(str(self._last_call_number)), 0)
        self._call_by_id[call_id] = call
        latest_start = call.sent_at + self.settings.patience_ms / 1_000.0
        waiting = WaitingCall(
            call_id, CallClassName(ROUTE), Importance.HIGH, 0, 0, latest_start, now
        )
        gate_number = _gate_number(candidate)
        self._apply(gate_number, arrive(self.gates[gate_number], waiting, now=now))

    def _apply(self, gate_number: int, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self._run(gate_number, action.call_id)
            elif isinstance(action, Refuse):
                self._try_another_gate(gate_number, action.call_id)
        start_delay_s = next_start_delay_s(self.gates[gate_number], now=self.loop.now)
        if start_delay_s and gate_number not in self._gates_awaiting_start:
            self._gates_awaiting_start.add(gate_number)
            call_later(self.loop, start_delay_s, lambda: self._start_waiting(gate_number))

    def _start_waiting(self, gate_number: int) -> None:
        self._gates_awaiting_start.discard(gate_number)
        self._apply(gate_number, start_waiting(self.gates[gate_number], now=self.loop.now))

    def _run(self, gate_number: int, call_id: CallId) -> None:
        work_s = self.rng.expovariate(1.0 / self.work_s[gate_number])
        self.started[gate_number] += 1
        record_run_time(self.gates[gate_number], work_s)
        call_later(self.loop, work_s, lambda: self._end(gate_number, call_id))

    def _try_another_gate(self, gate_number: int, call_id: CallId) -> None:
        call = self._call_by_id.pop(call_id)
        assert call.candidate is not None
        record_ended(call.candidate)
        self._record_load(call.placement, gate_number)
        call.excluded.add(call.candidate.record.target.target_id)
        if len(call.excluded) >= MAX_GATES_TRIED:
            self.refused += 1
            return
        self.second_gate_calls += 1
        call_later(self.loop, REFUSAL_DELAY_S, lambda: self._place(call))

    def _end(self, gate_number: int, call_id: CallId) -> None:
        call = self._call_by_id.pop(call_id)
        now, candidate = self.loop.now, call.candidate
        assert candidate is not None
        self._apply(gate_number, release(self.gates[gate_number], call_id, now=now))
        latency_s = now - call.sent_at
        self.latencies_s.append(latency_s)
        record_ended(candidate)
        record_success(candidate, ROUTE, latency_s=latency_s, now=now)
        self._record_load(call.placement, gate_number)

    def _record_load(self, placement: Placement, gate_number: int) -> None:
        gate = self.gates[gate_number]
        record_load(
            placement,
            TargetId(str(gate_number)),
            occupied=len(gate.running) + gate.queue.size,
            limit=round(capacity(gate)),
            level=3.0,
            heard_at=self.loop.now,
            limit_per_s=gate.rate.limit_per_s,
        )

    def _tick(self) -> None:
        for gate_number, gate in enumerate(self.gates):
            self._apply(gate_number, expire(gate, now=self.loop.now))
        call_later(self.loop, TICK_PERIOD_S, self._tick)

    def _report(self, gate_number: int) -> None:
        entries = self.settings.entries
        for _ in range(min(entries, self.settings.reports_each)):
            self._last_reported_entry[gate_number] = (
                self._last_reported_entry[gate_number] + 1
            ) % entries
            self._record_load(self.placements[self._last_reported_entry[gate_number]], gate_number)
        call_later(self.loop, REPORT_PERIOD_S, lambda: self._report(gate_number))


def play_placement(settings: PlacementSettings, seed: int) -> ExperimentResult:
    """Simulate targets, some of which become slow at `slow_from_s`."""
    world = PlacementWorld(settings, seed=seed)
    world.run(until_s=min(settings.slow_from_s, settings.lasts_s))
    for target_number in range(settings.slow_targets):
        world.work_s[target_number] *= settings.slow_factor
    world.apply_limits()
    world.run(until_s=settings.lasts_s)
    calls = len(world.latencies_s) + world.refused
    summary = {
        "calls": calls,
        "refused part": round(world.refused / max(1, calls), 4),
        "sent to a second gate": round(world.second_gate_calls / max(1, calls), 4),
        "p50 ms": _quantile_ms(world.latencies_s, 0.5),
        "p99 ms": _quantile_ms(world.latencies_s, 0.99),
    }
    return ExperimentResult(world.samples, summary)


def _gate_number(candidate: Candidate) -> int:
    return int(candidate.record.target.target_id)


def _quantile_ms(latencies_s: list[float], quantile: float) -> float:
    ordered = sorted(latencies_s)
    return round(ordered[int(quantile * (len(ordered) - 1))] * 1_000.0, 1) if ordered else 0.0
