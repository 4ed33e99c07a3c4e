"""The request that the present thread works on, so that its further calls stay in one tree."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from daisywharf._context import Refusals, RequestContext
from daisywharf._overload._level import OPEN_LEVEL, Level, merge_levels
from daisywharf._routing._retries import RetryBudget


def _lend_no_slot() -> bool:
    return False


def _reclaim_no_slot() -> None:
    return None


class Scope:
    """Hold a request's context, its retries, and the strictest level met below it.

    `refusals` are those of its entry, which its calls below carry on.
    """

    def __init__(
        self,
        context: RequestContext,
        *,
        lend_slot: Callable[[], bool] = _lend_no_slot,
        reclaim_slot: Callable[[], None] = _reclaim_no_slot,
    ) -> None:
        self.context = context
        self.budget = RetryBudget(context.retries)
        self.level_below: Level = OPEN_LEVEL
        self.refusals: Refusals | None = context.refusals
        self.lend_slot = lend_slot
        self.reclaim_slot = reclaim_slot

    def record_level(self, level: Level) -> None:
        """Keep the strictest level, since the answer above carries it on."""
        self.level_below = merge_levels(self.level_below, level)


@contextmanager
def lent_slot(scope: Scope) -> Iterator[None]:
    """Lend out the gate's slot while a call below is awaited."""
    was_lent = scope.lend_slot()
    try:
        yield
    finally:
        if was_lent:
            scope.reclaim_slot()


current_scope: ContextVar[Scope | None] = ContextVar("daisywharf_scope", default=None)
