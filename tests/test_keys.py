"""Caller-supplied keys and minted keys, through two daemons."""

import pytest

from small_fleet import ORDERER, SmallFleet

pytestmark = pytest.mark.processes


def test_a_caller_supplied_key_repeated_through_another_vm_gets_the_first_answer(
    small_fleet: SmallFleet,
) -> None:
    first = small_fleet.order(small_fleet.first, Idempotency_Key="own-1")
    again = small_fleet.order(small_fleet.second, Idempotency_Key="own-1")
    assert first.status == again.status == 200
    assert first.document == again.document
    other = small_fleet.order(small_fleet.second, Idempotency_Key="own-2")
    assert other.document["ran"] > first.document["ran"]


def test_a_minted_key_repeated_through_another_vm_gets_the_first_answer(
    small_fleet: SmallFleet,
) -> None:
    minted = small_fleet.order(small_fleet.first, path="/keys/orders")
    key = minted.document["key"]
    first = small_fleet.order(small_fleet.second, Idempotency_Key=key)
    again = small_fleet.order(small_fleet.first, Idempotency_Key=key)
    assert first.status == again.status == 200, (first, again)
    assert first.document == again.document


def test_a_forged_key_is_a_bad_request(small_fleet: SmallFleet) -> None:
    key = small_fleet.order(small_fleet.first, path="/keys/orders").document["key"]
    forged = key[:-1] + ("0" if key[-1] != "0" else "1")
    answered = small_fleet.order(small_fleet.first, Idempotency_Key=forged)
    assert (answered.status, answered.kind) == (400, "bad-request")


def test_a_key_with_another_content_is_refused(small_fleet: SmallFleet) -> None:
    assert small_fleet.order(small_fleet.first, Idempotency_Key="own-3").status == 200
    other = small_fleet.order(
        small_fleet.first, path="/call/orders/another", Idempotency_Key="own-3"
    )
    assert (other.status, other.kind) == (400, "bad-request")


def test_an_order_can_be_looked_up_by_its_key(small_fleet: SmallFleet) -> None:
    def state_of(key: str) -> str:
        path = f"/orders/{key}?customer={ORDERER}"
        state: str = small_fleet.send_request(small_fleet.second, "GET", path).document["state"]
        return state

    assert state_of("own-4") == "never-claimed"
    minted = small_fleet.order(small_fleet.first, path="/keys/orders").document["key"]
    assert state_of(minted) == "not-run-yet"
    assert small_fleet.order(small_fleet.first, Idempotency_Key="own-4").status == 200
    assert state_of("own-4") == "done"
    assert small_fleet.order(small_fleet.first, Idempotency_Key=minted).status == 200
    assert state_of(minted) == "done"
