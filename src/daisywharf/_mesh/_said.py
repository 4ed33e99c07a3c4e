"""What targets said of themselves in answers that came through this daemon.

It binds whatever becomes of the link to the target's VM, of that VM's daemon and of the store.
"""

from typing import Final

from daisywharf._ids import Incarnation, TargetId
from daisywharf._routing._rate_share import RateShare

# Twice the targets that the users plan for; what wasn't looked at for longest is dropped beyond it.
MOST_KEPT: Final = 6_000

IncarnationKey = tuple[TargetId, Incarnation]


class Said:
    """Hold what one incarnation of a target said."""

    def __init__(self) -> None:
        self.share = RateShare()
        self.is_leaving = False


class SaidByTargets:
    """Hold what each incarnation said; what one said is not its successor's word."""

    def __init__(self) -> None:
        self.said_by_incarnation: dict[IncarnationKey, Said] = {}


def said_by(kept: SaidByTargets, target_id: TargetId, incarnation: Incarnation) -> Said:
    """Return what an incarnation said."""
    key = (target_id, incarnation)
    said = kept.said_by_incarnation.pop(key, None) or Said()
    kept.said_by_incarnation[key] = said
    if len(kept.said_by_incarnation) > MOST_KEPT:
        del kept.said_by_incarnation[next(iter(kept.said_by_incarnation))]
    return said
