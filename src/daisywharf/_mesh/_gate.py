"""Admit calls to the local target and run them; no other process can reach the target."""

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
from daisywharf._mesh._http_answers import HttpFailure, HttpResult, Ownership
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._memory_budget import MemoryBudget, add_buffered
from daisywharf._mesh._model import Readiness, TargetAnnouncement
from daisywharf._mesh._pending import MS_PER_S
from daisywharf._mesh._results import MISDIRECTED_STATUS
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._calls_below import CallCounts, Kind, record_half_run
from daisywharf._overload._chain_chance import Rejections, record_start, rejected_share
from daisywharf._overload._level_controller import LevelController, move_level, record_arrival
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._run_times import RunTimes, min_time_s, record_run
from daisywharf._overload._slots import (
    SlotGate,
    arrive,
    capacity,
    change_slots,
    close_gate,
    expire,
    load_ratio,
    next_start_delay_s,
    record_run_time,
    release,
    start_waiting,
    withdraw,
)
from daisywharf._overload._start_rate import record_limit, record_no_limit
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# A call with less time left can't be answered in time and isn't sent to the target.
MIN_CALL_TIME_S: Final = 0.005
# Calls that can't be retried only use recently active connections, or new ones.
MAX_IDLE_NON_IDEMPOTENT_S: Final = 0.25
MAX_IDLE_IDEMPOTENT_S: Final = 4.0
# After a failed connection the target is tried again after this time, doubled with each failure,
# or at its next announcement.
MIN_UNREACHABLE_S: Final = 0.5
MAX_UNREACHABLE_S: Final = 4.0
# A target that runs calls but sends nothing for this long is probed with a new connection. The
# limit is ten times the run time of a usual call.
MAX_SILENCE_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.4
# Targets stop work at the deadline they are given. A call without a whole answer this long after
# its deadline holds a slot that serves nobody.
MAX_OVERTIME_S: Final = 5.0
MIN_TIMER_DELAY_S: Final = 0.001  # a timer may fire slightly early
MIN_FAILURE_STATUS: Final = 500  # may come from a failing component of the target


