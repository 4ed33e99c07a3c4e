"""The shedding level that a gate sets and that callers keep for a short while."""

import math
from typing import Final

import msgspec

from daisywharf._context import SUB_ORDERS
from daisywharf._contract import Importance
from daisywharf._ids import ServiceName
from daisywharf._limits import MAX_NAME_CHARS

MAX_LOAD: Final = 100.0


class Level(msgspec.Struct, frozen=True, order=True):
    """Refuse every call whose (importance, sub-order) is at or above this pair.

    `load` is the occupancy (calls running and waiting, over the limit) of the most loaded gate
    on the way, and `service` the service of that gate.
    """

    importance: int
    sub_order: int
    load: float = 0.0
    service: ServiceName = ServiceName("")

    def refuses(self, importance: Importance, sub_order: int) -> bool:
        """Tell whether a call of this importance and sub-order is shed."""
        return (importance, sub_order) >= (self.importance, self.sub_order)

    def to_header(self) -> str:
        """Write the level as a header value."""
        text = f"{self.importance}.{self.sub_order}"
        return f"{text};{self.load:.3f};{self.service}" if self.service else text


OPEN_LEVEL = Level(importance=len(Importance), sub_order=0)


def level_from_header(text: str | None) -> Level:
    """Read a level; what is missing or malformed is an open level without a load."""
    pair, _, rest = (text or "").partition(";")
    importance, _, sub_order = pair.partition(".")
    if not (_is_short_number(importance) and _is_short_number(sub_order)):
        return OPEN_LEVEL
    load, _, service = rest.partition(";")
    return Level(
        min(int(importance), OPEN_LEVEL.importance),
        min(int(sub_order), SUB_ORDERS),
        _load_from(load),
        ServiceName(service[:MAX_NAME_CHARS]),
    )


def merge_levels(own: Level, below: Level | None) -> Level:
    """Return the stricter pair and the larger load of a gate's level and one from further down."""
    if below is None:
        return own
    stricter = min((own.importance, own.sub_order), (below.importance, below.sub_order))
    busier = own if own.load >= below.load else below
    return Level(*stricter, busier.load, busier.service)


def _is_short_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= 8


def _load_from(text: str) -> float:
    try:
        load = float(text)
    except ValueError:
        return 0.0
    return min(load, MAX_LOAD) if math.isfinite(load) and load > 0.0 else 0.0
