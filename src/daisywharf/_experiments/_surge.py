"""Simulate a surge: entries, the gate of one deep service, and requests that call it in series."""

from random import Random

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._contract import Importance
from daisywharf._experiments._model import ExperimentResult, Sample
from daisywharf._ids import CallClassName, RequestId, ServiceName
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._chain import (
    ChainState,
    Step,
    chain_level,
    is_unknown,
    record_request,
    record_rows,
    strictest_level,
    visits_of,
)
from daisywharf._overload._chain_chance import (
    MIN_URGENT_PERIOD_S,
    Rejections,
    chance_of,
    is_urgent,
    is_worth_starting,
    record_start,
    rejected_share,
)
from daisywharf._overload._level_controller import (
    OPEN,
    LevelController,
    is_shed,
    move_level,
    record_arrival,
)
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import (
    SlotGate,
    arrive,
    expire,
    load_ratio,
    next_start_delay_s,
    record_run_time,
    release,
    start_waiting,
)
from daisywharf._overload._start_rate import record_limit
from daisywharf._virtual._loop import VirtualLoop, call_later, run_until

ENTRIES = 16
TICK_PERIOD_S = 0.025
LEVEL_DELAY_S = 0.05  # delay until the entries learn a new level
SAMPLE_PERIOD_S = 0.5
WORK_ABOVE_S = 0.1  # work of a request before its first call to the deep service
REJECTION_S = 0.001  # until a target has rejected a call
REPORT_PERIOD_S = 0.5  # of a gate whose rejected share hasn't changed much
REPORT_DELAY_S = 0.15  # until the entries of all zones have a reported share
FRONT = ServiceName("front")
DEEP = ServiceName("deep")


class Stream(msgspec.Struct, frozen=True):
    """Describe the requests of one class: each makes `calls` calls to the deep service in series.

    `patience_s` is how long a call may wait for a slot.
    """

    importance: Importance
    per_s: float
    calls: int
    patience_s: float = 0.4


class Outcome(msgspec.Struct):
    """Count the outcomes of the requests of one class.

    `whole` requests got a complete answer; `thrown_away` ones were admitted by an entry and
    failed below it, after `wasted_s` seconds of work. `unlikely` ones, which `refused_at_entry`
    counts too, were refused because their calls would fail.
    """

    offered: int = 0
    refused_at_entry: int = 0
    whole: int = 0
    thrown_away: int = 0
    unlikely: int = 0
    wasted_s: float = 0.0


class Rejecting(msgspec.Struct, frozen=True):
    """Describe when the targets of the deep service reject a share of their calls as not run."""

    share: float
    starts_s: float
    ends_s: float


