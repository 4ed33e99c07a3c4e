"""Gossip changed records in periodic rounds, within a byte budget."""

from random import Random
from typing import Final

from daisywharf._fleet._actions import FleetAction
from daisywharf._fleet._choosing import (
    SPEAKER,
    has_role,
    other_zones,
    sample_contacts,
    sample_peers,
    send_all,
)
from daisywharf._fleet._messages import (
    DemandRecord,
    Gossip,
    Record,
    Scope,
)
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._store import Rumour

GOSSIP_PERIOD_S: Final = 0.2
GOSSIP_FANOUT: Final = 3
GOSSIP_BYTES_PER_S: Final = 6_500.0
GOSSIP_BURST_BYTES: Final = 14_000.0
GOSSIP_RESERVE_BYTES: Final = 4_000.0
MAX_GOSSIP_MESSAGE_BYTES: Final = 1_200
REPAIR_BYTES_PER_S: Final = 3_500.0
REPAIR_BURST_BYTES: Final = 48_000.0
CROSS_ZONE_FANOUT: Final = 2


def tick_gossip(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Return the gossip messages that are due: a round in this zone, and changes for others."""
    gossip = state.gossip
    actions: list[FleetAction] = []
    if now - gossip.last_round_at >= GOSSIP_PERIOD_S:
        _refill(state, now - gossip.last_round_at)
        gossip.last_round_at = now
        actions.extend(_gossip_in_zone(state, rng))
    if state.cross_zone_scope_by_key:
        actions.extend(_gossip_across_zones(state, rng))
    return actions


def _refill(state: FleetState, elapsed_s: float) -> None:
    gossip = state.gossip
    elapsed_s = min(elapsed_s, 10.0)  # infinite in the first round
    gained = elapsed_s * GOSSIP_BYTES_PER_S
    gossip.tokens_bytes = min(GOSSIP_BURST_BYTES, gossip.tokens_bytes + gained)
    gained = elapsed_s * REPAIR_BYTES_PER_S
    gossip.repair_tokens_bytes = min(REPAIR_BURST_BYTES, gossip.repair_tokens_bytes + gained)


def _gossip_in_zone(state: FleetState, rng: Random) -> list[FleetAction]:
    members = sample_peers(state, GOSSIP_FANOUT, rng)
    limit_bytes = min(MAX_GOSSIP_MESSAGE_BYTES, state.gossip.tokens_bytes / GOSSIP_FANOUT)
    if not members or limit_bytes <= 0:
        return []
    records = _pick_rumours(state, limit_bytes=limit_bytes, copies=len(members))
    if not records:
        return []
    return send_all(members, Gossip(state.me, records))


def _pick_rumours(state: FleetState, *, limit_bytes: float, copies: int) -> tuple[Record, ...]:
    """Pick the records for one round and charge the byte budget for all copies.

    The first record is always taken, even if it exceeds `limit_bytes`. While the budget is low,
    demand records wait.
    """
    rumours = _rumours_by_priority(state)
    is_budget_low = state.gossip.tokens_bytes < GOSSIP_RESERVE_BYTES
    records: list[Record] = []
    used_bytes = 0
    for rumour in rumours:
        if records and used_bytes + rumour.size_bytes > limit_bytes:
            continue
        if is_budget_low and isinstance(rumour.record, DemandRecord):
            break
        used_bytes += rumour.size_bytes
        records.append(rumour.record)
        rumour.copies_left -= copies
    _drop_exhausted(state)
    state.gossip.tokens_bytes -= used_bytes * copies
    return tuple(records)


def _rumours_by_priority(state: FleetState) -> list[Rumour]:
    stores = state.store_by_scope.values()
    rumours = [rumour for store in stores for rumour in store.rumour_by_key.values()]
    own_key = f"m {state.me.vm}"
    return sorted(rumours, key=lambda rumour: _priority(rumour, own_key))


def _priority(rumour: Rumour, own_key: str) -> tuple[int, int]:
    """Return a sort key: this daemon's own record first, demand last, most copies left first."""
    record = rumour.record
    if isinstance(record, DemandRecord):
        return (2, -rumour.copies_left)
    return (0 if record.key == own_key else 1, -rumour.copies_left)


def _drop_exhausted(state: FleetState) -> None:
    for store in state.store_by_scope.values():
        exhausted = [key for key, rumour in store.rumour_by_key.items() if rumour.copies_left <= 0]
        for key in exhausted:
            del store.rumour_by_key[key]


def _gossip_across_zones(state: FleetState, rng: Random) -> list[FleetAction]:
    """Send the queued records to other zones if this daemon is a speaker, else drop the queue."""
    scope_by_key = state.cross_zone_scope_by_key
    state.cross_zone_scope_by_key = {}
    if not has_role(state, SPEAKER):
        return []
    records: list[Record] = []
    for key, scope in scope_by_key.items():
        record = state.store_by_scope[Scope(scope)].record_by_key.get(key)
        if record is not None:
            records.append(record)
    message = Gossip(state.me, tuple(records))
    actions: list[FleetAction] = []
    for zone in other_zones(state):
        actions.extend(send_all(sample_contacts(state, zone, CROSS_ZONE_FANOUT, rng), message))
    return actions
