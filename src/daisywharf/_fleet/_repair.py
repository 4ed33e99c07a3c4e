"""Anti-entropy: compare records by digest, send what gossip lost, introduce new daemons."""

from random import Random
from typing import Final

import msgspec

from daisywharf._fleet._actions import FleetAction, SendTo
from daisywharf._fleet._choosing import (
    SPEAKER,
    has_role,
    other_zones,
    sample_contacts,
    sample_peers,
    send,
    send_all,
)
from daisywharf._fleet._confirming import freshness_of
from daisywharf._fleet._merging import merge_record
from daisywharf._fleet._messages import (
    ZONE_SCOPES,
    FleetMessage,
    Gossip,
    Introduction,
    Member,
    Record,
    RepairBuckets,
    RepairRecords,
    RepairRequest,
    Scope,
    ZoneContacts,
)
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._store import differing_buckets, records_in

MAX_REPAIR_MESSAGE_BYTES: Final = 12_000
BUCKETS_MESSAGE_BYTES: Final = 400
COMPARE_PERIOD_S: Final = 1.0
CROSS_ZONE_COMPARE_PERIOD_S: Final = 2.0
JOIN_COMPARE_PERIOD_S: Final = 0.5
RECONNECT_PERIOD_S: Final = 5.0
JOIN_RECONNECT_PERIOD_S: Final = 1.0
MAX_INTRODUCED_MEMBERS: Final = 3
RECONNECT_FANOUT: Final = 2


