"""The filters of the caller's side, each of which passes a call on or answers it."""

from http import HTTPStatus

from msgspec.structs import replace

from daisywharf._call._exchange import CallReply, CallRequest, Filter, Handler
from daisywharf._call._gate_admission import GateAdmission, enter_gate, leave_gate
from daisywharf._call._keyed import ClaimKey, call_under_key
from daisywharf._call._parties import CallerState, Clock
from daisywharf._call._scope import Scope, lent_slot
from daisywharf._context import RequestContext
from daisywharf._errors import ErrorKind, RequestError


def through_window(window: GateAdmission) -> Filter:
    """Refuse at once at an entry what a service further down would refuse anyway."""

    def pass_on(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
        admitted = enter_gate(window, request.context)
        scope.refusals = admitted.refusals
        succeeded = False
        try:
            context = context_below(scope, idempotent=request.context.idempotent)
            reply = next_handler(scope, replace(request, context=context))
            succeeded = reply.status < HTTPStatus.INTERNAL_SERVER_ERROR
            return reply
        finally:
            leave_gate(window, admitted.call_id, succeeded=succeeded, below=scope.level_below)

    return pass_on


def lending_slot(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
    """Lend out the slot that the caller holds at its own gate while it waits."""
    with lent_slot(scope):
        return next_handler(scope, request)


def within_deadline(clock: Clock) -> Filter:
    """Refuse a call for which no time is left."""

    def pass_on(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
        if request.context.deadline <= clock():
            raise RequestError(ErrorKind.TOO_LATE, f"no time is left for {request.service!r}")
        return next_handler(scope, request)

    return pass_on


def by_key(state: CallerState, *, claim_key: ClaimKey, secrets: tuple[bytes, ...]) -> Filter:
    """Send an order under a caller's key to the one incarnation that may run it."""

    def pass_on(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
        key = request.context.key
        if key is None or request.context.idempotent:
            return next_handler(scope, request)
        return call_under_key(state, scope, request, key=key, claim_key=claim_key, secrets=secrets)

    return pass_on


def context_below(scope: Scope, *, idempotent: bool | None) -> RequestContext:
    """Return the context of a call that is made within a request."""
    context = scope.context
    return RequestContext(
        request_id=context.request_id,
        customer=context.customer,
        call_class=context.call_class,
        importance=context.importance,
        deadline=context.deadline,
        retries=context.retries,
        idempotent=context.idempotent if idempotent is None else idempotent,
        depth=context.depth + 1,
        key=context.key if context.depth == 0 else None,
        traceparent=context.traceparent,
        refusals=scope.refusals,
    )
