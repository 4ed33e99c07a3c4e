"""The gate of a target: WSGI middleware that admits calls and runs orders at most once."""

import time

from msgspec.structs import replace

from daisywharf._call._exchange import CallReply, reply_for
from daisywharf._call._gate_admission import (
    GateAdmission,
    drain_gate,
    enter_gate,
    leave_gate,
    level_of_gate,
)
from daisywharf._call._gate_once import (
    GateRecords,
    begin_run,
    end_run,
    give_up_run,
    look_up,
    tell_outcome,
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
)
from daisywharf._call._parties import Clock
from daisywharf._call._scope import Scope, current_scope
from daisywharf._call._transport import LOOK_UP_PATH, RESOLVE_PATH
from daisywharf._call._wsgi import Environ, StartResponse, WsgiApp, digest_of, run_app, send_reply
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import Incarnation, ServiceName, TargetId
from daisywharf._outcomes._once import OnceRecords
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._admission import AdmissionState
from daisywharf._signals._spans import SpanRole, describe_span, in_span, note_admitted


class Gate:
    """Wrap a target's WSGI application; serve it with more threads than `slots`."""

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
        self._app = app
        self._clock = clock
        self._admission = GateAdmission(AdmissionState(slots=slots), clock=clock)
        records = OnceRecords(target_id=self.target_id, incarnation=self.incarnation)
        self._records = GateRecords(records, clock=wall_clock)

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one call; each failure is an answer with its kind."""
        hop: Hop | None = None
        scope: Scope | None = None
        try:
            hop = hop_from_header(environ.get(HOP_ENVIRON_KEY))
            self._check_address(hop)
            scope = Scope(context_in(hop, now=self._clock()))
            reply = self._answer_in_span(environ, hop, scope)
        except RequestError as error:
            reply = reply_for(error)
        return send_reply(self._marked(reply, hop, scope), start_response)

    def drain(self) -> None:
        """Refuse from now on what has not started; what runs goes on."""
        drain_gate(self._admission)

    @property
    def in_flight(self) -> int:
        """Return how many calls run now."""
        return len(self._admission.state.in_flight_by_id)

    def _check_address(self, hop: Hop) -> None:
        if (hop.target_id, hop.incarnation) == (self.target_id, self.incarnation):
            return
        message = (
            f"call names target {hop.target_id!r} of incarnation {hop.incarnation}, but this is "
            f"{self.target_id!r} of {self.incarnation}; look it up again"
        )
        raise RequestError(ErrorKind.WRONG_INCARNATION, message)

    def _answer_in_span(self, environ: Environ, hop: Hop, scope: Scope) -> CallReply:
        def run(below: str | None) -> CallReply:
            if below != hop.traceparent:
                scope.context = replace(scope.context, traceparent=below)
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
            return tell_outcome(self._records, ticket)
        if environ.get("PATH_INFO") == LOOK_UP_PATH:
            return look_up(self._records, ticket)
        if ticket is None:
            return self._admitted(environ, scope, None)
        first_answer = begin_run(self._records, ticket, digest=digest_of(environ))
        return first_answer or self._admitted(environ, scope, ticket)

    def _admitted(self, environ: Environ, scope: Scope, ticket: Ticket | None) -> CallReply:
        try:
            call_id = enter_gate(self._admission, scope.context)
        except RequestError:
            if ticket is not None:
                give_up_run(self._records, ticket)
            raise
        note_admitted()
        succeeded = False
        try:
            reply = self._run(environ, scope)
            succeeded = reply.status < 500
        finally:
            leave_gate(self._admission, call_id, succeeded=succeeded)
        if ticket is not None:
            end_run(self._records, ticket, reply)
        return reply

    def _run(self, environ: Environ, scope: Scope) -> CallReply:
        token = current_scope.set(scope)
        try:
            return run_app(self._app, environ)
        except RequestError as error:
            # The target ran, so whatever a call below it says, this one is no refusal.
            message = f"{self.target_id} failed on a call below: {error.kind.value}: {error}"
            failure = RequestError(
                ErrorKind.TARGET_FAILED, message, retry_after_s=error.retry_after_s
            )
            return reply_for(failure)
        except Exception as error:
            message = f"{self.target_id} failed: {type(error).__name__}: {error}"
            return reply_for(RequestError(ErrorKind.TARGET_FAILED, message))
        finally:
            current_scope.reset(token)

    def _marked(self, reply: CallReply, hop: Hop | None, scope: Scope | None) -> CallReply:
        level = level_of_gate(self._admission)
        if scope is not None:
            level = min(level, scope.lowest_level)
        answer = HopAnswer(
            call_id="" if hop is None else hop.call_id,
            incarnation=self.incarnation,
            retries_unspent=0 if scope is None else scope.budget.left,
            level=level,
        )
        return CallReply(reply.status, reply.headers | {HOP_ANSWER: to_header(answer)}, reply.body)
