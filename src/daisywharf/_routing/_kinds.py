"""Map the error kind of a call to the outcome recorded for its target."""

from typing import Final

from daisywharf._errors import ErrorKind
from daisywharf._routing._router import CallOutcome

_OUTCOME_BY_KIND: Final = {
    ErrorKind.SHED: CallOutcome.REFUSED,
    ErrorKind.DRAINING: CallOutcome.REFUSED,
    ErrorKind.RECORDS_FULL: CallOutcome.REFUSED,
    ErrorKind.MEMORY_FULL: CallOutcome.REFUSED,
    ErrorKind.NO_TARGET: CallOutcome.REFUSED,
    ErrorKind.CLAIM_UNAVAILABLE: CallOutcome.REFUSED,
    ErrorKind.WRONG_INCARNATION: CallOutcome.REFUSED,
    ErrorKind.TIMED_OUT: CallOutcome.TIMED_OUT,
    ErrorKind.OUTCOME_UNKNOWN: CallOutcome.TIMED_OUT,
    ErrorKind.CONNECT_FAILED: CallOutcome.FAILED,
    ErrorKind.CUT_ANSWER: CallOutcome.FAILED,
    ErrorKind.TARGET_FAILED: CallOutcome.FAILED,
    ErrorKind.INTERNAL: CallOutcome.FAILED,
}


def outcome_of(kind: ErrorKind | None) -> CallOutcome:
    """Return the outcome to record for a call; a kind of None is a complete answer.

    A kind caused by the caller or the customer (a bad request, a rate exceeded, a deadline passed)
    counts as cancelled and not against the target: otherwise one customer could get it ejected.
    """
    if kind is None:
        return CallOutcome.SUCCEEDED
    return _OUTCOME_BY_KIND.get(kind, CallOutcome.CANCELLED)
