"""The request that the present thread works on, so that its further calls stay in one tree."""

from contextvars import ContextVar

from daisywharf._context import RequestContext
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._routing._retries import RetryBudget


class Scope:
    """Hold a request's context, its retries, and the lowest level met below it."""

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.budget = RetryBudget(context.retries)
        self.lowest_level: Level = OPEN_LEVEL

    def note_level(self, level: Level) -> None:
        """Keep the lowest level, since the answer above carries it on."""
        self.lowest_level = min(self.lowest_level, level)


current_scope: ContextVar[Scope | None] = ContextVar("daisywharf_scope", default=None)
