"""Bound the retries of a whole request, and of a customer to a service."""

from typing import Final

import msgspec

from daisywharf._ids import CustomerId, ServiceName

MAX_RATIO_KEYS: Final = 16_384


class RetryBudget(msgspec.Struct):
    """Hold the retries that one call may still spend in its whole subtree.

    `lent` is the part that calls under way hold; one thread at a time may use a budget.
    """

    left: int
    lent: int = 0


def spend_retry(budget: RetryBudget) -> bool:
    """Spend one retry, or tell that none is left."""
    if budget.left <= 0:
        return False
    budget.left -= 1
    return True


def lend(budget: RetryBudget, *, calls_to_come: int = 1) -> int:
    """Take a share for one of `calls_to_come` calls out of the budget and return it.

    The holder keeps one retry where each call still gets one, because a lost answer takes
    the whole share with it.
    """
    calls = max(1, calls_to_come)
    share = max((budget.left - 1) // calls, min(1, budget.left // calls))
    budget.left -= share
    budget.lent += share
    return share


def take_back(budget: RetryBudget, *, lent: int, unspent: int | None) -> None:
    """Settle one call's share, once; a lost answer (none) spends all of it."""
    settled = min(max(lent, 0), budget.lent)
    budget.lent -= settled
    budget.left += 0 if unspent is None else min(max(unspent, 0), settled)


class RetryRatioKey(msgspec.Struct, frozen=True):
    """Name one customer's calls to one service."""

    customer: CustomerId
    service: ServiceName


class RetryRatio:
    """Hold how many retries each customer may make to each service beside its first calls.

    A key starts with `most` retries. Past `max_keys` the key that was idle longest is dropped,
    and keys that come afterwards start with none, so that dropping never adds credit.
    """

    def __init__(
        self, *, ratio: float = 0.1, max_credit: float = 10.0, max_keys: int = MAX_RATIO_KEYS
    ) -> None:
        self.ratio = ratio
        self.max_credit = max_credit
        self.max_keys = max(1, max_keys)
        self.first_credit = max_credit
        self.credit_by_key: dict[RetryRatioKey, float] = {}


def earn_retry(state: RetryRatio, key: RetryRatioKey, *, succeeded: bool = True) -> None:
    """Let a first call that succeeded earn its part of a retry; call it when the call ends.

    Failed calls earn nothing. Otherwise each hop of a failing chain multiplies the attempts
    of the hop above it by (1 + ratio).
    """
    credit = _take_credit(state, key)
    earned = state.ratio if succeeded else 0.0
    _put_credit(state, key, min(state.max_credit, credit + earned))


def spend_earned_retry(state: RetryRatio, key: RetryRatioKey) -> bool:
    """Spend one retry of the customer's ratio, or tell that there is none."""
    credit = _take_credit(state, key)
    is_allowed = credit >= 1.0
    _put_credit(state, key, credit - 1.0 if is_allowed else credit)
    return is_allowed


def _take_credit(state: RetryRatio, key: RetryRatioKey) -> float:
    return state.credit_by_key.pop(key, state.first_credit)


def _put_credit(state: RetryRatio, key: RetryRatioKey, credit: float) -> None:
    # A dictionary keeps the order of insertion, so its first key was idle longest.
    if len(state.credit_by_key) >= state.max_keys:
        state.credit_by_key.pop(next(iter(state.credit_by_key)))
        state.first_credit = 0.0
    state.credit_by_key[key] = credit
