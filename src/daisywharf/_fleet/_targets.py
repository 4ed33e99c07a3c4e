"""Handle announcements of this VM's targets, and drain targets in any zone."""

from random import Random
from typing import Final

import msgspec

from daisywharf._fleet._actions import FleetAction
from daisywharf._fleet._choosing import other_zones, sample_contacts, send
from daisywharf._fleet._membership import DRAIN_RETRY_TIMEOUT_S, publish_self
from daisywharf._fleet._messages import (
    DrainAnswer,
    DrainRequest,
    Member,
    Scope,
    ServiceSummary,
)
from daisywharf._fleet._model import FleetState, OwnTarget, PendingDrain
from daisywharf._fleet._target_records import target_of, targets_in_summary
from daisywharf._ids import ServiceName, TargetId
from daisywharf._topology import Target, TargetState

ANNOUNCEMENT_PERIOD_S: Final = 2.0
ANNOUNCEMENT_LIFETIME_S: Final = 7.0
DRAIN_RETRY_PERIOD_S: Final = 0.4


def announce(state: FleetState, target: Target, *, now: float) -> None:
    """Store an announcement; one that changes nothing is a renewal and isn't gossiped.

    A drained incarnation stays draining, whatever it announces; a newer one starts undrained.
    """
    drained_incarnation = state.drained_incarnation_by_id.get(target.target_id)
    if drained_incarnation is not None and target.incarnation > drained_incarnation:
        del state.drained_incarnation_by_id[target.target_id]
    elif drained_incarnation is not None:
        target = msgspec.structs.replace(target, state=TargetState.DRAINING)
    current = state.own_target_by_id.get(target.target_id)
    if current is not None and current.target.incarnation > target.incarnation:
        return
    state.own_target_by_id[target.target_id] = OwnTarget(target, now)
    if current is None or current.target != target:
        publish_self(state)


def withdraw(state: FleetState, target_id: TargetId) -> None:
    """Remove a target of this VM."""
    if state.own_target_by_id.pop(target_id, None) is not None:
        publish_self(state)


def tick_targets(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Withdraw targets whose announcement expired, and retry drains that weren't confirmed."""
    expired = [
        target_id
        for target_id, own in state.own_target_by_id.items()
        if now - own.renewed_at > ANNOUNCEMENT_LIFETIME_S
    ]
    for target_id in expired:
        withdraw(state, target_id)
    actions: list[FleetAction] = []
    for target_id, pending in list(state.pending_drain_by_id.items()):
        if now >= pending.until:
            del state.pending_drain_by_id[target_id]
        elif now >= pending.next_at:
            pending.next_at = now + DRAIN_RETRY_PERIOD_S
            actions.extend(_send_drain(state, target_id, rng))
    return actions


def request_drain(state: FleetState, target_id: TargetId, *, now: float) -> list[FleetAction]:
    """Drain a target, wherever it is.

    A request to another daemon is retried until confirmed, for `DRAIN_RETRY_TIMEOUT_S` at most.
    """
    if drain_own_target(state, target_id):
        return []
    state.pending_drain_by_id[target_id] = PendingDrain(now + DRAIN_RETRY_TIMEOUT_S, now)
    owner = owner_of(state, target_id)
    return [send(owner, DrainRequest(state.me, target_id))] if owner else []


def drain_own_target(state: FleetState, target_id: TargetId) -> bool:
    """Mark a target of this VM as draining; return False if this VM doesn't have it."""
    own = state.own_target_by_id.get(target_id)
    if own is None:
        return False
    state.drained_incarnation_by_id[target_id] = own.target.incarnation
    if own.target.state is not TargetState.DRAINING:
        own.target = msgspec.structs.replace(own.target, state=TargetState.DRAINING)
        publish_self(state)
    return True


def owner_of(state: FleetState, target_id: TargetId) -> Member | None:
    """Return the daemon of this zone whose VM has a target, or None."""
    for record in state.member_records():
        if any(target.target_id == target_id for target in record.targets):
            return record.member
    return None


def _send_drain(state: FleetState, target_id: TargetId, rng: Random) -> list[FleetAction]:
    owner = owner_of(state, target_id)
    if owner is not None:
        return [send(owner, DrainRequest(state.me, target_id))]
    actions: list[FleetAction] = []
    for zone in other_zones(state):
        for member in sample_contacts(state, zone, 1, rng):
            actions.append(send(member, DrainRequest(state.me, target_id)))
    return actions


def handle_drain_request(state: FleetState, message: DrainRequest) -> list[FleetAction]:
    """Drain a target of this VM, or forward the request to the target's daemon."""
    if drain_own_target(state, message.target_id):
        return [send(message.sender, DrainAnswer(state.me, message.target_id))]
    owner = owner_of(state, message.target_id)
    if owner is None or owner.vm == state.me.vm or message.is_forwarded:
        return []
    return [send(owner, DrainRequest(message.sender, message.target_id, is_forwarded=True))]


def handle_drain_answer(state: FleetState, message: DrainAnswer) -> None:
    """Stop retrying a drain."""
    state.pending_drain_by_id.pop(message.target_id, None)


def targets_of(state: FleetState, service: ServiceName) -> list[Target]:
    """Return a service's targets that aren't draining: this zone's, and those in summaries."""
    targets = [
        target_of(target, record.member)
        for record in state.member_records()
        for target in record.targets
        if target.service == service and target.state is not TargetState.DRAINING
    ]
    for summary in state.store_by_scope[Scope.SUMMARIES].record_by_key.values():
        if not isinstance(summary, ServiceSummary) or summary.zone == state.me.zone:
            continue
        if summary.service == service:
            targets.extend(targets_in_summary(summary))
    return targets


def is_target_known(state: FleetState, target_id: TargetId) -> bool:
    """Return whether any known target of any zone has this id."""
    if owner_of(state, target_id) is not None:
        return True
    summaries = state.store_by_scope[Scope.SUMMARIES].record_by_key.values()
    return any(
        listed.target.target_id == target_id
        for summary in summaries
        if isinstance(summary, ServiceSummary)
        for listed in summary.targets
    )


def is_drained(state: FleetState, target: Target) -> bool:
    """Return whether an operator has drained this incarnation of a target of this VM."""
    return state.drained_incarnation_by_id.get(target.target_id) == target.incarnation
