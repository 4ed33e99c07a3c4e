"""Rate limits and departures that targets announced in answers that passed this daemon.

They stay in force even if the link to the target's VM, that VM's daemon or the store is lost.
"""

from typing import Final

from daisywharf._ids import Incarnation, TargetId
from daisywharf._routing._rate_share import RateShare

# Twice the number of targets that users plan for; beyond it, the least recently used are dropped.
MAX_INCARNATIONS: Final = 6_000

IncarnationKey = tuple[TargetId, Incarnation]


class TargetRestrictions:
    """Hold the rate limit share and the departure of one incarnation of a target."""

    def __init__(self) -> None:
        self.share = RateShare()
        self.is_leaving = False


class RestrictionsByIncarnation:
    """Hold the restrictions of each incarnation; a successor doesn't inherit them."""

    def __init__(self) -> None:
        self.by_incarnation: dict[IncarnationKey, TargetRestrictions] = {}


def restrictions_of(
    known: RestrictionsByIncarnation, target_id: TargetId, incarnation: Incarnation
) -> TargetRestrictions:
    """Return the restrictions of an incarnation; create them on first use."""
    key = (target_id, incarnation)
    restrictions = known.by_incarnation.pop(key, None) or TargetRestrictions()
    known.by_incarnation[key] = restrictions
    if len(known.by_incarnation) > MAX_INCARNATIONS:
        del known.by_incarnation[next(iter(known.by_incarnation))]
    return restrictions
