"""The shedding level that a gate sets and that callers apply for a short time."""

from typing import Final

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import ServiceName

# The largest load that is sent with a level.
MAX_LOAD: Final = 100.0


class Level(msgspec.Struct, frozen=True, order=True):
    """Refuse every call whose (importance, sub-order) is at or above this pair.

    `load` is the occupancy (calls running and waiting, over the limit) of the most loaded gate
    in the call chain, and `service` the service of that gate.
    """

    importance: int
    sub_order: int
    load: float = 0.0
    service: ServiceName = ServiceName("")

    def refuses(self, importance: Importance, sub_order: int) -> bool:
        """Return whether a call of this importance and sub-order is shed."""
        return (importance, sub_order) >= (self.importance, self.sub_order)


OPEN_LEVEL = Level(importance=len(Importance), sub_order=0)


def merge_levels(own: Level, below: Level | None) -> Level:
    """Return the stricter pair and the larger load of a gate's own level and a downstream one."""
    if below is None:
        return own
    stricter = min((own.importance, own.sub_order), (below.importance, below.sub_order))
    busier = own if own.load >= below.load else below
    return Level(*stricter, busier.load, busier.service)
