"""Tell what the end of a call says of the target that was called."""

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
    """Return the outcome to record; no kind is a whole answer.

    A kind that is the caller's or the customer's doing (a bad request, a rate exceeded, a
    deadline passed) says nothing of the target: else one customer could have it ejected.
    """
    if kind is None:
        return CallOutcome.SUCCEEDED
    return _OUTCOME_BY_KIND.get(kind, CallOutcome.CANCELLED)
