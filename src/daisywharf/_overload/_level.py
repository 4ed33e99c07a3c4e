"""The shedding level that a gate sets and that callers keep for a short while."""

import msgspec

from daisywharf._context import SUB_ORDERS
from daisywharf._contract import Importance


class Level(msgspec.Struct, frozen=True, order=True):
    """Refuse every call whose (importance, sub-order) is at or above this pair."""

    importance: int
    sub_order: int

    def refuses(self, importance: Importance, sub_order: int) -> bool:
        """Tell whether a call of this importance and sub-order is shed."""
        return (importance, sub_order) >= (self.importance, self.sub_order)

    def to_header(self) -> str:
        """Write the level as a header value."""
        return f"{self.importance}.{self.sub_order}"


OPEN_LEVEL = Level(importance=len(Importance), sub_order=0)


def level_from_header(text: str | None) -> Level:
    """Read a level; what is missing or malformed is an open level."""
    importance, _, sub_order = (text or "").partition(".")
    if not (importance.isdecimal() and sub_order.isdecimal()):
        return OPEN_LEVEL
    return Level(min(int(importance), OPEN_LEVEL.importance), min(int(sub_order), SUB_ORDERS))
