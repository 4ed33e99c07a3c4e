"""Decide whether a target's announcement replaces the known one."""

from enum import Enum

from daisywharf._mesh._model import Readiness, TargetAnnouncement


class Verdict(Enum):
    """Whether an announcement is accepted, or why not."""

    TAKEN = "taken"
    LATE = "late"
    EARLIER_INCARNATION = "earlier-incarnation"
    LEAVING_IS_FINAL = "leaving-is-final"


def check_announcement(
    known: TargetAnnouncement | None, announcement: TargetAnnouncement
) -> Verdict:
    """Return whether an announcement replaces the known one, if any, or why it doesn't.

    `born_ms` orders the target's incarnations, and `sequence` the announcements of one.
    """
    if known is None:
        return Verdict.TAKEN
    if announcement.born_ms != known.born_ms or announcement.target_id != known.target_id:
        is_later = announcement.born_ms >= known.born_ms
        return Verdict.TAKEN if is_later else Verdict.EARLIER_INCARNATION
    if announcement.sequence <= known.sequence:
        return Verdict.LATE
    if known.readiness is not Readiness.READY and announcement.readiness is Readiness.READY:
        return Verdict.LEAVING_IS_FINAL
    return Verdict.TAKEN
