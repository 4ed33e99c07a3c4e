"""Pass the loads of gates on between zones.

Load pattern: hundreds of gates whose loads turn over several times a second, and as many entries
that place calls by them. Told by each gate to each entry, news cost every daemon time and bytes
that grow with the fleet, most of them between zones. So a gate tells the daemons of its own zone,
and one daemon of each other zone, another in each round, which tells its zone.
"""

from collections.abc import Iterable
from typing import Final, TypeVar

import msgspec

from daisywharf._ids import TargetId, VmId
from daisywharf._mesh._frames import GateLoad, TargetLoad
from daisywharf._mesh._pending import MS

# Loads in one round, of some 25 bytes; a daemon is asked for one a zone on average, of 15 at most.
MAX_RELAYED_LOADS: Final = 32

ItemT = TypeVar("ItemT")


class ReceivedLoad(msgspec.Struct):
    """Hold a gate's load and when it was measured."""

    load: GateLoad
    measured_at: float


class LoadBoard:
    """Hold what this daemon was asked to tell its zone."""

    def __init__(self) -> None:
        self.due_by_target: dict[TargetId, ReceivedLoad] = {}


def queue_load(board: LoadBoard, target_id: TargetId, load: GateLoad, *, now: float) -> None:
    """Take a load that is to be passed on."""
    board.due_by_target[target_id] = ReceivedLoad(load, now)


def pop_due(board: LoadBoard, *, now: float) -> tuple[TargetLoad, ...]:
    """Return what to tell the zone in this round; the oldest beyond the bound are dropped."""
    newest_first = sorted(board.due_by_target.items(), key=lambda item: -item[1].measured_at)
    board.due_by_target.clear()
    return tuple(
        TargetLoad(target_id, due.load, max(0, round((now - due.measured_at) * MS)))
        for target_id, due in newest_first[:MAX_RELAYED_LOADS]
    )


def relay_partner(
    own: VmId, zone: Iterable[VmId], other_zone: Iterable[VmId], *, round_number: int
) -> VmId:
    """Return who of another zone is to pass the own load on there in this round.

    Daemons of a zone differ in their partners, and each has another one in the next round.
    """
    rank = sorted({own, *zone}).index(own)
    partners = sorted(other_zone)
    return partners[(rank + round_number) % len(partners)]


def rotating_subset(items: list[ItemT], *, round_number: int, max_count: int) -> list[ItemT]:
    """Return whose turn it is in a round; all have theirs equally often."""
    if len(items) <= max_count:
        return items
    first = round_number * max_count % len(items)
    return (items[first:] + items[:first])[:max_count]
