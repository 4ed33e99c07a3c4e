"""Detect failed daemons of this zone, SWIM-style: probes, suspicion, incarnations."""

import math
from random import Random
from typing import Final

from daisywharf._fleet._actions import FleetAction
from daisywharf._fleet._choosing import peers, sample_peers, send, send_all
from daisywharf._fleet._confirming import freshness_of
from daisywharf._fleet._messages import (
    ZONE_SCOPES,
    Gossip,
    IndirectProbe,
    Member,
    MemberRecord,
    Probe,
    ProbeAnswer,
    Record,
    Scope,
    Status,
)
from daisywharf._fleet._model import FleetState, PendingDrain, PendingProbe, Probing
from daisywharf._fleet._store import drop, put, record_duplicate
from daisywharf._fleet._target_records import record_of
from daisywharf._ids import Incarnation, VmId
from daisywharf._topology import TargetState

PROBE_PERIOD_S: Final = 1.0
INDIRECT_PROBE_DELAY_S: Final = 0.4
INDIRECT_PROBES: Final = 3
SUSPICION_TIMEOUT_S: Final = 4.0
SUSPICION_TIMEOUT_PER_DOUBLING_S: Final = 0.5
DRAIN_RETRY_TIMEOUT_S: Final = 10.0
ENDED_RETENTION_S: Final = 600.0
MEMBER_COPIES: Final = 8


def publish_self(state: FleetState) -> None:
    """Store a new record of this daemon and its targets, and queue it for gossip."""
    state.sequence += 1
    status = Status.LEFT if state.has_left else Status.ALIVE
    targets = tuple(record_of(own.target) for own in state.own_target_by_id.values())
    record = MemberRecord(state.me, state.sequence, status, targets)
    put(state.store_by_scope[Scope.MEMBERS], record, copies=MEMBER_COPIES)
    state.view.is_stale = True


def reincarnate(state: FleetState, incarnation: int) -> None:
    """Switch to a new incarnation, at least `incarnation`, and publish it."""
    me = state.me
    number = Incarnation(max(incarnation, me.incarnation + 1))
    state.me = Member(me.vm, me.zone, number, me.address)
    state.shares.published = None
    drop(state.store_by_scope[Scope.DEMAND], f"d {me.vm}")
    publish_self(state)


def merge_member(state: FleetState, record: MemberRecord, *, now: float) -> Record | None:
    """Merge a record of a daemon of this zone; return the stored one if that is newer."""
    member = record.member
    if member.zone != state.me.zone:
        return None
    if member.vm == state.me.vm:
        _handle_own_record(state, record)
        return state.member_record(member.vm) if record.member != state.me else None
    stored = state.member_record(member.vm)
    if stored is None and record.is_terminal:
        return None
    if stored is None or record.order > stored.order:
        _replace(state, stored, record, now=now)
        return None
    if stored.order == record.order:
        record_duplicate(state.store_by_scope[Scope.MEMBERS], record)
        return None
    return stored


def _replace(
    state: FleetState, stored: MemberRecord | None, record: MemberRecord, *, now: float
) -> None:
    """Store a newer record of a daemon, and update what depends on its status and incarnation."""
    store = state.store_by_scope[Scope.MEMBERS]
    vm = record.member.vm
    put(store, record, copies=MEMBER_COPIES)
    if stored is not None and stored.member.incarnation != record.member.incarnation:
        _retry_drains(state, stored, record, now=now)
    is_same = stored is not None and stored.member == record.member
    if stored is None:
        state.view.last_peer_added_at = now
    if not is_same or record.is_terminal:
        drop(store, f"d {vm}")
        state.view.is_stale = True
    _record_status(state, record, now=now)
    if stored is not None and stored.is_terminal != record.is_terminal:
        state.view.is_stale = True


def _retry_drains(
    state: FleetState, stored: MemberRecord, record: MemberRecord, *, now: float
) -> None:
    """Queue again the drains that a restarted daemon's targets had before its restart."""
    incarnation_by_id = {target.target_id: target.incarnation for target in record.targets}
    for target in stored.targets:
        is_same = incarnation_by_id.get(target.target_id) == target.incarnation
        if is_same and target.state is TargetState.DRAINING:
            pending = PendingDrain(until=now + DRAIN_RETRY_TIMEOUT_S, next_at=now)
            state.pending_drain_by_id[target.target_id] = pending