class Gate:
    """Hold the local target, its slots, and the calls that wait or run there."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        now: Callable[[], float],
        memory: MemoryBudget,
        on_target_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self.dialect = dialect
        self.on_target_leaving = on_target_leaving
        self.now = now
        self.memory = memory
        self.announcement: TargetAnnouncement | None = None
        self.slots = SlotGate(slots=1)
        self.level_controller = LevelController(now=now())
        self.rejections = Rejections(now=now())
        self.run_times = RunTimes()
        self.started_count = 0  # calls sent to the target
        self.call_counts = CallCounts(now=now())
        self.ceiling = float(len(Importance))  # the shedding level at which nothing is refused
        self.entries = 1  # number of daemons in the fleet, which apply this gate's shedding level
        self.calls_by_id: dict[CallId, GateCall] = {}
        self.is_stopping = False
        self.unreachable_until = 0.0
        self._unreachable_s = MIN_UNREACHABLE_S
        self._is_probing = False
        # Whether rate limits reported by entries can be used: only until the first target is
        # replaced, because a limit may stem from an earlier incarnation.
        self._is_first_target = False
        self._start_timer: asyncio.TimerHandle | None = None
        # When calls began to run without a break, or the last probe ended.
        self._silence_counted_from = now()
        self._pool: HttpPool | None = None
        self._last_call_number = 0

    @property
    def is_open(self) -> bool:
        """Return whether the gate accepts calls."""
        announcement = self.announcement
        return (
            announcement is not None
            and announcement.readiness is Readiness.READY
            and not self.slots.is_closed
        )

    def load(self) -> GateLoad:
        """Return the load to report to entries."""
        slots = self.slots
        return GateLoad(
            len(slots.running),
            slots.queue.size,
            round(capacity(slots)),
            round(self.level_controller.level, 3),
            slots.rate.limit_per_s,
            # An integer 0, as is usual, takes one byte in a frame; a float takes nine.
            round(self.rejected_share(), 2) or 0,
        )

    def rejected_share(self) -> float:
        """Return the share of the calls started lately that the target rejected as not run."""
        return rejected_share(self.rejections, now=self.now())

    def handle_announcement(self, announcement: TargetAnnouncement) -> None:
        """Apply an announcement of the target; the caller drops those out of order."""
        known = self.announcement
        is_same = known is not None and (known.target_id, known.born_ms, known.address) == (
            announcement.target_id,
            announcement.born_ms,
            announcement.address,
        )
        if not is_same:
            self._is_first_target = known is None
            self._replace_target(announcement)
        self.announcement = announcement
        self.unreachable_until = 0.0
        self._unreachable_s = MIN_UNREACHABLE_S
        if announcement.readiness is not Readiness.READY:
            self._apply(close_gate(self.slots))
        elif not self.is_stopping:
            self.slots.is_closed = False
            self._apply(change_slots(self.slots, announcement.slots, now=self.now()))

    def _replace_target(self, announcement: TargetAnnouncement) -> None:
        """Fail the calls of the previous target, and start with empty state for the new one."""
        if self._pool is not None:
            self._apply(close_gate(self.slots))
            self._pool.close()
        self.slots = SlotGate(slots=announcement.slots)
        self.slots.is_closed = self.is_stopping
        self.level_controller = LevelController(now=self.now())
        self.rejections = Rejections(now=self.now())
        self.run_times = RunTimes()
        self._pool = HttpPool(announcement.address, now=self.now, memory=self.memory)

    def submit(self, call: Call, on_result: OnCallResult) -> CallId:
        """Queue, run or refuse a call; `on_result` gets the result, at once or later."""
        now = self.now()
        self._last_call_number += 1
        call_id = CallId(RequestId(call.request_id), self._last_call_number)
        announcement = self.announcement
        if announcement is None or announcement.target_id != call.target_id:
            on_result(self._refusal(call, ErrorKind.WRONG_INCARNATION))
            return call_id
        if now < self.unreachable_until:
            on_result(self._refusal(call, ErrorKind.NO_TARGET))
            return call_id
        if self.memory.is_full:
            on_result(self._refusal(call, ErrorKind.MEMORY_FULL))
            return call_id
        is_limit_unknown = self._is_first_target and self.slots.rate.limit_per_s is None
        if call.limit_per_s is not None and is_limit_unknown:
            self._set_rate_limit(call.limit_per_s)
        deadline = now + call.time_left_ms / MS_PER_S
        needed_s = max(MIN_CALL_TIME_S, min_time_s(self.run_times, call.route, now=now))
        add_buffered(self.memory, len(call.body))
        self.calls_by_id[call_id] = GateCall(call_id, call, on_result, deadline)
        waiting = WaitingCall(
            call_id,
            CallClassName(call.route),
            Importance(call.importance),
            call.sub_order,
            0,
            min(now + call.max_wait_ms / MS_PER_S, deadline - needed_s),
            now,
            has_team=call.has_team,
        )
        record_arrival(self.level_controller)
        self._apply(arrive(self.slots, waiting, now=now))
        return call_id

    def cancel(self, call_id: CallId) -> None:
        """Cancel a call: remove it from the queue, or abort it at the target.

        A running call that isn't idempotent continues, so that it isn't left half done.
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
        """Refuse calls that waited too long, update the shedding level, and probe if silent."""
        self._apply(expire(self.slots, now=now))
        move_level(
            self.level_controller,
            load=load_ratio(self.slots),
            ceiling=self.ceiling,
            entries=self.entries,
            now=now,
        )
        self._probe_if_silent(now=now)

    def _probe_if_silent(self, *, now: float) -> None:
        pool = self._pool
        if pool is None or not self.slots.running:
            self._silence_counted_from = now
        elif (
            now - max(pool.last_received_at, self._silence_counted_from) > MAX_SILENCE_S
            and not self._is_probing
        ):
            self._is_probing = True
            asyncio.ensure_future(self._probe(pool))

    async def _probe(self, pool: HttpPool) -> None:
        """Fail the calls of a target that vanished without closing its connections."""
        is_reachable = await pool.can_connect(within_s=PROBE_TIMEOUT_S)
        self._is_probing = False
        self._silence_counted_from = self.now()
        if not is_reachable and pool is self._pool:
            self._mark_unreachable(
                f"silent for {MAX_SILENCE_S} s, and no connection in {PROBE_TIMEOUT_S} s"
            )
            pool.close("the target is silent")

    def sweep(self, *, now: float) -> None:
        """Abort runs that are long past their deadline, and close idle connections."""
        if self._pool is None:
            return
        overdue = [
            call for call in self.calls_by_id.values() if now > call.deadline + MAX_OVERTIME_S
        ]
        for call in overdue:
            if call.asked is not None:
                call.asked.end(f"no complete answer {MAX_OVERTIME_S} s after its deadline")
        self._pool.sweep(now=now)

    def start_stopping(self) -> None:
        """Refuse waiting and new calls; running calls continue."""
        self.is_stopping = True
        self._apply(close_gate(self.slots))

    def _forget(self, call_id: CallId) -> None:
        """Stop tracking a call and release the memory of its body."""
        gate_call = self.calls_by_id.pop(call_id, None)
        if gate_call is not None:
            add_buffered(self.memory, -len(gate_call.call.body))

    def _apply(self, actions: list[AdmissionAction]) -> None:
        """Start and refuse calls as the slots decided."""
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
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Set a timer for the next waiting call, if the target's rate limit delays it."""
        delay_s = next_start_delay_s(self.slots, now=self.now())
        if delay_s is not None and self._start_timer is None:
            loop = asyncio.get_running_loop()
            self._start_timer = loop.call_later(max(MIN_TIMER_DELAY_S, delay_s), self._start_due)

    def _reschedule_start(self) -> None:
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
            self._schedule_start()

    def _start_due(self) -> None:
        self._start_timer = None
        self._apply(start_waiting(self.slots, now=self.now()))

    def _start(self, gate_call: GateCall) -> None:
        """Send an admitted call to the target."""
        pool, announcement, call = self._pool, self.announcement, gate_call.call
        assert pool is not None and announcement is not None
        gate_call.started_at = self.now()
        self.started_count += 1
        time_left_ms = int((gate_call.deadline - gate_call.started_at) * MS_PER_S)
        record_half_run(self.call_counts, Kind(call.route))
        lines = self.dialect.target_lines(
            target_id=announcement.target_id,
            caller_service=call.caller_service,
            time_left_ms=time_left_ms,
        )
        length = b"Content-Length: %d\r\n" % len(call.body) if call.body else b""
        if not call.body and not call.head.startswith((b"GET ", b"HEAD ", b"DELETE ")):
            length = b"Content-Length: 0\r\n"
        request_head = b"".join((call.head, lines, length, b"\r\n"))

        def check_ownership(headers: Sequence[HeaderPair]) -> Ownership:
            head = gate_call.answer_head = self.dialect.read_answer(headers)
            if head.request_id == call.request_id and self._pool is pool:
                self._handle_answer_head(gate_call, head)
            is_own = not head.request_id or head.request_id == call.request_id
            return Ownership(is_own, head.idle_s)

        gate_call.asked = pool.send(
            request_head,
            lambda result: self._finish(gate_call, result),
            body=call.body,
            check_ownership=check_ownership,
            max_idle_s=(
                MAX_IDLE_IDEMPOTENT_S if gate_call.call.is_idempotent else MAX_IDLE_NON_IDEMPOTENT_S
            ),
        )

    def _handle_answer_head(self, gate_call: GateCall, head: AnswerHead) -> None:
        """Apply the rate limit or departure that the target announces in an answer's head."""
        gate_call.head_at = self.now()
        if head.most_per_s is not None:
            self._set_rate_limit(head.most_per_s)
        if head.is_leaving:
            self.on_target_leaving()

    def _set_rate_limit(self, limit_per_s: float) -> None:
        assert self.announcement is not None
        if limit_per_s != self.slots.rate.limit_per_s:
            log_event(Event.TARGET_LIMITED, target=self.announcement.target_id, per_s=limit_per_s)
        record_limit(self.slots.rate, limit_per_s, now=self.now())
        self._reschedule_start()

    def _handle_whole_answer(self, gate_call: GateCall, head: AnswerHead) -> None:
        """End the rate limit if a complete answer contains none."""
        reported_at = gate_call.head_at
        if reported_at is None or head.names_limit:
            return
        if record_no_limit(self.slots.rate, reported_at=reported_at):
            log_event(Event.TARGET_LIMIT_ENDED, target=gate_call.call.target_id)
            self._reschedule_start()

    def _finish(self, gate_call: GateCall, result: HttpResult) -> None:
        """Free the call's slot and report its result, unless the call is abandoned."""
        self._forget(gate_call.call_id)
        record_half_run(self.call_counts, Kind(gate_call.call.route))
        record_run_time(self.slots, self.now() - gate_call.started_at)
        self._apply(release(self.slots, gate_call.call_id, now=self.now()))
        outcome = self._outcome(gate_call, result)
        if not gate_call.is_given_up:
            gate_call.on_result(outcome)

    def _outcome(self, gate_call: GateCall, result: HttpResult) -> CallResult:
        """Return the result of a call that has run.

        A success that is unsigned, encoded or another request's counts as a cut answer. Answers of
        status 300 and above need no signature.
        """
        call, head = gate_call.call, gate_call.answer_head
        if isinstance(result, HttpFailure):
            log_call_failed(gate_call, result, now=self.now())
            if result.kind is ErrorKind.CONNECT_FAILED:
                self._mark_unreachable(result.detail)
            return Unanswered(call.call_id, result.kind, result.has_begun, self.load())
        assert head is not None
        is_own = head.request_id == call.request_id
        is_whole = head.is_signed and is_own and not head.is_encoded
        if is_whole and result.status < MIN_FAILURE_STATUS:
            self._handle_whole_answer(gate_call, head)
        is_other_target = result.status == MISDIRECTED_STATUS
        is_not_run = head.is_not_run or is_other_target
        # A target that leaves or was replaced gets no more calls: that isn't a sign of overload.
        is_rejected = is_not_run and is_own and not (is_other_target or head.is_leaving)
        record_start(self.rejections, is_rejected=is_rejected, now=self.now())
        if not is_not_run and result.status < MIN_FAILURE_STATUS:
            now = self.now()
            record_run(self.run_times, call.route, now - gate_call.started_at, now=now)
        # Without a matching request id, a refusal may be a late answer to another request.
        if (result.status < 300 and not is_whole) or (is_not_run and not is_own):
            return Unanswered(call.call_id, ErrorKind.CUT_ANSWER, has_begun=True, load=self.load())
        return Answered(
            call.call_id,
            result.status,
            result.reason,
            head.passed_on,
            result.body,
            head.is_signed,
            is_not_run,
            self.load(),
            head.is_leaving,
        )

    def _mark_unreachable(self, detail: str) -> None:
        """Refuse calls for a while, twice as long after each failure in a row."""
        now = self.now()
        if now < self.unreachable_until or self.announcement is None:
            return
        self.unreachable_until = now + self._unreachable_s
        self._unreachable_s = min(MAX_UNREACHABLE_S, self._unreachable_s * 2.0)
        log_event(Event.TARGET_UNREACHABLE, target=self.announcement.target_id, error=detail)

    def _refusal(self, call: Call, kind: ErrorKind) -> Unanswered:
        return Unanswered(call.call_id, kind, has_begun=False, load=self.load())
