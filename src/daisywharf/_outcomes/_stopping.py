"""Shut a gate down gracefully: refuse new and queued calls, finish running ones, leave."""

from enum import Enum
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._outcomes._pause import PAUSE_LIMIT_S
from daisywharf._overload._admission import CallId

LINGER_S: Final = 3.0
FINISH_GRACE_S: Final = 5.0


class StoppingPhase(Enum):
    """Name the phases of a gate's life."""

    SERVING = "serving"
    DRAINING = "draining"
    LEFT = "left"


class Withdraw(msgspec.Struct, frozen=True):
    """Announce to the fleet that this target accepts no new work."""


class RefuseQueued(msgspec.Struct, frozen=True):
    """Answer a queued call at once with a refusal: it was not run."""

    call_id: CallId
    kind: ErrorKind


class LeaveFleet(msgspec.Struct, frozen=True):
    """Announce to the fleet that this process leaves, close its links and exit with status 0."""


StoppingAction = Withdraw | RefuseQueued | LeaveFleet


class StoppingState:
    """Hold the calls of one gate until they are answered.

    All times and deadlines are in seconds of the clock that gives `now`.
    """

    def __init__(self, *, now: float, linger_s: float = LINGER_S) -> None:
        self.linger_s = linger_s
        self.phase = StoppingPhase.SERVING
        self.queued_deadline_by_id: dict[CallId, float] = {}
        self.running_deadline_by_id: dict[CallId, float] = {}
        self.order_answered_at = float("-inf")
        self.ticked_at = now
        self.resumed_at = float("-inf")


def accept_call(state: StoppingState, call_id: CallId, *, deadline: float) -> ErrorKind | None:
    """Queue a call that arrives, or return why it is refused without a run."""
    if state.phase is not StoppingPhase.SERVING:
        return ErrorKind.DRAINING
    state.queued_deadline_by_id[call_id] = deadline
    return None


def start_call(state: StoppingState, call_id: CallId, *, now: float) -> ErrorKind | None:
    """Mark a queued call as running, or return why it must not run; call right before the run."""
    deadline = state.queued_deadline_by_id.pop(call_id, None)
    if deadline is None:
        return ErrorKind.DRAINING
    if deadline <= now:
        return ErrorKind.TOO_LATE
    state.running_deadline_by_id[call_id] = deadline
    return None


def drop_call(state: StoppingState, call_id: CallId) -> None:
    """Remove a queued call that was answered without a run."""
    state.queued_deadline_by_id.pop(call_id, None)


def record_answered(state: StoppingState, call_id: CallId, *, now: float, is_order: bool) -> None:
    """Record that a call's complete answer was written to its link.

    An order is a non-idempotent call; its answer keeps the gate up for `linger_s`.
    """
    state.running_deadline_by_id.pop(call_id, None)
    if is_order:
        state.order_answered_at = now


def start_stopping(state: StoppingState, *, now: float) -> list[StoppingAction]:
    """Stop accepting calls and return the actions, which refuse the queued calls.

    A second request changes nothing.
    """
    if state.phase is not StoppingPhase.SERVING:
        return []
    state.phase = StoppingPhase.DRAINING
    actions: list[StoppingAction] = [Withdraw()]
    actions.extend(
        RefuseQueued(call_id, ErrorKind.DRAINING) for call_id in state.queued_deadline_by_id
    )
    state.queued_deadline_by_id.clear()
    return actions


def stopping_tick(state: StoppingState, *, now: float) -> list[StoppingAction]:
    """Return the action to leave once nothing is in flight; call every 100 ms.

    The gate stays up for `linger_s` after the answer to an order (a non-idempotent call), so that
    a caller whose link lost the answer can request it again.
    """
    if now - state.ticked_at > PAUSE_LIMIT_S:
        # Calls did not run while the process was paused, so their grace period starts again.
        state.resumed_at = now
    state.ticked_at = now
    if state.phase is not StoppingPhase.DRAINING:
        return []
    ends = (max(end, state.resumed_at) for end in state.running_deadline_by_id.values())
    if any(now < end + FINISH_GRACE_S for end in ends):
        return []
    if now < state.order_answered_at + state.linger_s:
        return []
    state.phase = StoppingPhase.LEFT
    return [LeaveFleet()]
