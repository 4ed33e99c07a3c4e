"""A call at its target's gate until it ends, and its log lines."""

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._mesh._dialect import AnswerHead
from daisywharf._mesh._frames import Call, GateLoad, OnCallResult
from daisywharf._mesh._http_answers import HttpFailure, OutboundRequest
from daisywharf._mesh._pending import MS_PER_S
from daisywharf._overload._actions import CallId
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event


class GateCall(msgspec.Struct):
    """Hold a call that waits or runs at the gate.

    `asked` is the HTTP request to the target, or None while the call waits; `is_given_up` means
    that nobody waits for the result any more. Times are in seconds of the gate's clock.
    """

    call_id: CallId
    call: Call
    on_result: OnCallResult
    deadline: float
    asked: OutboundRequest | None = None
    is_given_up: bool = False
    answer_head: AnswerHead | None = None
    started_at: float = 0.0
    # When the head of the answer was read; None before that, or if an earlier incarnation sent it.
    head_at: float | None = None


def log_call_refused(gate_call: GateCall, kind: ErrorKind, load: GateLoad, *, now: float) -> None:
    """Log a call that the gate refused without running it."""
    call = gate_call.call
    arrived_at = gate_call.deadline - call.time_left_ms / MS_PER_S
    log_event(
        Event.CALL_REFUSED,
        request=call.request_id,
        route=call.route,
        target=call.target_id,
        kind=kind.value,
        waited_ms=round((now - arrived_at) * MS_PER_S, 1),
        running=load.running,
        waiting=load.waiting,
        limit=load.limit,
    )


def log_call_failed(gate_call: GateCall, failure: HttpFailure, *, now: float) -> None:
    """Log a call that the target didn't answer."""
    call = gate_call.call
    log_event(
        Event.CALL_FAILED,
        request=call.request_id,
        route=call.route,
        target=call.target_id,
        kind=failure.kind.value,
        error=failure.detail,
        ran_ms=round((now - gate_call.started_at) * MS_PER_S, 1),
    )
