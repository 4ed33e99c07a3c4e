"""The events of one attempt of a call, as its caller sees them, and the actions they lead to."""

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import Incarnation, RequestId, TargetId
from daisywharf._outcomes._once import OnceDecision, StoredAnswer
from daisywharf._outcomes._ticket import Ticket


class CallPlan(msgspec.Struct, frozen=True):
    """Describe one attempt of a call; `ticket` is none for an idempotent call.

    `is_first_use` means that no copy can have been sent under the ticket's key before.
    """

    request_id: RequestId
    target_id: TargetId
    incarnation: Incarnation
    ticket: Ticket | None = None
    is_first_use: bool = True


class CallSent(msgspec.Struct, frozen=True):
    """Report that the call is about to be written to its link."""


class ConnectFailed(msgspec.Struct, frozen=True):
    """Report that no connection was made, so nothing was written."""


class LinkBroke(msgspec.Struct, frozen=True):
    """Report that the link broke, or was closed as silent, during or after the write."""


class AnswerArrived(msgspec.Struct, frozen=True):
    """Report an answer frame; `body_bytes` is the body length stated by its sender."""

    request_id: RequestId
    target_id: TargetId
    incarnation: Incarnation
    answer: StoredAnswer
    body_bytes: int


class RefusalArrived(msgspec.Struct, frozen=True):
    """Report that the gate refused the call without running it."""

    request_id: RequestId
    target_id: TargetId
    incarnation: Incarnation
    kind: ErrorKind


class Resolved(msgspec.Struct, frozen=True):
    """Report the gate's decision on the ticket, received over a new connection.

    `body_bytes` is the body length that the gate stated, or 0 without an answer.
    """

    ticket: Ticket
    decision: OnceDecision
    body_bytes: int = 0


class ResolveFailed(msgspec.Struct, frozen=True):
    """Report that the gate could not be reached, or that its reply was lost."""


class IncarnationGone(msgspec.Struct, frozen=True):
    """Report that the target's process is known to have ended or restarted."""


class DeadlinePassed(msgspec.Struct, frozen=True):
    """Report that the call's deadline passed."""


class CallerGone(msgspec.Struct, frozen=True):
    """Report that the caller abandoned the call."""


CallEvent = (
    CallSent
    | ConnectFailed
    | LinkBroke
    | AnswerArrived
    | RefusalArrived
    | Resolved
    | ResolveFailed
    | IncarnationGone
    | DeadlinePassed
    | CallerGone
)


class Resolve(msgspec.Struct, frozen=True):
    """Query the ticket's gate for the outcome over a new connection, `after_s` seconds from now."""

    ticket: Ticket
    after_s: float


class SendAgain(msgspec.Struct, frozen=True):
    """Send the same call to the ticket's gate over a new connection, `after_s` seconds from now.

    Report its reply as `AnswerArrived` or `RefusalArrived`, and a failure as `ResolveFailed`.
    """

    ticket: Ticket
    after_s: float


class Deliver(msgspec.Struct, frozen=True):
    """Return this complete answer to the caller."""

    answer: StoredAnswer


class Fail(msgspec.Struct, frozen=True):
    """Return an error to the caller; its kind states whether the call was run."""

    kind: ErrorKind


class RetryElsewhere(msgspec.Struct, frozen=True):
    """Retry at another target if the retry budget allows; otherwise fail with `otherwise`."""

    otherwise: ErrorKind


class CancelCall(msgspec.Struct, frozen=True):
    """Notify the target that the call is abandoned."""


CallAction = Resolve | SendAgain | Deliver | Fail | RetryElsewhere | CancelCall
