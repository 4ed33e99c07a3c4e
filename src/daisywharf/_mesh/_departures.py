"""Remember which incarnations of the local target leave or have left.

Load pattern: a daemon is restarted while its target leaves. The new process learns of the departure
from the target, from the store or from its peers, before or after a late announcement that still
says that the target is ready.
"""

from typing import Final

import msgspec
from msgspec.structs import replace

from daisywharf._ids import TargetId
from daisywharf._mesh._model import Readiness, TargetAnnouncement, TargetDeparture

# Targets that are remembered; the oldest departure is forgotten first.
MAX_DEPARTURES: Final = 32


class Departure(msgspec.Struct, frozen=True):
    """Hold the departure of a target's incarnations that began at `born_ms` or before."""

    readiness: Readiness
    born_ms: int
    sequence: int


class Departures:
    """Hold the departures of the local target and its predecessors."""

    def __init__(self) -> None:
        self.by_target_id: dict[TargetId, Departure] = {}


def record_departure(departures: Departures, target_id: TargetId, departure: Departure) -> None:
    """Remember a departure, unless one of the same or a later incarnation is known."""
    known = departures.by_target_id.pop(target_id, None)
    if known is not None and _rank(known) >= _rank(departure):
        departure = known
    departures.by_target_id[target_id] = departure
    if len(departures.by_target_id) > MAX_DEPARTURES:
        del departures.by_target_id[next(iter(departures.by_target_id))]


def departure_of(message: TargetDeparture, *, now_ms: int) -> Departure:
    """Return the departure that a target's message announces at `now_ms` of the wall clock.

    A message that names no incarnation is of one that has already begun.
    """
    born_ms = now_ms if message.born_ms is None else message.born_ms
    return Departure(Readiness.LEFT, born_ms, message.sequence or 0)


def with_departure(departures: Departures, announcement: TargetAnnouncement) -> TargetAnnouncement:
    """Return the announcement, as leaving if its incarnation is known to leave.

    A departure is final for an incarnation.
    """
    departure = departures.by_target_id.get(announcement.target_id)
    if (
        departure is None
        or departure.born_ms < announcement.born_ms
        or announcement.readiness is not Readiness.READY
    ):
        return announcement
    return replace(
        announcement,
        readiness=departure.readiness,
        sequence=max(departure.sequence, announcement.sequence),
    )


def _rank(departure: Departure) -> tuple[int, bool]:
    return departure.born_ms, departure.readiness is Readiness.LEFT
