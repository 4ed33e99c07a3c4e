"""Orders run at most once over a network that loses, duplicates and reorders all messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from builders_outcomes import START, TARGETS, OrderWorld, truncate_answer
from daisywharf._outcomes import _call_events
from daisywharf._outcomes._once import RECORD_BYTES, RESERVED_ANSWER_BYTES

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=120, stateful_step_count=35
)
PICK = st.integers(0, 1_000)


class OrderMachine(RuleBasedStateMachine):
    """Drive the real state of attempts and gates through the faults that the rules define."""

    max_bytes = 2 * (RECORD_BYTES + RESERVED_ANSWER_BYTES)

    def __init__(self) -> None:
        super().__init__()
        self.world = OrderWorld(max_bytes=self.max_bytes)
        self.orders = 0

    @precondition(lambda self: self.orders < 4)
    @rule(is_keyed=st.booleans())
    def place(self, is_keyed: bool) -> None:
        if is_keyed:
            self.world.keyed.add(self.orders)
        self.world.place(self.orders)
        self.orders += 1

    @precondition(lambda self: self.world.messages)
    @rule(pick=PICK, is_shed=st.booleans())
    def message_arrives(self, pick: int, is_shed: bool) -> None:
        messages = self.world.messages
        self.world.arrive(messages[pick % len(messages)], is_shed=is_shed)

    @precondition(lambda self: self.world.replies)
    @rule(pick=PICK, is_cut=st.booleans(), elsewhere=st.booleans())
    def reply_arrives(self, pick: int, is_cut: bool, elsewhere: bool) -> None:
        reply = self.world.replies[pick % len(self.world.replies)]
        attempts = self.world.attempts
        attempt = attempts[pick % len(attempts)] if elsewhere else reply.attempt
        self.world.event(attempt, truncate_answer(reply.event) if is_cut else reply.event)

    @precondition(lambda self: self.world.attempts)
    @rule(
        pick=PICK,
        event=st.sampled_from(
            [
                _call_events.LinkBroke(),
                _call_events.LinkBroke(),
                _call_events.ResolveFailed(),
                _call_events.IncarnationGone(),
                _call_events.DeadlinePassed(),
                _call_events.CallerGone(),
            ]
        ),
    )
    def attempt_is_hurt(self, pick: int, event: _call_events.CallEvent) -> None:
        self.world.event(self.world.attempts[pick % len(self.world.attempts)], event)

    @rule(pick=PICK)
    def run_ends(self, pick: int) -> None:
        gate = self.world.gate_by_id[TARGETS[pick % len(TARGETS)]]
        if gate.running:
            self.world.finish(gate)

    @rule(seconds=st.sampled_from([0.1, 1.0, 12.0, 30.0]))
    def time_passes(self, seconds: float) -> None:
        self.world.pass_time(seconds)

    @rule(pick=PICK, offset=st.sampled_from([-40.0, -2.0, 2.0, 40.0]))
    def clock_is_set(self, pick: int, offset: float) -> None:
        self.world.gate_by_id[TARGETS[pick % len(TARGETS)]].clock_offset = offset

    @precondition(lambda self: self.world.now > START + 1)
    @rule(pick=PICK)
    def target_restarts(self, pick: int) -> None:
        self.world.restart(self.world.gate_by_id[TARGETS[pick % len(TARGETS)]])

    @invariant()
    def promises_hold(self) -> None:
        self.world.check()


def test_orders_run_at_most_once_and_end_once() -> None:
    run_state_machine_as_test(OrderMachine, settings=SETTINGS)
