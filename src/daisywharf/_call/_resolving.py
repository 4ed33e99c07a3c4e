"""Send a call under a ticket and find its outcome, whatever happens to its connection."""

import time
from random import SystemRandom
from typing import Final

from daisywharf._call._caller_state import CallerState, SendCall
from daisywharf._call._exchange import CallReply, CallRequest, error_in
from daisywharf._call._hop import Hop, hop_to
from daisywharf._call._transport import RESOLVE_PATH
from daisywharf._errors import ErrorKind, Ran, RequestError
from daisywharf._outcomes._call_events import (
    AnswerArrived,
    CallAction,
    CallEvent,
    CallPlan,
    CallSent,
    ConnectFailed,
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
from daisywharf._outcomes._claim import SendUnderClaim
from daisywharf._outcomes._once import RefuseRun, RepeatAnswer, StoredAnswer
from daisywharf._outcomes._resolution import ResolutionState, resolution_step
from daisywharf._outcomes._ticket import Ticket, mint_ticket
from daisywharf._signals import Event, log_event
from daisywharf._topology import Target

_RANDOM: Final = SystemRandom()


def new_permit(request: CallRequest, target: Target, *, now: float) -> SendUnderClaim:
    """Return a permit for the target's incarnation to run this call, with a new ticket."""
    wall_deadline = time.time() + request.context.deadline - now
    ticket = mint_ticket(target.target_id, target.incarnation, deadline=wall_deadline, rng=_RANDOM)
    return SendUnderClaim(ticket, is_first_use=True)


class TicketedCall:
    """Hold one call under a ticket, and its last reply and error."""

    def __init__(
        self, state: CallerState, target: Target, request: CallRequest, permit: SendUnderClaim
    ) -> None:
        self.state = state
        self.target = target
        self.request = request
        self.ticket = permit.ticket
        self.reply: CallReply | None = None
        self.error: RequestError | None = None
        plan = CallPlan(
            request.context.request_id,
            target.target_id,
            target.incarnation,
            permit.ticket,
            permit.is_first_use,
        )
        self.resolution = ResolutionState(plan)


def send_under_ticket(call: TicketedCall, hop: Hop) -> CallReply:
    """Return the answer of the ticket's only run, or the gate's refusal to run it.

    Raise `RequestError` if the call did not run and never will, or if its outcome is unknown.
    """
    action = _step(call, _first_event(call, hop))
    while isinstance(action, Resolve | SendAgain):
        time_left_s = call.request.context.deadline - call.state.clock()
        time.sleep(max(0.0, min(action.after_s, time_left_s)))
        action = _step(call, _query_gate(call, is_resolve=isinstance(action, Resolve)))
    return _end(call, action)


def _step(call: TicketedCall, event: CallEvent) -> CallAction:
    (action,) = resolution_step(call.resolution, event)
    return action


def _first_event(call: TicketedCall, hop: Hop) -> CallEvent:
    if call.state.clock() >= call.request.context.deadline:
        return DeadlinePassed()
    error = _send(call, call.state.send, call.request, hop)
    if error is not None and error.kind is ErrorKind.CONNECT_FAILED:
        return ConnectFailed()
    resolution_step(call.resolution, CallSent())
    if error is None:
        return _event_of_reply(call)
    is_late = call.state.clock() >= call.request.context.deadline
    return DeadlinePassed() if is_late else LinkBroke()


def _query_gate(call: TicketedCall, *, is_resolve: bool) -> CallEvent:
    request, now = call.request, call.state.clock()
    if now >= request.context.deadline:
        return DeadlinePassed()
    if is_resolve:
        request = CallRequest(request.service, "POST", RESOLVE_PATH, request.context)
    hop = hop_to(
        call.target, request.context, retries=0, ticket=call.ticket, now=now, wall_now=time.time()
    )
    # Other idle connections may be silent like the one that failed.
    if _send(call, call.state.send_on_new_connection, request, hop) is not None:
        return ResolveFailed()
    return _event_of_resolve_reply(call) if is_resolve else _event_of_reply(call)


def _send(
    call: TicketedCall, send: SendCall, request: CallRequest, hop: Hop
) -> RequestError | None:
    try:
        call.reply = send(call.target, request, hop)
    except RequestError as error:
        call.reply, call.error = None, error
        return error
    return None


def _event_of_reply(call: TicketedCall) -> CallEvent:
    plan = call.resolution.plan
    refusal = _refusal_in(call)
    if refusal is not None:
        return RefusalArrived(plan.request_id, plan.target_id, plan.incarnation, refusal)
    answer = _answer_in(call)
    size = len(answer.body)
    return AnswerArrived(plan.request_id, plan.target_id, plan.incarnation, answer, size)


def _event_of_resolve_reply(call: TicketedCall) -> CallEvent:
    refusal = _refusal_in(call)
    if refusal is not None:
        return Resolved(call.ticket, RefuseRun(refusal))
    answer = _answer_in(call)
    return Resolved(call.ticket, RepeatAnswer(answer), len(answer.body))


def _refusal_in(call: TicketedCall) -> ErrorKind | None:
    error = None if call.reply is None else error_in(call.reply)
    if error is None:
        return None
    has_run = error.answer.ran is Ran.YES and error.kind is not ErrorKind.STILL_RUNNING
    return None if has_run else error.kind


def _answer_in(call: TicketedCall) -> StoredAnswer:
    reply = call.reply or CallReply(500)
    return StoredAnswer(reply.status, tuple(reply.headers.items()), reply.body)


def _end(call: TicketedCall, action: CallAction) -> CallReply:
    if isinstance(action, Deliver) and call.reply is not None:
        return call.reply
    kind = ErrorKind.OUTCOME_UNKNOWN
    if isinstance(action, Fail):
        kind = action.kind
    elif isinstance(action, RetryElsewhere):
        kind = action.otherwise
    if call.reply is not None and _refusal_in(call) is kind:
        return call.reply
    if kind is ErrorKind.OUTCOME_UNKNOWN:
        log_event(
            Event.OUTCOME_UNKNOWN,
            key=call.ticket.key,
            target=call.target.target_id,
            error=str(call.error),
        )
    raise _failure(call.ticket, kind, call.error) from call.error


def _failure(ticket: Ticket, kind: ErrorKind, cause: RequestError | None) -> RequestError:
    after = "" if cause is None else f" after {cause}"
    message = f"order {ticket.key} at {ticket.target_id}: {kind.value}{after}; look the order up"
    return RequestError(kind, message)
