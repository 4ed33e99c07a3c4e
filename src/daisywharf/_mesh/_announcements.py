"""Decide whether a target's announcement replaces the known one."""

from enum import Enum
from typing import Final

from daisywharf._mesh._model import Readiness, TargetAnnouncement

# An incarnation that begins later than this by the VM's clock is no target's: it would stand above
# all that follow.
MAX_BORN_AHEAD_MS: Final = 24 * 3_600_000

# An incarnation goes through these in this order.
PROGRESS_BY_READINESS: Final = {Readiness.READY: 0, Readiness.DRAINING: 1, Readiness.LEFT: 2}


class Verdict(Enum):
    """Whether an announcement is accepted, or why not."""

    TAKEN = "taken"
    LATE = "late"
    EARLIER_INCARNATION = "earlier-incarnation"
    LEAVING_IS_FINAL = "leaving-is-final"
    BORN_IN_THE_FUTURE = "born-in-the-future"


def is_born_in_the_future(born_ms: int | None, *, now_ms: int) -> bool:
    """Return whether a target can't have begun at `born_ms`, by the VM's clock."""
    return born_ms is not None and born_ms > now_ms + MAX_BORN_AHEAD_MS


def check_announcement(
    known: TargetAnnouncement | None, announcement: TargetAnnouncement
) -> Verdict:
    """Return whether an announcement replaces the known one, if any, or why it doesn't.

    `born_ms` orders the target's incarnations, and `sequence` the announcements of one. A departure
    is taken whatever its sequence, as no incarnation returns from it: another writer's announcement
    with a higher sequence must not hide it.
    """
    if known is None:
        return Verdict.TAKEN
    if announcement.born_ms != known.born_ms or announcement.target_id != known.target_id:
        is_later = announcement.born_ms >= known.born_ms
        return Verdict.TAKEN if is_later else Verdict.EARLIER_INCARNATION
    if PROGRESS_BY_READINESS[announcement.readiness] > PROGRESS_BY_READINESS[known.readiness]:
        return Verdict.TAKEN
    if announcement.sequence <= known.sequence:
        return Verdict.LATE
    if known.readiness is not Readiness.READY and announcement.readiness is Readiness.READY:
        return Verdict.LEAVING_IS_FINAL
    return Verdict.TAKEN
