"""Run a call under a ticket at most once, and report outcomes to callers that query them."""

import threading
from collections.abc import Callable
from typing import Final

from daisywharf._call._exchange import CallReply
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._outcomes._once import (
    OnceDecision,
    OnceRecords,
    RefuseRun,
    RepeatAnswer,
    StoredAnswer,
    begin,
    complete,
    release,
    resolve,
    tick,
)
from daisywharf._outcomes._ticket import Ticket

EXPIRY_SWEEP_PERIOD_S: Final = 1.0


class GateRecords:
    """Hold a gate's ticket records and their lock; `clock` returns seconds since 1970."""

    def __init__(self, records: OnceRecords, *, clock: Callable[[], float]) -> None:
        self.records = records
        self.clock = clock
        self.lock = threading.Lock()
        self.swept_at = clock()


def begin_run(gate: GateRecords, ticket: Ticket, *, digest: bytes) -> CallReply | None:
    """Return None if the call may run, or the first run's answer; otherwise raise `RequestError`.

    `digest` identifies the request's content, so that a key with different content is refused.
    """
    with gate.lock:
        now = gate.clock()
        if now - gate.swept_at >= EXPIRY_SWEEP_PERIOD_S:
            gate.swept_at = now
            tick(gate.records, now=now)
        return _answer(begin(gate.records, ticket, now=now, digest=digest), ticket)


def end_run(gate: GateRecords, ticket: Ticket, reply: CallReply) -> None:
    """Store a run's complete answer."""
    stored = StoredAnswer(reply.status, tuple(reply.headers.items()), reply.body)
    with gate.lock:
        complete(gate.records, ticket.key, stored, now=gate.clock())


def burn_ticket(gate: GateRecords, ticket: Ticket) -> None:
    """Burn a ticket whose call was refused before it ran, so that it never runs."""
    with gate.lock:
        release(gate.records, ticket.key, now=gate.clock())


def resolve_ticket(gate: GateRecords, ticket: Ticket | None) -> CallReply:
    """Return the answer of a ticket's run; burn a ticket that has not run.

    Raise `RequestError` if there is no answer.
    """
    if ticket is None:
        raise RequestError(
            ErrorKind.BAD_REQUEST, "the request has no ticket; send the ticket of the order"
        )
    with gate.lock:
        decision = resolve(gate.records, ticket, now=gate.clock())
        reply = _answer(decision, ticket)
    if reply is not None:
        return reply
    raise RequestError(ErrorKind.INTERNAL, f"ticket {ticket.key} can't be resolved; report it")


def look_up_ticket(gate: GateRecords, ticket: Ticket | None) -> CallReply:
    """Return the answer of a ticket's run, without burning a ticket that has not run.

    Raise `RequestError` if there is no answer.
    """
    if ticket is None:
        raise RequestError(
            ErrorKind.BAD_REQUEST, "the request has no ticket; send the ticket of the order"
        )
    with gate.lock:
        is_known = ticket.key in gate.records.record_by_key
    if is_known:
        return resolve_ticket(gate, ticket)
    message = f"order {ticket.key} has no record here: it has not run, or its record has expired"
    raise RequestError(ErrorKind.ORDER_NOT_KNOWN, message)


def _answer(decision: OnceDecision, ticket: Ticket) -> CallReply | None:
    if isinstance(decision, RepeatAnswer):
        answer = decision.answer
        return CallReply(answer.status, dict(answer.headers), answer.body)
    if isinstance(decision, RefuseRun):
        message = f"this request did not run order {ticket.key}: {decision.kind.value}"
        raise RequestError(decision.kind, message)
    return None
