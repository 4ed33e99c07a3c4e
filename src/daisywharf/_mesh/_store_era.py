"""Track the store's era, which rises each time the store is restored from an older copy.

Load pattern: in a drill, the store comes back without what was written in the last seconds, and
gives revisions out again. Responses and revisions from before must not be taken for present ones,
while some daemons have heard of the new era and others haven't.
"""

from enum import Enum
from typing import Final

# Larger numbers are no eras: one that is too high would make all later responses look outdated.
MAX_ERA: Final = 999_999_999
MAX_ERA_DIGITS: Final = len(str(MAX_ERA))


class EraChange(Enum):
    """Name what an observed era means for the known one."""

    NONE = "none"
    FIRST = "first"  # nothing was read in an earlier era
    NEW = "new"
    OLDER = "older"


class EraState:
    """Hold the highest era observed, or None while no response or daemon has named one.

    `has_responses` is true once the store has answered.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.has_responses = False


def observe_era(state: EraState, era: int | None, *, is_response: bool = True) -> EraChange:
    """Record the era of a response, or one that a daemon reports; return what it means.

    `era` is None for a response that names none; such a response counts as one of the present era.
    """
    earlier, had_responses = state.era, state.has_responses
    state.has_responses = had_responses or is_response
    if era is None or era == earlier:
        return EraChange.NONE
    if earlier is not None and era < earlier:
        return EraChange.OLDER
    state.era = era
    if earlier is None and not (had_responses and era):
        return EraChange.FIRST
    # A store may name its era only from its first rollback on.
    return EraChange.NEW


def parse_era(text: bytes) -> int | None:
    """Parse an era; return None for a text that isn't one."""
    digits = text.strip()
    return int(digits) if digits.isdigit() and len(digits) <= MAX_ERA_DIGITS else None
