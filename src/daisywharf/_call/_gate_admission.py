"""Admit calls at a gate, blocking the thread of a call that waits in the queue."""

import threading
from collections.abc import Callable, Iterable
from typing import Final

from daisywharf._context import RequestContext
from daisywharf._errors import RequestError
from daisywharf._overload._admission import (
    AdmissionAction,
    AdmissionState,
    Admit,
    CallId,
    Enqueue,
    Refuse,
    current_level,
    finish,
    offer,
    resume,
    start_draining,
    suspend,
    tick,
)
from daisywharf._overload._level import OPEN_LEVEL, Level

TICK_PERIOD_S: Final = 0.01


class PendingDecision:
    """Hold the decision for a call whose thread waits until it is made."""

    def __init__(self) -> None:
        self.is_made = threading.Event()
        self.decision: Admit | Refuse | None = None


class GateAdmission:
    """Hold a gate's admission state, its lock, and the calls that wait in the queue.

    `offered_calls` counts all calls offered so far and makes their `CallId` unique.
    """

    def __init__(self, state: AdmissionState, *, clock: Callable[[], float]) -> None:
        self.state = state
        self.clock = clock
        self.lock = threading.Lock()
        self.pending_by_id: dict[CallId, PendingDecision] = {}
        self.offered_calls = 0


def enter_gate(gate: GateAdmission, context: RequestContext) -> Admit:
    """Block until the call is admitted; raise `RequestError` as soon as it is refused."""
    with gate.lock:
        gate.offered_calls += 1
        call_id = CallId(context.request_id, gate.offered_calls)
        decision = _apply(gate, offer(gate.state, call_id, context, now=gate.clock()), call_id)
        if decision is None:
            pending = gate.pending_by_id[call_id] = PendingDecision()
    if decision is None:
        decision = _wait(gate, call_id, pending)
    if isinstance(decision, Refuse):
        message = f"the gate did not run request {context.request_id}: {decision.kind.value}"
        raise RequestError(decision.kind, message, retry_after_s=decision.retry_after_s)
    return decision


def leave_gate(gate: GateAdmission, call_id: CallId, *, succeeded: bool, below: Level) -> None:
    """Release the slot of a call that ended, and wake the calls that are admitted by this.

    `below` is the strictest shedding level that the call's own calls returned.
    """
    with gate.lock:
        now = gate.clock()
        level_below = None if below == OPEN_LEVEL else below
        _apply(
            gate, finish(gate.state, call_id, now=now, succeeded=succeeded, below=level_below), None
        )


def suspend_call(gate: GateAdmission, call_id: CallId) -> bool:
    """Free the slot of a call that waits for a call below it; return whether it was suspended.

    A suspended call still occupies a thread, so at most as many are suspended as there are slots.
    """
    with gate.lock:
        if len(gate.state.suspended_by_id) >= gate.state.slots:
            return False
        _apply(gate, suspend(gate.state, call_id, now=gate.clock()), None)
    return True


def resume_call(gate: GateAdmission, call_id: CallId) -> None:
    """Resume a suspended call at once, even if no slot is free."""
    with gate.lock:
        resume(gate.state, call_id, now=gate.clock())


def drain_gate(gate: GateAdmission) -> None:
    """Refuse all queued calls and all that arrive later."""
    with gate.lock:
        _apply(gate, start_draining(gate.state, now=gate.clock()), None)


def level_of_gate(gate: GateAdmission) -> Level:
    """Return the gate's own current shedding level, without those of calls below."""
    with gate.lock:
        return current_level(gate.state, now=gate.clock())


def _wait(gate: GateAdmission, call_id: CallId, pending: PendingDecision) -> Admit | Refuse:
    # The waiting threads drive the ticks, so an idle gate needs no timer.
    while not pending.is_made.wait(TICK_PERIOD_S):
        with gate.lock:
            _apply(gate, tick(gate.state, now=gate.clock()), None)
    assert pending.decision is not None
    return pending.decision


def _apply(
    gate: GateAdmission, actions: Iterable[AdmissionAction], own_id: CallId | None
) -> Admit | Refuse | None:
    """Deliver decisions to waiting calls; return the one for `own_id`, if there is one."""
    own_decision: Admit | Refuse | None = None
    for action in actions:
        if isinstance(action, Enqueue):
            continue
        if action.call_id == own_id:
            own_decision = action
        else:
            _deliver_decision(gate, action)
    return own_decision


def _deliver_decision(gate: GateAdmission, decision: Admit | Refuse) -> None:
    pending = gate.pending_by_id.pop(decision.call_id, None)
    if pending is not None:
        pending.decision = decision
        pending.is_made.set()
