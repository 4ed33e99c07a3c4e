"""Publish summaries of this zone for other zones, from the few daemons that are speakers."""

from hashlib import blake2b
from typing import Final

from daisywharf._fleet._choosing import CONTACT, SPEAKER, is_view_settled, vms_with_role
from daisywharf._fleet._merging import publish
from daisywharf._fleet._messages import (
    Member,
    Scope,
    ServiceSummary,
    SummaryTarget,
    ZoneContacts,
    ZoneDemand,
)
from daisywharf._fleet._model import NEVER, FleetState
from daisywharf._fleet._shares import publish_zone_demand
from daisywharf._ids import ServiceName, TargetId
from daisywharf._topology import TargetState

HEARTBEAT_PERIOD_S: Final = 1.5
HEARTBEAT_DELAY_PER_RANK_S: Final = 1.0
MAX_TARGETS_PER_SUMMARY: Final = 2


def tick_summaries(state: FleetState, *, now: float) -> None:
    """Publish the heartbeat and changed summaries of this zone, if this daemon is a speaker.

    Each further speaker waits longer, so that it publishes only if those before it don't.
    """
    speakers = vms_with_role(state, SPEAKER)
    if state.me.vm not in speakers or not is_view_settled(state, now=now):
        return
    rank = speakers.index(state.me.vm)
    heartbeat_at = state.shares.heartbeat_at_by_zone.get(state.me.zone, NEVER)
    if now - heartbeat_at < HEARTBEAT_PERIOD_S + rank * HEARTBEAT_DELAY_PER_RANK_S:
        return
    stored = state.store_by_scope[Scope.SUMMARIES].record_by_key.get(f"w {state.me.zone}")
    sequence = stored.sequence + 1 if isinstance(stored, ZoneDemand) else 1
    publish_zone_demand(state, sequence=sequence, now=now)
    _publish_contacts(state)
    _publish_services(state)


def _publish_contacts(state: FleetState) -> None:
    members: list[Member] = []
    for vm in vms_with_role(state, CONTACT):
        record = state.member_record(vm)
        if record is not None:
            members.append(record.member)
    stored = state.store_by_scope[Scope.SUMMARIES].record_by_key.get(f"k {state.me.zone}")
    sequence = 1
    if isinstance(stored, ZoneContacts):
        if stored.members == tuple(members):
            return
        sequence = stored.sequence + 1
    new_record = ZoneContacts(state.me.zone, sequence, state.me.vm, tuple(members))
    publish(state, Scope.SUMMARIES, new_record)


def _publish_services(state: FleetState) -> None:
    targets_by_service: dict[ServiceName, list[SummaryTarget]] = {}
    for record in state.member_records():
        for target in record.targets:
            if target.state is not TargetState.DRAINING:
                listed = SummaryTarget(record.member.vm, target)
                targets_by_service.setdefault(target.service, []).append(listed)
    stored_by_service = _own_summaries(state)
    for service in sorted(targets_by_service.keys() | stored_by_service.keys()):
        candidates = targets_by_service.get(service, [])
        _publish_service(state, service, candidates, stored_by_service.get(service))


def _own_summaries(state: FleetState) -> dict[ServiceName, ServiceSummary]:
    records = state.store_by_scope[Scope.SUMMARIES].record_by_key.values()
    return {
        record.service: record
        for record in records
        if isinstance(record, ServiceSummary) and record.zone == state.me.zone
    }


def _publish_service(
    state: FleetState,
    service: ServiceName,
    candidates: list[SummaryTarget],
    stored: ServiceSummary | None,
) -> None:
    targets = sorted(candidates, key=lambda listed: _hash_order(listed.target.target_id))[
        :MAX_TARGETS_PER_SUMMARY
    ]
    summary = ServiceSummary(
        zone=state.me.zone,
        service=service,
        sequence=stored.sequence + 1 if stored else 1,
        publisher=state.me.vm,
        target_count=len(candidates),
        slots=sum(listed.target.slots for listed in candidates),
        targets=tuple(targets),
    )
    if stored is None or _content(stored) != _content(summary):
        publish(state, Scope.SUMMARIES, summary)


def _content(summary: ServiceSummary) -> tuple[int, int, tuple[SummaryTarget, ...]]:
    return (summary.target_count, summary.slots, summary.targets)


def _hash_order(target_id: TargetId) -> bytes:
    return blake2b(target_id.encode(), digest_size=8).digest()
