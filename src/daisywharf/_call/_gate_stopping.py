"""Keep a stopping gate up until its calls are answered and callers could request lost answers."""

import threading
from collections.abc import Callable
from typing import Final

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._outcomes._stopping import (
    LeaveFleet,
    StoppingState,
    accept_call,
    drop_call,
    record_answered,
    start_call,
    start_stopping,
    stopping_tick,
)
from daisywharf._overload._admission import CallId

# The caller of a draining target can try another target at once.
RETRY_AFTER_S: Final = 0.1


class GateStopping:
    """Hold the calls that a gate has accepted, and the lock that guards them."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.state = StoppingState(now=clock())


def accept(stopping: GateStopping, call_id: CallId, *, deadline: float) -> None:
    """Accept a call that arrives; raise `RequestError` (draining) once the gate stops."""
    with stopping.lock:
        refusal = accept_call(stopping.state, call_id, deadline=deadline)
    _raise_if(refusal, call_id)


def start(stopping: GateStopping, call_id: CallId) -> None:
    """Mark an admitted call as running; raise `RequestError` (draining, too late) if it must not.

    The deadline is checked again right before the run, since a paused process may resume after it.
    """
    with stopping.lock:
        refusal = start_call(stopping.state, call_id, now=stopping.clock())
    _raise_if(refusal, call_id)


def end_call(stopping: GateStopping, call_id: CallId, *, has_run_order: bool) -> None:
    """Record that a call was refused, or that its answer is ready.

    `has_run_order` is whether the call was an order and has run: its answer may be requested again.
    """
    with stopping.lock:
        drop_call(stopping.state, call_id)
        record_answered(stopping.state, call_id, now=stopping.clock(), is_order=has_run_order)


def begin_stopping(stopping: GateStopping) -> None:
    """Refuse every call that arrives from now on."""
    with stopping.lock:
        start_stopping(stopping.state, now=stopping.clock())


def may_leave(stopping: GateStopping) -> bool:
    """Return whether the process may exit without cutting off a call."""
    with stopping.lock:
        actions = stopping_tick(stopping.state, now=stopping.clock())
    return any(isinstance(action, LeaveFleet) for action in actions)


def _raise_if(refusal: ErrorKind | None, call_id: CallId) -> None:
    if refusal is not None:
        message = f"the gate did not run call {call_id.request_id}: {refusal.value}"
        raise RequestError(refusal, message, retry_after_s=RETRY_AFTER_S)
