"""Sum up this zone for the others, from the few daemons that speak for it."""

from hashlib import blake2b
from typing import Final

from daisywharf._fleet._choosing import CONTACT, SPEAKER, chosen_for, is_view_settled
from daisywharf._fleet._learning import publish
from daisywharf._fleet._messages import (
    Member,
    Scope,
    ServiceSummary,
    SummaryContact,
    ZoneContacts,
    ZoneDemand,
)
from daisywharf._fleet._model import NEVER, FleetState
from daisywharf._fleet._shares import publish_zone_demand
from daisywharf._ids import ServiceName, TargetId
from daisywharf._topology import TargetState

HEARTBEAT_PERIOD_S: Final = 1.5
HEARTBEAT_STEP_S: Final = 1.0
TARGETS_PER_SUMMARY: Final = 2


def tick_summaries(state: FleetState, *, now: float) -> None:
    """Publish what changed in this zone, if this daemon speaks for it."""
    chosen = chosen_for(state, SPEAKER)
    if state.me.vm not in chosen or not is_view_settled(state, now=now):
        return
    rank = chosen.index(state.me.vm)
    heard_at = state.shares.heard_at_by_zone.get(state.me.zone, NEVER)
    if now - heard_at < HEARTBEAT_PERIOD_S + rank * HEARTBEAT_STEP_S:
        return
    held = state.store_by_scope[Scope.SUMMARIES].record_by_key.get(f"w {state.me.zone}")
    sequence = held.sequence + 1 if isinstance(held, ZoneDemand) else 1
    publish_zone_demand(state, sequence=sequence, now=now)
    _publish_contacts(state)
    _publish_services(state)


def _publish_contacts(state: FleetState) -> None:
    members: list[Member] = []
    for vm in chosen_for(state, CONTACT):
        record = state.member_record(vm)
        if record is not None:
            members.append(record.member)
    held = state.store_by_scope[Scope.SUMMARIES].record_by_key.get(f"k {state.me.zone}")
    sequence = 1
    if isinstance(held, ZoneContacts):
        if held.members == tuple(members):
            return
        sequence = held.sequence + 1
    record_to_spread = ZoneContacts(state.me.zone, sequence, state.me.vm, tuple(members))
    publish(state, Scope.SUMMARIES, record_to_spread)


def _publish_services(state: FleetState) -> None:
    contacts_by_service: dict[ServiceName, list[SummaryContact]] = {}
    for record in state.member_records():
        for target in record.targets:
            if target.state is not TargetState.DRAINING:
                contact = SummaryContact(record.member.vm, target)
                contacts_by_service.setdefault(target.service, []).append(contact)
    held_by_service = _own_summaries(state)
    for service in sorted(contacts_by_service.keys() | held_by_service.keys()):
        contacts = contacts_by_service.get(service, [])
        _publish_service(state, service, contacts, held_by_service.get(service))


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
    found: list[SummaryContact],
    held: ServiceSummary | None,
) -> None:
    contacts = sorted(found, key=lambda contact: _rank(contact.target.target_id))[
        :TARGETS_PER_SUMMARY
    ]
    summary = ServiceSummary(
        zone=state.me.zone,
        service=service,
        sequence=held.sequence + 1 if held else 1,
        publisher=state.me.vm,
        target_count=len(found),
        slots=sum(contact.target.slots for contact in found),
        contacts=tuple(contacts),
    )
    if held is None or _content(held) != _content(summary):
        publish(state, Scope.SUMMARIES, summary)


def _content(summary: ServiceSummary) -> tuple[int, int, tuple[SummaryContact, ...]]:
    return (summary.target_count, summary.slots, summary.contacts)


def _rank(target_id: TargetId) -> bytes:
    return blake2b(target_id.encode(), digest_size=8).digest()
