"""Count, while somebody waits for it, which daemons hold a contract's version."""

from random import Random
from typing import Final

import msgspec

from daisywharf._fleet._actions import FleetAction
from daisywharf._fleet._choosing import other_zones, send, some_contacts
from daisywharf._fleet._messages import (
    ContractRecord,
    InForceAnswer,
    InForceAsk,
    Scope,
)
from daisywharf._fleet._model import FleetState, InForceWatch, ZoneCount
from daisywharf._fleet._shares import all_zones
from daisywharf._ids import CustomerId, Version, ZoneName

ASK_PERIOD_S: Final = 0.5
ASKED_AT_ONCE: Final = 40
WATCHED_FOR_S: Final = 10.0
REACHABLE_WITHIN_S: Final = 3.0


class ZoneInForce(msgspec.Struct, frozen=True):
    """Tell how many known daemons of a zone hold at least this daemon's version."""

    zone: ZoneName
    daemons_known: int
    daemons_confirmed: int
    is_reachable: bool


def in_force(state: FleetState, customer: CustomerId, *, now: float) -> tuple[ZoneInForce, ...]:
    """Return the counts by zone, and go on asking for `WATCHED_FOR_S`."""
    watch = _watch(state, customer, now=now)
    version = held_version(state, customer)
    zones = all_zones(state) | set(other_zones(state))
    zones.discard(state.me.zone)
    watch.is_wanted_here = True
    own = _count_own_zone(state, customer, version)
    others = [_zone_in_force(zone, watch, version, now=now) for zone in sorted(zones)]
    return (own, *others)


def _watch(state: FleetState, customer: CustomerId, *, now: float) -> InForceWatch:
    watch = state.in_force_by_customer.get(customer)
    if watch is None:
        watch = state.in_force_by_customer[customer] = InForceWatch(until=now)
    watch.until = now + WATCHED_FOR_S
    return watch


def held_version(state: FleetState, customer: CustomerId) -> Version:
    """Return the version of a customer's contract here; 0 where none was heard of."""
    record = state.store_by_scope[Scope.CONTRACTS].record_by_key.get(f"c {customer}")
    return record.version if isinstance(record, ContractRecord) else Version(0)


def _count_own_zone(state: FleetState, customer: CustomerId, version: Version) -> ZoneInForce:
    version_by_member = state.in_force_by_customer[customer].version_by_member
    members = [record.member for record in state.member_records()]
    known = [version_by_member.get(member, Version(-1)) for member in members]
    confirmed = sum(1 for held in known if held >= version)
    confirmed += int(held_version(state, customer) >= version)
    return ZoneInForce(state.me.zone, len(members), confirmed, is_reachable=True)


def _zone_in_force(
    zone: ZoneName, watch: InForceWatch, version: Version, *, now: float
) -> ZoneInForce:
    count = watch.count_by_zone.get(zone)
    if count is None:
        return ZoneInForce(zone, 0, 0, is_reachable=False)
    confirmed = count.daemons_confirmed if count.version >= version else 0
    is_reachable = now - count.heard_at <= REACHABLE_WITHIN_S
    return ZoneInForce(zone, count.daemons_known, confirmed, is_reachable)


def tick_in_force(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Ask the daemons that haven't confirmed yet, and a contact of each other zone."""
    actions: list[FleetAction] = []
    for customer, watch in list(state.in_force_by_customer.items()):
        if now >= watch.until:
            del state.in_force_by_customer[customer]
        elif now - watch.asked_at >= ASK_PERIOD_S:
            watch.asked_at = now
            actions.extend(_ask(state, customer, watch, rng))
    return actions


def _ask(
    state: FleetState, customer: CustomerId, watch: InForceWatch, rng: Random
) -> list[FleetAction]:
    version = max(held_version(state, customer), watch.version)
    members = [
        member
        for member in state.view.peers
        if watch.version_by_member.get(member, Version(-1)) < version
    ]
    asked = rng.sample(members, min(ASKED_AT_ONCE, len(members)))
    message = InForceAsk(state.me, customer, version)
    actions: list[FleetAction] = [send(member, message) for member in asked]
    if not watch.is_wanted_here:
        return actions
    for_zone = InForceAsk(state.me, customer, version, for_zone=True)
    for zone in other_zones(state):
        for member in some_contacts(state, zone, 1, rng):
            actions.append(send(member, for_zone))
    return actions


def answer_in_force(state: FleetState, message: InForceAsk, *, now: float) -> list[FleetAction]:
    """Tell which version is held here, or how much of this zone holds the one asked for."""
    customer = message.customer
    if not message.for_zone:
        version = held_version(state, customer)
        answer = InForceAnswer(state.me, customer, version, 1, 1)
        return [send(message.sender, answer)]
    watch = state.in_force_by_customer.get(customer)
    if watch is None:
        watch = _watch(state, customer, now=now)
    watch.until = now + WATCHED_FOR_S
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


def take_in_force(state: FleetState, message: InForceAnswer, *, now: float) -> None:
    """Keep an answer while somebody waits for it."""
    watch = state.in_force_by_customer.get(message.customer)
    if watch is None:
        return
    sender = message.sender
    if not message.for_zone:
        known = watch.version_by_member.get(sender, Version(-1))
        watch.version_by_member[sender] = max(known, message.version)
        return
    watch.count_by_zone[sender.zone] = ZoneCount(
        message.version, message.daemons_known, message.daemons_confirmed, now
    )
