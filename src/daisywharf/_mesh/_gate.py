"""Run calls at the target beside this daemon, which no other process can reach."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._ids import CallClassName, RequestId
from daisywharf._mesh._dialect import AnswerHead, Dialect
from daisywharf._mesh._frames import Answered, Call, CallResult, GateLoad, OnCallResult, Unanswered
from daisywharf._mesh._gate_call import GateCall, log_call_failed, log_call_refused
from daisywharf._mesh._headers import HeaderPair
from daisywharf._mesh._held import HeldBytes, keep
from daisywharf._mesh._http_answers import HttpFailure, HttpResult, Ownership
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._model import Readiness, TargetNotice
from daisywharf._mesh._pending import MS
from daisywharf._mesh._results import MISDIRECTED
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._calls_below import CallCounts, Kind, record_half_run
from daisywharf._overload._pressure import Pressure, move_pressure, record_arrival
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import (
    SlotGate,
    arrive,
    capacity,
    change_slots,
    close_gate,
    expire,
    load_ratio,
    next_start_delay_s,
    record_run,
    release,
    start_waiting,
    withdraw,
)
from daisywharf._overload._start_rate import record_limit, record_no_limit
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# A call with less time than this can't be answered; it isn't offered to the target.
LEAST_TIME_S: Final = 0.005
# What can't be repeated goes out on connections that were used a moment ago, or on new ones.
FRESH_IDLE_S: Final = 0.25
USUAL_IDLE_S: Final = 4.0
# After a failed connection the target is tried again in this time, or with its next word.
UNREACHABLE_S: Final = 0.5
LONGEST_UNREACHABLE_S: Final = 4.0
# A target that runs calls and says nothing for this long is asked for a connection: ten times the
# work of a usual call.
SILENT_S: Final = 1.0
PROBE_S: Final = 0.4
# A target ends its work at the deadline that it is given; an answer without an end so long after
# that holds a slot for nobody.
OVERTIME_S: Final = 5.0
LEAST_TURN_S: Final = 0.001  # a timer may fire a moment early
FIRST_FAILURE: Final = 500  # statuses from here on may come from a failing part of the target


class Gate:
    """Hold the target beside this daemon, its slots, and the calls at it."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        now: Callable[[], float],
        held: HeldBytes,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self.dialect = dialect
        self.on_leaving = on_leaving
        self.now = now
        self.held = held
        self.notice: TargetNotice | None = None
        self.slots = SlotGate(slots=1)
        self.pressure = Pressure(now=now())
        self.started = 0
        self.counts = CallCounts(now=now())
        self.ceiling = float(len(Importance))
        self.entries = 1  # daemons of the fleet, which follow this gate's level
        self.calls_by_id: dict[CallId, GateCall] = {}
        self.is_stopping = False
        self.unreachable_until = 0.0
        self._unreachable_s = UNREACHABLE_S
        self._is_probing = False
        # What entries know may have been said by an incarnation before the one that replaced it.
        self._is_first_target = False
        self._turn: asyncio.TimerHandle | None = None
        self._running_since = now()
        self._pool: HttpPool | None = None
        self._last_number = 0

    @property
    def is_open(self) -> bool:
        """Tell whether the gate takes calls."""
        notice = self.notice
        return (
            notice is not None and notice.readiness is Readiness.READY and not self.slots.is_closed
        )

    def load(self) -> GateLoad:
        """Return the load to announce."""
        slots = self.slots
        return GateLoad(
            len(slots.running),
            slots.queue.size,
            round(capacity(slots)),
            round(self.pressure.level, 3),
            slots.rate.limit_per_s,
        )

    def take_notice(self, notice: TargetNotice) -> None:
        """Follow what the target says of itself; the caller has put notices in order."""
        known = self.notice
        is_same = known is not None and (known.target_id, known.born_ms, known.address) == (
            notice.target_id,
            notice.born_ms,
            notice.address,
        )
        if not is_same:
            self._is_first_target = known is None
            self._replace_target(notice)
        self.notice = notice
        self.unreachable_until = 0.0
        self._unreachable_s = UNREACHABLE_S
        if notice.readiness is not Readiness.READY:
            self._apply(close_gate(self.slots))
        elif not self.is_stopping:
            self.slots.is_closed = False
            self._apply(change_slots(self.slots, notice.slots, now=self.now()))

    def _replace_target(self, notice: TargetNotice) -> None:
        if self._pool is not None:
            self._apply(close_gate(self.slots))
            self._pool.close()
        self.slots = SlotGate(slots=notice.slots)
        self.slots.is_closed = self.is_stopping
        self.pressure = Pressure(now=self.now())
        self._pool = HttpPool(notice.address, now=self.now, held=self.held)

    def submit(self, call: Call, on_result: OnCallResult) -> CallId:
        """Take a call; the result follows, at once or later."""
        now = self.now()
        self._last_number += 1
        call_id = CallId(RequestId(call.request_id), self._last_number)
        notice = self.notice
        if notice is None or notice.target_id != call.target_id:
            on_result(self._refusal(call, ErrorKind.WRONG_INCARNATION))
            return call_id
        if now < self.unreachable_until:
            on_result(self._refusal(call, ErrorKind.NO_TARGET))
            return call_id
        if self.held.is_full:
            on_result(self._refusal(call, ErrorKind.MEMORY_FULL))
            return call_id
        is_unheard = self._is_first_target and self.slots.rate.limit_per_s is None
        if call.limit_per_s is not None and is_unheard:
            self._name_limit(call.limit_per_s)
        deadline = now + call.time_left_ms / MS
        keep(self.held, len(call.body))
        self.calls_by_id[call_id] = GateCall(call_id, call, on_result, deadline)
        waiting = WaitingCall(
            call_id,
            CallClassName(call.route),
            Importance(call.importance),
            call.sub_order,
            0,
            min(now + call.max_wait_ms / MS, deadline - LEAST_TIME_S),
            now,
        )
        record_arrival(self.pressure)
        self._apply(arrive(self.slots, waiting, now=now))
        return call_id

    def cancel(self, call_id: CallId) -> None:
        """Give a call up: drop it from the queue, or stop its run.

        A run that can't be repeated goes on to its end, so that it isn't left half done.
        """
        gate_call = self.calls_by_id.get(call_id)
        if gate_call is None:
            return
        if gate_call.asked is None:
            withdraw(self.slots, call_id)
            self._forget(call_id)
        elif gate_call.call.is_idempotent:
            gate_call.asked.cancel()
            self._forget(call_id)
            self._apply(release(self.slots, call_id, now=self.now()))
        else:
            gate_call.is_given_up = True

    def tick(self, *, now: float) -> None:
        """Refuse what waited too long and move the shedding level."""
        self._apply(expire(self.slots, now=now))
        move_pressure(
            self.pressure,
            load=load_ratio(self.slots),
            ceiling=self.ceiling,
            entries=self.entries,
            now=now,
        )
        self._probe_if_silent(now=now)

    def _probe_if_silent(self, *, now: float) -> None:
        pool = self._pool
        if pool is None or not self.slots.running:
            self._running_since = now
        elif now - max(pool.heard_at, self._running_since) > SILENT_S and not self._is_probing:
            self._is_probing = True
            asyncio.ensure_future(self._probe(pool))

    async def _probe(self, pool: HttpPool) -> None:
        """End the calls of a target that is gone without a word."""
        is_there = await pool.can_connect(within_s=PROBE_S)
        self._is_probing = False
        self._running_since = self.now()
        if not is_there and pool is self._pool:
            self._lose_target(f"silent for {SILENT_S} s, and no connection in {PROBE_S} s")
            pool.close("the target is silent")

    def sweep(self, *, now: float) -> None:
        """End runs that are long past their deadline, and connections that were idle for long."""
        if self._pool is None:
            return
        overdue = [call for call in self.calls_by_id.values() if now > call.deadline + OVERTIME_S]
        for call in overdue:
            if call.asked is not None:
                call.asked.end(f"no whole answer {OVERTIME_S} s past its deadline")
        self._pool.sweep(now=now)

    def start_stopping(self) -> None:
        """Refuse what waits and arrives; what runs goes on."""
        self.is_stopping = True
        self._apply(close_gate(self.slots))

    def _forget(self, call_id: CallId) -> None:
        gate_call = self.calls_by_id.pop(call_id, None)
        if gate_call is not None:
            keep(self.held, -len(gate_call.call.body))

    def _apply(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            gate_call = self.calls_by_id.get(action.call_id)
            if gate_call is None:
                continue
            if isinstance(action, Admit):
                self._start(gate_call)
            elif isinstance(action, Refuse):
                self._forget(action.call_id)
                log_call_refused(gate_call, action.kind, self.load(), now=self.now())
                gate_call.on_result(self._refusal(gate_call.call, action.kind))
        self._await_turn()

    def _await_turn(self) -> None:
        """Start the next waiting call when the target's limit allows it."""
        turn_s = next_start_delay_s(self.slots, now=self.now())
        if turn_s is not None and self._turn is None:
            loop = asyncio.get_running_loop()
            self._turn = loop.call_later(max(LEAST_TURN_S, turn_s), self._take_turn)

    def _renew_turn(self) -> None:
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
            self._await_turn()

    def _take_turn(self) -> None:
        self._turn = None
        self._apply(start_waiting(self.slots, now=self.now()))

    def _start(self, gate_call: GateCall) -> None:
        pool, notice, call = self._pool, self.notice, gate_call.call
        assert pool is not None and notice is not None
        gate_call.started_at = self.now()
        self.started += 1
        left_ms = int((gate_call.deadline - gate_call.started_at) * MS)
        record_half_run(self.counts, Kind(call.route))
        lines = self.dialect.target_lines(
            target_id=notice.target_id, caller_service=call.caller_service, time_left_ms=left_ms
        )
        length = b"Content-Length: %d\r\n" % len(call.body) if call.body else b""
        if not call.body and not call.head.startswith((b"GET ", b"HEAD ", b"DELETE ")):
            length = b"Content-Length: 0\r\n"
        request = b"".join((call.head, lines, length, b"\r\n", call.body))

        def judge(headers: Sequence[HeaderPair]) -> Ownership:
            head = gate_call.answer_head = self.dialect.read_answer(headers)
            if head.request_id == call.request_id and self._pool is pool:
                self._hear_head(gate_call, head)
            is_own = not head.request_id or head.request_id == call.request_id
            return Ownership(is_own, head.idle_s)

        gate_call.asked = pool.ask(
            request,
            lambda result: self._finish(gate_call, result),
            judge=judge,
            most_idle_s=USUAL_IDLE_S if gate_call.call.is_idempotent else FRESH_IDLE_S,
        )

    def _hear_head(self, gate_call: GateCall, head: AnswerHead) -> None:
        """Take what the target says of itself beside an answer."""
        gate_call.head_at = self.now()
        if head.most_per_s is not None:
            self._name_limit(head.most_per_s)
        if head.is_leaving:
            self.on_leaving()

    def _name_limit(self, per_s: float) -> None:
        assert self.notice is not None
        if per_s != self.slots.rate.limit_per_s:
            log_event(Event.TARGET_LIMITED, target=self.notice.target_id, per_s=per_s)
        record_limit(self.slots.rate, per_s, now=self.now())
        self._renew_turn()

    def _hear_whole(self, gate_call: GateCall, head: AnswerHead) -> None:
        """Take that a whole answer names no limit."""
        heard_at = gate_call.head_at
        if heard_at is None or head.names_limit:
            return
        if record_no_limit(self.slots.rate, reported_at=heard_at):
            log_event(Event.TARGET_LIMIT_ENDED, target=gate_call.call.target_id)
            self._renew_turn()

    def _finish(self, gate_call: GateCall, result: HttpResult) -> None:
        self._forget(gate_call.call_id)
        record_half_run(self.counts, Kind(gate_call.call.route))
        record_run(self.slots, self.now() - gate_call.started_at)
        self._apply(release(self.slots, gate_call.call_id, now=self.now()))
        outcome = self._outcome(gate_call, result)
        if not gate_call.is_given_up:
            gate_call.on_result(outcome)

    def _outcome(self, gate_call: GateCall, result: HttpResult) -> CallResult:
        call, head = gate_call.call, gate_call.answer_head
        if isinstance(result, HttpFailure):
            log_call_failed(gate_call, result, now=self.now())
            if result.kind is ErrorKind.CONNECT_FAILED:
                self._lose_target(result.detail)
            return Unanswered(call.call_id, result.kind, result.has_begun, self.load())
        assert head is not None
        is_own = head.request_id == call.request_id
        is_whole = head.is_signed and is_own and not head.is_encoded
        if is_whole and result.status < FIRST_FAILURE:
            self._hear_whole(gate_call, head)
        says_not_run = head.is_not_run or result.status == MISDIRECTED
        # Without its id, a refusal may be a late one to another request.
        if (result.status < 300 and not is_whole) or (says_not_run and not is_own):
            return Unanswered(call.call_id, ErrorKind.CUT_ANSWER, has_begun=True, load=self.load())
        return Answered(
            call.call_id,
            result.status,
            result.reason,
            head.passed_on,
            result.body,
            head.is_signed,
            says_not_run,
            self.load(),
            head.is_leaving,
        )

    def _lose_target(self, detail: str) -> None:
        now = self.now()
        if now < self.unreachable_until or self.notice is None:
            return
        self.unreachable_until = now + self._unreachable_s
        self._unreachable_s = min(LONGEST_UNREACHABLE_S, self._unreachable_s * 2.0)
        log_event(Event.TARGET_UNREACHABLE, target=self.notice.target_id, error=detail)

    def _refusal(self, call: Call, kind: ErrorKind) -> Unanswered:
        return Unanswered(call.call_id, kind, has_begun=False, load=self.load())
