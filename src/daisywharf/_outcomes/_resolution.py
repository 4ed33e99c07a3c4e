"""Bring a call to exactly one outcome at its caller, whatever happens to its link.

When the answer of a non-idempotent call is lost, its caller queries the same gate over a new
connection until the deadline. A single-use ticket is resolved: if it has not run, it is burnt, and
the call may be retried elsewhere. A caller's key is bound to its gate, so the call is sent there
again, and the gate's record limits it to one run. Another target is tried only if the gate has
stated that the call did not run and never will.
"""

from enum import Enum
from typing import Final

from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind, Ran
from daisywharf._ids import Incarnation
from daisywharf._outcomes._call_events import (
    AnswerArrived,
    CallAction,
    CallEvent,
    CallPlan,
    CallSent,
    CancelCall,
    ConnectFailed,
    DeadlinePassed,
    Deliver,
    Fail,
    IncarnationGone,
    LinkBroke,
    RefusalArrived,
    Resolve,
    Resolved,
    ResolveFailed,
    RetryElsewhere,
    SendAgain,
)
from daisywharf._outcomes._once import RefuseRun, RepeatAnswer, RunNow
from daisywharf._outcomes._ticket import Ticket, TicketKind

RESOLVE_POLL_S: Final = 0.1
RESOLVE_RETRY_S: Final = 0.2


class CallPhase(Enum):
    """Name the phases of one attempt."""

    WAITING = "waiting"
    RESOLVING = "resolving"
    ENDED = "ended"


class ResolutionState:
    """Hold the state of one attempt until its only outcome.

    `is_sent` means that the call may have been written to its link, `is_known_running` that the
    gate last reported it as still running.
    """

    def __init__(self, plan: CallPlan) -> None:
        self.plan = plan
        self.phase = CallPhase.WAITING
        self.is_sent = False
        self.is_known_running = False


def resolution_step(state: ResolutionState, event: CallEvent) -> list[CallAction]:
    """Return the actions that follow an event; an attempt that has ended ignores all events."""
    if state.phase is CallPhase.ENDED:
        return []
    match event:
        case CallSent():
            state.is_sent = True
            return []
        case AnswerArrived():
            return _handle_answer(state, event)
        case RefusalArrived():
            return _handle_refusal(state, event)
        case Resolved():
            return _handle_resolved(state, event)
        case _:
            return _handle_other_event(state, event)


def _handle_other_event(state: ResolutionState, event: CallEvent) -> list[CallAction]:
    match event:
        case ConnectFailed():
            return _handle_connect_failed(state)
        case LinkBroke():
            return _start_resolving(state, ErrorKind.CONNECT_FAILED)
        case ResolveFailed():
            state.is_known_running = False
            return _query_gate_again(state, RESOLVE_RETRY_S)
        case IncarnationGone():
            return _handle_incarnation_gone(state)
        case DeadlinePassed():
            return _handle_deadline_passed(state)
    # The only other event is `CallerGone`.
    state.phase = CallPhase.ENDED
    return [CancelCall()] if state.is_sent else []


def _handle_answer(state: ResolutionState, event: AnswerArrived) -> list[CallAction]:
    if not _is_for_attempt(state, event, event.incarnation):
        return []
    if len(event.answer.body) != event.body_bytes:
        if state.phase is CallPhase.RESOLVING:
            return _query_gate_again(state, RESOLVE_RETRY_S)
        return _start_resolving(state, ErrorKind.CUT_ANSWER)
    return _end(state, Deliver(event.answer))


def _handle_refusal(state: ResolutionState, event: RefusalArrived) -> list[CallAction]:
    # The target's successor refuses as a wrong incarnation, and reports its own incarnation.
    is_successor = event.kind is ErrorKind.WRONG_INCARNATION
    incarnation = state.plan.incarnation if is_successor else event.incarnation
    if not _is_for_attempt(state, event, incarnation):
        return []
    if event.kind is ErrorKind.STILL_RUNNING:
        return _handle_still_running(state)
    return _end_not_run(state, event.kind)


def _handle_resolved(state: ResolutionState, event: Resolved) -> list[CallAction]:
    if event.ticket != state.plan.ticket or state.phase is not CallPhase.RESOLVING:
        return []
    match event.decision:
        case RepeatAnswer(answer):
            if len(answer.body) != event.body_bytes:
                return _query_gate_again(state, RESOLVE_RETRY_S)
            return _end(state, Deliver(answer))
        case RefuseRun(ErrorKind.STILL_RUNNING):
            return _handle_still_running(state)
        case RefuseRun(ErrorKind.TICKET_BURNT):
            return _end_not_run(state, ErrorKind.TICKET_BURNT)
        case RefuseRun() | RunNow():
            return _end(state, Fail(ErrorKind.OUTCOME_UNKNOWN))


