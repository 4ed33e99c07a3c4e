"""Remember at a gate what ran under which ticket."""

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import IdempotencyKey, Incarnation, TargetId
from daisywharf._outcomes._ticket import Ticket


class StoredAnswer(msgspec.Struct, frozen=True):
    """Keep a whole answer so that a repeat gets the same."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RunNow(msgspec.Struct, frozen=True):
    """Run the call: no other run of its key was or will be started."""


class RepeatAnswer(msgspec.Struct, frozen=True):
    """Give the first run's answer again."""

    answer: StoredAnswer


class RefuseRun(msgspec.Struct, frozen=True):
    """Do not run the call."""

    kind: ErrorKind


OnceDecision = RunNow | RepeatAnswer | RefuseRun


class OnceRecords:
    """Hold the records of one gate's incarnation; `max_bytes` bounds their answers."""

    def __init__(
        self, *, target_id: TargetId, incarnation: Incarnation, max_bytes: int = 4_194_304
    ) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.max_bytes = max_bytes
        self.answer_by_key: dict[IdempotencyKey, StoredAnswer | None] = {}


def begin(records: OnceRecords, ticket: Ticket, *, now: float) -> OnceDecision:
    """Decide whether a call under this ticket may run."""
    if (ticket.target_id, ticket.incarnation) != (records.target_id, records.incarnation):
        return RefuseRun(ErrorKind.WRONG_INCARNATION)
    if ticket.seconds_left <= 0:
        return RefuseRun(ErrorKind.TICKET_EXPIRED)
    if ticket.key not in records.answer_by_key:
        records.answer_by_key[ticket.key] = None
        return RunNow()
    answer = records.answer_by_key[ticket.key]
    return RefuseRun(ErrorKind.STILL_RUNNING) if answer is None else RepeatAnswer(answer)


def complete(
    records: OnceRecords, key: IdempotencyKey, answer: StoredAnswer, *, now: float
) -> None:
    """Keep the answer of a run that ended."""
    records.answer_by_key[key] = answer


def release(records: OnceRecords, key: IdempotencyKey, *, now: float) -> None:
    """Forget a key whose call was refused before it was run."""
    records.answer_by_key.pop(key, None)


def resolve(records: OnceRecords, ticket: Ticket, *, now: float) -> OnceDecision:
    """Tell the outcome of a ticket; one that was not run is burnt and will never run."""
    decision = begin(records, ticket, now=now)
    if isinstance(decision, RunNow):
        records.answer_by_key.pop(ticket.key)
        return RefuseRun(ErrorKind.TICKET_BURNT)
    return decision


def tick(records: OnceRecords, *, now: float) -> None:
    """Drop records whose ticket has expired."""
