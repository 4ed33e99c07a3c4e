"""Run a call under a ticket at most once, and tell outcomes to callers that ask."""

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

EXPIRY_PERIOD_S: Final = 1.0


class GateRecords:
    """Hold a gate's records of tickets and their lock; `clock` tells seconds since 1970."""

    def __init__(self, records: OnceRecords, *, clock: Callable[[], float]) -> None:
        self.records = records
        self.clock = clock
        self.lock = threading.Lock()
        self.swept_at = clock()


def begin_run(gate: GateRecords, ticket: Ticket, *, digest: bytes) -> CallReply | None:
    """Return none where the call may run, or the first run's answer; raise where neither.

    `digest` names the request's content, so that a key with another content is refused.
    """
    with gate.lock:
        now = gate.clock()
        if now - gate.swept_at >= EXPIRY_PERIOD_S:
            gate.swept_at = now
            tick(gate.records, now=now)
        return _answer(begin(gate.records, ticket, now=now, digest=digest), ticket)


def end_run(gate: GateRecords, ticket: Ticket, reply: CallReply) -> None:
    """Keep a run's whole answer."""
    stored = StoredAnswer(reply.status, tuple(reply.headers.items()), reply.body)
    with gate.lock:
        complete(gate.records, ticket.key, stored, now=gate.clock())


def burn_ticket(gate: GateRecords, ticket: Ticket) -> None:
    """Burn a ticket whose call was refused before it was run."""
    with gate.lock:
        release(gate.records, ticket.key, now=gate.clock())


def resolve_ticket(gate: GateRecords, ticket: Ticket | None) -> CallReply:
    """Return the answer of a ticket's run; raise `RequestError` where there is none."""
    if ticket is None:
        raise RequestError(ErrorKind.BAD_REQUEST, "the question names no ticket; send it along")
    with gate.lock:
        decision = resolve(gate.records, ticket, now=gate.clock())
        reply = _answer(decision, ticket)
    if reply is not None:
        return reply
    raise RequestError(ErrorKind.INTERNAL, f"ticket {ticket.key} can't be told")


def look_up(gate: GateRecords, ticket: Ticket | None) -> CallReply:
    """Return the answer of a ticket's run without burning one that has not run yet."""
    if ticket is None:
        raise RequestError(ErrorKind.BAD_REQUEST, "the question names no ticket; send it along")
    with gate.lock:
        is_known = ticket.key in gate.records.record_by_key
    if is_known:
        return resolve_ticket(gate, ticket)
    message = f"order {ticket.key} is not known here: it has not run, or its record has expired"
    raise RequestError(ErrorKind.ORDER_NOT_KNOWN, message)


def _answer(decision: OnceDecision, ticket: Ticket) -> CallReply | None:
    if isinstance(decision, RepeatAnswer):
        answer = decision.answer
        return CallReply(answer.status, dict(answer.headers), answer.body)
    if isinstance(decision, RefuseRun):
        message = f"order {ticket.key} is not run now: {decision.kind.value}"
        raise RequestError(decision.kind, message)
    return None
