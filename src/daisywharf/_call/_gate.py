"""The gate of a target: WSGI middleware that admits calls and runs orders at most once."""

import time

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
    tell_outcome,
    ticket_in,
)
from daisywharf._call._parties import Clock
from daisywharf._call._scope import Scope, current_scope
from daisywharf._call._transport import CALL_ID, INCARNATION, RESOLVE_PATH, TARGET
from daisywharf._call._wsgi import Environ, StartResponse, WsgiApp, headers_of, run_app, send_reply
from daisywharf._context import ERROR_KIND, LEVEL, RAN, RETRIES_UNSPENT, context_from
from daisywharf._errors import ErrorKind, Ran, RequestError
from daisywharf._ids import Incarnation, TargetId
from daisywharf._outcomes._once import OnceRecords
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._admission import AdmissionState
from daisywharf._overload._level import OPEN_LEVEL


class Gate:
    """Wrap a target's WSGI application; serve it with more threads than `slots`."""

    def __init__(
        self,
        app: WsgiApp,
        *,
        target_id: str,
        incarnation: int,
        slots: int,
        clock: Clock = time.monotonic,
        wall_clock: Clock = time.time,
    ) -> None:
        self.target_id = TargetId(target_id)
        self.incarnation = Incarnation(incarnation)
        self._app = app
        self._clock = clock
        self._admission = GateAdmission(AdmissionState(slots=slots), clock=clock)
        records = OnceRecords(target_id=self.target_id, incarnation=self.incarnation)
        self._records = GateRecords(records, clock=wall_clock)

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one call; each failure is an answer with its kind."""
        headers = headers_of(environ)
        scope: Scope | None = None
        try:
            self._check_address(headers)
            scope = Scope(context_from(headers, now=self._clock()))
            reply = self._answer(environ, headers, scope)
        except RequestError as error:
            reply = reply_for(error)
        return send_reply(self._marked(reply, headers, scope), start_response)

    def drain(self) -> None:
        """Refuse from now on what has not started; what runs goes on."""
        drain_gate(self._admission)

    @property
    def in_flight(self) -> int:
        """Return how many calls run now."""
        return len(self._admission.state.in_flight_by_id)

    def _check_address(self, headers: dict[str, str]) -> None:
        named = (headers.get(TARGET), headers.get(INCARNATION))
        if named != (self.target_id, str(self.incarnation)):
            message = (
                f"call names target {named[0]!r} of incarnation {named[1]!r}, but this is "
                f"{self.target_id!r} of {self.incarnation}; look it up again"
            )
            raise RequestError(ErrorKind.WRONG_INCARNATION, message)

    def _answer(self, environ: Environ, headers: dict[str, str], scope: Scope) -> CallReply:
        if environ.get("PATH_INFO") == RESOLVE_PATH:
            return tell_outcome(self._records, ticket_in(headers))
        if scope.context.idempotent:
            return self._admitted(environ, scope, None)
        ticket = ticket_in(headers)
        first_answer = begin_run(self._records, ticket)
        return first_answer or self._admitted(environ, scope, ticket)

    def _admitted(self, environ: Environ, scope: Scope, ticket: Ticket | None) -> CallReply:
        try:
            call_id = enter_gate(self._admission, scope.context)
        except RequestError:
            if ticket is not None:
                give_up_run(self._records, ticket)
            raise
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

    def _marked(self, reply: CallReply, headers: dict[str, str], scope: Scope | None) -> CallReply:
        level = level_of_gate(self._admission)
        if scope is not None:
            level = min(level, scope.lowest_level)
        marks = {
            CALL_ID: headers.get(CALL_ID, ""),
            INCARNATION: str(self.incarnation),
            RETRIES_UNSPENT: str(scope.budget.left if scope is not None else 0),
        }
        if level != OPEN_LEVEL:
            marks[LEVEL] = level.to_header()
        if ERROR_KIND not in reply.headers:
            marks[RAN] = Ran.YES.value
        return CallReply(reply.status, reply.headers | marks, reply.body)
