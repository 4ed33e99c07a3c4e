"""The levels that a caller heard from the services it calls."""

from daisywharf._context import RequestContext
from daisywharf._ids import ServiceName
from daisywharf._overload._level import OPEN_LEVEL, Level

LEVEL_LIFETIME_S = 0.5


class LevelCache:
    """Hold the last level heard for each service, and when."""

    def __init__(self) -> None:
        self.level_by_service: dict[ServiceName, Level] = {}
        self.heard_by_service: dict[ServiceName, float] = {}


def note_level(cache: LevelCache, service: ServiceName, level: Level, *, now: float) -> None:
    """Keep a level that came back on an answer."""
    cache.level_by_service[service] = level
    cache.heard_by_service[service] = now


def kept_level(cache: LevelCache, service: ServiceName, *, now: float) -> Level:
    """Return the level to apply now; one that was heard long ago has faded."""
    if now - cache.heard_by_service.get(service, float("-inf")) > LEVEL_LIFETIME_S:
        return OPEN_LEVEL
    return cache.level_by_service[service]


def is_refused_early(
    cache: LevelCache, service: ServiceName, context: RequestContext, *, now: float
) -> bool:
    """Tell whether a service would refuse this request anyway; one let in already goes on."""
    if context.depth > 0:
        return False
    level = kept_level(cache, service, now=now)
    return level.refuses(context.importance, context.sub_order)
