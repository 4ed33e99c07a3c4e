"""Pick the few targets of a service that one caller keeps connections to."""

import hashlib
import math
import statistics
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

from daisywharf._ids import ZoneName
from daisywharf._topology import Target

OWN_ZONE_MOST: Final = 4
OTHER_ZONES_MOST: Final = 4
LEAST_TARGETS: Final = 3
# Parts of a target's announced connections; the rest stays free for callers outside the fleet.
OWN_ZONE_CONNECTIONS_PART: Final = 0.5
OTHER_ZONES_CONNECTIONS_PART: Final = 0.25
MOST_TIMES_USUAL_CONNECTIONS: Final = 4
HASH_BYTES: Final = 8
HASHES: Final = 2.0 ** (8 * HASH_BYTES)


class Subset(msgspec.Struct, frozen=True):
    """Hold a caller's targets, best ranked first."""

    own_zone: tuple[Target, ...]
    other_zones: tuple[Target, ...]


def pick_subset(
    targets: Iterable[Target],
    *,
    caller: str,
    zone: ZoneName,
    callers_by_zone: Mapping[ZoneName, int] | None = None,
) -> Subset:
    """Rank targets by weighted rendezvous hashing and keep what their connections allow.

    A target's weight is its announced connections, so that each is picked by callers in
    proportion to them. Without `callers_by_zone` a subset is as large as it may be.
    """
    callers = callers_by_zone or {}
    known = list(targets)
    most = _most_connections(known)
    ranked = sorted(known, key=lambda target: _rank(caller, target, most))
    own = [target for target in ranked if target.zone == zone]
    others = [target for target in ranked if target.zone != zone]
    own_connections = sum(min(target.connections, most) for target in own)
    all_connections = sum(min(target.connections, most) for target in known)
    own_count = _count(
        OWN_ZONE_CONNECTIONS_PART * own_connections, callers.get(zone, 0), OWN_ZONE_MOST
    )
    others_count = _count(
        OTHER_ZONES_CONNECTIONS_PART * all_connections, sum(callers.values()), OTHER_ZONES_MOST
    )
    own_count = min(own_count, len(own))
    others_count = max(others_count, LEAST_TARGETS - own_count)
    return Subset(tuple(own[:own_count]), tuple(others[:others_count]))


def _count(connections: float, callers: int, most: int) -> int:
    if callers <= 0:
        return most
    return max(1, min(most, int(connections / callers)))


def _most_connections(targets: list[Target]) -> int:
    # An announcement far above the usual one is not believed.
    usual = statistics.median_low(target.connections for target in targets) if targets else 0
    return max(1, MOST_TIMES_USUAL_CONNECTIONS * usual)


def _rank(caller: str, target: Target, most_connections: int) -> float:
    key = f"{caller}\0{target.target_id}".encode()
    digest = hashlib.blake2b(key, digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest) + 0.5) / HASHES
    return -math.log(uniform) / max(1, min(target.connections, most_connections))
