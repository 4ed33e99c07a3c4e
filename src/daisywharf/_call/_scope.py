"""The request that the current thread works on, so that its calls belong to one call tree."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from daisywharf._context import Refusals, RequestContext
from daisywharf._overload._level import OPEN_LEVEL, Level, merge_levels
from daisywharf._routing._retries import RetryBudget


def _cannot_suspend() -> bool:
    return False


def _nothing_to_resume() -> None:
    return None


class Scope:
    """Hold a request's context, its retry budget, and the strictest level of its calls below.

    `refusals` are the refusal counts of its entry, which its calls below carry further.
    """

    def __init__(
        self,
        context: RequestContext,
        *,
        suspend_call: Callable[[], bool] = _cannot_suspend,
        resume_call: Callable[[], None] = _nothing_to_resume,
    ) -> None:
        self.context = context
        self.budget = RetryBudget(context.retries)
        self.level_below: Level = OPEN_LEVEL
        self.refusals: Refusals | None = context.refusals
        self.suspend_call = suspend_call
        self.resume_call = resume_call

    def record_level(self, level: Level) -> None:
        """Record a level that a call returned; the strictest is sent back with this answer."""
        self.level_below = merge_levels(self.level_below, level)


@contextmanager
def suspended(scope: Scope) -> Iterator[None]:
    """Suspend the call at its gate, which frees its slot, while it waits for a call below."""
    was_suspended = scope.suspend_call()
    try:
        yield
    finally:
        if was_suspended:
            scope.resume_call()


current_scope: ContextVar[Scope | None] = ContextVar("daisywharf_scope", default=None)
