"""The exit codes of the command line, and the one for each kind of error."""

from enum import IntEnum
from typing import Final

from daisywharf._errors import ErrorKind


class ExitCode(IntEnum):
    """The exit codes that scripts can rely on."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    NOT_IN_FORCE = 7
    NOT_FOUND = 8
    DIFFERS = 9


CODES_BY_KIND: Final[dict[ErrorKind, ExitCode]] = {
    ErrorKind.INVALID_CONTRACT: ExitCode.INVALID,
    ErrorKind.INVALID_SETTINGS: ExitCode.INVALID,
    ErrorKind.BAD_REQUEST: ExitCode.INVALID,
    ErrorKind.TOO_LARGE: ExitCode.INVALID,
    ErrorKind.PLATFORM_CONFLICT: ExitCode.CONFLICT,
    ErrorKind.PLATFORM_GONE: ExitCode.NOT_FOUND,
    ErrorKind.NO_TARGET: ExitCode.NOT_FOUND,
    ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.CONNECT_FAILED: ExitCode.UNAVAILABLE,
    ErrorKind.CLAIM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.DRAINING: ExitCode.UNAVAILABLE,
    ErrorKind.PLATFORM_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.TIMED_OUT: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.CUT_ANSWER: ExitCode.OUTCOME_UNKNOWN,
}


def code_for(kind: ErrorKind) -> ExitCode:
    """Return the exit code for a kind of error."""
    return CODES_BY_KIND.get(kind, ExitCode.FAILED)
