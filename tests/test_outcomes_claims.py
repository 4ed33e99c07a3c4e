"""All attempts under one key go to one incarnation, whichever platform answers are lost."""

from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from daisywharf._errors import ErrorKind
from daisywharf._ids import EditId, IdempotencyKey, Incarnation, TargetId, Version
from daisywharf._objects._interface import ObjectKind, PlatformObject
from daisywharf._outcomes import _claim
from daisywharf._outcomes._claim import Claim, ClaimState, CreateClaim, ReadClaim
from daisywharf._outcomes._keys import CLAIM_RETENTION_S, is_key_too_old
from daisywharf._outcomes._ticket import KEY_LIFETIME_S, MAX_CLOCK_SKEW_S, Ticket

NOW = 1_800_000_000.0
KEY = IdempotencyKey("k.1")
SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=150, stateful_step_count=25
)


class ClaimMachine(RuleBasedStateMachine):
    """Entries of several zones claim one key at a platform that loses answers."""

    def __init__(self) -> None:
        super().__init__()
        self.stored: Claim | None = None
        self.states: list[ClaimState] = []
        self.to_do: list[tuple[ClaimState, CreateClaim | ReadClaim]] = []
        self.late: list[CreateClaim] = []
        self.tickets: set[Ticket] = set()
        self.refused: set[EditId] = set()
        self.sent: set[EditId] = set()
        self.first_uses = 0

    @precondition(lambda self: len(self.states) < 4)
    @rule()
    def attempt_starts(self) -> None:
        number = len(self.states)
        state = ClaimState(
            KEY,
            target_id=TargetId(f"orders-{number}"),
            incarnation=Incarnation(1),
            edit_id=EditId(f"e{number}"),
            now=NOW,
        )
        self.states.append(state)
        self._step(state, _claim.ClaimStarted())

    @precondition(lambda self: self.to_do)
    @rule(
        pick=st.integers(0, 9),
        fate=st.sampled_from(["done", "done", "lost after", "lost before", "late", "down"]),
    )
    def platform_acts(self, pick: int, fate: str) -> None:
        state, action = self.to_do.pop(pick % len(self.to_do))
        if fate == "down":
            self._step(state, _claim.PlatformDown())
        elif isinstance(action, ReadClaim):
            self._step(state, _claim.ClaimRead(self.stored))
        elif fate == "done":
            is_new = self._put(action)
            self._step(state, _claim.ClaimCreated() if is_new else _claim.ClaimExists())
        else:
            if fate == "lost after":
                self._put(action)
            if fate == "late":
                self.late.append(action)
            self._step(state, _claim.ClaimOutcomeUnknown())

    @precondition(lambda self: self.late)
    @rule()
    def late_create_lands(self) -> None:
        self._put(self.late.pop())

    @precondition(lambda self: self.states)
    @rule(pick=st.integers(0, 9))
    def deadline_passes(self, pick: int) -> None:
        self._step(self.states[pick % len(self.states)], _claim.ClaimDeadlinePassed())

    @invariant()
    def one_ticket_and_one_first_use(self) -> None:
        assert len(self.tickets) <= 1
        assert self.first_uses <= 1

    @invariant()
    def a_refused_attempt_sent_nothing(self) -> None:
        assert not self.refused & self.sent

    def _put(self, action: CreateClaim) -> bool:
        if self.stored is not None:
            return False
        self.stored = Claim(action.body, action.edit_id)
        return True

    def _step(self, state: ClaimState, event: _claim.ClaimEvent) -> None:
        for action in _claim.claim_step(state, event, now=NOW):
            if isinstance(action, _claim.SendUnderClaim):
                self.tickets.add(action.ticket)
                self.sent.add(state.edit_id)
                self.first_uses += action.is_first_use
            elif isinstance(action, _claim.RefuseClaim):
                self.refused.add(state.edit_id)
            else:
                self.to_do.append((state, action))


def test_a_key_goes_to_one_incarnation() -> None:
    run_state_machine_as_test(ClaimMachine, settings=SETTINGS)


