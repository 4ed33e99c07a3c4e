"""The caller's filters, each of which passes a call to the next handler or answers it."""

from http import HTTPStatus

from msgspec.structs import replace

from daisywharf._call._caller_state import CallerState, Clock
from daisywharf._call._exchange import CallReply, CallRequest, Filter, Handler
from daisywharf._call._gate_admission import GateAdmission, enter_gate, leave_gate
from daisywharf._call._keyed import ClaimKey, call_under_key
from daisywharf._call._scope import Scope, suspended
from daisywharf._context import RequestContext
from daisywharf._errors import ErrorKind, RequestError


def through_window(window: GateAdmission) -> Filter:
    """Return a filter that refuses at the entry what a service further down would refuse."""

    def filter_call(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
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

    return filter_call


def suspending_caller(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
    """Suspend the caller at its own gate, which frees its slot, while it waits for the call."""
    with suspended(scope):
        return next_handler(scope, request)


def within_deadline(clock: Clock) -> Filter:
    """Return a filter that refuses calls whose deadline has passed."""

    def filter_call(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
        if request.context.deadline <= clock():
            raise RequestError(ErrorKind.TOO_LATE, f"no time is left to call {request.service!r}")
        return next_handler(scope, request)

    return filter_call


def by_key(state: CallerState, *, claim_key: ClaimKey, secrets: tuple[bytes, ...]) -> Filter:
    """Return a filter that sends an order under a key to the only incarnation that may run it.

    An order is a non-idempotent call; other calls pass unchanged.
    """

    def filter_call(scope: Scope, request: CallRequest, next_handler: Handler) -> CallReply:
        key = request.context.key
        if key is None or request.context.idempotent:
            return next_handler(scope, request)
        return call_under_key(state, scope, request, key=key, claim_key=claim_key, secrets=secrets)

    return filter_call


def context_below(scope: Scope, *, idempotent: bool | None) -> RequestContext:
    """Return the context of a call made within a request; only the entry's call has the key."""
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