def _record_status(state: FleetState, record: MemberRecord, *, now: float) -> None:
    vm = record.member.vm
    if record.status == Status.SUSPECT:
        state.probing.suspect_since_by_vm.setdefault(vm, now)
    else:
        state.probing.suspect_since_by_vm.pop(vm, None)
    if record.is_terminal:
        state.probing.ended_at_by_vm.setdefault(vm, now)
    else:
        state.probing.ended_at_by_vm.pop(vm, None)


def _handle_own_record(state: FleetState, record: MemberRecord) -> None:
    _restore_drains(state, record)
    if state.has_left:
        return
    received = record.member
    if received.incarnation > state.me.incarnation:
        reincarnate(state, received.incarnation + 1)
    elif received.incarnation == state.me.incarnation:
        _refute(state, record)


def _refute(state: FleetState, record: MemberRecord) -> None:
    has_other_address = record.member.address != state.me.address
    if record.is_terminal or has_other_address:
        reincarnate(state, record.member.incarnation + 1)
    elif (record.sequence, record.status) > (state.sequence, Status.ALIVE):
        state.sequence = max(state.sequence, record.sequence)
        publish_self(state)


def _restore_drains(state: FleetState, record: MemberRecord) -> None:
    """Restore drains that this VM's previous daemon had recorded."""
    for target in record.targets:
        if target.state is TargetState.DRAINING:
            known = state.drained_incarnation_by_id.get(target.target_id, Incarnation(-1))
            state.drained_incarnation_by_id[target.target_id] = max(known, target.incarnation)


