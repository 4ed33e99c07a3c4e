"""Orders run at most once over a network that loses, repeats and reorders everything."""

from collections.abc import Callable
from typing import Any

import msgspec
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

from builders_outcomes import START, TARGETS, OrderWorld, answer_of, cut
from daisywharf._errors import ErrorKind
from daisywharf._outcomes import _once, _resolution
from daisywharf._outcomes._once import RECORD_BYTES, RESERVED_ANSWER_BYTES

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=120, stateful_step_count=35
)
PICK = st.integers(0, 1_000)


class OrderMachine(RuleBasedStateMachine):
    """Drive the attempts' and the gates' real state by every fault that a rule names."""

    max_bytes = 2 * (RECORD_BYTES + RESERVED_ANSWER_BYTES)

    def __init__(self) -> None:
        super().__init__()
        self.world = OrderWorld(max_bytes=self.max_bytes)
        self.orders = 0

    @precondition(lambda self: self.orders < 4)
    @rule()
    def place(self) -> None:
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
        self.world.event(attempt, cut(reply.event) if is_cut else reply.event)

    @precondition(lambda self: self.world.attempts)
    @rule(
        pick=PICK,
        event=st.sampled_from(
            [
                _resolution.LinkBroke(),
                _resolution.LinkBroke(),
                _resolution.ResolveFailed(),
                _resolution.IncarnationGone(),
                _resolution.DeadlinePassed(),
                _resolution.CallerGone(),
            ]
        ),
    )
    def attempt_is_hurt(self, pick: int, event: _resolution.CallEvent) -> None:
        self.world.event(self.world.attempts[pick % len(self.world.attempts)], event)

    @rule(pick=PICK)
    def run_ends(self, pick: int) -> None:
        gate = self.world.gate_by_id[TARGETS[pick % len(TARGETS)]]
        if gate.running:
            self.world.finish(gate)

    @rule(seconds=st.sampled_from([0.1, 1.0, 12.0, 30.0]))
    def time_passes(self, seconds: float) -> None:
        self.world.now += seconds
        for gate in self.world.gate_by_id.values():
            _once.tick(gate.records, now=self.world.now + gate.clock_offset)

    @rule(pick=PICK, offset=st.sampled_from([-40.0, -2.0, 2.0, 40.0]))
    def clock_is_set(self, pick: int, offset: float) -> None:
        self.world.gate_by_id[TARGETS[pick % len(TARGETS)]].clock_offset = offset

    @precondition(lambda self: self.world.now > START + 1)
    @rule(pick=PICK)
    def target_restarts(self, pick: int) -> None:
        self.world.restart(self.world.gate_by_id[TARGETS[pick % len(TARGETS)]])

    @invariant()
    def no_order_runs_twice(self) -> None:
        assert all(runs <= 1 for runs in self.world.runs_by_order.values())

    @invariant()
    def what_was_said_not_to_run_did_not(self) -> None:
        assert not [order for order in self.world.not_run if self.world.runs_by_order[order]]

    @invariant()
    def answers_are_whole_and_the_order_s_own(self) -> None:
        assert all(answer == answer_of(order) for order, answer in self.world.delivered)

    @invariant()
    def an_order_ends_once(self) -> None:
        assert all(ends <= 1 for ends in self.world.ends_by_order.values())

    @invariant()
    def records_stay_within_their_bytes(self) -> None:
        for gate in self.world.gate_by_id.values():
            assert gate.records.kept_bytes <= gate.max_bytes


def test_orders_run_at_most_once_and_end_once() -> None:
    run_state_machine_as_test(OrderMachine, settings=SETTINGS)


def _forget_on_release(records: Any, key: Any, *, now: float) -> None:
    records.kept_bytes -= records.record_by_key.pop(key).kept_bytes


def _resolve_without_burning(records: Any, ticket: Any, *, now: float) -> Any:
    if ticket.key in records.record_by_key:
        return _once._repeat(records.record_by_key[ticket.key], b"")
    if ticket.incarnation != records.incarnation:
        return _once.RefuseRun(ErrorKind.WRONG_INCARNATION)
    return _once.RefuseRun(ErrorKind.TICKET_BURNT)


def _begin_with_relative_expiry(begin: Any) -> Any:
    def mutant(records: Any, ticket: Any, *, now: float) -> Any:
        return begin(records, msgspec.structs.replace(ticket, expires_at=now + 16.0), now=now)

    return mutant


def _begin_at_any_incarnation(begin: Any) -> Any:
    def mutant(records: Any, ticket: Any, *, now: float) -> Any:
        own = msgspec.structs.replace(ticket, incarnation=records.incarnation)
        return begin(records, own, now=now)

    return mutant


def _begin_forgets_when_full(begin: Any) -> Any:
    def mutant(records: Any, ticket: Any, *, now: float) -> Any:
        if records.kept_bytes + RECORD_BYTES + RESERVED_ANSWER_BYTES > records.max_bytes:
            records.record_by_key.clear()
            records.kept_bytes = 0
        return begin(records, ticket, now=now)

    return mutant


def _retry(state: Any, *_rest: Any) -> Any:
    return _resolution._end(state, _resolution.RetryElsewhere(ErrorKind.CONNECT_FAILED))


def _deliver(state: Any, event: Any) -> Any:
    return _resolution._end(state, _resolution.Deliver(event.answer))


MUTATIONS: dict[str, tuple[Any, str, Callable[[Any], Any]]] = {
    "a refused key is forgotten": (_once, "release", lambda _: _forget_on_release),
    "a resolve does not burn": (_once, "resolve", lambda _: _resolve_without_burning),
    "expiry counts from arrival": (_once, "begin", _begin_with_relative_expiry),
    "any incarnation may run": (_once, "begin", _begin_at_any_incarnation),
    "full records forget": (_once, "begin", _begin_forgets_when_full),
    "full records do not burn": (_once, "_burn_without_record", lambda _: lambda *_a: None),
    "the gate's clock goes back": (_once, "_advance", lambda _: lambda _records, now: now),
    "records lapse at once": (_once, "_is_lapsed", lambda _: lambda *_a, now: True),
    "a lost answer is retried elsewhere": (_resolution, "_start_resolving", lambda _: _retry),
    "a gone target is retried elsewhere": (_resolution, "_gone", lambda _: _retry),
    "answers match by position": (_resolution, "_is_mine", lambda _: lambda *_a: True),
    "a cut answer is delivered": (_resolution, "_answered", lambda _: _deliver),
    "an attempt ends twice": (_resolution, "_end", lambda _: lambda _state, action: [action]),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_broken_protection_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, attribute, mutate = MUTATIONS[name]
    monkeypatch.setattr(module, attribute, mutate(getattr(module, attribute)))
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(
            OrderMachine, settings=settings(SETTINGS, max_examples=600, phases=[Phase.generate])
        )