class Surge:
    """Simulate the gate of one deep service and the requests that reach it.

    `work_s` is the mean run time of a call. Without `follows_level` the entries ignore the level,
    without `follows_chance` they admit requests whose calls would fail; the services above count as
    full. The entries know the calls
    of a request from `chain_known_at_s` on; before, they apply the strictest level to each request
    if they are `strict_when_unknown`, and none otherwise.
    """

    def __init__(
        self,
        *,
        slots: int,
        work_s: float,
        follows_level: bool,
        limit_per_s: float | None = None,
        rejecting: Rejecting | None = None,
        follows_chance: bool = True,
        chain_known_at_s: float = 0.0,
        strict_when_unknown: bool = True,
        seed: int = 1,
    ) -> None:
        self.rejecting = rejecting
        self.follows_chance = follows_chance
        self.chain_known_at_s = chain_known_at_s
        self.strict_when_unknown = strict_when_unknown
        self.chain = ChainState()
        self.shed_shallow_at: list[float] = []
        self.rejections = Rejections(now=0.0)
        self.known_share = 0.0
        self.reported_share = 0.0
        self.reported_at = 0.0
        self.refused_as_unlikely_at: list[float] = []
        self.loop = VirtualLoop()
        self.gate = SlotGate(slots=slots)
        self.level_controller = LevelController(now=0.0)
        if limit_per_s is not None:
            record_limit(self.gate.rate, limit_per_s, now=0.0)
        self.started = 0
        self._is_start_scheduled = False
        self.work_s = work_s
        self.follows_level = follows_level
        self.rng = Random(seed)
        # Separate, so that requests arrive at the same times with and without chances.
        self.probe_rng = Random(seed)
        self.known_level = OPEN
        self.level_history: list[float] = []
        self.outcome_by_importance = {i: Outcome() for i in Importance}
        self.samples: list[Sample] = []
        self._last_call_number = 0
        self._remaining_by_id: dict[CallId, tuple[Stream, int]] = {}

    def run(self, streams: list[Stream], *, lasts_s: float) -> None:
        """Simulate the streams for `lasts_s` seconds and sample the results."""
        for stream in streams:
            self._schedule_arrival(stream)
        if self.chain_known_at_s:
            call_later(self.loop, self.chain_known_at_s, lambda: self._learn_chain(streams))
        else:
            self._learn_chain(streams)
        call_later(self.loop, TICK_PERIOD_S, self._tick)
        totals = self._totals()
        for number in range(1, round(lasts_s / SAMPLE_PERIOD_S) + 1):
            run_until(self.loop, number * SAMPLE_PERIOD_S)
            totals = self._sample(totals)

    def _learn_chain(self, streams: list[Stream]) -> None:
        rows = tuple(
            CallsBelow(FRONT, _route_of(stream), DEEP, "call", stream.calls)
            for stream in streams
            if stream.calls
        )
        record_rows(self.chain, "vm-1", rows)

    def _level_for(self, stream: Stream) -> float:
        """Return the level that entries apply to a request."""
        now, step = self.loop.now, Step(_route_of(stream), FRONT)
        levels = {FRONT: OPEN, DEEP: self.known_level}
        record_request(self.chain, step.route, now=now)
        if self.strict_when_unknown and is_unknown(self.chain, step, now=now):
            return strictest_level(levels).level
        return chain_level(visits_of(self.chain, step, now=now), levels).level

    def _totals(self) -> dict[str, float]:
        """Return the counts since the start, by the name of the column that shows their rate."""
        totals: dict[str, float] = {}
        for importance, outcome in self.outcome_by_importance.items():
            if outcome.offered:
                name = importance.name.lower()
                totals[f"{name} whole/s"] = outcome.whole
                totals[f"{name} refused/s"] = outcome.refused_at_entry
        thrown_away = [o.thrown_away for o in self.outcome_by_importance.values()]
        totals["thrown away/s"] = sum(thrown_away)
        return totals

    def _sample(self, previous_totals: dict[str, float]) -> dict[str, float]:
        totals = self._totals()
        rates = {
            name: round((value - previous_totals.get(name, 0.0)) / SAMPLE_PERIOD_S, 1)
            for name, value in totals.items()
        }
        rates["level"] = round(self.level_controller.level, 2)
        rates["waiting"] = self.gate.queue.size
        self.samples.append(Sample(self.loop.now, rates))
        return totals

    def _tick(self) -> None:
        now = self.loop.now
        self._apply(expire(self.gate, now=now))
        load = load_ratio(self.gate)
        level = move_level(self.level_controller, load=load, ceiling=3.0, entries=ENTRIES, now=now)
        self.level_history.append(level)
        if self.follows_level:
            call_later(self.loop, LEVEL_DELAY_S, lambda: setattr(self, "known_level", level))
        self._report_share(now=now)
        call_later(self.loop, TICK_PERIOD_S, self._tick)

    def _report_share(self, *, now: float) -> None:
        """Report the rejected share to the entries, at once if it has changed much."""
        share = rejected_share(self.rejections, now=now)
        age_s = now - self.reported_at
        is_due = age_s >= MIN_URGENT_PERIOD_S and is_urgent(share, reported=self.reported_share)
        if is_due or age_s >= REPORT_PERIOD_S:
            self.reported_share, self.reported_at = share, now
            call_later(self.loop, REPORT_DELAY_S, lambda: setattr(self, "known_share", share))

    def _schedule_arrival(self, stream: Stream) -> None:
        call_later(self.loop, self.rng.expovariate(stream.per_s), lambda: self._arrive(stream))

    def _arrive(self, stream: Stream) -> None:
        self._schedule_arrival(stream)
        outcome = self.outcome_by_importance[stream.importance]
        outcome.offered += 1
        sub_order = self.rng.randrange(65_536)
        if is_shed(stream.importance, sub_order, level=self._level_for(stream)):
            outcome.refused_at_entry += 1
            if not stream.calls:
                self.shed_shallow_at.append(self.loop.now)
            return
        chance = chance_of({DEEP: float(stream.calls)}, {DEEP: self.known_share})
        if self.follows_chance and not is_worth_starting(
            chance.chance, occupied_fraction=1.0, draw=self.probe_rng.random()
        ):
            outcome.refused_at_entry += 1
            outcome.unlikely += 1
            self.refused_as_unlikely_at.append(self.loop.now)
            return
        call_later(self.loop, WORK_ABOVE_S, lambda: self._continue(stream, stream.calls))

    def _continue(self, stream: Stream, calls_left: int) -> None:
        """Make the next call of a request, or count it as answered."""
        if calls_left:
            self._call(stream, calls_left)
        else:
            self.outcome_by_importance[stream.importance].whole += 1

    def _call(self, stream: Stream, calls_left: int) -> None:
        self._last_call_number += 1
        call_id = CallId(RequestId(str(self._last_call_number)), 0)
        self._remaining_by_id[call_id] = (stream, calls_left - 1)
        importance = Importance.HIGH if stream.calls > 1 else stream.importance
        now = self.loop.now
        latest_start = now + stream.patience_s
        call = WaitingCall(call_id, CallClassName("c"), importance, 0, 0, latest_start, now)
        record_arrival(self.level_controller)
        self._apply(arrive(self.gate, call, now=now))

    def _apply(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                self._run(action.call_id)
            elif isinstance(action, Refuse):
                self._throw_away(action.call_id)
        start_delay_s = next_start_delay_s(self.gate, now=self.loop.now)
        if start_delay_s and not self._is_start_scheduled:
            self._is_start_scheduled = True
            call_later(self.loop, start_delay_s, self._start_waiting)

    def _throw_away(self, call_id: CallId) -> None:
        stream, calls_left = self._remaining_by_id.pop(call_id)
        outcome = self.outcome_by_importance[stream.importance]
        outcome.thrown_away += 1
        outcome.wasted_s += WORK_ABOVE_S + self.work_s * (stream.calls - calls_left - 1)

    def _start_waiting(self) -> None:
        self._is_start_scheduled = False
        self._apply(start_waiting(self.gate, now=self.loop.now))

    def _is_rejected(self) -> bool:
        rejecting = self.rejecting
        return (
            rejecting is not None
            and rejecting.starts_s <= self.loop.now < rejecting.ends_s
            and self.rng.random() < rejecting.share
        )

    def _reject(self, call_id: CallId) -> None:
        now = self.loop.now
        record_start(self.rejections, is_rejected=True, now=now)
        self._throw_away(call_id)
        self._apply(release(self.gate, call_id, now=now))

    def _run(self, call_id: CallId) -> None:
        if self._is_rejected():
            call_later(self.loop, REJECTION_S, lambda: self._reject(call_id))
            return
        work_s = self.rng.expovariate(1.0 / self.work_s)
        self.started += 1
        record_run_time(self.gate, work_s)
        call_later(self.loop, work_s, lambda: self._end(call_id))

    def _end(self, call_id: CallId) -> None:
        stream, calls_left = self._remaining_by_id.pop(call_id)
        record_start(self.rejections, is_rejected=False, now=self.loop.now)
        self._apply(release(self.gate, call_id, now=self.loop.now))
        self._continue(stream, calls_left)


class SurgeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the deep service and the offered rates; defaults: karri-mesh in the scenario scale-1."""

    slots: int = 81
    work_ms: float = 22.0
    browse_per_s: float = 990.0
    orders_per_s: float = 345.0
    checks_per_s: float = 320.0
    calls_each: int = 4
    lasts_s: float = 8.0
    follows_level: bool = True
    limit_per_s: float | None = None  # limit announced by the target of the deep service


def play_surge(settings: SurgeSettings, seed: int) -> ExperimentResult:
    """Simulate one surge at a single gate."""
    surge = Surge(
        slots=settings.slots,
        work_s=settings.work_ms / 1_000.0,
        follows_level=settings.follows_level,
        limit_per_s=settings.limit_per_s,
        seed=seed,
    )
    calls = settings.calls_each
    surge.run(
        [
            Stream(Importance.NORMAL, settings.browse_per_s, calls),
            Stream(Importance.CRITICAL, settings.orders_per_s, calls),
            Stream(Importance.HIGH, settings.checks_per_s, 1, patience_s=0.05),
        ],
        lasts_s=settings.lasts_s,
    )
    summary = {}
    for importance, outcome in surge.outcome_by_importance.items():
        if outcome.offered:
            name = importance.name.lower()
            summary[f"{name} whole part"] = round(outcome.whole / outcome.offered, 4)
            summary[f"{name} thrown away"] = outcome.thrown_away
    return ExperimentResult(surge.samples, summary)


def _route_of(stream: Stream) -> RouteName:
    return RouteName(f"{stream.importance.name} {stream.calls}")
