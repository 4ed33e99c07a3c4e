"""What targets said of themselves in answers that came through this daemon.

It binds whatever becomes of the link to the target's VM, of that VM's daemon and of the store.
"""

from typing import Final

from daisywharf._ids import Incarnation, TargetId
from daisywharf._routing._rate_share import RateShare

# Twice the targets that the users plan for; what wasn't looked at for longest is dropped beyond it.
MAX_INCARNATIONS: Final = 6_000

IncarnationKey = tuple[TargetId, Incarnation]


class TargetRestrictions:
    """Hold what one incarnation of a target said."""

    def __init__(self) -> None:
        self.share = RateShare()
        self.is_leaving = False


class RestrictionsByIncarnation:
    """Hold what each incarnation said; what one said is not its successor's word."""

    def __init__(self) -> None:
        self.by_incarnation: dict[IncarnationKey, TargetRestrictions] = {}


def restrictions_of(
    known: RestrictionsByIncarnation, target_id: TargetId, incarnation: Incarnation
) -> TargetRestrictions:
    """Return what an incarnation said."""
    key = (target_id, incarnation)
    restrictions = known.by_incarnation.pop(key, None) or TargetRestrictions()
    known.by_incarnation[key] = restrictions
    if len(known.by_incarnation) > MAX_INCARNATIONS:
        del known.by_incarnation[next(iter(known.by_incarnation))]
    return restrictions
