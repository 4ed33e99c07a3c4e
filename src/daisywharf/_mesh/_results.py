"""Classify the result of one attempt for its request."""

from typing import Final

from daisywharf._errors import ErrorKind
from daisywharf._mesh._frames import Answered, CallResult, Unanswered
from daisywharf._outcomes._next_step import AttemptEnd

MISDIRECTED_STATUS: Final = 421


def attempt_end_of(result: CallResult) -> AttemptEnd:
    """Return how an attempt ended, from which the next step is chosen."""
    if isinstance(result, Answered):
        if result.is_not_run:
            return AttemptEnd.TURNED_AWAY_BY_TARGET
        return AttemptEnd.ANSWERED if result.status < 500 else AttemptEnd.FAILED_BY_TARGET
    return AttemptEnd.OUTCOME_UNKNOWN if result.has_begun else AttemptEnd.REFUSED_BY_GATE


def error_kind_of(result: CallResult) -> ErrorKind:
    """Return the error kind to report if this result is the request's last."""
    if isinstance(result, Unanswered):
        return result.kind
    if result.is_not_run:
        is_other_target = result.status == MISDIRECTED_STATUS
        return ErrorKind.WRONG_INCARNATION if is_other_target else ErrorKind.SHED
    return ErrorKind.TARGET_FAILED