def _send_own(state: Any, *_rest: Any, **_now: Any) -> Any:
    state.phase = _claim.ClaimPhase.NEW
    return _claim._send(state, Claim(state.body, state.edit_id), now=NOW)


def _send_when_nothing_is_read(read: Any) -> Any:
    def mutant(state: Any, event: Any, *, now: float) -> Any:
        is_none = isinstance(event, _claim.ClaimRead) and event.claim is None
        return _send_own(state) if is_none else read(state, event, now=now)

    return mutant


MUTATIONS: dict[str, tuple[str, Any]] = {
    "goes on without the platform": ("_refuse", lambda _: _send_own),
    "takes a lost create or a conflict for its own claim": ("_after_create", lambda _: _send_own),
    "takes a missing claim for leave to run": ("_after_read", _send_when_nothing_is_read),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_broken_claim_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    attribute, mutate = MUTATIONS[name]
    monkeypatch.setattr(_claim, attribute, mutate(getattr(_claim, attribute)))
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(
            ClaimMachine, settings=settings(SETTINGS, phases=[Phase.generate], max_examples=400)
        )


CLOCKS = st.tuples(*[st.floats(-MAX_CLOCK_SKEW_S / 2, MAX_CLOCK_SKEW_S / 2)] * 4)


def _accepted_keys_find_their_claim(margin_s: float = 0.0) -> None:
    @settings(SETTINGS, max_examples=300)
    @given(clocks=CLOCKS, age_s=st.floats(0.0, 2 * CLAIM_RETENTION_S), at_edge=st.booleans())
    def judge(clocks: tuple[float, ...], age_s: float, at_edge: bool) -> None:
        caller, first_entry, second_entry, sweeper = clocks
        created_at = NOW + caller
        expires_at = NOW + first_entry + KEY_LIFETIME_S
        latest_s = CLAIM_RETENTION_S - KEY_LIFETIME_S - 3 * MAX_CLOCK_SKEW_S + margin_s
        checked_at = NOW + (latest_s + caller - second_entry if at_edge else age_s)
        now = checked_at + second_entry - margin_s
        if not is_key_too_old(created_at=created_at, now=now):
            # An entry paused after the check can use the claim until its new ticket expires.
            body = b'{"target_id":"a","incarnation":1,"expires_at":%f}' % expires_at
            claim = PlatformObject(ObjectKind.CLAIM, KEY, Version(1), EditId("e"), body)
            used_until = checked_at + KEY_LIFETIME_S
            assert _claim.deletable_claims([claim], now=used_until + sweeper) == []

    judge()


def test_an_accepted_key_finds_its_claim_while_clocks_are_within_the_bound() -> None:
    _accepted_keys_find_their_claim()


def test_a_key_that_is_accepted_too_late_is_caught() -> None:
    with pytest.raises(AssertionError):
        _accepted_keys_find_their_claim(margin_s=KEY_LIFETIME_S + 4 * MAX_CLOCK_SKEW_S)


def test_an_unreachable_platform_refuses_and_says_that_the_claim_is_missing() -> None:
    state = ClaimState(
        KEY, target_id=TargetId("a"), incarnation=Incarnation(1), edit_id=EditId("e"), now=NOW
    )
    _claim.claim_step(state, _claim.ClaimStarted(), now=NOW)
    actions = _claim.claim_step(state, _claim.PlatformDown(), now=NOW)
    assert actions == [_claim.RefuseClaim(ErrorKind.CLAIM_UNAVAILABLE)]


def test_a_claim_is_deleted_only_after_every_key_that_could_use_it() -> None:
    body = b'{"target_id":"a","incarnation":1,"expires_at":%d}' % (NOW + KEY_LIFETIME_S)
    claim = PlatformObject(ObjectKind.CLAIM, KEY, Version(1), EditId("e"), body)
    kept_until = NOW + _claim.CLAIM_RETENTION_S + MAX_CLOCK_SKEW_S
    assert _claim.deletable_claims([claim], now=kept_until) == []
    assert _claim.deletable_claims([claim], now=kept_until + 1.0) == [claim]
