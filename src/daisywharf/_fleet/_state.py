"""Entry points of the fleet logic: one daemon's state in, actions to run out.

The code here does no I/O and reads no clock; the caller passes `now` in seconds and runs the
returned actions.
"""

from random import Random
from typing import Final

from daisywharf._contract import Contract
from daisywharf._fleet import _shares, _targets
from daisywharf._fleet._actions import (
    ContactsRead,
    ContactWritten,
    ContractsRead,
    FleetAction,
    ListContacts,
    ListContracts,
    PlatformFailed,
    PlatformResult,
    SendTo,
    WatchContracts,
    WriteContact,
)
from daisywharf._fleet._choosing import (
    other_zones,
    record_other_zone_member,
    sample_peers,
    send_all,
)
from daisywharf._fleet._confirming import CopyState, apply_freshness, copy_state, reset_confirmation
from daisywharf._fleet._gossip import tick_gossip
from daisywharf._fleet._in_force import (
    ZoneInForce,
    answer_in_force,
    handle_in_force_answer,
    poll_in_force,
    tick_in_force,
)
from daisywharf._fleet._membership import (
    answer_probe,
    forget_members,
    handle_probe_answer,
    notify_ended,
    probe_on_behalf,
    publish_self,
    reincarnate,
    restart_suspicions,
    tick_membership,
)
from daisywharf._fleet._messages import (
    ContractRecord,
    DrainAnswer,
    DrainRequest,
    FleetMessage,
    Gossip,
    IndirectProbe,
    InForceAnswer,
    InForceRequest,
    Introduction,
    Probe,
    ProbeAnswer,
    RepairBuckets,
    RepairRecords,
    RepairRequest,
    Scope,
)
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._repair import (
    answer_buckets,
    answer_compare,
    handle_introduction,
    handle_records,
    handle_repair_records,
    tick_repair,
)
from daisywharf._fleet._status import FleetStatus, status
from daisywharf._fleet._summaries import tick_summaries
from daisywharf._fleet._targets import request_drain, targets_of
from daisywharf._fleet._watching import delay_first_read, handle_platform_result, tick_watching
from daisywharf._ids import CallClassName, CustomerId, TargetId, ZoneName
from daisywharf._topology import Target

STALL_THRESHOLD_S: Final = 1.0
PAUSE_THRESHOLD_S: Final = 3.0
MIN_JOIN_WAIT_S: Final = 1.5
FORGET_THRESHOLD_S: Final = 300.0
MAX_JOIN_WAIT_S: Final = 5.0
LEAVE_FANOUT: Final = 8

__all__ = [
    "ContactWritten",
    "ContactsRead",
    "ContractsRead",
    "CopyState",
    "FleetAction",
    "FleetState",
    "FleetStatus",
    "ListContacts",
    "ListContracts",
    "PlatformFailed",
    "PlatformResult",
    "SendTo",
    "WatchContracts",
    "WriteContact",
    "ZoneInForce",
    "announce",
    "contracts_by_customer",
    "poll_in_force",
    "is_confirmed",
    "leave",
    "record_demand",
    "handle_platform_result",
    "receive",
    "request_drain",
    "share_of",
    "status",
    "targets_of",
    "tick",
    "withdraw",
    "zones_of",
]


def announce(state: FleetState, target: Target, *, now: float) -> list[FleetAction]:
    """Handle a target's announcement; a changed one is queued for gossip."""
    _targets.announce(state, target, now=now)
    return []


def withdraw(state: FleetState, target_id: TargetId, *, now: float) -> list[FleetAction]:
    """Remove a target of this VM; it gets no new work once that has spread."""
    _targets.withdraw(state, target_id)
    return []


def receive(
    state: FleetState, message: FleetMessage, *, now: float, rng: Random
) -> list[FleetAction]:
    """Handle a message from another daemon."""
    sender = message.sender
    if sender.vm == state.me.vm and sender.incarnation == state.me.incarnation:
        return []
    actions: list[FleetAction] = []
    if sender.zone == state.me.zone:
        actions.extend(notify_ended(state, sender))
    else:
        record_other_zone_member(state, sender, now=now)
    if isinstance(message, Probe | ProbeAnswer | RepairRequest | RepairBuckets):
        apply_freshness(state, sender, message.freshness, now=now)
        _update_joined(state, message, now=now)
    actions.extend(_dispatch(state, message, now=now, rng=rng))
    return actions


def _update_joined(
    state: FleetState, message: Probe | ProbeAnswer | RepairRequest | RepairBuckets, *, now: float
) -> None:
    """Mark this daemon as joined if a joined peer sent the message long enough after the start."""
    is_peer = message.sender.zone == state.me.zone and message.freshness.is_joined
    if is_peer and state.started_at is not None and now - state.started_at >= MIN_JOIN_WAIT_S:
        state.is_joined = True


