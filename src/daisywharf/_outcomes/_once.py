"""Record at a gate which tickets have run, so that each runs at most once.

`now` is in seconds since 1970 by the gate's own clock. Both the permission to run and the removal
of a record compare the ticket's expiry with this one clock, which is kept monotonic here. So a
call can't run twice, however far the clocks of a gate and an entry differ.
"""

from enum import Enum
from heapq import heappop, heappush
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import IdempotencyKey, Incarnation, TargetId
from daisywharf._outcomes._ticket import MAX_CLOCK_SKEW_S, MAX_TICKET_LIFETIME_S, Ticket, TicketKind

RECORD_BYTES: Final = 640
RESERVED_ANSWER_BYTES: Final = 4_096
HEADER_OVERHEAD_BYTES: Final = 128
LATE_ANSWER_RETENTION_S: Final = 10.0


class StoredAnswer(msgspec.Struct, frozen=True):
    """Hold a complete answer, so that a resend gets the same one."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RunNow(msgspec.Struct, frozen=True):
    """Run the call; no other run of its key was started or will be."""


class RepeatAnswer(msgspec.Struct, frozen=True):
    """Return the first run's answer again."""

    answer: StoredAnswer


class RefuseRun(msgspec.Struct, frozen=True):
    """Do not run the call."""

    kind: ErrorKind


OnceDecision = RunNow | RepeatAnswer | RefuseRun


class RecordState(Enum):
    """Name the states of a key; a burnt one has not run and never will."""

    RUNNING = "running"
    DONE = "done"
    BURNT = "burnt"


class OnceRecord(msgspec.Struct):
    """Hold one key's outcome; `kept_bytes` is its charge against the memory bound.

    `expires_at` is in seconds since 1970.
    """

    state: RecordState
    expires_at: float
    kept_bytes: int
    digest: bytes = b""
    answer: StoredAnswer | None = None


class OnceRecords:
    """Hold the records of one gate incarnation; no new one is added beyond `max_bytes`.

    An answer larger than `RESERVED_ANSWER_BYTES` is stored too, so the answers of calls in flight
    can exceed the bound; new keys are then refused until the records shrink.
    """

    def __init__(
        self, *, target_id: TargetId, incarnation: Incarnation, max_bytes: int = 4_194_304
    ) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.max_bytes = max_bytes
        self.kept_bytes = 0
        self.clock = float("-inf")
        self.latest_burnt_expiry_by_kind: dict[TicketKind, float] = {}
        self.record_by_key: dict[IdempotencyKey, OnceRecord] = {}
        self.expiries: list[tuple[float, IdempotencyKey]] = []


def begin(records: OnceRecords, ticket: Ticket, *, now: float, digest: bytes = b"") -> OnceDecision:
    """Decide whether a call under this ticket may run, and record it as running if so.

    `digest` identifies the request's content: a key sent with different content is refused.
    """
    now = _advance_clock(records, now)
    if (ticket.target_id, ticket.incarnation) != (records.target_id, records.incarnation):
        return RefuseRun(ErrorKind.WRONG_INCARNATION)
    record = records.record_by_key.get(ticket.key)
    if record is not None:
        return _decide_resend(record, digest)
    refusal = _refusal_of_unseen(records, ticket, now=now)
    if refusal is not None:
        return RefuseRun(refusal)
    kept_bytes = RECORD_BYTES + RESERVED_ANSWER_BYTES
    if records.kept_bytes + kept_bytes > records.max_bytes:
        _burn_without_record(records, ticket)
        return RefuseRun(ErrorKind.RECORDS_FULL)
    record = OnceRecord(RecordState.RUNNING, ticket.expires_at, kept_bytes, digest)
    _add(records, ticket.key, record)
    return RunNow()


def complete(
    records: OnceRecords, key: IdempotencyKey, answer: StoredAnswer, *, now: float
) -> None:
    """Store the answer of a run that ended."""
    now = _advance_clock(records, now)
    record = records.record_by_key.get(key)
    if record is None or record.state is not RecordState.RUNNING:
        return
    record.state = RecordState.DONE
    record.answer = answer
    _resize(records, record, RECORD_BYTES + _answer_size_bytes(answer))
    record.expires_at = max(record.expires_at, now + LATE_ANSWER_RETENTION_S)
    heappush(records.expiries, (record.expires_at, key))


