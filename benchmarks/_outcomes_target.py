"""A simulated target: the real records, pause and stopping state around a fake service."""

from collections.abc import Callable
from random import Random

import msgspec

from benchmarks._outcomes_clock import Node, VirtualClock
from benchmarks._outcomes_ledger import AttemptId, Ledger, body_of
from benchmarks._outcomes_network import Rates
from daisywharf._errors import ErrorKind
from daisywharf._ids import Incarnation, RequestId, TargetId
from daisywharf._outcomes import _once
from daisywharf._outcomes._once import (
    OnceDecision,
    OnceRecords,
    RefuseRun,
    RepeatAnswer,
    RunNow,
    StoredAnswer,
)
from daisywharf._outcomes._pause import PauseState, may_start, pause_tick
from daisywharf._outcomes._stopping import (
    LeaveFleet,
    RefuseQueued,
    StoppingState,
    accept_call,
    drop_call,
    record_answered,
    start_call,
    start_stopping,
    stopping_tick,
)
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._admission import CallId

TICK_PERIOD_S = 0.1
MAX_QUEUE_S = 0.01
MAX_RUN_S = 0.02
MAX_SLOW_RUN_S = 1.0
SLOW_RUN_FRACTION = 0.02
MAX_RECORD_BYTES = 33_554_432

Answer = Callable[[OnceDecision], None]


class Call(msgspec.Struct, frozen=True):
    """A call at the gate; `deadline` is in seconds since 1970 by the clock without skew."""

    attempt: AttemptId
    ticket: Ticket
    deadline: float


class GateCall(msgspec.Struct, eq=False):
    """A call at the gate, and the function that sends its answer."""

    call: Call
    answer: Answer


class TargetNode(Node):
    """One incarnation of a target; a restart creates a new node."""

    def __init__(
        self,
        clock: VirtualClock,
        name: str,
        zone: int,
        *,
        incarnation: int,
        ledger: Ledger,
        rng: Random,
        rates: Rates,
    ) -> None:
        super().__init__(clock, name, zone)
        self.ledger = ledger
        self.rng = rng
        self.rates = rates
        self.target_id = TargetId(name)
        self.incarnation = Incarnation(incarnation)
        self.records = OnceRecords(
            target_id=self.target_id, incarnation=self.incarnation, max_bytes=MAX_RECORD_BYTES
        )
        self.pause = PauseState(now=clock.now)
        self.stopping = StoppingState(now=clock.now)
        self.waiting_by_id: dict[CallId, GateCall] = {}
        self.running_by_id: dict[CallId, GateCall] = {}
        self.is_gone = False
        self.withdrawn_at = float("inf")
        self.calls = 0
        self.after(TICK_PERIOD_S, self._tick)

    def call(self, call: Call, answer: Answer) -> None:
        """Handle a call that arrives: queue it, refuse it, or answer it from the records."""
        if self.is_gone:
            return
        decision = _once.begin(self.records, call.ticket, now=self.wall_now)
        if not isinstance(decision, RunNow):
            answer(decision)
            return
        self.calls += 1
        call_id = CallId(RequestId(f"{call.attempt.order}"), self.calls)
        refusal = accept_call(self.stopping, call_id, deadline=call.deadline)
        if refusal is None and self.rng.random() < self.rates.shed:
            drop_call(self.stopping, call_id)
            refusal = ErrorKind.SHED
        gate_call = GateCall(call, answer)
        if refusal is not None:
            self._refuse(gate_call, refusal)
            return
        self.waiting_by_id[call_id] = gate_call
        self.after(self.rng.uniform(0.0, MAX_QUEUE_S), lambda: self._start(call_id))

    def resolve(self, ticket: Ticket, answer: Answer) -> None:
        """Answer with the outcome of a ticket's call."""
        if not self.is_gone:
            answer(_once.resolve(self.records, ticket, now=self.wall_now))

    def stop_gracefully(self) -> None:
        """Handle SIGTERM: withdraw, and refuse the calls that wait."""
        if not self.is_gone:
            self.withdrawn_at = min(self.withdrawn_at, self.clock.now)
            for action in start_stopping(self.stopping, now=self.clock.now):
                if isinstance(action, RefuseQueued):
                    self._refuse(self.waiting_by_id.pop(action.call_id), action.kind)

    def kill(self) -> None:
        """Handle SIGKILL: completed runs stay done, and all records are lost."""
        self.is_gone = True

    def _start(self, call_id: CallId) -> None:
        gate_call = self.waiting_by_id.pop(call_id, None)
        if self.is_gone or gate_call is None:
            return
        now = self.clock.now
        refusal = start_call(self.stopping, call_id, now=now)
        if refusal is None and not may_start(self.pause, deadline=gate_call.call.deadline, now=now):
            record_answered(self.stopping, call_id, now=now, is_order=False)
            refusal = ErrorKind.TOO_LATE
        if refusal is not None:
            self._refuse(gate_call, refusal)
            return
        self.ledger.record_run(gate_call.call.attempt)
        self.running_by_id[call_id] = gate_call
        run_s = MAX_SLOW_RUN_S if self.rng.random() < SLOW_RUN_FRACTION else MAX_RUN_S
        self.after(self.rng.uniform(0.0, run_s), lambda: self._finish(call_id))

    def _finish(self, call_id: CallId) -> None:
        if self.is_gone:
            return
        gate_call = self.running_by_id.pop(call_id)
        answer = StoredAnswer(200, (), body_of(gate_call.call.attempt.order))
        _once.complete(self.records, gate_call.call.ticket.key, answer, now=self.wall_now)
        self.ledger.record_kept_bytes(self.records.kept_bytes)
        gate_call.answer(RepeatAnswer(answer))
        record_answered(self.stopping, call_id, now=self.clock.now, is_order=True)

    def _refuse(self, gate_call: GateCall, kind: ErrorKind) -> None:
        _once.burn(self.records, gate_call.call.ticket.key, now=self.wall_now)
        gate_call.answer(RefuseRun(kind))

    def _tick(self) -> None:
        if self.is_gone:
            return
        pause_tick(self.pause, now=self.clock.now)
        _once.tick(self.records, now=self.wall_now)
        for action in stopping_tick(self.stopping, now=self.clock.now):
            if isinstance(action, LeaveFleet):
                self.ledger.cut_by_shutdown += len(self.running_by_id)
                self.kill()
                return
        self.after(TICK_PERIOD_S, self._tick)
