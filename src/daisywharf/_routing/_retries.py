"""Bound the retries of a whole request, and of a customer to a service."""

import msgspec

from daisywharf._ids import CustomerId, ServiceName


class RetryBudget(msgspec.Struct):
    """Hold the retries that one call may still spend in its whole subtree."""

    left: int


def spend_retry(budget: RetryBudget) -> bool:
    """Spend one retry, or tell that none is left."""
    if budget.left <= 0:
        return False
    budget.left -= 1
    return True


def lend(budget: RetryBudget, *, calls_to_come: int = 1) -> int:
    """Take a share for one of `calls_to_come` calls out of the budget and return it."""
    share = budget.left // max(1, calls_to_come)
    budget.left -= share
    return share


def take_back(budget: RetryBudget, *, lent: int, unspent: int | None) -> None:
    """Put back what an answer says is unspent; a lost answer (none) spends its whole share."""
    budget.left += 0 if unspent is None else min(max(unspent, 0), lent)


class RetryRatioKey(msgspec.Struct, frozen=True):
    """Name one customer's calls to one service."""

    customer: CustomerId
    service: ServiceName


class RetryRatio:
    """Hold how many retries each customer may make to each service beside its first calls."""

    def __init__(self, *, ratio: float = 0.1, most: float = 10.0) -> None:
        self.ratio = ratio
        self.most = most
        self.credit_by_key: dict[RetryRatioKey, float] = {}


def earn_retry(state: RetryRatio, key: RetryRatioKey) -> None:
    """Let a first call earn its part of a retry."""
    credit = state.credit_by_key.get(key, state.most)
    state.credit_by_key[key] = min(state.most, credit + state.ratio)


def may_retry(state: RetryRatio, key: RetryRatioKey) -> bool:
    """Spend one retry of the customer's ratio, or tell that there is none."""
    credit = state.credit_by_key.get(key, state.most)
    if credit < 1.0:
        return False
    state.credit_by_key[key] = credit - 1.0
    return True
