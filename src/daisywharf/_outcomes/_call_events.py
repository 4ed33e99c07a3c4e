"""What happens to one attempt of a call at its caller, and what is to be done about it."""

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import Incarnation, RequestId, TargetId
from daisywharf._outcomes._once import OnceDecision, StoredAnswer
from daisywharf._outcomes._ticket import Ticket


class CallPlan(msgspec.Struct, frozen=True):
    """Describe one attempt of a call; an idempotent one has no ticket.

    `is_first_use` tells that no copy under the ticket's key can have been sent before.
    """

    request_id: RequestId
    target_id: TargetId
    incarnation: Incarnation
    ticket: Ticket | None = None
    is_first_use: bool = True


class CallSent(msgspec.Struct, frozen=True):
    """Report that the call is about to be written to its link."""


class ConnectFailed(msgspec.Struct, frozen=True):
    """Report that no connection was made: nothing was written."""


class LinkBroke(msgspec.Struct, frozen=True):
    """Report that the link broke, or was closed as silent, while or after writing."""


class AnswerArrived(msgspec.Struct, frozen=True):
    """Report an answer frame; `body_bytes` is the length that its sender stated."""

    request_id: RequestId
    target_id: TargetId
    incarnation: Incarnation
    answer: StoredAnswer
    body_bytes: int


class RefusalArrived(msgspec.Struct, frozen=True):
    """Report that the gate refused the call before running it."""

    request_id: RequestId
    target_id: TargetId
    incarnation: Incarnation
    kind: ErrorKind


class Resolved(msgspec.Struct, frozen=True):
    """Report what the gate said of the ticket on a new connection."""

    ticket: Ticket
    decision: OnceDecision
    body_bytes: int = 0


class ResolveFailed(msgspec.Struct, frozen=True):
    """Report that the gate could not be asked, or that its word was lost."""


class IncarnationGone(msgspec.Struct, frozen=True):
    """Report that the target's process is known to have ended or restarted."""


class DeadlinePassed(msgspec.Struct, frozen=True):
    """Report that the call's deadline passed."""


class CallerGone(msgspec.Struct, frozen=True):
    """Report that the caller gave up."""


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
    """Ask the ticket's gate for the outcome over a new connection, `after_s` from now."""

    ticket: Ticket
    after_s: float


class SendAgain(msgspec.Struct, frozen=True):
    """Send the same call to the ticket's gate over a new connection, `after_s` from now.

    Report what comes back as an answer or a refusal, and a failure as `ResolveFailed`.
    """

    ticket: Ticket
    after_s: float


class Deliver(msgspec.Struct, frozen=True):
    """Give the caller this whole answer."""

    answer: StoredAnswer


class Fail(msgspec.Struct, frozen=True):
    """Give the caller an error; its kind tells whether the call was run."""

    kind: ErrorKind


class RetryElsewhere(msgspec.Struct, frozen=True):
    """Start a new attempt at another target if the retry budget allows; else fail as said."""

    otherwise: ErrorKind


class CancelCall(msgspec.Struct, frozen=True):
    """Tell the target that nobody waits for the answer."""


CallAction = Resolve | SendAgain | Deliver | Fail | RetryElsewhere | CancelCall
