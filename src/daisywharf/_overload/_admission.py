"""Admit, queue or refuse the calls that reach one gate."""

import msgspec

from daisywharf._context import RequestContext
from daisywharf._errors import ErrorKind
from daisywharf._ids import RequestId
from daisywharf._overload._level import OPEN_LEVEL, Level


class CallId(msgspec.Struct, frozen=True):
    """Tell apart two attempts of one request at the same gate."""

    request_id: RequestId
    attempt: int


class Admit(msgspec.Struct, frozen=True):
    """Start this call now."""

    call_id: CallId


class Enqueue(msgspec.Struct, frozen=True):
    """Keep this call waiting until a later action names it."""

    call_id: CallId


class Refuse(msgspec.Struct, frozen=True):
    """Answer this call now: it was not run."""

    call_id: CallId
    kind: ErrorKind
    retry_after_s: float


AdmissionAction = Admit | Enqueue | Refuse


class AdmissionState:
    """Hold what one gate knows of its calls in flight and waiting."""

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.in_flight_by_id: dict[CallId, float] = {}
        self.is_draining = False


def offer(
    state: AdmissionState, call_id: CallId, context: RequestContext, *, now: float
) -> list[AdmissionAction]:
    """Decide on a call that arrives."""
    if state.is_draining:
        return [Refuse(call_id, ErrorKind.DRAINING, 1.0)]
    if context.deadline <= now:
        return [Refuse(call_id, ErrorKind.TOO_LATE, 0.0)]
    if len(state.in_flight_by_id) >= state.slots:
        return [Refuse(call_id, ErrorKind.SHED, 1.0)]
    state.in_flight_by_id[call_id] = now
    return [Admit(call_id)]


def finish(
    state: AdmissionState, call_id: CallId, *, now: float, succeeded: bool
) -> list[AdmissionAction]:
    """Give a finished call's slot to one that waits."""
    state.in_flight_by_id.pop(call_id, None)
    return []


def cancel(state: AdmissionState, call_id: CallId, *, now: float) -> list[AdmissionAction]:
    """Drop a waiting call whose caller gave up; one in flight goes on until `finish`."""
    return []


def tick(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    """Refuse waiting calls that can no longer finish in time; call at least every 10 ms."""
    return []


def start_draining(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    """Refuse what waits and what arrives from now on."""
    state.is_draining = True
    return []


def current_level(state: AdmissionState, *, now: float) -> Level:
    """Return the level to send back on answers."""
    return OPEN_LEVEL
