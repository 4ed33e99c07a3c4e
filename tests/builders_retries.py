"""Build random trees of calls and run them with the real retry budget."""

from collections.abc import Callable
from random import Random

import msgspec

from daisywharf._routing._retries import RetryBudget, lend, spend_retry, take_back


class CallTree(msgspec.Struct):
    """Describe a service by the calls that it makes for one request."""

    children: list["CallTree"] = msgspec.field(default_factory=list)


class TreeRun(msgspec.Struct):
    """Hold the failure rates (0 to 1) of one request's run, and the retries it made."""

    rng: Random
    failure_ratio: float
    loss_ratio: float
    take_back: Callable[..., None] = take_back
    retries: int = 0


class Reply(msgspec.Struct):
    """Hold a caller's result of one attempt; `unspent` is None if the answer was lost."""

    succeeded: bool
    unspent: int | None


def build_tree(rng: Random, depth: int, width: int) -> CallTree:
    """Build a tree at most `depth` deep whose services make at most `width` calls."""
    calls = rng.randint(0, width) if depth else 0
    return CallTree([build_tree(rng, depth - 1, width) for _ in range(calls)])


def run_tree(tree: CallTree, retries: int, run: TreeRun) -> bool:
    """Run a request over a tree and return whether it succeeded."""
    return _serve(tree, retries, run).succeeded


def _serve(tree: CallTree, share: int, run: TreeRun) -> Reply:
    budget = RetryBudget(share)
    succeeded = run.rng.random() >= run.failure_ratio
    open_calls = []
    for index, child in enumerate(tree.children):
        lent = lend(budget, remaining_calls=len(tree.children) - index)
        open_calls.append((child, lent))
    # Answers of parallel calls arrive in any order.
    run.rng.shuffle(open_calls)
    for child, lent in open_calls:
        succeeded &= _call(child, lent, budget, run)
    return Reply(succeeded, budget.left)


def _call(child: CallTree, lent: int, budget: RetryBudget, run: TreeRun) -> bool:
    while True:
        reply = _attempt(child, lent, run)
        run.take_back(budget, lent=lent, unspent=reply.unspent)
        if reply.succeeded:
            return True
        if not spend_retry(budget):
            return False
        run.retries += 1
        lent = lend(budget)


def _attempt(child: CallTree, lent: int, run: TreeRun) -> Reply:
    if run.rng.random() < run.loss_ratio:
        if run.rng.random() < 0.5:
            _serve(child, lent, run)
        return Reply(succeeded=False, unspent=None)
    return _serve(child, lent, run)
