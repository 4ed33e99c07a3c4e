"""Messages and interfaces between the fake targets and callers."""

from typing import Protocol

import msgspec

from daisywharf._context import RequestContext
from daisywharf._contract import CallClass
from daisywharf._errors import ErrorKind
from daisywharf._ids import CustomerId, RequestId, ServiceName, ZoneName
from daisywharf._overload._actions import AdmissionAction, CallId
from daisywharf._overload._level import Level


class Gate(Protocol):
    """Decide which calls run at one target."""

    def offer(
        self, call_id: CallId, context: RequestContext, *, now: float
    ) -> list[AdmissionAction]:
        """Admit, enqueue or refuse an arriving call and return the resulting actions."""

    def finish(
        self, call_id: CallId, *, now: float, succeeded: bool, below: Level | None
    ) -> list[AdmissionAction]:
        """Pass a finished call's slot to a waiting one; `below` is the level from its own calls."""

    def suspend(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Release the slot of a call while it waits for one of its own calls."""

    def resume(self, call_id: CallId, *, now: float) -> None:
        """Resume a suspended call."""

    def cancel(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Drop an abandoned waiting call."""

    def tick(self, *, now: float) -> list[AdmissionAction]:
        """Update levels, and refuse waiting calls that cannot finish in time."""

    def level(self, *, now: float, below: Level | None) -> Level:
        """Return the shedding level to send with an answer."""


class CallerRules(msgspec.Struct, frozen=True):
    """Set how callers inside the chain time out, retry and cancel.

    With `marks_failure_below`, a target that ran a non-idempotent call reports every failure as its
    own, whatever the call below it answered: passing on a refusal would claim that the call did
    not run.
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
    """Report the outcome of one call; `kind` is None for a complete answer.

    `unspent` counts the lent retries that are left. `ran` is true if the target ran the call, so
    that a failure came from a call below it.
    """

    kind: ErrorKind | None
    level: Level
    unspent: int = 0
    retry_after_s: float = 0.0
    ran: bool = False


class ChainSend(msgspec.Struct):
    """Hold one send of a request into the chain.

    `target_s` is the time in seconds for which its calls occupied slots, and `retries` the number
    of its retries.
    """

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
