"""Bound the retries of a whole request, and of a customer's calls to a service."""

from typing import Final

import msgspec

from daisywharf._ids import CustomerId, ServiceName

MAX_RATIO_KEYS: Final = 16_384


class RetryBudget(msgspec.Struct):
    """Hold the retries that one call may still spend in its whole subtree.

    `left` is the number available, `lent` the number held by calls in flight. Use a budget from one
    thread at a time.
    """

    left: int
    lent: int = 0


def spend_retry(budget: RetryBudget) -> bool:
    """Spend one retry and return True, or return False if none is left."""
    if budget.left <= 0:
        return False
    budget.left -= 1
    return True


def lend(budget: RetryBudget, *, remaining_calls: int = 1) -> int:
    """Lend a share of the budget to one of `remaining_calls` calls and return its size.

    The holder keeps one retry for itself if each call still gets one, because a lost answer costs
    the whole share.
    """
    calls = max(1, remaining_calls)
    share = max((budget.left - 1) // calls, min(1, budget.left // calls))
    budget.left -= share
    budget.lent += share
    return share


def take_back(budget: RetryBudget, *, lent: int, unspent: int | None) -> None:
    """Return the unspent retries of one call's share to the budget; call it once per share.

    `unspent` is None if the answer was lost; the whole share then counts as spent.
    """
    settled = min(max(lent, 0), budget.lent)
    budget.lent -= settled
    budget.left += 0 if unspent is None else min(max(unspent, 0), settled)


class RetryRatioKey(msgspec.Struct, frozen=True):
    """Identify one customer's calls to one service."""

    customer: CustomerId
    service: ServiceName


class RetryRatio:
    """Hold the retry credit of each customer's calls to each service.

    A key starts with `max_credit` retries, and each first attempt that succeeds adds `ratio`.
    Beyond `max_keys` keys the longest idle key is dropped, and later keys start with no credit, so
    that dropping a key never adds credit.
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
    """Add `ratio` of a retry if a call's first attempt succeeded; call this when the call ends.

    Failed calls earn nothing: otherwise each hop of a failing chain would multiply the attempts of
    the hop above it by (1 + ratio).
    """
    credit = _take_credit(state, key)
    earned = state.ratio if succeeded else 0.0
    _put_credit(state, key, min(state.max_credit, credit + earned))


def spend_earned_retry(state: RetryRatio, key: RetryRatioKey) -> bool:
    """Spend one earned retry and return True, or return False if the key has less than one."""
    credit = _take_credit(state, key)
    is_allowed = credit >= 1.0
    _put_credit(state, key, credit - 1.0 if is_allowed else credit)
    return is_allowed


def _take_credit(state: RetryRatio, key: RetryRatioKey) -> float:
    return state.credit_by_key.pop(key, state.first_credit)


def _put_credit(state: RetryRatio, key: RetryRatioKey, credit: float) -> None:
    # A dictionary keeps the order of insertion, so its first key has been idle longest.
    if len(state.credit_by_key) >= state.max_keys:
        state.credit_by_key.pop(next(iter(state.credit_by_key)))
        state.first_credit = 0.0
    state.credit_by_key[key] = credit
