"""The actions that admission decisions return."""

import msgspec

from daisywharf._context import Refusals
from daisywharf._errors import ErrorKind
from daisywharf._ids import RequestId


class CallId(msgspec.Struct, frozen=True):
    """Identify one attempt of a request at a gate."""

    request_id: RequestId
    attempt: int


class Admit(msgspec.Struct, frozen=True):
    """Start this call now; its calls below carry `refusals` in their context."""

    call_id: CallId
    refusals: Refusals | None = None


class Enqueue(msgspec.Struct, frozen=True):
    """Keep this call waiting until a later action admits or refuses it."""

    call_id: CallId


class Refuse(msgspec.Struct, frozen=True):
    """Answer this call now: it was not run."""

    call_id: CallId
    kind: ErrorKind
    retry_after_s: float


AdmissionAction = Admit | Enqueue | Refuse
