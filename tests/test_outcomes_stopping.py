"""A stopping gate cuts off no call, starts none, and answers every call once."""

from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from daisywharf._ids import RequestId
from daisywharf._outcomes import _stopping
from daisywharf._outcomes._pause import PAUSE_LIMIT_S
from daisywharf._outcomes._stopping import (
    FINISH_GRACE_S,
    LeaveFleet,
    RefuseQueued,
    StoppingPhase,
    StoppingState,
    Withdraw,
)
from daisywharf._overload._admission import CallId

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=150, stateful_step_count=30
)
DEADLINE_S = 4.0


class StoppingMachine(RuleBasedStateMachine):
    """Stop a gate at any point of its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.state = StoppingState(now=0.0)
        self.now = 0.0
        self.calls = 0
        self.is_stopping = False
        self.has_left = False
        self.queued: dict[CallId, float] = {}
        self.running: dict[CallId, float] = {}
        self.order_answered_at = float("-inf")
        self.resumed_at = 0.0

    @rule()
    def call_arrives(self) -> None:
        self.calls += 1
        call_id = CallId(RequestId("r"), self.calls)
        deadline = self.now + DEADLINE_S
        refusal = _stopping.accept_call(self.state, call_id, deadline=deadline)
        assert (refusal is not None) == self.is_stopping
        if refusal is None:
            self.queued[call_id] = deadline

    @precondition(lambda self: self.queued)
    @rule()
    def call_starts(self) -> None:
        call_id, deadline = next(iter(self.queued.items()))
        refusal = _stopping.start_call(self.state, call_id, now=self.now)
        del self.queued[call_id]
        assert (refusal is None) == (self.now < deadline)
        if refusal is None:
            self.running[call_id] = deadline

    @precondition(lambda self: self.running)
    @rule()
    def call_is_answered(self) -> None:
        call_id = next(iter(self.running))
        del self.running[call_id]
        self.order_answered_at = self.now
        _stopping.record_answered(self.state, call_id, now=self.now, is_order=True)

    @rule()
    def stop_is_asked(self) -> None:
        actions = _stopping.start_stopping(self.state, now=self.now)
        assert (Withdraw() in actions) != self.is_stopping
        refused_ids = {action.call_id for action in actions if isinstance(action, RefuseQueued)}
        assert refused_ids == set(self.queued)
        self.is_stopping = True
        self.queued.clear()

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.5, 10.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        if seconds > PAUSE_LIMIT_S:
            self.resumed_at = self.now
        actions = _stopping.stopping_tick(self.state, now=self.now)
        if LeaveFleet() in actions:
            assert self.is_stopping and not self.has_left
            ends = [max(deadline, self.resumed_at) for deadline in self.running.values()]
            assert all(self.now >= end + FINISH_GRACE_S for end in ends)
            assert self.now >= self.order_answered_at + self.state.linger_s
            self.has_left = True

    @invariant()
    def an_idle_gate_that_was_told_leaves(self) -> None:
        is_due = self.is_stopping and not self.running
        if is_due and self.now >= self.order_answered_at + self.state.linger_s + 60.0:
            _stopping.stopping_tick(self.state, now=self.now)
            assert self.state.phase is StoppingPhase.LEFT


def test_a_stopping_gate_cuts_off_nothing() -> None:
    run_state_machine_as_test(StoppingMachine, settings=SETTINGS)


def _leave_at_once(state: Any, *, now: float) -> Any:
    state.phase = StoppingPhase.LEFT
    return [LeaveFleet()]


def _refuse_nothing_queued(start_stopping: Any) -> Any:
    def mutant(state: Any, *, now: float) -> Any:
        actions = start_stopping(state, now=now)
        return [action for action in actions if not isinstance(action, RefuseQueued)]

    return mutant


def _accept_all(state: Any, call_id: CallId, *, deadline: float) -> None:
    state.queued_deadline_by_id[call_id] = deadline


def _start_late(state: Any, call_id: CallId, *, now: float) -> None:
    state.running_deadline_by_id[call_id] = state.queued_deadline_by_id.pop(call_id)


MUTATIONS: dict[str, tuple[str, Any]] = {
    "leaves with calls in flight": ("stopping_tick", lambda _: _leave_at_once),
    "hands nothing back": ("start_stopping", _refuse_nothing_queued),
    "takes calls while it drains": ("accept_call", lambda _: _accept_all),
    "starts calls past their deadline": ("start_call", lambda _: _start_late),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_broken_stop_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    attribute, mutate = MUTATIONS[name]
    monkeypatch.setattr(_stopping, attribute, mutate(getattr(_stopping, attribute)))
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(
            StoppingMachine, settings=settings(SETTINGS, phases=[Phase.generate])
        )
