"""The retry budget is conserved over whole trees of calls."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from builders_retries import CallTree, TreeRun, build_tree, run_tree
from daisywharf._routing._retries import RetryBudget, lend, spend_retry, take_back

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=200)


def forgiving_take_back(budget: RetryBudget, *, lent: int, unspent: int | None) -> None:
    """Treat a lost answer as if it had spent nothing: the mutation that the tests must catch."""
    budget.left += lent if unspent is None else unspent


def chain(depth: int) -> CallTree:
    return CallTree([chain(depth - 1)] if depth else [])


RATIOS = st.sampled_from([0.0, 0.1, 0.5, 1.0])


@FIXED
@given(
    rng=st.builds(Random, st.integers(0, 2**32)),
    retries=st.integers(0, 12),
    depth=st.integers(0, 6),
    failure_ratio=RATIOS,
    loss_ratio=RATIOS,
)
def test_no_tree_spends_more_retries_than_its_request_entered_with(
    rng: Random, retries: int, depth: int, failure_ratio: float, loss_ratio: float
) -> None:
    tree = build_tree(rng, depth, width=3)
    run = TreeRun(rng, failure_ratio, loss_ratio)
    run_tree(tree, retries, run)
    assert run.retries <= retries


def test_counting_a_lost_share_as_unspent_breaks_the_bound() -> None:
    worst = 0
    for seed in range(50):
        run = TreeRun(Random(seed), 0.5, 0.5, forgiving_take_back)
        run_tree(chain(6), 5, run)
        worst = max(worst, run.retries)
    assert worst > 5


def test_a_chain_27_deep_with_everything_failing_stays_within_its_contract() -> None:
    run = TreeRun(Random(1), 1.0, 0.3)
    run_tree(chain(27), 3, run)
    assert run.retries <= 3


@pytest.mark.parametrize(("left", "calls", "share"), [(3, 1, 2), (1, 1, 1), (2, 2, 1), (1, 2, 0)])
def test_a_share_leaves_the_holder_a_retry_if_each_call_gets_one(
    left: int, calls: int, share: int
) -> None:
    assert lend(RetryBudget(left), remaining_calls=calls) == share


def test_an_answer_can_t_give_back_more_than_was_lent() -> None:
    budget = RetryBudget(3)
    lent = lend(budget)
    take_back(budget, lent=lent, unspent=100)
    take_back(budget, lent=lent, unspent=lent)
    assert budget.left == 3


def test_an_empty_budget_allows_no_retry() -> None:
    budget = RetryBudget(1)
    assert spend_retry(budget)
    assert not spend_retry(budget)