def burn(records: OnceRecords, key: IdempotencyKey, *, now: float) -> None:
    """Burn a key whose call was refused before it ran, so that "not run" stays true."""
    _advance_clock(records, now)
    record = records.record_by_key.get(key)
    if record is None or record.state is not RecordState.RUNNING:
        return
    record.state = RecordState.BURNT
    _resize(records, record, RECORD_BYTES)
    heappush(records.expiries, (record.expires_at, key))


def resolve(records: OnceRecords, ticket: Ticket, *, now: float) -> OnceDecision:
    """Return the outcome of a ticket; one that has not run is burnt and will never run."""
    now = _advance_clock(records, now)
    if (ticket.target_id, ticket.incarnation) != (records.target_id, records.incarnation):
        return RefuseRun(ErrorKind.WRONG_INCARNATION)
    record = records.record_by_key.get(ticket.key)
    if record is not None:
        return _decide_resend(record, record.digest)
    refusal = _refusal_of_unseen(records, ticket, now=now)
    if refusal is not None:
        return RefuseRun(refusal)
    if records.kept_bytes + RECORD_BYTES > records.max_bytes:
        _burn_without_record(records, ticket)
    else:
        record = OnceRecord(RecordState.BURNT, ticket.expires_at, RECORD_BYTES)
        _add(records, ticket.key, record)
        heappush(records.expiries, (ticket.expires_at, ticket.key))
    return RefuseRun(ErrorKind.TICKET_BURNT)


def tick(records: OnceRecords, *, now: float) -> None:
    """Remove records whose ticket has expired; a running call's record stays until it ends."""
    now = _advance_clock(records, now)
    while records.expiries and records.expiries[0][0] <= now:
        _, key = heappop(records.expiries)
        record = records.record_by_key.get(key)
        if record is not None and _is_removable(record, now=now):
            records.kept_bytes -= record.kept_bytes
            del records.record_by_key[key]


def _advance_clock(records: OnceRecords, now: float) -> float:
    # A clock that is set back must not make an expired ticket valid again.
    records.clock = max(records.clock, now)
    return records.clock


def _is_removable(record: OnceRecord, *, now: float) -> bool:
    return record.state is not RecordState.RUNNING and record.expires_at <= now


def _refusal_of_unseen(records: OnceRecords, ticket: Ticket, *, now: float) -> ErrorKind | None:
    if ticket.expires_at <= now:
        return ErrorKind.TICKET_EXPIRED
    if ticket.expires_at <= records.latest_burnt_expiry_by_kind.get(ticket.kind, float("-inf")):
        return ErrorKind.TICKET_BURNT
    if ticket.expires_at > now + MAX_TICKET_LIFETIME_S + MAX_CLOCK_SKEW_S:
        return ErrorKind.BAD_REQUEST
    return None


def _decide_resend(record: OnceRecord, digest: bytes) -> OnceDecision:
    if record.state is RecordState.BURNT:
        return RefuseRun(ErrorKind.TICKET_BURNT)
    if digest != record.digest:
        return RefuseRun(ErrorKind.BAD_REQUEST)
    if record.answer is None:
        return RefuseRun(ErrorKind.STILL_RUNNING)
    return RepeatAnswer(record.answer)


def _burn_without_record(records: OnceRecords, ticket: Ticket) -> None:
    # One timestamp burns every unseen ticket of this kind that expires no later, without using
    # memory. Tickets of one kind have about the same lifetime, so those minted later stay valid.
    latest_burnt_expiry = records.latest_burnt_expiry_by_kind.get(ticket.kind, float("-inf"))
    records.latest_burnt_expiry_by_kind[ticket.kind] = max(latest_burnt_expiry, ticket.expires_at)


def _add(records: OnceRecords, key: IdempotencyKey, record: OnceRecord) -> None:
    records.record_by_key[key] = record
    records.kept_bytes += record.kept_bytes


def _resize(records: OnceRecords, record: OnceRecord, kept_bytes: int) -> None:
    records.kept_bytes += kept_bytes - record.kept_bytes
    record.kept_bytes = kept_bytes


def _answer_size_bytes(answer: StoredAnswer) -> int:
    headers = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in answer.headers)
    return len(answer.body) + headers
