"""A gate's slots: each call is started or refused exactly once, in any order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._ids import CallClassName, RequestId
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Enqueue, Refuse
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import (
    MAX_QUEUE_RATIO,
    SlotGate,
    arrive,
    change_slots,
    close_gate,
    expire,
    release,
    usable_slots,
    withdraw,
)


def _call(
    number: int, *, now: float, importance: Importance = Importance.NORMAL, patience_s: float = 1.0
) -> WaitingCall:
    call_id = CallId(RequestId(str(number)), 0)
    return WaitingCall(call_id, CallClassName("r"), importance, 0, 0, now + patience_s, now)


class GateMachine(RuleBasedStateMachine):
    """Drive a gate and track the state of each call."""

    calls = Bundle("calls")

    def __init__(self) -> None:
        super().__init__()
        self.gate = SlotGate(slots=5)
        self.now = 0.0
        self.number = 0
        self.waiting: set[CallId] = set()
        self.running: set[CallId] = set()
        self.ended: set[CallId] = set()

    def _apply_actions(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            call_id = action.call_id
            assert call_id not in self.ended
            if isinstance(action, Admit):
                assert call_id not in self.running
                assert not self.gate.is_closed
                self.waiting.discard(call_id)
                self.running.add(call_id)
            elif isinstance(action, Refuse):
                assert call_id not in self.running
                self.waiting.discard(call_id)
                self.ended.add(call_id)
            else:
                assert isinstance(action, Enqueue)

    @rule(target=calls, importance=st.sampled_from(Importance), patience_s=st.floats(0.0, 2.0))
    def call_arrives(self, importance: Importance, patience_s: float) -> CallId:
        self.number += 1
        call = _call(self.number, now=self.now, importance=importance, patience_s=patience_s)
        self.waiting.add(call.call_id)
        self._apply_actions(arrive(self.gate, call, now=self.now))
        return call.call_id

    @rule(call_id=calls)
    def run_ends(self, call_id: CallId) -> None:
        if call_id in self.running:
            self.running.discard(call_id)
            self.ended.add(call_id)
            self._apply_actions(release(self.gate, call_id, now=self.now))

    @rule(call_id=calls)
    def caller_abandons_a_waiting_call(self, call_id: CallId) -> None:
        if call_id in self.waiting:
            self.waiting.discard(call_id)
            self.ended.add(call_id)
            withdraw(self.gate, call_id)

    @rule(seconds=st.floats(0.0, 1.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self._apply_actions(expire(self.gate, now=self.now))

    @rule(slots=st.integers(1, 8))
    def slots_change(self, slots: int) -> None:
        if not self.gate.is_closed:
            self._apply_actions(change_slots(self.gate, slots, now=self.now))

    @rule()
    def target_drains(self) -> None:
        self._apply_actions(close_gate(self.gate))

    @invariant()
    def the_gate_holds_the_same_calls(self) -> None:
        assert self.gate.running == self.running
        assert set(self.gate.waiting_by_id) == self.waiting
        assert self.gate.queue.size == len(self.waiting)

    @invariant()
    def no_slot_is_free_while_calls_wait(self) -> None:
        if self.waiting:
            assert len(self.running) >= self.gate.limit


TestGate = GateMachine.TestCase
TestGate.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def _full_gate(slots: int = 10) -> SlotGate:
    gate = SlotGate(slots=slots)
    for number in range(gate.limit):
        arrive(gate, _call(number, now=0.0), now=0.0)
    return gate


def test_the_more_important_call_starts_first() -> None:
    gate = _full_gate()
    arrive(gate, _call(100, now=0.0), now=0.0)
    arrive(gate, _call(101, now=0.0, importance=Importance.CRITICAL), now=0.0)
    assert release(gate, CallId(RequestId("0"), 0), now=0.1) == [Admit(CallId(RequestId("101"), 0))]


def test_a_full_queue_refuses_the_least_important_call() -> None:
    gate = _full_gate()
    max_queue_size = int(gate.limit * MAX_QUEUE_RATIO)
    for number in range(max_queue_size):
        arrive(gate, _call(100 + number, now=0.0, importance=Importance.HIGH), now=0.0)
    refused = arrive(gate, _call(200, now=0.0, importance=Importance.LOW), now=0.0)
    assert refused == [Refuse(CallId(RequestId("200"), 0), ErrorKind.SHED, 0.0)]


def test_the_newest_starts_first_once_calls_wait_long() -> None:
    gate = _full_gate()
    arrive(gate, _call(100, now=0.0, patience_s=9.0), now=0.0)
    arrive(gate, _call(101, now=0.5, patience_s=9.0), now=0.5)
    assert release(gate, CallId(RequestId("0"), 0), now=0.5) == [Admit(CallId(RequestId("101"), 0))]


def test_a_fraction_of_the_slots_stays_free() -> None:
    assert usable_slots(43) == 40
    assert usable_slots(1) == 1
