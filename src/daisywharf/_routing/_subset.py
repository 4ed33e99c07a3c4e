"""Pick the subset of a service's targets that one caller keeps connections to."""

import hashlib
import math
import statistics
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

from daisywharf._ids import ZoneName
from daisywharf._topology import Target

MAX_OWN_ZONE_TARGETS: Final = 4
MAX_OTHER_ZONES_TARGETS: Final = 4
# Targets of other zones make up for too few in the own zone.
MIN_TARGETS: Final = 3
# Fractions of a target's announced connections; the rest stays free for callers outside the fleet.
OWN_ZONE_CONNECTIONS_FRACTION: Final = 0.5
OTHER_ZONES_CONNECTIONS_FRACTION: Final = 0.25
# Announced connections beyond this many times the median aren't trusted.
MAX_USUAL_CONNECTIONS_FACTOR: Final = 4
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

    A target's weight is its announced connections, so callers pick each target in proportion to
    them. Without `callers_by_zone` a subset has its maximum size.
    """
    callers = callers_by_zone or {}
    known = list(targets)
    max_connections = _max_connections(known)
    ranked = sorted(known, key=lambda target: _rank(caller, target, max_connections))
    own = [target for target in ranked if target.zone == zone]
    others = [target for target in ranked if target.zone != zone]
    own_connections = sum(min(target.connections, max_connections) for target in own)
    all_connections = sum(min(target.connections, max_connections) for target in known)
    own_count = _count(
        OWN_ZONE_CONNECTIONS_FRACTION * own_connections, callers.get(zone, 0), MAX_OWN_ZONE_TARGETS
    )
    others_count = _count(
        OTHER_ZONES_CONNECTIONS_FRACTION * all_connections,
        sum(callers.values()),
        MAX_OTHER_ZONES_TARGETS,
    )
    own_count = min(own_count, len(own))
    others_count = max(others_count, MIN_TARGETS - own_count)
    return Subset(tuple(own[:own_count]), tuple(others[:others_count]))


def _count(connections: float, callers: int, max_count: int) -> int:
    if callers <= 0:
        return max_count
    return max(1, min(max_count, int(connections / callers)))


def _max_connections(targets: list[Target]) -> int:
    median_connections = (
        statistics.median_low(target.connections for target in targets) if targets else 0
    )
    return max(1, MAX_USUAL_CONNECTIONS_FACTOR * median_connections)


def _rank(caller: str, target: Target, max_connections: int) -> float:
    """Return a target's rendezvous rank for a caller; the lowest ranks are picked."""
    key = f"{caller}\0{target.target_id}".encode()
    digest = hashlib.blake2b(key, digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest) + 0.5) / HASHES
    return -math.log(uniform) / max(1, min(target.connections, max_connections))
