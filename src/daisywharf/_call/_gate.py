"""The gate of a target: WSGI middleware that admits calls and runs orders at most once.

An order is a non-idempotent call.
"""

import time
from functools import partial
from http import HTTPStatus

import msgspec
from msgspec.structs import replace

from daisywharf._call import _gate_stopping as gate_stopping
from daisywharf._call._caller_state import Clock
from daisywharf._call._exchange import CallReply, reply_for
from daisywharf._call._gate_admission import (
    GateAdmission,
    drain_gate,
    enter_gate,
    leave_gate,
    level_of_gate,
    resume_call,
    suspend_call,
)
from daisywharf._call._gate_once import (
    GateRecords,
    begin_run,
    burn_ticket,
    end_run,
    look_up_ticket,
    resolve_ticket,
)
from daisywharf._call._hop import (
    HOP_ANSWER,
    HOP_ENVIRON_KEY,
    Hop,
    HopAnswer,
    context_in,
    hop_from_header,
    ticket_in,
    to_header,
    wire_level,
)
from daisywharf._call._scope import Scope, current_scope
from daisywharf._call._silence import PROGRESS_PATH, OpenCalls
from daisywharf._call._transport import LOOK_UP_PATH, RESOLVE_PATH
from daisywharf._call._wsgi import (
    Environ,
    StartResponse,
    WsgiApp,
    body_of,
    digest_of,
    run_app,
    send_reply,
)
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import Incarnation, RequestId, ServiceName, TargetId
from daisywharf._outcomes._once import OnceRecords
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._admission import AdmissionState, Admit, CallId
from daisywharf._overload._level import Level, merge_levels
from daisywharf._signals._counts import OutcomeCounts
from daisywharf._signals._shedding import SheddingState, log_shedding_change
from daisywharf._signals._spans import SpanRole, describe_span, in_span, record_admitted


class TargetNotReachedError(RequestError):
    """Report that an application could not be reached, so the call was not run."""


