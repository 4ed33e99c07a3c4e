"""Merge records from peers: the newer one wins, in whatever order they arrive."""

from typing import Final

from daisywharf._fleet._membership import merge_member
from daisywharf._fleet._messages import (
    ContractRecord,
    DemandRecord,
    MemberRecord,
    Record,
    Scope,
    ServiceSummary,
    ZoneContacts,
    ZoneDemand,
)
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._store import is_newer, put, record_duplicate

CONTRACT_COPIES: Final = 8
SUMMARY_COPIES: Final = 5
DEMAND_COPIES: Final = 4


def merge_record(state: FleetState, record: Record, *, now: float) -> Record | None:
    """Merge a record from a peer; return the stored one if that is newer."""
    if isinstance(record, MemberRecord):
        return merge_member(state, record, now=now)
    if isinstance(record, DemandRecord):
        return _merge_demand(state, record)
    if isinstance(record, ContractRecord):
        return _keep_newer(state, Scope.CONTRACTS, record, copies=CONTRACT_COPIES)
    return merge_summary(state, record, now=now)


def merge_summary(
    state: FleetState, record: ZoneContacts | ZoneDemand | ServiceSummary, *, now: float
) -> Record | None:
    """Merge a zone's summary; a newer demand record counts as a heartbeat of its zone."""
    if isinstance(record, ZoneDemand) and _is_newer_demand(state, record):
        state.shares.heartbeat_at_by_zone[record.zone] = now
    return _keep_newer(state, Scope.SUMMARIES, record, copies=SUMMARY_COPIES)


def _is_newer_demand(state: FleetState, record: ZoneDemand) -> bool:
    return is_newer(state.store_by_scope[Scope.SUMMARIES], record)


def _merge_demand(state: FleetState, record: DemandRecord) -> Record | None:
    member = state.member_record(record.vm)
    if member is None or member.is_terminal or record.vm == state.me.vm:
        return None
    if member.member.incarnation != record.incarnation:
        return None
    return _keep_newer(state, Scope.DEMAND, record, copies=DEMAND_COPIES)


def _keep_newer(state: FleetState, scope: Scope, record: Record, *, copies: int) -> Record | None:
    """Store a record and queue it for gossip if it is newer; return the stored one if that is."""
    store = state.store_by_scope[scope]
    if is_newer(store, record):
        put(store, record, copies=copies)
        _queue_cross_zone(state, scope, record)
        return None
    stored = store.record_by_key[record.key]
    if stored.order == record.order:
        record_duplicate(store, record)
        return None
    return stored


def merge_contract(state: FleetState, record: ContractRecord) -> None:
    """Merge a contract read from the platform."""
    _keep_newer(state, Scope.CONTRACTS, record, copies=CONTRACT_COPIES)


def publish(
    state: FleetState,
    scope: Scope,
    record: DemandRecord | ZoneContacts | ZoneDemand | ServiceSummary,
) -> None:
    """Store a record that this daemon created, and queue it for gossip."""
    copies = DEMAND_COPIES if isinstance(record, DemandRecord) else SUMMARY_COPIES
    put(state.store_by_scope[scope], record, copies=copies)
    _queue_cross_zone(state, scope, record)


def _queue_cross_zone(state: FleetState, scope: Scope, record: Record) -> None:
    """Queue contracts and this zone's own summaries for gossip to other zones."""
    is_own = isinstance(record, ZoneContacts | ZoneDemand | ServiceSummary) and (
        record.zone == state.me.zone
    )
    if scope is Scope.CONTRACTS or is_own:
        state.cross_zone_scope_by_key[record.key] = int(scope)
