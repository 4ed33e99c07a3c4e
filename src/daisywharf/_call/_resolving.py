"""Find out over a new connection how a call under a ticket ended."""

import time
from random import SystemRandom
from typing import Final

from daisywharf._call._exchange import CallReply, CallRequest, error_in
from daisywharf._call._hop import hop_to
from daisywharf._call._parties import CallerState
from daisywharf._call._transport import RESOLVE_PATH
from daisywharf._errors import ErrorKind, Ran, RequestError
from daisywharf._outcomes._call_events import (
    AnswerArrived,
    CallAction,
    CallEvent,
    CallPlan,
    CallSent,
    DeadlinePassed,
    Deliver,
    Fail,
    LinkBroke,
    RefusalArrived,
    Resolve,
    Resolved,
    ResolveFailed,
    RetryElsewhere,
    SendAgain,
)
from daisywharf._outcomes._once import RefuseRun, RepeatAnswer, StoredAnswer
from daisywharf._outcomes._resolution import ResolutionState, resolution_step
from daisywharf._outcomes._ticket import Ticket, mint_ticket
from daisywharf._signals import Event, log_event
from daisywharf._topology import Target

_RANDOM: Final = SystemRandom()


def new_ticket(request: CallRequest, target: Target, *, now: float) -> Ticket:
    """Name the one incarnation that may run this call, until some time past its deadline."""
    deadline = time.time() + request.context.deadline - now
    return mint_ticket(target.target_id, target.incarnation, deadline=deadline, rng=_RANDOM)


def resolve_outcome(
    state: CallerState, target: Target, request: CallRequest, ticket: Ticket, cause: RequestError
) -> CallReply:
    """Ask the ticket's gate until it knows, or until the deadline; never run elsewhere.

    Raise `RequestError`: connect failed (it was not run and never will be), or outcome unknown.
    """
    plan = CallPlan(request.context.request_id, target.target_id, target.incarnation, ticket)
    resolution = ResolutionState(plan)
    resolution_step(resolution, CallSent())
    action = _step(resolution, LinkBroke())
    while isinstance(action, Resolve | SendAgain):
        time_left_s = request.context.deadline - state.clock()
        time.sleep(max(0.0, min(action.after_s, time_left_s)))
        ask = _ask if isinstance(action, Resolve) else _send_again
        action = _step(resolution, ask(state, target, request, ticket))
    return _end(action, target, ticket, cause)


def _step(resolution: ResolutionState, event: CallEvent) -> CallAction:
    (action,) = resolution_step(resolution, event)
    return action


def _ask(state: CallerState, target: Target, request: CallRequest, ticket: Ticket) -> CallEvent:
    now = state.clock()
    if now >= request.context.deadline:
        return DeadlinePassed()
    asking = CallRequest(request.service, "POST", RESOLVE_PATH, request.context)
    hop = hop_to(target, asking.context, retries=0, ticket=ticket, now=now)
    try:
        reply = state.send_anew(target, asking, hop)
    except RequestError:
        return ResolveFailed()
    error = error_in(reply)
    if error is not None and (error.answer.ran is not Ran.YES or _is_running(error)):
        return Resolved(ticket, RefuseRun(error.kind))
    answer = StoredAnswer(reply.status, tuple(reply.headers.items()), reply.body)
    return Resolved(ticket, RepeatAnswer(answer), len(answer.body))


def _send_again(
    state: CallerState, target: Target, request: CallRequest, ticket: Ticket
) -> CallEvent:
    now = state.clock()
    if now >= request.context.deadline:
        return DeadlinePassed()
    hop = hop_to(target, request.context, retries=0, ticket=ticket, now=now)
    try:
        reply = state.send_anew(target, request, hop)
    except RequestError:
        return ResolveFailed()
    request_id, incarnation = request.context.request_id, target.incarnation
    error = error_in(reply)
    if error is not None and (error.answer.ran is not Ran.YES or _is_running(error)):
        return RefusalArrived(request_id, target.target_id, incarnation, error.kind)
    answer = StoredAnswer(reply.status, tuple(reply.headers.items()), reply.body)
    size = len(answer.body)
    return AnswerArrived(request_id, target.target_id, incarnation, answer, size)


def _is_running(error: RequestError) -> bool:
    return error.kind is ErrorKind.STILL_RUNNING


def _end(action: CallAction, target: Target, ticket: Ticket, cause: RequestError) -> CallReply:
    if isinstance(action, Deliver):
        answer = action.answer
        return CallReply(answer.status, dict(answer.headers), answer.body)
    kind = ErrorKind.OUTCOME_UNKNOWN
    if isinstance(action, Fail):
        kind = action.kind
    elif isinstance(action, RetryElsewhere):
        kind = action.otherwise
    if kind is ErrorKind.OUTCOME_UNKNOWN:
        log_event(Event.OUTCOME_UNKNOWN, key=ticket.key, target=target.target_id, error=str(cause))
    message = f"order {ticket.key} at {target.target_id}: {kind.value} after {cause}; look it up"
    raise RequestError(kind, message) from cause