class Gate:
    """Wrap a target's WSGI application; the server needs more threads than `slots`."""

    def __init__(
        self,
        app: WsgiApp,
        *,
        target_id: str,
        incarnation: int,
        slots: int,
        service: str = "",
        clock: Clock = time.monotonic,
        wall_clock: Clock = time.time,
    ) -> None:
        self.target_id = TargetId(target_id)
        self.incarnation = Incarnation(incarnation)
        self.service = ServiceName(service)
        self.counts = OutcomeCounts()
        self._shedding = SheddingState()
        self._app = app
        self._open_call_ids: set[str] = set()
        self._clock = clock
        self._wall_clock = wall_clock
        self._admission = GateAdmission(
            AdmissionState(slots=slots, service=self.service), clock=clock
        )
        self._stopping = gate_stopping.GateStopping(clock=clock)
        records = OnceRecords(target_id=self.target_id, incarnation=self.incarnation)
        self._records = GateRecords(records, clock=wall_clock)

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one call; a failure becomes an answer that states its kind."""
        if environ.get("PATH_INFO") == PROGRESS_PATH:
            return send_reply(self._report_open_calls(environ), start_response)
        kind: ErrorKind | None = None
        hop: Hop | None = None
        scope: Scope | None = None
        try:
            hop = hop_from_header(environ.get(HOP_ENVIRON_KEY))
            self._open_call_ids.add(hop.call_id)
            self._check_address(hop)
            scope = Scope(context_in(hop, now=self._clock(), wall_now=self._wall_clock()))
            reply = self._answer_in_span(environ, hop, scope)
        except RequestError as error:
            kind = error.kind
            reply = reply_for(error)
        finally:
            if hop is not None:
                self._open_call_ids.discard(hop.call_id)
        self.counts.add(kind)
        return send_reply(self._with_hop_answer(reply, hop, scope), start_response)

    def _report_open_calls(self, environ: Environ) -> CallReply:
        try:
            probe = msgspec.json.decode(body_of(environ), type=OpenCalls)
        except msgspec.MsgspecError as error:
            message = f"the list of call ids in the probe is malformed: {error}"
            return reply_for(RequestError(ErrorKind.BAD_REQUEST, message))
        open_ids = [call_id for call_id in probe.call_ids if call_id in self._open_call_ids]
        return CallReply(HTTPStatus.OK, {}, msgspec.json.encode(OpenCalls(open_ids)))

    def drain(self) -> None:
        """Refuse from now on every call that has not started; running calls continue."""
        gate_stopping.begin_stopping(self._stopping)
        drain_gate(self._admission)

    def may_leave(self) -> bool:
        """Return, after `drain`, whether the process may exit without cutting off a call."""
        return gate_stopping.may_leave(self._stopping)

    @property
    def admission_state(self) -> AdmissionState:
        """Return the admission state; callers must not modify it."""
        return self._admission.state

    @property
    def level(self) -> Level:
        """Return the current shedding level, from which calls are refused."""
        return level_of_gate(self._admission)

    @property
    def in_flight(self) -> int:
        """Return how many calls are running, including suspended ones, which hold no slot."""
        state = self._admission.state
        return len(state.in_flight_by_id) + len(state.suspended_by_id)

    def _check_address(self, hop: Hop) -> None:
        if (hop.target_id, hop.incarnation) == (self.target_id, self.incarnation):
            return
        message = (
            f"call names target {hop.target_id!r} of incarnation {hop.incarnation}, but this is "
            f"{self.target_id!r} of {self.incarnation}; look the target up again"
        )
        raise RequestError(ErrorKind.WRONG_INCARNATION, message)

    def _answer_in_span(self, environ: Environ, hop: Hop, scope: Scope) -> CallReply:
        def run(child_traceparent: str | None) -> CallReply:
            if child_traceparent != hop.traceparent:
                scope.context = replace(scope.context, traceparent=child_traceparent)
                describe_span(scope.context, retries=hop.retries, now=self._clock())
            return self._answer(environ, hop, scope)

        return in_span(
            SpanRole.GATE,
            run,
            traceparent=hop.traceparent,
            service=self.service,
            customer=hop.customer,
            call_class=hop.call_class,
            target=self.target_id,
        )

    def _answer(self, environ: Environ, hop: Hop, scope: Scope) -> CallReply:
        ticket = ticket_in(hop)
        if environ.get("PATH_INFO") == RESOLVE_PATH:
            return resolve_ticket(self._records, ticket)
        if environ.get("PATH_INFO") == LOOK_UP_PATH:
            return look_up_ticket(self._records, ticket)
        if ticket is None:
            return self._admit_and_run(environ, hop, scope, None)
        first_answer = begin_run(self._records, ticket, digest=digest_of(environ))
        return first_answer or self._admit_and_run(environ, hop, scope, ticket)

    def _admit_and_run(
        self, environ: Environ, hop: Hop, scope: Scope, ticket: Ticket | None
    ) -> CallReply:
        call_id = CallId(RequestId(hop.call_id), 0)
        reply: CallReply | None = None
        try:
            gate_stopping.accept(self._stopping, call_id, deadline=scope.context.deadline)
            admitted = enter_gate(self._admission, scope.context)
            reply = self._run_admitted(environ, scope, admitted, call_id)
            return reply
        finally:
            self._end_call(call_id, ticket, reply)

    def _end_call(self, call_id: CallId, ticket: Ticket | None, reply: CallReply | None) -> None:
        # A call without a reply was refused before its run.
        if ticket is not None and reply is None:
            burn_ticket(self._records, ticket)
        if ticket is not None and reply is not None:
            end_run(self._records, ticket, reply)
        has_run_order = ticket is not None and reply is not None
        gate_stopping.end_call(self._stopping, call_id, has_run_order=has_run_order)

    def _run_admitted(
        self, environ: Environ, scope: Scope, admitted: Admit, call_id: CallId
    ) -> CallReply:
        record_admitted()
        scope.refusals = admitted.refusals or scope.refusals
        scope.suspend_call = partial(suspend_call, self._admission, admitted.call_id)
        scope.resume_call = partial(resume_call, self._admission, admitted.call_id)
        succeeded = False
        try:
            gate_stopping.start(self._stopping, call_id)
            reply = self._run(environ, scope)
            succeeded = reply.status < HTTPStatus.INTERNAL_SERVER_ERROR
            return reply
        finally:
            below = scope.level_below
            leave_gate(self._admission, admitted.call_id, succeeded=succeeded, below=below)

    def _run(self, environ: Environ, scope: Scope) -> CallReply:
        token = current_scope.set(scope)
        try:
            return run_app(self._app, environ)
        except TargetNotReachedError:
            raise
        except RequestError as error:
            # The target ran, so this is not a refusal, whatever the error of the call below.
            message = f"{self.target_id} failed on a call below: {error.kind.value}: {error}"
            failure = RequestError(
                ErrorKind.FAILED_BELOW, message, retry_after_s=error.retry_after_s
            )
            return reply_for(failure)
        except Exception as error:
            message = f"{self.target_id} failed: {type(error).__name__}: {error}"
            return reply_for(RequestError(ErrorKind.TARGET_FAILED, message))
        finally:
            current_scope.reset(token)

    def _with_hop_answer(self, reply: CallReply, hop: Hop | None, scope: Scope | None) -> CallReply:
        own_level = level_of_gate(self._admission)
        log_shedding_change(self._shedding, self.target_id, own_level, now=self._clock())
        level = own_level if scope is None else merge_levels(own_level, scope.level_below)
        answer = HopAnswer(
            call_id="" if hop is None else hop.call_id,
            incarnation=self.incarnation,
            retries_unspent=0 if scope is None else scope.budget.left,
            level=wire_level(level),
        )
        return CallReply(reply.status, reply.headers | {HOP_ANSWER: to_header(answer)}, reply.body)