def tick_repair(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Return the messages of the comparisons and reconnects that are due."""
    gossip = state.gossip
    actions: list[FleetAction] = []
    period_s = COMPARE_PERIOD_S if state.is_joined else JOIN_COMPARE_PERIOD_S
    if now - gossip.last_compare_at >= period_s:
        gossip.last_compare_at = now
        actions.extend(_compare_in_zone(state, rng))
    if now - gossip.last_cross_zone_compare_at >= CROSS_ZONE_COMPARE_PERIOD_S:
        gossip.last_cross_zone_compare_at = now
        actions.extend(_compare_across_zones(state, rng))
    period_s = RECONNECT_PERIOD_S if state.is_joined else JOIN_RECONNECT_PERIOD_S
    if now - gossip.last_reconnect_at >= period_s:
        gossip.last_reconnect_at = now
        actions.extend(_reconnect(state, rng))
    return actions


def _repair_request(state: FleetState, scope: Scope) -> RepairRequest:
    digest = state.store_by_scope[scope].digest
    return RepairRequest(state.me, scope, digest, freshness_of(state, now=state.now))


def _compare_in_zone(state: FleetState, rng: Random) -> list[FleetAction]:
    actions: list[FleetAction] = []
    for scope in Scope:
        actions.extend(send_all(sample_peers(state, 1, rng), _repair_request(state, scope)))
    return actions


def _compare_across_zones(state: FleetState, rng: Random) -> list[FleetAction]:
    zones = other_zones(state)
    if not zones or not (has_role(state, SPEAKER) or not state.is_joined):
        return []
    members = sample_contacts(state, rng.choice(zones), 1, rng)
    return _compare_with(state, members)


def _compare_with(state: FleetState, members: list[Member]) -> list[FleetAction]:
    scopes = (Scope.SUMMARIES, Scope.CONTRACTS)
    return [send(member, _repair_request(state, scope)) for member in members for scope in scopes]


def _reconnect(state: FleetState, rng: Random) -> list[FleetAction]:
    """Start comparisons with daemons that may have records which the known peers lack.

    That is one listed daemon of this zone without a member record, else some seeds.
    """
    own_record = state.member_record(state.me.vm)
    if own_record is None:
        return []
    messages: list[FleetMessage] = [Gossip(state.me, (own_record,))]
    messages.extend(_repair_request(state, scope) for scope in Scope)
    unknown_contacts = _unknown_contacts(state)
    if unknown_contacts:
        member = rng.choice(unknown_contacts)
        return [send(member, message) for message in messages]
    seeds = rng.sample(state.seeds, min(RECONNECT_FANOUT, len(state.seeds)))
    return [SendTo(seed, message) for seed in seeds for message in messages]


def _unknown_contacts(state: FleetState) -> list[Member]:
    """Return daemons of this zone that others listed but that have no member record here."""
    members = list(state.introduced_members)
    record = state.store_by_scope[Scope.SUMMARIES].record_by_key.get(f"k {state.me.zone}")
    if isinstance(record, ZoneContacts):
        members.extend(record.members)
    return [
        member
        for member in members
        if member.vm != state.me.vm and state.member_record(member.vm) is None
    ]


def handle_introduction(state: FleetState, message: Introduction) -> None:
    """Store the introduced daemons of this zone, to be contacted by the next reconnect."""
    members = [member for member in message.members if member.zone == state.me.zone]
    state.introduced_members = tuple(members[:MAX_INTRODUCED_MEMBERS])


def _introduce(state: FleetState, newcomer: Member, rng: Random) -> list[FleetAction]:
    if newcomer.zone == state.me.zone:
        members = sample_peers(state, MAX_INTRODUCED_MEMBERS, rng)
    else:
        members = sample_contacts(state, newcomer.zone, MAX_INTRODUCED_MEMBERS, rng)
    members = [member for member in members if member.vm != newcomer.vm]
    return [send(newcomer, Introduction(state.me, tuple(members)))] if members else []


def answer_compare(
    state: FleetState, message: RepairRequest, *, now: float, rng: Random
) -> list[FleetAction]:
    """Answer with the bucket digests if the scope differs; introduce peers to a new daemon."""
    sender = message.sender
    actions: list[FleetAction] = []
    if message.scope is Scope.MEMBERS and not message.freshness.is_joined:
        actions.extend(_introduce(state, sender, rng))
    if message.scope in ZONE_SCOPES and sender.zone != state.me.zone:
        return actions
    store = state.store_by_scope[message.scope]
    if store.digest == message.digest or state.gossip.repair_tokens_bytes <= 0:
        return actions
    digests = tuple(store.digest_by_bucket)
    state.gossip.repair_tokens_bytes -= BUCKETS_MESSAGE_BYTES
    answer = RepairBuckets(state.me, message.scope, digests, freshness_of(state, now=now))
    return [*actions, send(sender, answer)]


def answer_buckets(
    state: FleetState, message: RepairBuckets, *, now: float, rng: Random
) -> list[FleetAction]:
    """Send the records of the buckets that differ, and request the peer's."""
    store = state.store_by_scope[message.scope]
    differing = differing_buckets(store, message.bucket_digests)
    if not differing:
        return []
    rng.shuffle(differing)
    return _send_records(state, message.sender, message.scope, differing, tuple(differing))


def _send_records(
    state: FleetState,
    receiver: Member,
    scope: Scope,
    buckets: list[int],
    wanted: tuple[int, ...],
) -> list[FleetAction]:
    tokens_bytes = state.gossip.repair_tokens_bytes
    limit_bytes = int(min(MAX_REPAIR_MESSAGE_BYTES, max(tokens_bytes, 0)))
    store = state.store_by_scope[scope]
    records = records_in(store, buckets, limit_bytes=limit_bytes) if limit_bytes else []
    used_bytes = sum(len(msgspec.msgpack.encode(record)) for record in records)
    state.gossip.repair_tokens_bytes -= used_bytes
    if not records and not wanted:
        return []
    message = RepairRecords(state.me, scope, tuple(records), wanted)
    return [send(receiver, message)]


def handle_repair_records(
    state: FleetState, message: RepairRecords, *, now: float, rng: Random
) -> list[FleetAction]:
    """Merge the received records; send newer ones back, and those of the wanted buckets."""
    if message.scope in ZONE_SCOPES and message.sender.zone != state.me.zone:
        return []
    actions = handle_records(state, message.sender, message.records, now=now)
    if message.wanted:
        buckets = list(message.wanted)
        rng.shuffle(buckets)
        actions.extend(_send_records(state, message.sender, message.scope, buckets, ()))
    return actions


def handle_records(
    state: FleetState, sender: Member, records: tuple[Record, ...], *, now: float
) -> list[FleetAction]:
    """Merge records from a peer; send back those that are newer here."""
    newer: list[Record] = []
    for record in records:
        stored = merge_record(state, record, now=now)
        if stored is not None:
            newer.append(stored)
    if not newer:
        return []
    return [send(sender, Gossip(state.me, tuple(newer)))]