def _dispatch(
    state: FleetState, message: FleetMessage, *, now: float, rng: Random
) -> list[FleetAction]:
    match message:
        case Probe():
            return answer_probe(state, message, now=now)
        case ProbeAnswer():
            return handle_probe_answer(state, message, now=now)
        case IndirectProbe():
            return probe_on_behalf(state, message, now=now)
        case Gossip():
            return handle_records(state, message.sender, message.records, now=now)
        case RepairRequest() | RepairBuckets() | RepairRecords():
            return _dispatch_repair(state, message, now=now, rng=rng)
        case _:
            return _dispatch_request(state, message, now=now)


def _dispatch_repair(
    state: FleetState,
    message: RepairRequest | RepairBuckets | RepairRecords,
    *,
    now: float,
    rng: Random,
) -> list[FleetAction]:
    if isinstance(message, RepairRequest):
        return answer_compare(state, message, now=now, rng=rng)
    if isinstance(message, RepairBuckets):
        return answer_buckets(state, message, now=now, rng=rng)
    return handle_repair_records(state, message, now=now, rng=rng)


def _dispatch_request(state: FleetState, message: FleetMessage, *, now: float) -> list[FleetAction]:
    if isinstance(message, Introduction):
        handle_introduction(state, message)
    if isinstance(message, DrainRequest):
        return _targets.handle_drain_request(state, message)
    if isinstance(message, DrainAnswer):
        _targets.handle_drain_answer(state, message)
    if isinstance(message, InForceRequest):
        return answer_in_force(state, message, now=now)
    if isinstance(message, InForceAnswer):
        handle_in_force_answer(state, message, now=now)
    return []


def tick(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Run all periodic work that is due; call every 100 ms."""
    if state.has_left:
        return []
    if state.started_at is None:
        _start(state, now=now, rng=rng)
    else:
        _handle_pause(state, now=now)
    state.now = now
    if state.started_at is not None and now - state.started_at >= MAX_JOIN_WAIT_S:
        state.is_joined = True
    actions = _targets.tick_targets(state, now=now, rng=rng)
    actions.extend(tick_membership(state, now=now, rng=rng))
    tick_summaries(state, now=now)
    _shares.tick_shares(state, now=now)
    actions.extend(tick_gossip(state, now=now, rng=rng))
    actions.extend(tick_repair(state, now=now, rng=rng))
    actions.extend(tick_watching(state, now=now, rng=rng))
    actions.extend(tick_in_force(state, now=now, rng=rng))
    return actions


def _start(state: FleetState, *, now: float, rng: Random) -> None:
    state.started_at = now
    delay_first_read(state, now=now, rng=rng)
    publish_self(state)


def _handle_pause(state: FleetState, *, now: float) -> None:
    """Discard state that has become stale if this process was paused since the last tick."""
    gap_s = now - state.now
    if gap_s >= STALL_THRESHOLD_S:
        restart_suspicions(state, now=now)
    if gap_s >= FORGET_THRESHOLD_S:
        forget_members(state)
    if gap_s >= PAUSE_THRESHOLD_S:
        state.started_at = now
        state.is_joined = False
        reset_confirmation(state)
        _shares.reset_shares(state, now=now)
        state.shares.heartbeat_at_by_zone.clear()
        for own in state.own_target_by_id.values():
            own.renewed_at = now
        reincarnate(state, state.me.incarnation + 1)


def leave(state: FleetState, *, now: float) -> list[FleetAction]:
    """Announce to peers that this daemon and its targets leave."""
    state.has_left = True
    state.own_target_by_id.clear()
    publish_self(state)
    own_record = state.member_record(state.me.vm)
    if own_record is None:
        return []
    peers = sample_peers(state, LEAVE_FANOUT, Random(state.me.vm))
    return send_all(peers, Gossip(state.me, (own_record,)))


def contracts_by_customer(state: FleetState) -> dict[CustomerId, Contract]:
    """Return the contracts in force on this daemon."""
    records = state.store_by_scope[Scope.CONTRACTS].record_by_key.values()
    return {
        record.customer: record.contract
        for record in records
        if isinstance(record, ContractRecord) and record.contract is not None
    }


def is_confirmed(state: FleetState) -> bool:
    """Return whether this daemon's contracts are confirmed, by the platform or by peers."""
    return copy_state(state, now=state.now) is not CopyState.UNCONFIRMED


def share_of(
    state: FleetState, customer: CustomerId, call_class: CallClassName, *, now: float
) -> float:
    """Return the fraction (0 to 1) of the contract's rate that this daemon's entry may admit.

    It is 0 if the last tick is too long ago, as after a pause.
    """
    if now - state.now >= PAUSE_THRESHOLD_S:
        return 0.0
    return _shares.share_of(state, customer, call_class)


def record_demand(
    state: FleetState,
    customer: CustomerId,
    call_class: CallClassName,
    *,
    requests: int,
    now: float,
) -> None:
    """Count requests that entered here since the last call, admitted or not."""
    _shares.record_demand(state, customer, call_class, requests=requests)


def zones_of(state: FleetState) -> set[ZoneName]:
    """Return this zone and the other zones in which a daemon is known."""
    return {state.me.zone, *other_zones(state)}
