"""Relay the loads of gates between zones.

Load pattern: hundreds of gates whose loads change several times a second, and as many entries that
place calls by these loads. If each gate reported to each entry, every daemon would spend time and
bytes that grow with the fleet, most of them between zones. So a gate reports its load to the
daemons of its own zone and, in each round, to a different daemon of each other zone, which relays
it to its zone.
"""

from collections.abc import Iterable
from typing import Final, TypeVar

import msgspec

from daisywharf._ids import TargetId, VmId
from daisywharf._mesh._frames import GateLoad, TargetLoad
from daisywharf._mesh._pending import MS_PER_S

# Loads relayed in one round, each of some 25 bytes. On average a daemon is asked to relay one load
# per zone, of at most 15 zones.
MAX_RELAYED_LOADS: Final = 32

ItemT = TypeVar("ItemT")


class ReceivedLoad(msgspec.Struct):
    """Hold a gate's load and the time when it was measured, in seconds of this daemon's clock."""

    load: GateLoad
    measured_at: float


class RelayQueue:
    """Hold the newest load of each gate that this daemon has to relay to its zone."""

    def __init__(self) -> None:
        self.due_by_target: dict[TargetId, ReceivedLoad] = {}


def enqueue_load(queue: RelayQueue, target_id: TargetId, load: GateLoad, *, now: float) -> None:
    """Queue the load of a target's gate for the next round."""
    queue.due_by_target[target_id] = ReceivedLoad(load, now)


def pop_due(queue: RelayQueue, *, now: float) -> tuple[TargetLoad, ...]:
    """Remove all queued loads and return the newest `MAX_RELAYED_LOADS`, newest first."""
    newest_first = sorted(queue.due_by_target.items(), key=lambda item: -item[1].measured_at)
    queue.due_by_target.clear()
    return tuple(
        TargetLoad(target_id, due.load, max(0, round((now - due.measured_at) * MS_PER_S)))
        for target_id, due in newest_first[:MAX_RELAYED_LOADS]
    )


def relay_partner(
    own: VmId, zone: Iterable[VmId], other_zone: Iterable[VmId], *, round_number: int
) -> VmId:
    """Return the daemon of another zone that is to relay this daemon's load there in this round.

    The daemons of a zone have different partners, and each has a different one in the next round.
    """
    rank = sorted({own, *zone}).index(own)
    partners = sorted(other_zone)
    return partners[(rank + round_number) % len(partners)]


def rotating_subset(items: list[ItemT], *, round_number: int, max_count: int) -> list[ItemT]:
    """Return up to `max_count` items for a round; over the rounds each is chosen equally often."""
    if len(items) <= max_count:
        return items
    first = round_number * max_count % len(items)
    return (items[first:] + items[:first])[:max_count]