def tick_membership(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Run the periodic work of failure detection: probes, suspicions, and ended daemons."""
    _expire_suspicions(state, now=now)
    _forget_ended(state, now=now)
    pending = state.probing.pending
    actions: list[FleetAction] = []
    if pending and not pending.is_indirect and now - pending.sent_at >= INDIRECT_PROBE_DELAY_S:
        actions.extend(_probe_indirectly(state, pending, rng))
    if now - state.probing.period_started_at >= PROBE_PERIOD_S:
        if pending:
            actions.extend(_suspect(state, pending.subject, now=now))
        actions.extend(_probe_next(state, now=now, rng=rng))
    return actions


def _probe_next(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Probe the next daemon of this round; after the last one, start a round in a new order."""
    probing = state.probing
    probing.period_started_at = now
    probing.pending = None
    while probing.queue:
        record = state.member_record(probing.queue.pop())
        if record is not None and not record.is_terminal:
            return [_start_probe(state, record.member, now=now)]
    probing.queue = [member.vm for member in peers(state)]
    rng.shuffle(probing.queue)
    if not probing.queue:
        return []
    subject = state.member_record(probing.queue.pop())
    return [_start_probe(state, subject.member, now=now)] if subject else []


def _start_probe(state: FleetState, subject: Member, *, now: float) -> FleetAction:
    probing = state.probing
    probing.last_probe_id += 1
    probing.pending = PendingProbe(subject, probing.last_probe_id, now)
    return send(subject, Probe(state.me, probing.last_probe_id, freshness_of(state, now=now)))


def _probe_indirectly(state: FleetState, pending: PendingProbe, rng: Random) -> list[FleetAction]:
    pending.is_indirect = True
    helper_members = sample_peers(state, INDIRECT_PROBES + 1, rng)
    helper_members = [member for member in helper_members if member.vm != pending.subject.vm]
    message = IndirectProbe(state.me, pending.probe_id, pending.subject)
    probe = Probe(state.me, pending.probe_id, freshness_of(state, now=state.now))
    return [
        send(pending.subject, probe),
        *send_all(helper_members[:INDIRECT_PROBES], message),
    ]


def _suspect(state: FleetState, subject: Member, *, now: float) -> list[FleetAction]:
    record = state.member_record(subject.vm)
    if record is None or record.member != subject or record.status != Status.ALIVE:
        return []
    suspicion = MemberRecord(record.member, record.sequence, Status.SUSPECT, record.targets)
    _replace(state, record, suspicion, now=now)
    return [send(subject, Gossip(state.me, (suspicion,)))]


def _suspicion_timeout_s(state: FleetState) -> float:
    """Return how long a suspect has to refute; gossip takes longer in a large zone."""
    return SUSPICION_TIMEOUT_S + SUSPICION_TIMEOUT_PER_DOUBLING_S * math.log2(len(peers(state)) + 1)


def _expire_suspicions(state: FleetState, *, now: float) -> None:
    """Declare dead the suspects that didn't refute in time."""
    for vm, since in list(state.probing.suspect_since_by_vm.items()):
        record = state.member_record(vm)
        if record is None or record.status != Status.SUSPECT:
            del state.probing.suspect_since_by_vm[vm]
        elif now - since >= _suspicion_timeout_s(state):
            _replace(state, record, _ended_record(record, Status.DEAD), now=now)


def _ended_record(record: MemberRecord, status: Status) -> MemberRecord:
    return MemberRecord(record.member, record.sequence, status)


def _forget_ended(state: FleetState, *, now: float) -> None:
    ended_at_by_vm = state.probing.ended_at_by_vm
    for vm in [vm for vm, at in ended_at_by_vm.items() if now - at >= ENDED_RETENTION_S]:
        del ended_at_by_vm[vm]
        drop(state.store_by_scope[Scope.MEMBERS], f"m {vm}")


def notify_ended(state: FleetState, sender: Member) -> list[FleetAction]:
    """Send a daemon the record of its own end, so that it takes a new incarnation."""
    record = state.member_record(sender.vm)
    if record is None or not record.is_terminal:
        return []
    if record.member.incarnation < sender.incarnation:
        return []
    return [send(sender, Gossip(state.me, (record,)))]


def answer_probe(state: FleetState, message: Probe, *, now: float) -> list[FleetAction]:
    """Answer a probe of this daemon."""
    freshness = freshness_of(state, now=now)
    answer = ProbeAnswer(
        state.me, message.probe_id, freshness, subject=state.me, origin=message.origin
    )
    return [send(message.sender, answer)]


def probe_on_behalf(state: FleetState, message: IndirectProbe, *, now: float) -> list[FleetAction]:
    """Probe a daemon on behalf of a peer that got no answer from it."""
    freshness = freshness_of(state, now=now)
    probe = Probe(state.me, message.probe_id, freshness, origin=message.sender)
    return [send(message.subject, probe)]


def handle_probe_answer(
    state: FleetState, message: ProbeAnswer, *, now: float
) -> list[FleetAction]:
    """End this daemon's probe, or forward the answer to the daemon that requested it."""
    origin = message.origin
    if origin is not None and origin.vm != state.me.vm:
        answer = ProbeAnswer(
            state.me, message.probe_id, freshness_of(state, now=now), message.subject, origin
        )
        return [send(origin, answer)]
    pending = state.probing.pending
    if pending is not None and _is_answer_for(message.subject, pending.subject):
        state.probing.pending = None
    return []


def _is_answer_for(subject: Member, probed: Member) -> bool:
    return subject.vm == probed.vm and subject.incarnation >= probed.incarnation


def suspects(state: FleetState) -> list[VmId]:
    """Return the daemons that are suspected of having ended."""
    return sorted(state.probing.suspect_since_by_vm)


def forget_members(state: FleetState) -> None:
    """Drop this zone's records after a long pause.

    Peers may have forgotten daemons that ended meanwhile, so stale records would revive them.
    The peers known until then are kept as contacts to rejoin through.
    """
    known = [record.member for record in state.member_records()]
    state.introduced_members = tuple(member for member in known if member.vm != state.me.vm)
    for scope in ZONE_SCOPES:
        store = state.store_by_scope[scope]
        for key in list(store.record_by_key):
            drop(store, key)
    state.probing = Probing()
    state.view.is_stale = True


def restart_suspicions(state: FleetState, *, now: float) -> None:
    """Restart the timeout of each suspicion, after this daemon was paused."""
    for vm in state.probing.suspect_since_by_vm:
        state.probing.suspect_since_by_vm[vm] = now
    state.probing.pending = None
    state.probing.period_started_at = now
