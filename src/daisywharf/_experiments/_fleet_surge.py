"""Simulate a surge at one deep service of many small gates, with hundreds of entries.

The announcements of the gates reach the entries late.
"""

from functools import partial
from random import Random

import msgspec

from daisywharf._contract import Importance
from daisywharf._experiments._model import ExperimentResult, Sample
from daisywharf._experiments._surge import Outcome
from daisywharf._experiments._targets import build_placement
from daisywharf._ids import (
    CallClassName,
    RequestId,
    TargetId,
)
from daisywharf._outcomes._next_step import MAX_GATES_TRIED
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._level_controller import (
    OPEN,
    LevelController,
    is_shed,
    move_level,
    record_arrival,
)
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import SlotGate, arrive, expire, load_ratio, release
from daisywharf._routing._placement import (
    Candidate,
    Placement,
    place,
    record_ended,
    record_load,
    record_sent,
    record_success,
    service_level,
)
from daisywharf._virtual._loop import VirtualLoop, call_later, run_until

TICK_PERIOD_S = 0.05  # the tick period of a daemon
SAMPLE_PERIOD_S = 0.5
REFUSAL_DELAY_S = 0.001  # until a refusal is back at the entry
ROUTE = "call"
# An entry recomputes its level only once it is older than this, as a daemon does.
LEVEL_LIFETIME_S = 0.02
WORTH_BY_IMPORTANCE = {Importance.CRITICAL: 3.0, Importance.HIGH: 2.0, Importance.NORMAL: 1.0}


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the deep service, its entries, and the surge.

    The defaults are those of the service `stock` of the large karri-mesh site.
    """

    entries: int = 195
    zones: int = 5
    gates: int = 14
    slots: int = 19
    work_ms: float = 82.0
    check_ms: float = 130.0
    above_ms: float = 350.0  # mean work before the first call to the deep service
    calls_each: int = 4
    surge: float = 1.6  # ratio of the offered load to the capacity of the slots
    news_s: float = 0.75  # interval between announcements of a gate to an entry
    lasts_s: float = 10.0


class Stream(msgspec.Struct, frozen=True):
    """Describe the requests of one class: their rate, and their serial calls to the deep service.

    `patience_s` is how long after it was sent a call may start.
    """

    importance: Importance
    per_s: float
    calls: int
    work_s: float
    patience_s: float


class EntryView:
    """Hold the view of one entry: its placement state and the shedding level computed from it."""

    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self.level = OPEN
        self.level_computed_at = float("-inf")


class PlacedCall:
    """Hold one call of a request; `calls_left` counts it and the later calls of the request."""

    def __init__(self, stream: Stream, view: EntryView, *, calls_left: int, sent_at: float) -> None:
        self.stream = stream
        self.view = view
        self.calls_left = calls_left
        self.sent_at = sent_at
        self.excluded: set[TargetId] = set()
        self.candidate: Candidate | None = None
        self.gate_number = 0


class FleetSurge:
    """Simulate the gates of one service, what each entry learns of them, and the requests."""

    # Speeds relative to the mean work, which the gates take in turn.
    SPEEDS = (0.5, 1.0, 1.0, 1.5)

    def __init__(self, settings: FleetSettings, *, seed: int = 1) -> None:
        self.settings = settings
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        gate_numbers = range(settings.gates)
        self.speed_by_gate = [self.SPEEDS[number % len(self.SPEEDS)] for number in gate_numbers]
        self.gates = [SlotGate(slots=settings.slots) for _ in gate_numbers]
        self.level_controllers = [LevelController(now=0.0) for _ in gate_numbers]
        self.views = [EntryView(self._placement(entry)) for entry in range(settings.entries)]
        self.outcome_by_importance = {i: Outcome() for i in WORTH_BY_IMPORTANCE}
        self.levels: list[float] = []
        self.samples: list[Sample] = []
        self.busy_slot_s = 0.0
        self._call_by_id: dict[CallId, PlacedCall] = {}
        self._last_call_number = 0
        for stream in self._streams():
            self._schedule_arrival(stream)
        call_later(self.loop, TICK_PERIOD_S, self._tick)
        for number in gate_numbers:
            first_delay_s = self.rng.random() * settings.news_s
            call_later(self.loop, first_delay_s, partial(self._announce, number))

    def _streams(self) -> list[Stream]:
        settings = self.settings
        work_s, check_s = settings.work_ms / 1e3, settings.check_ms / 1e3
        capacity = settings.slots * sum(self.speed_by_gate)
        browse, order, check = 4.9, 1.7, 1.6  # relative rates of the classes at the site
        demanded_s = (browse + order) * settings.calls_each * work_s + check * check_s
        rate = settings.surge * capacity / demanded_s
        # Part of the deadline, in seconds, for a call whose request holds slots.
        inner_patience_s = 0.42
        return [
            Stream(Importance.NORMAL, browse * rate, settings.calls_each, work_s, inner_patience_s),
            Stream(
                Importance.CRITICAL, order * rate, settings.calls_each, work_s, inner_patience_s
            ),
            Stream(Importance.HIGH, check * rate, 1, check_s, 0.18),
        ]

    def _placement(self, entry: int) -> Placement:
        settings = self.settings
        placement = build_placement(
            entry=entry, targets=settings.gates, slots=settings.slots, zones=settings.zones
        )
        for number, candidate in enumerate(placement.candidates):
            # The latency that an entry has learned before the surge.
            latency_s = settings.work_ms / 1e3 / self.speed_by_gate[number]
            record_success(candidate, ROUTE, latency_s=latency_s, now=0.0)
        return placement

    def run(self) -> None:
        """Simulate the surge and sample it."""
        previous_whole = {i: 0 for i in WORTH_BY_IMPORTANCE}
        for number in range(1, round(self.settings.lasts_s / SAMPLE_PERIOD_S) + 1):
            run_until(self.loop, number * SAMPLE_PERIOD_S)
            values = {}
            for importance, outcome in self.outcome_by_importance.items():
                rate = (outcome.whole - previous_whole[importance]) / SAMPLE_PERIOD_S
                values[f"{importance.name.lower()} whole/s"] = round(rate, 1)
                previous_whole[importance] = outcome.whole
            values["level"] = round(self.levels[-1], 2)
            values["waiting"] = sum(gate.queue.size for gate in self.gates)
            self.samples.append(Sample(self.loop.now, values))

    @property
    def worth(self) -> float:
        """Return the worth of the complete answers over the worth of the offered requests."""
        offered_worth = whole_worth = 0.0
        for importance, outcome in self.outcome_by_importance.items():
            offered_worth += WORTH_BY_IMPORTANCE[importance] * outcome.offered
            whole_worth += WORTH_BY_IMPORTANCE[importance] * outcome.whole
        return whole_worth / max(1.0, offered_worth)

    @property
    def thrown_away_ratio(self) -> float:
        """Return the requests admitted but failed below the entry, over the complete answers."""
        outcomes = self.outcome_by_importance.values()
        return sum(o.thrown_away for o in outcomes) / max(1, sum(o.whole for o in outcomes))

    def _tick(self) -> None:
        now = self.loop.now
        for gate_number, gate in enumerate(self.gates):
            self._apply(gate_number, expire(gate, now=now))
            self.busy_slot_s += TICK_PERIOD_S * len(gate.running)
            move_level(
                self.level_controllers[gate_number],
                load=load_ratio(gate),
                ceiling=OPEN,
                entries=self.settings.entries,
                now=now,
            )
        self.levels.append(
            sum(p.level for p in self.level_controllers) / len(self.level_controllers)
        )
        call_later(self.loop, TICK_PERIOD_S, self._tick)

    def _announce(self, gate_number: int) -> None:
        """Announce the load of a gate to all entries; each receives it after a random delay."""
        news_s, measured_at = self.settings.news_s, self.loop.now
        load = self.gate_load(gate_number)
        for view in self.views:
            delay_s = self.rng.random() * news_s
            call_later(
                self.loop,
                delay_s,
                partial(self.record_gate_load, view, gate_number, load, measured_at),
            )
        call_later(self.loop, news_s, partial(self._announce, gate_number))

    def record_gate_load(
        self, view: EntryView, gate_number: int, load: tuple[int, int, float], measured_at: float
    ) -> None:
        """Record at an entry the load of a gate, as measured at a time in seconds."""
        occupied, limit, level = load
        record_load(
            view.placement,
            TargetId(str(gate_number)),
            occupied=occupied,
            limit=limit,
            level=level,
            heard_at=measured_at,
        )

    def gate_load(self, gate_number: int) -> tuple[int, int, float]:
        """Return what a gate would announce: occupied slots with waiting calls, limit, level."""
        gate = self.gates[gate_number]
        return (
            len(gate.running) + gate.queue.size,
            gate.limit,
            self.level_controllers[gate_number].level,
        )

    def _schedule_arrival(self, stream: Stream) -> None:
        call_later(self.loop, self.rng.expovariate(stream.per_s), lambda: self._arrive(stream))

    def _arrive(self, stream: Stream) -> None:
        self._schedule_arrival(stream)
        outcome = self.outcome_by_importance[stream.importance]
        outcome.offered += 1
        level = self._level(self.rng.choice(self.views))
        if is_shed(stream.importance, self.rng.randrange(65_536), level=level):
            outcome.refused_at_entry += 1
            return
        above_s = self.settings.above_ms / 1e3 * (0.5 + self.rng.random())
        call_later(self.loop, above_s, lambda: self._call(stream, stream.calls))

    def _level(self, view: EntryView) -> float:
        now = self.loop.now
        if now - view.level_computed_at > LEVEL_LIFETIME_S:
            view.level_computed_at = now
            view.level = service_level(view.placement, ceiling=OPEN, now=now)
        return view.level

    def _call(self, stream: Stream, calls_left: int) -> None:
        # The calls of a request leave from the VM its current target runs on, so from any entry.
        view = self.rng.choice(self.views)
        self._send(PlacedCall(stream, view, calls_left=calls_left, sent_at=self.loop.now))

    def _send(self, call: PlacedCall) -> None:
        now = self.loop.now
        latest_start = call.sent_at + call.stream.patience_s
        tried_gates = len(call.excluded)
        candidate = None
        if tried_gates < MAX_GATES_TRIED and now < latest_start:
            candidate = place(
                call.view.placement, ROUTE, excluded=call.excluded, now=now, rng=self.rng
            )
        if candidate is None:
            self.outcome_by_importance[call.stream.importance].thrown_away += 1
            return
        record_sent(candidate, now=now)
        call.candidate = candidate
        call.gate_number = int(candidate.record.target.target_id)
        self._last_call_number += 1
        call_id = CallId(RequestId(str(self._last_call_number)), 0)
        self._call_by_id[call_id] = call
        importance = Importance.HIGH if call.stream.calls > 1 else call.stream.importance
        waiting = WaitingCall(call_id, CallClassName("c"), importance, 0, 0, latest_start, now)
        record_arrival(self.level_controllers[call.gate_number])
        self._apply(call.gate_number, arrive(self.gates[call.gate_number], waiting, now=now))

    def _apply(self, gate_number: int, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self._run(gate_number, action.call_id)
            elif isinstance(action, Refuse):
                self._handle_refusal(gate_number, self._call_by_id.pop(action.call_id))

    def _handle_refusal(self, gate_number: int, call: PlacedCall) -> None:
        assert call.candidate is not None
        record_ended(call.candidate)
        call.excluded.add(call.candidate.record.target.target_id)
        self.record_gate_load(call.view, gate_number, self.gate_load(gate_number), self.loop.now)
        call_later(self.loop, REFUSAL_DELAY_S, lambda: self._send(call))

    def _run(self, gate_number: int, call_id: CallId) -> None:
        mean_s = self._call_by_id[call_id].stream.work_s / self.speed_by_gate[gate_number]
        work_s = self.rng.gammavariate(4.0, mean_s / 4.0)
        call_later(self.loop, work_s, lambda: self._end(gate_number, call_id))

    def _end(self, gate_number: int, call_id: CallId) -> None:
        call = self._call_by_id.pop(call_id)
        now = self.loop.now
        self._apply(gate_number, release(self.gates[gate_number], call_id, now=now))
        assert call.candidate is not None
        record_ended(call.candidate)
        record_success(call.candidate, ROUTE, latency_s=now - call.sent_at, now=now)
        self.record_gate_load(call.view, gate_number, self.gate_load(gate_number), now)
        if call.calls_left > 1:
            self._call(call.stream, call.calls_left - 1)
        else:
            self.outcome_by_importance[call.stream.importance].whole += 1


def play_fleet(settings: FleetSettings, seed: int) -> ExperimentResult:
    """Simulate one surge at the many gates of one service."""
    fleet = FleetSurge(settings, seed=seed)
    fleet.run()
    summary = {
        "worth": round(fleet.worth, 4),
        "thrown away part": round(fleet.thrown_away_ratio, 4),
    }
    for importance, outcome in fleet.outcome_by_importance.items():
        summary[f"{importance.name.lower()} whole part"] = round(
            outcome.whole / max(1, outcome.offered), 4
        )
    return ExperimentResult(fleet.samples, summary)
