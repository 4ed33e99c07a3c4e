"""What the fakes of targets and callers tell each other."""

from typing import Protocol

import msgspec

from daisywharf._context import RequestContext
from daisywharf._contract import CallClass
from daisywharf._errors import ErrorKind
from daisywharf._ids import CustomerId, RequestId, ServiceName, ZoneName
from daisywharf._overload._actions import AdmissionAction, CallId
from daisywharf._overload._level import Level


class Gate(Protocol):
    """Decide at one target which calls run."""

    def offer(
        self, call_id: CallId, context: RequestContext, *, now: float
    ) -> list[AdmissionAction]:
        """Decide on a call that arrives."""

    def finish(
        self, call_id: CallId, *, now: float, succeeded: bool, below: Level | None
    ) -> list[AdmissionAction]:
        """Take the end of a call."""

    def suspend(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Take that a call waits for one below it."""

    def resume(self, call_id: CallId, *, now: float) -> None:
        """Take that a call goes on."""

    def cancel(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Drop a waiting call."""

    def tick(self, *, now: float) -> list[AdmissionAction]:
        """Do what time asks for."""

    def level(self, *, now: float, below: Level | None) -> Level:
        """Return the level of an answer."""


class CallerRules(msgspec.Struct, frozen=True):
    """State how callers inside the chain time out, retry and cancel.

    `marks_failure_below` lets a target that ran a non-idempotent call answer that it failed,
    whatever the call below it answered: a refusal would say that it was not run.
    """

    retries_per_hop: int = 0
    hop_timeout_s: float | None = None
    has_tree_budget: bool = False
    has_retry_ratio: bool = False
    cancels: bool = False
    checks_deadline: bool = False
    suspends: bool = True
    limits_rates: bool = False
    marks_failure_below: bool = False


class Answer(msgspec.Struct, frozen=True):
    """Carry the outcome of one call; no kind means a whole answer.

    `ran` tells that the target ran the call, so that a failure came from further down.
    """

    kind: ErrorKind | None
    level: Level
    unspent: int = 0
    retry_after_s: float = 0.0
    ran: bool = False


class ChainSend(msgspec.Struct):
    """Hold one sending of a request into the chain, and what it cost."""

    request_id: RequestId
    customer: CustomerId
    call_class: CallClass
    chain: tuple[ServiceName, ...]
    zone: ZoneName
    sent_at: float
    deadline: float
    target_s: float = 0.0
    retries: int = 0
    is_over: bool = False
