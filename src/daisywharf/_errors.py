"""The error kinds, the answer to each, and the exception classes."""

from enum import Enum
from typing import Final

import msgspec


class ErrorKind(Enum):
    """Classify the failures of requests, links, edits and starts."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNKNOWN_CUSTOMER = "unknown-customer"
    MISSING_KEY = "missing-key"
    UNKNOWN_KEY = "unknown-key"
    NOT_IN_CONTRACT = "not-in-contract"
    RATE_EXCEEDED = "rate-exceeded"
    OVER_QUOTA = "over-quota"
    SHED = "shed"
    LOW_CHANCE = "low-chance"
    TOO_LATE = "too-late"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    NO_TARGET = "no-target"
    DRAINING = "draining"
    CONNECT_FAILED = "connect-failed"
    CUT_ANSWER = "cut-answer"
    OUTCOME_UNKNOWN = "outcome-unknown"
    STILL_RUNNING = "still-running"
    WRONG_INCARNATION = "wrong-incarnation"
    TICKET_BURNT = "ticket-burnt"
    TICKET_EXPIRED = "ticket-expired"
    ORDER_NOT_KNOWN = "order-not-known"
    RECORDS_FULL = "records-full"
    MEMORY_FULL = "memory-full"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    TARGET_FAILED = "target-failed"
    FAILED_BELOW = "failed-below"
    RETRIES_SPENT = "retries-spent"
    BAD_FRAME = "bad-frame"
    UNTRUSTED_PEER = "untrusted-peer"
    PLATFORM_CONFLICT = "platform-conflict"
    PLATFORM_GONE = "platform-gone"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PLATFORM_OUTCOME_UNKNOWN = "platform-outcome-unknown"
    INVALID_SETTINGS = "invalid-settings"
    INVALID_CONTRACT = "invalid-contract"
    INTERNAL = "internal"


class Ran(Enum):
    """State whether the target ran the call."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True):
    """Hold the HTTP status of an error kind, whether a retry may help, and whether the call ran."""

    status: int
    retryable: bool
    ran: Ran


ANSWERS_BY_KIND: Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, False, Ran.NO),
    ErrorKind.TOO_LARGE: Answer(413, False, Ran.NO),
    ErrorKind.UNKNOWN_CUSTOMER: Answer(403, False, Ran.NO),
    ErrorKind.MISSING_KEY: Answer(401, False, Ran.NO),
    ErrorKind.UNKNOWN_KEY: Answer(401, False, Ran.NO),
    ErrorKind.NOT_IN_CONTRACT: Answer(403, False, Ran.NO),
    ErrorKind.RATE_EXCEEDED: Answer(429, False, Ran.NO),
    ErrorKind.OVER_QUOTA: Answer(429, True, Ran.NO),
    ErrorKind.SHED: Answer(503, True, Ran.NO),
    ErrorKind.LOW_CHANCE: Answer(503, True, Ran.NO),
    ErrorKind.TOO_LATE: Answer(504, False, Ran.NO),
    ErrorKind.TIMED_OUT: Answer(504, False, Ran.UNKNOWN),
    ErrorKind.CANCELLED: Answer(499, False, Ran.NO),
    ErrorKind.NO_TARGET: Answer(503, False, Ran.NO),
    ErrorKind.DRAINING: Answer(503, True, Ran.NO),
    ErrorKind.CONNECT_FAILED: Answer(503, True, Ran.NO),
    ErrorKind.CUT_ANSWER: Answer(502, False, Ran.UNKNOWN),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, False, Ran.UNKNOWN),
    ErrorKind.STILL_RUNNING: Answer(409, False, Ran.YES),
    ErrorKind.WRONG_INCARNATION: Answer(503, True, Ran.NO),
    ErrorKind.TICKET_BURNT: Answer(409, False, Ran.NO),
    ErrorKind.TICKET_EXPIRED: Answer(409, False, Ran.UNKNOWN),
    ErrorKind.ORDER_NOT_KNOWN: Answer(404, False, Ran.UNKNOWN),
    ErrorKind.RECORDS_FULL: Answer(503, True, Ran.NO),
    ErrorKind.MEMORY_FULL: Answer(503, True, Ran.NO),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, False, Ran.NO),
    ErrorKind.TARGET_FAILED: Answer(502, False, Ran.YES),
    ErrorKind.FAILED_BELOW: Answer(502, False, Ran.YES),
    ErrorKind.RETRIES_SPENT: Answer(429, False, Ran.NO),
    ErrorKind.BAD_FRAME: Answer(400, False, Ran.NO),
    ErrorKind.UNTRUSTED_PEER: Answer(401, False, Ran.NO),
    ErrorKind.PLATFORM_CONFLICT: Answer(409, False, Ran.NO),
    ErrorKind.PLATFORM_GONE: Answer(410, False, Ran.NO),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, True, Ran.NO),
    ErrorKind.PLATFORM_OUTCOME_UNKNOWN: Answer(504, False, Ran.UNKNOWN),
    ErrorKind.INVALID_SETTINGS: Answer(400, False, Ran.NO),
    ErrorKind.INVALID_CONTRACT: Answer(400, False, Ran.NO),
    ErrorKind.INTERNAL: Answer(500, False, Ran.UNKNOWN),
}


class DaisywharfError(Exception):
    """Base class of all errors, with a message that shows the value at fault.

    `retry_after_s` is the delay in seconds after which to resend; 0 if there is no advice.
    """

    def __init__(self, kind: ErrorKind, message: str, *, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.kind = kind
        self.retry_after_s = retry_after_s

    @property
    def answer(self) -> Answer:
        """Return the answer to this error's kind."""
        return ANSWERS_BY_KIND[self.kind]


class RequestError(DaisywharfError):
    """A request failed or got no complete answer."""


class LinkError(DaisywharfError):
    """A link between two processes broke, or a frame can't be decoded."""


class PlatformError(DaisywharfError):
    """A call to the platform failed."""


class ConfigurationError(DaisywharfError):
    """Settings or a contract are invalid."""
