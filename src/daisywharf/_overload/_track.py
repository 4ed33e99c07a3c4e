"""A level that moves in steps, and its lowest recent value."""

from typing import Final

from daisywharf._context import SUB_ORDERS
from daisywharf._overload._level import OPEN_LEVEL, Level

# Time that a level stays at the boundary of an importance.
BOUNDARY_PAUSE_S: Final = 0.02
# The lowest level is kept for periods of this length.
LOWEST_PERIOD_S: Final = 0.2


class LevelTrack:
    """Hold a level and its recent lowest values; times are in seconds.

    `lowest` is the lowest level since `lowest_since`, `lowest_before` that of the period before.
    """

    def __init__(self, *, now: float) -> None:
        self.level = OPEN_LEVEL
        self.paused_until = now
        self.lowest = OPEN_LEVEL
        self.lowest_before = OPEN_LEVEL
        self.lowest_since = now


def move_towards(track: LevelTrack, wanted: Level, *, now: float) -> None:
    """Move one step towards the wanted level, and pause at each boundary of an importance.

    The pause keeps partial refusals of two importances from overlapping in time.
    """
    if now < track.paused_until:
        return
    track.level = _step(track.level, wanted)
    if track.level.sub_order == 0:
        track.paused_until = now + BOUNDARY_PAUSE_S


def lowest_recent_level(track: LevelTrack, *, now: float) -> Level:
    """Return the lowest level of at least the last `LOWEST_PERIOD_S` and at most twice that."""
    if now - track.lowest_since >= LOWEST_PERIOD_S:
        track.lowest_before = track.lowest
        track.lowest = track.level
        track.lowest_since = now
    track.lowest = min(track.lowest, track.level)
    return min(track.lowest, track.lowest_before)


def raised_level(level: Level, rise: float) -> Level:
    """Return `level` raised by `rise` importances, at most the open level."""
    rank = level.importance + level.sub_order / SUB_ORDERS + rise
    importance = int(rank)
    if importance >= OPEN_LEVEL.importance:
        return OPEN_LEVEL
    return Level(importance, int((rank - importance) * SUB_ORDERS))


def _step(current: Level, wanted: Level) -> Level:
    if wanted.importance < current.importance:
        if current.sub_order > 0:
            return Level(current.importance, 0)
        return max(wanted, Level(current.importance - 1, 0))
    if wanted.importance > current.importance:
        return Level(current.importance + 1, 0)
    return wanted
