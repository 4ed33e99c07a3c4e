"""The request that the current thread works on, so that its calls belong to one call tree."""

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
    """Hold a request's context, its retry budget, and the strictest level of its calls below.

    `refusals` are the refusal counts of its entry, which its calls below carry further.
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
        """Record a level met below; the strictest one is sent back with this request's answer."""
        self.level_below = merge_levels(self.level_below, level)


@contextmanager
def lent_slot(scope: Scope) -> Iterator[None]:
    """Lend out the gate's slot while waiting for a call below."""
    was_lent = scope.lend_slot()
    try:
        yield
    finally:
        if was_lent:
            scope.reclaim_slot()


current_scope: ContextVar[Scope | None] = ContextVar("daisywharf_scope", default=None)
