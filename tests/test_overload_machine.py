"""Invariants of a gate in any order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from builders_overload import build_busy_level, build_context, build_gate, build_id
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Enqueue, Refuse
from daisywharf._overload._admission import (
    cancel,
    finish,
    offer,
    resume,
    start_draining,
    suspend,
    tick,
)

SLOTS = 3
TICK_S = 0.01


class GateMachine(RuleBasedStateMachine):
    """Drive a gate and track the state of each call."""

    def __init__(self) -> None:
        super().__init__()
        self.state = build_gate(SLOTS)
        self.now = 0.0
        self.calls = 0
        self.deadline_by_id: dict[CallId, float] = {}
        self.waiting: set[CallId] = set()
        self.running: set[CallId] = set()
        self.suspended: set[CallId] = set()
        self.ended: set[CallId] = set()

    def apply_actions(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            call_id = action.call_id
            assert call_id not in self.running | self.suspended | self.ended
            if isinstance(action, Enqueue):
                self.waiting.add(call_id)
                continue
            self.waiting.discard(call_id)
            if isinstance(action, Admit):
                assert self.now < self.deadline_by_id[call_id]
                self.running.add(call_id)
                # A resumed call may exceed the limit; a newly admitted one never does.
                assert len(self.running) <= SLOTS
            else:
                self.record_refusal(action)

    def record_refusal(self, refusal: Refuse) -> None:
        self.ended.add(refusal.call_id)
        assert refusal.retry_after_s >= 0.0
        assert refusal.kind in (ErrorKind.SHED, ErrorKind.TOO_LATE, ErrorKind.DRAINING)

    @rule(
        importance=st.sampled_from(Importance),
        time_left_s=st.floats(-0.1, 2.0),
        depth=st.integers(0, 2),
    )
    def offer(self, importance: Importance, time_left_s: float, depth: int) -> None:
        self.calls += 1
        call_id = build_id(self.calls)
        self.deadline_by_id[call_id] = self.now + time_left_s
        context = build_context(
            self.calls, importance, deadline=self.now + time_left_s, depth=depth
        )
        actions = offer(self.state, call_id, context, now=self.now)
        self.apply_actions(actions)
        assert call_id in self.waiting | self.running | self.ended

    @precondition(lambda self: self.running | self.suspended)
    @rule(data=st.data(), succeeded=st.booleans(), load=st.floats(0.0, 4.0), rank=st.floats(0, 4))
    def finish(self, data: st.DataObject, succeeded: bool, load: float, rank: float) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.running | self.suspended, key=_number)))
        self.running.discard(call_id)
        self.suspended.discard(call_id)
        self.ended.add(call_id)
        below = build_busy_level(load, rank=rank)
        self.apply_actions(
            finish(self.state, call_id, now=self.now, succeeded=succeeded, below=below)
        )

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def suspend(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.running, key=_number)))
        self.running.discard(call_id)
        self.suspended.add(call_id)
        self.apply_actions(suspend(self.state, call_id, now=self.now))

    @precondition(lambda self: self.suspended and len(self.running) < SLOTS)
    @rule(data=st.data())
    def resume(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.suspended, key=_number)))
        self.suspended.discard(call_id)
        self.running.add(call_id)
        resume(self.state, call_id, now=self.now)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.waiting, key=_number)))
        self.waiting.discard(call_id)
        self.ended.add(call_id)
        self.apply_actions(cancel(self.state, call_id, now=self.now))

    @rule(steps=st.integers(1, 60))
    def pass_time(self, steps: int) -> None:
        for _ in range(steps):
            self.now += TICK_S
            self.apply_actions(tick(self.state, now=self.now))
        assert all(self.deadline_by_id[call_id] > self.now for call_id in self.waiting)

    @rule()
    def drain(self) -> None:
        self.apply_actions(start_draining(self.state, now=self.now))
        assert not self.waiting

    @invariant()
    def the_gate_holds_the_same_calls(self) -> None:
        assert set(self.state.in_flight_by_id) == self.running
        assert set(self.state.suspended_by_id) == self.suspended
        assert set(self.state.waiting_by_id) == self.waiting

    @invariant()
    def windows_count_calls_in_flight(self) -> None:
        for window in self.state.window_by_service.values():
            assert 0 <= window.in_flight <= len(self.running) + len(self.suspended)
            assert window.size >= 1.0


def _number(call_id: CallId) -> int:
    return call_id.attempt


TestGate = GateMachine.TestCase
TestGate.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=40
)
