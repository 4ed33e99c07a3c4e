"""Make the attempts of one call: choose a target, send, and retry within the budget."""

import time
from typing import Final

from msgspec.structs import replace

from daisywharf._call._caller_state import (
    CallerState,
    choose_target,
    record_call_outcome,
    record_call_start,
)
from daisywharf._call._exchange import CallReply, CallRequest, error_in
from daisywharf._call._hop import HOP_ANSWER, answer_from_header, hop_to, level_in
from daisywharf._call._resolving import TicketedCall, new_permit, send_under_ticket
from daisywharf._call._scope import Scope
from daisywharf._errors import ErrorKind, Ran, RequestError
from daisywharf._ids import TargetId
from daisywharf._outcomes._claim import SendUnderClaim
from daisywharf._routing._kinds import outcome_of
from daisywharf._routing._retries import (
    RetryRatioKey,
    earn_retry,
    lend,
    spend_earned_retry,
    spend_retry,
    take_back,
)
from daisywharf._routing._router import CallOutcome
from daisywharf._signals._spans import SpanRole, describe_span, in_span
from daisywharf._topology import Target

NO_TARGET_RETRY_AFTER_S: Final = 2.0


def call_with_retries(state: CallerState, scope: Scope, request: CallRequest) -> CallReply:
    """Return the complete answer of the attempt that succeeded; retry within the budget.

    Raise the last attempt's `RequestError`.
    """
    ratio_key = RetryRatioKey(request.context.customer, request.service)
    excluded: frozenset[TargetId] = frozenset()
    while True:
        target = _choose(state, request, excluded)
        succeeded = False
        try:
            reply = _attempt_in_span(state, scope, request, target, None)
            succeeded = True
            return reply
        except RequestError as error:
            if not _should_retry(state, scope, request, error, ratio_key):
                raise
        finally:
            if not excluded:
                with state.lock:
                    earn_retry(state.ratio, ratio_key, succeeded=succeeded)
        excluded |= {target.target_id}


def _choose(state: CallerState, request: CallRequest, excluded: frozenset[TargetId]) -> Target:
    is_idempotent = request.context.idempotent
    now = state.clock()
    target = choose_target(state, request.service, excluded, now=now, is_idempotent=is_idempotent)
    if target is None:
        raise _no_target(request, excluded)
    return target


def attempt_once(
    state: CallerState,
    scope: Scope,
    request: CallRequest,
    target: Target,
    permit: SendUnderClaim,
) -> CallReply:
    """Return the answer of the single attempt that a permit allows; raise `RequestError`."""
    record_call_start(state, target, now=state.clock())
    return _attempt_in_span(state, scope, request, target, permit)


def _no_target(request: CallRequest, excluded: frozenset[TargetId]) -> RequestError:
    tried = f" besides {len(excluded)} already tried" if excluded else ""
    message = f"service {request.service!r} has no target that may be called{tried}"
    return RequestError(ErrorKind.NO_TARGET, message, retry_after_s=NO_TARGET_RETRY_AFTER_S)


def _should_retry(
    state: CallerState,
    scope: Scope,
    request: CallRequest,
    error: RequestError,
    ratio_key: RetryRatioKey,
) -> bool:
    was_not_run = error.answer.ran is Ran.NO
    is_safe = was_not_run or request.context.idempotent
    may_help = error.answer.retryable or not was_not_run
    is_final = error.kind in (ErrorKind.TIMED_OUT, ErrorKind.STILL_RUNNING)
    if is_final or not (is_safe and may_help):
        return False
    if request.context.deadline <= state.clock():
        return False
    with state.lock:
        if scope.budget.left <= 0 or not spend_earned_retry(state.ratio, ratio_key):
            return False
        state.retries += 1
        return spend_retry(scope.budget)


def _attempt_in_span(
    state: CallerState,
    scope: Scope,
    request: CallRequest,
    target: Target,
    permit: SendUnderClaim | None,
) -> CallReply:
    def run(child_traceparent: str | None) -> CallReply:
        if child_traceparent == request.context.traceparent:
            return _attempt(state, scope, request, target, permit)
        context = replace(request.context, traceparent=child_traceparent)
        describe_span(context, retries=scope.budget.left, now=state.clock())
        return _attempt(state, scope, replace(request, context=context), target, permit)

    context = request.context
    return in_span(
        SpanRole.ATTEMPT,
        run,
        traceparent=context.traceparent,
        service=request.service,
        customer=context.customer,
        call_class=context.call_class,
        target=target.target_id,
    )


def _attempt(
    state: CallerState,
    scope: Scope,
    request: CallRequest,
    target: Target,
    permit: SendUnderClaim | None,
) -> CallReply:
    started_at = state.clock()
    if permit is None and not request.context.idempotent:
        permit = new_permit(request, target, now=started_at)
    lent = lend(scope.budget)
    unspent: int | None = None
    outcome = CallOutcome.FAILED
    try:
        reply = _send(state, request, target, permit, lent, now=started_at)
        answer = answer_from_header(reply.headers.get(HOP_ANSWER))
        unspent = answer.retries_unspent
        scope.record_level(level_in(answer))
        error = error_in(reply)
        if error is not None:
            raise error
        outcome = CallOutcome.SUCCEEDED
        return reply
    except RequestError as error:
        outcome = outcome_of(error.kind)
        raise
    finally:
        take_back(scope.budget, lent=lent, unspent=unspent)
        record_call_outcome(state, target, outcome, started_at=started_at, now=state.clock())


def _send(
    state: CallerState,
    request: CallRequest,
    target: Target,
    permit: SendUnderClaim | None,
    lent: int,
    *,
    now: float,
) -> CallReply:
    ticket = None if permit is None else permit.ticket
    hop = hop_to(
        target, request.context, retries=lent, ticket=ticket, now=now, wall_now=time.time()
    )
    if permit is None:
        return state.send(target, request, hop)
    return send_under_ticket(TicketedCall(state, target, request, permit), hop)
