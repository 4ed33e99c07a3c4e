"""Keys and tickets name the target that may run them, and are valid for one customer only."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisywharf import ErrorKind, RequestError
from daisywharf._ids import CustomerId, IdempotencyKey, Incarnation, TargetId
from daisywharf._outcomes._keys import (
    CLAIM_RETENTION_S,
    KeyBinding,
    is_key_too_old,
    mint_key,
    scoped_key,
    ticket_of_minted_key,
)
from daisywharf._outcomes._ticket import (
    KEY_LIFETIME_S,
    MAX_CLOCK_SKEW_S,
    TicketKind,
    mint_ticket,
)

NOW = 1_800_000_000.0
SECRET = b"sixteen bytes or more"
COUNTER = CustomerId("counter")
BINDING = KeyBinding(COUNTER, TargetId("orders.1"), Incarnation(7))


def test_a_minted_key_names_its_incarnation_and_expiry() -> None:
    key = mint_key(BINDING, secret=SECRET, now=NOW, rng=Random(1))
    ticket = ticket_of_minted_key(key, customer=COUNTER, secret=SECRET)
    assert (ticket.target_id, ticket.incarnation) == (BINDING.target_id, BINDING.incarnation)
    assert ticket.expires_at == NOW + KEY_LIFETIME_S
    assert ticket.kind is TicketKind.CALLER_KEY


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(place=st.integers(0, 200), character=st.sampled_from("0123456789abcdefz.-"))
def test_a_changed_key_is_refused(place: int, character: str) -> None:
    key = mint_key(BINDING, secret=SECRET, now=NOW, rng=Random(1))
    place %= len(key)
    changed = IdempotencyKey(key[:place] + character + key[place + 1 :])
    if changed != key:
        with pytest.raises(RequestError, match="was not minted") as caught:
            ticket_of_minted_key(changed, customer=COUNTER, secret=SECRET)
        assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_another_customer_s_minted_key_is_refused() -> None:
    key = mint_key(BINDING, secret=SECRET, now=NOW, rng=Random(1))
    with pytest.raises(RequestError):
        ticket_of_minted_key(key, customer=CustomerId("skipper"), secret=SECRET)


def test_two_customers_never_share_a_key() -> None:
    assert scoped_key(CustomerId("a"), IdempotencyKey("bc")) != scoped_key(
        CustomerId("ab"), IdempotencyKey("c")
    )


def test_a_key_is_too_old_before_its_claim_can_be_gone() -> None:
    latest = CLAIM_RETENTION_S - KEY_LIFETIME_S - 3 * MAX_CLOCK_SKEW_S
    assert not is_key_too_old(created_at=NOW, now=NOW + latest)
    assert is_key_too_old(created_at=NOW, now=NOW + latest + 0.1)


def test_a_minted_ticket_is_for_one_use() -> None:
    ticket = mint_ticket(TargetId("orders-1"), Incarnation(7), deadline=NOW, rng=Random(1))
    assert ticket.kind is TicketKind.SINGLE_USE
