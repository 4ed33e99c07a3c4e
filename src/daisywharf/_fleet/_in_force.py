"""Count, while an operator waits, the daemons that have a contract's version."""

from random import Random
from typing import Final

import msgspec

from daisywharf._fleet._actions import FleetAction
from daisywharf._fleet._choosing import other_zones, sample_contacts, send
from daisywharf._fleet._messages import (
    ContractRecord,
    InForceAnswer,
    InForceRequest,
    Scope,
)
from daisywharf._fleet._model import FleetState, InForceWatch, ZoneCount
from daisywharf._fleet._shares import all_zones
from daisywharf._ids import CustomerId, Version, ZoneName

POLL_PERIOD_S: Final = 0.5
MAX_POLLED_PER_ROUND: Final = 40
POLL_LIFETIME_S: Final = 10.0
MAX_ANSWER_AGE_S: Final = 3.0


class ZoneInForce(msgspec.Struct, frozen=True):
    """Count the known daemons of a zone, and those that have at least this daemon's version."""

    zone: ZoneName
    daemons_known: int
    daemons_confirmed: int
    is_reachable: bool


def poll_in_force(
    state: FleetState, customer: CustomerId, *, now: float
) -> tuple[ZoneInForce, ...]:
    """Return the counts of each zone, this one first, and keep polling for `POLL_LIFETIME_S`."""
    watch = _renew_watch(state, customer, now=now)
    version = contract_version(state, customer)
    zones = all_zones(state) | set(other_zones(state))
    zones.discard(state.me.zone)
    watch.is_wanted_here = True
    own = _count_own_zone(state, customer, version)
    others = [_zone_in_force(zone, watch, version, now=now) for zone in sorted(zones)]
    return (own, *others)


def _renew_watch(state: FleetState, customer: CustomerId, *, now: float) -> InForceWatch:
    watch = state.in_force_by_customer.get(customer)
    if watch is None:
        watch = state.in_force_by_customer[customer] = InForceWatch(until=now)
    watch.until = now + POLL_LIFETIME_S
    return watch


def contract_version(state: FleetState, customer: CustomerId) -> Version:
    """Return the version of a customer's contract on this daemon; 0 if it is unknown."""
    record = state.store_by_scope[Scope.CONTRACTS].record_by_key.get(f"c {customer}")
    return record.version if isinstance(record, ContractRecord) else Version(0)


def _count_own_zone(state: FleetState, customer: CustomerId, version: Version) -> ZoneInForce:
    version_by_member = state.in_force_by_customer[customer].version_by_member
    members = [record.member for record in state.member_records()]
    versions = [version_by_member.get(member, Version(-1)) for member in members]
    confirmed = sum(1 for stored in versions if stored >= version)
    confirmed += int(contract_version(state, customer) >= version)
    return ZoneInForce(state.me.zone, len(members), confirmed, is_reachable=True)


def _zone_in_force(
    zone: ZoneName, watch: InForceWatch, version: Version, *, now: float
) -> ZoneInForce:
    count = watch.count_by_zone.get(zone)
    if count is None:
        return ZoneInForce(zone, 0, 0, is_reachable=False)
    confirmed = count.daemons_confirmed if count.version >= version else 0
    is_reachable = now - count.heard_at <= MAX_ANSWER_AGE_S
    return ZoneInForce(zone, count.daemons_known, confirmed, is_reachable)


def tick_in_force(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Poll the peers that haven't confirmed the version yet, and a contact of each other zone."""
    actions: list[FleetAction] = []
    for customer, watch in list(state.in_force_by_customer.items()):
        if now >= watch.until:
            del state.in_force_by_customer[customer]
        elif now - watch.asked_at >= POLL_PERIOD_S:
            watch.asked_at = now
            actions.extend(_poll(state, customer, watch, rng))
    return actions


def _poll(
    state: FleetState, customer: CustomerId, watch: InForceWatch, rng: Random
) -> list[FleetAction]:
    version = max(contract_version(state, customer), watch.version)
    members = [
        member
        for member in state.view.peers
        if watch.version_by_member.get(member, Version(-1)) < version
    ]
    members_to_poll = rng.sample(members, min(MAX_POLLED_PER_ROUND, len(members)))
    message = InForceRequest(state.me, customer, version)
    actions: list[FleetAction] = [send(member, message) for member in members_to_poll]
    if not watch.is_wanted_here:
        return actions
    zone_request = InForceRequest(state.me, customer, version, for_zone=True)
    for zone in other_zones(state):
        for member in sample_contacts(state, zone, 1, rng):
            actions.append(send(member, zone_request))
    return actions


def answer_in_force(state: FleetState, message: InForceRequest, *, now: float) -> list[FleetAction]:
    """Answer with this daemon's version, or with the counts of this zone for the given version."""
    customer = message.customer
    if not message.for_zone:
        version = contract_version(state, customer)
        answer = InForceAnswer(state.me, customer, version, 1, 1)
        return [send(message.sender, answer)]
    watch = state.in_force_by_customer.get(customer)
    if watch is None:
        watch = _renew_watch(state, customer, now=now)
    watch.until = now + POLL_LIFETIME_S
    watch.version = max(watch.version, message.version)
    own = _count_own_zone(state, customer, message.version)
    zone_answer = InForceAnswer(
        state.me,
        customer,
        message.version,
        own.daemons_known,
        own.daemons_confirmed,
        for_zone=True,
    )
    return [send(message.sender, zone_answer)]


def handle_in_force_answer(state: FleetState, message: InForceAnswer, *, now: float) -> None:
    """Record an answer, unless polling for its contract has ended."""
    watch = state.in_force_by_customer.get(message.customer)
    if watch is None:
        return
    sender = message.sender
    if not message.for_zone:
        previous = watch.version_by_member.get(sender, Version(-1))
        watch.version_by_member[sender] = max(previous, message.version)
        return
    watch.count_by_zone[sender.zone] = ZoneCount(
        message.version, message.daemons_known, message.daemons_confirmed, now
    )
