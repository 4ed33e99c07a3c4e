"""Derive log events from changes in a daemon's view of the fleet."""

import msgspec

from daisywharf._fleet._messages import ContractRecord, Scope, Status
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._shares import ZONE_STALE_AFTER_S
from daisywharf._fleet._state import is_confirmed
from daisywharf._ids import CustomerId, TargetId, Version, VmId, ZoneName
from daisywharf._signals._events import Event, FieldValue
from daisywharf._topology import TargetState


class FleetEvent(msgspec.Struct, frozen=True):
    """Hold an event and the fields of its log line."""

    event: Event
    fields: dict[str, FieldValue]


class LoggedFleet:
    """Hold the state of the fleet for which events were last returned.

    `withdrawn` has the targets that withdrew since then.
    """

    def __init__(self) -> None:
        self.state_by_target: dict[TargetId, TargetState] = {}
        self.withdrawn: set[TargetId] = set()
        self.version_by_customer: dict[CustomerId, Version] = {}
        self.contracts_digest = 0
        self.is_confirmed = False
        self.suspected: set[VmId] = set()
        self.lost: set[VmId] = set()
        self.unreachable: set[ZoneName] = set()


def fleet_events(logged: LoggedFleet, state: FleetState, *, now: float) -> list[FleetEvent]:
    """Return the events since the last call, and record the current view in `logged`."""
    return [
        *_target_events(logged, state),
        *_contract_events(logged, state),
        *_confirmed_events(logged, state),
        *_daemon_events(logged, state),
        *_zone_events(logged, state, now=now),
    ]


def _target_events(logged: LoggedFleet, state: FleetState) -> list[FleetEvent]:
    events = []
    for target_id, own in state.own_target_by_id.items():
        before = logged.state_by_target.get(target_id)
        target = own.target
        if before is None:
            fields: dict[str, FieldValue] = {
                "target": target_id,
                "service": target.service,
                "slots": target.slots,
            }
            events.append(FleetEvent(Event.TARGET_ANNOUNCED, fields))
        if target.state is TargetState.DRAINING and before is not TargetState.DRAINING:
            events.append(FleetEvent(Event.TARGET_DRAINING, {"target": target_id}))
    for target_id in logged.state_by_target.keys() - state.own_target_by_id.keys():
        has_withdrawn = target_id in logged.withdrawn or state.has_left
        event = Event.TARGET_LEFT if has_withdrawn else Event.TARGET_LAPSED
        events.append(FleetEvent(event, {"target": target_id}))
    logged.withdrawn.clear()
    logged.state_by_target = {
        target_id: own.target.state for target_id, own in state.own_target_by_id.items()
    }
    return events


def _contract_events(logged: LoggedFleet, state: FleetState) -> list[FleetEvent]:
    store = state.store_by_scope[Scope.CONTRACTS]
    if store.digest == logged.contracts_digest:
        return []
    logged.contracts_digest = store.digest
    events = []
    for record in store.record_by_key.values():
        if not isinstance(record, ContractRecord):
            continue
        before = logged.version_by_customer.get(record.customer)
        if before == record.version:
            continue
        logged.version_by_customer[record.customer] = record.version
        is_deleted = record.contract is None
        event = Event.CONTRACT_DELETED if is_deleted else Event.CONTRACT_IN_FORCE
        if before is None and is_deleted:
            continue
        fields: dict[str, FieldValue] = {"customer": record.customer, "version": record.version}
        events.append(FleetEvent(event, fields))
    return events


def _confirmed_events(logged: LoggedFleet, state: FleetState) -> list[FleetEvent]:
    was_confirmed, logged.is_confirmed = logged.is_confirmed, is_confirmed(state)
    if was_confirmed or not logged.is_confirmed:
        return []
    newest = max(logged.version_by_customer.values(), default=Version(0))
    return [FleetEvent(Event.COPY_CONFIRMED, {"version": newest})]


def _daemon_events(logged: LoggedFleet, state: FleetState) -> list[FleetEvent]:
    suspected = set(state.probing.suspect_since_by_vm)
    lost = {vm for vm in state.probing.ended_at_by_vm if _is_dead(state, vm)}
    events = [
        FleetEvent(Event.DAEMON_SUSPECTED, {"peer": vm})
        for vm in sorted(suspected - logged.suspected)
    ]
    events += [FleetEvent(Event.DAEMON_LOST, {"peer": vm}) for vm in sorted(lost - logged.lost)]
    logged.suspected, logged.lost = suspected, lost
    return events


def _is_dead(state: FleetState, vm: VmId) -> bool:
    record = state.member_record(vm)
    return record is not None and record.status is Status.DEAD


def _zone_events(logged: LoggedFleet, state: FleetState, *, now: float) -> list[FleetEvent]:
    events = []
    for zone, heartbeat_at in state.shares.heartbeat_at_by_zone.items():
        is_reachable = now - heartbeat_at <= ZONE_STALE_AFTER_S
        if is_reachable and zone in logged.unreachable:
            logged.unreachable.discard(zone)
            events.append(FleetEvent(Event.ZONE_BACK, {"other_zone": zone}))
        elif not is_reachable and zone not in logged.unreachable:
            logged.unreachable.add(zone)
            events.append(FleetEvent(Event.ZONE_UNREACHABLE, {"other_zone": zone}))
    return events
