"""Run each non-idempotent request of a trace at most once, by the records that gates use.

A request's idempotency key routes each of its sends to the gate that ran it first, so the replay
keeps the records of all gates in one place.
"""

from typing import Final

from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind, Ran
from daisywharf._ids import CustomerId, IdempotencyKey, Incarnation, TargetId
from daisywharf._outcomes._keys import scoped_key
from daisywharf._outcomes._once import (
    OnceRecords,
    RefuseRun,
    RepeatAnswer,
    StoredAnswer,
    begin,
    burn,
    complete,
    tick,
)
from daisywharf._outcomes._ticket import KEY_LIFETIME_S, Ticket
from daisywharf._replay._entry import Admitted, Refused, RepeatedOutcome
from daisywharf._replay._trace import CallLine

ALL_GATES_ID: Final = TargetId("gates")
FIRST_INCARNATION: Final = Incarnation(1)
RECORDS_MAX_BYTES: Final = 1 << 30
OK_STATUS: Final = 200


def make_records() -> OnceRecords:
    """Create the records that all gates share in a replay."""
    return OnceRecords(
        target_id=ALL_GATES_ID, incarnation=FIRST_INCARNATION, max_bytes=RECORDS_MAX_BYTES
    )


def begin_run(
    records: OnceRecords, line: CallLine, admitted: Admitted, *, now: float
) -> Admitted | Refused | RepeatedOutcome:
    """Decide whether an admitted request may run; an idempotent one always may."""
    if admitted.call_class.idempotent:
        return admitted
    tick(records, now=now)
    ticket = Ticket(_key_of(line), ALL_GATES_ID, FIRST_INCARNATION, now + KEY_LIFETIME_S)
    decision = begin(records, ticket, now=now)
    if isinstance(decision, RefuseRun):
        return Refused(decision.kind, admitted.is_resend)
    if isinstance(decision, RepeatAnswer):
        is_whole = decision.answer.status == OK_STATUS
        kind = None if is_whole else ErrorKind.TARGET_FAILED
        return RepeatedOutcome(kind, admitted.is_resend)
    return admitted


def end_run(records: OnceRecords, line: CallLine, kind: ErrorKind | None, *, now: float) -> None:
    """Record the end of a run; one with an unknown outcome counts as still running."""
    ran = Ran.YES if kind is None else ANSWERS_BY_KIND[kind].ran
    if ran is Ran.NO:
        burn(records, _key_of(line), now=now)
    elif ran is Ran.YES:
        status = OK_STATUS if kind is None else ANSWERS_BY_KIND[kind].status
        complete(records, _key_of(line), StoredAnswer(status, (), b""), now=now)


def _key_of(line: CallLine) -> IdempotencyKey:
    return scoped_key(CustomerId(line.customer), IdempotencyKey(line.request))