def _end_not_run(state: ResolutionState, kind: ErrorKind) -> list[CallAction]:
    """End an attempt whose gate refused to run the call; `kind` is the reason."""
    ticket = state.plan.ticket
    answer = ANSWERS_BY_KIND[kind]
    if ticket is None:
        return _end(state, RetryElsewhere(kind) if answer.retryable else Fail(kind))
    if answer.ran is not Ran.NO:
        return _end(state, Fail(kind if answer.ran is Ran.YES else ErrorKind.OUTCOME_UNKNOWN))
    if ticket.kind is TicketKind.SINGLE_USE:
        if kind is ErrorKind.TICKET_BURNT:
            # The caller never saw the ticket, so report the failure that led to resolving it.
            return _end(state, RetryElsewhere(ErrorKind.CONNECT_FAILED))
        return _end(state, RetryElsewhere(kind) if answer.retryable else Fail(kind))
    is_only_copy = state.plan.is_first_use and state.phase is CallPhase.WAITING
    if kind is ErrorKind.WRONG_INCARNATION and not is_only_copy:
        # An earlier copy may have run at the incarnation named by the key.
        return _end(state, Fail(ErrorKind.OUTCOME_UNKNOWN))
    return _end(state, Fail(kind))


def _handle_connect_failed(state: ResolutionState) -> list[CallAction]:
    if state.is_sent:
        return _start_resolving(state, ErrorKind.CONNECT_FAILED)
    ticket = state.plan.ticket
    if ticket is None or ticket.kind is TicketKind.SINGLE_USE:
        return _end(state, RetryElsewhere(ErrorKind.CONNECT_FAILED))
    return _end(state, Fail(_unsent_kind(state, ErrorKind.CONNECT_FAILED)))


def _start_resolving(state: ResolutionState, kind: ErrorKind) -> list[CallAction]:
    ticket = state.plan.ticket
    if ticket is None:
        return _end(state, RetryElsewhere(kind))
    if not state.is_sent:
        return _handle_connect_failed(state)
    if state.phase is CallPhase.RESOLVING:
        return []
    state.phase = CallPhase.RESOLVING
    return _query_gate(ticket, 0.0)


def _handle_still_running(state: ResolutionState) -> list[CallAction]:
    state.is_known_running = True
    if state.phase is CallPhase.WAITING and state.plan.ticket is not None:
        state.phase = CallPhase.RESOLVING
    return _query_gate_again(state, RESOLVE_POLL_S)


def _query_gate_again(state: ResolutionState, after_s: float) -> list[CallAction]:
    ticket = state.plan.ticket
    if ticket is None or state.phase is not CallPhase.RESOLVING:
        return []
    return _query_gate(ticket, after_s)


def _query_gate(ticket: Ticket, after_s: float) -> list[CallAction]:
    if ticket.kind is TicketKind.CALLER_KEY:
        return [SendAgain(ticket, after_s)]
    return [Resolve(ticket, after_s)]


def _handle_incarnation_gone(state: ResolutionState) -> list[CallAction]:
    if not state.is_sent:
        return _handle_connect_failed(state)
    if state.plan.ticket is None:
        return _end(state, RetryElsewhere(ErrorKind.CONNECT_FAILED))
    return _end(state, Fail(ErrorKind.OUTCOME_UNKNOWN))


def _handle_deadline_passed(state: ResolutionState) -> list[CallAction]:
    if not state.is_sent:
        return _end(state, Fail(_unsent_kind(state, ErrorKind.TOO_LATE)))
    is_lost = state.phase is CallPhase.RESOLVING and not state.is_known_running
    return _end(state, Fail(ErrorKind.OUTCOME_UNKNOWN if is_lost else ErrorKind.TIMED_OUT))


def _unsent_kind(state: ResolutionState, kind: ErrorKind) -> ErrorKind:
    # An earlier attempt under the key may have run, although this one wrote nothing.
    return kind if state.plan.is_first_use else ErrorKind.OUTCOME_UNKNOWN


def _end(state: ResolutionState, action: CallAction) -> list[CallAction]:
    state.phase = CallPhase.ENDED
    return [action]


def _is_for_attempt(
    state: ResolutionState, event: AnswerArrived | RefusalArrived, incarnation: Incarnation
) -> bool:
    plan = state.plan
    event_source = (event.request_id, event.target_id, incarnation)
    return event_source == (plan.request_id, plan.target_id, plan.incarnation)
