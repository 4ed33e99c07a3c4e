"""The request that the present thread works on, so that its further calls stay in one tree."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from daisywharf._context import Refusals, RequestContext
from daisywharf._overload._level import OPEN_LEVEL, Level, merge_levels
from daisywharf._routing._retries import RetryBudget


def _lend_nothing() -> bool:
    return False


def _take_nothing_back() -> None:
    return None


class Scope:
    """Hold a request's context, its retries, and the strictest level met below it.

    `refusals` are those of its entry, which its calls below carry on.
    """

    def __init__(
        self,
        context: RequestContext,
        *,
        lend_slot: Callable[[], bool] = _lend_nothing,
        take_slot_back: Callable[[], None] = _take_nothing_back,
    ) -> None:
        self.context = context
        self.budget = RetryBudget(context.retries)
        self.level_below: Level = OPEN_LEVEL
        self.refusals: Refusals | None = context.refusals
        self.lend_slot = lend_slot
        self.take_slot_back = take_slot_back

    def note_level(self, level: Level) -> None:
        """Keep the strictest level, since the answer above carries it on."""
        self.level_below = merge_levels(self.level_below, level)


@contextmanager
def waiting_below(scope: Scope) -> Iterator[None]:
    """Lend out the gate's slot while a call below is awaited."""
    was_lent = scope.lend_slot()
    try:
        yield
    finally:
        if was_lent:
            scope.take_slot_back()


current_scope: ContextVar[Scope | None] = ContextVar("daisywharf_scope", default=None)
