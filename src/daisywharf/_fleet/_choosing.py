"""Select peers, contacts in other zones, and role holders from this daemon's own view.

Roles go to the daemons with the highest rendezvous hash, so no election is needed. Speakers publish
this zone's summaries and exchange records with other zones, watchers read the platform, and
contacts are published as the daemons through which others reach this zone.
"""

from functools import lru_cache
from hashlib import blake2b
from random import Random
from typing import Final

from daisywharf._fleet._actions import FleetAction, SendTo
from daisywharf._fleet._messages import FleetMessage, Member, Scope, ZoneContacts
from daisywharf._fleet._model import FleetState, KnownMember
from daisywharf._ids import VmId, ZoneName

SPEAKER: Final = "speaker"
WATCHER: Final = "watcher"
CONTACT: Final = "contact"
COUNT_BY_ROLE: Final = {SPEAKER: 2, WATCHER: 2, CONTACT: 3}
MIN_UPTIME_FOR_ROLES_S: Final = 2.0
VIEW_SETTLE_S: Final = 1.5
MAX_VIEW_SETTLE_S: Final = 12.0
MAX_KNOWN_MEMBERS_PER_ZONE: Final = 8


@lru_cache(maxsize=16_384)
def _rendezvous_weight(role: str, vm: VmId) -> int:
    return int.from_bytes(blake2b(f"{role} {vm}".encode(), digest_size=8).digest(), "big")


def refresh_view(state: FleetState) -> None:
    """Recompute peers and role holders if the membership changed."""
    view = state.view
    if not view.is_stale:
        return
    view.is_stale = False
    members = [record.member for record in state.member_records()]
    view.peers = [member for member in members if member.vm != state.me.vm]
    vms = [member.vm for member in view.peers]
    if not state.has_left:
        vms.append(state.me.vm)
    for role, count in COUNT_BY_ROLE.items():
        ranked = sorted(vms, key=lambda vm: _rendezvous_weight(role, vm), reverse=True)
        view.vms_by_role[role] = tuple(ranked[:count])


def vms_with_role(state: FleetState, role: str) -> tuple[VmId, ...]:
    """Return the daemons of this zone that have a role, the highest rank first."""
    refresh_view(state)
    return state.view.vms_by_role[role]


def has_role(state: FleetState, role: str) -> bool:
    """Return whether this daemon has a role."""
    return state.me.vm in vms_with_role(state, role)


def is_view_settled(state: FleetState, *, now: float) -> bool:
    """Return whether this daemon knows its zone well enough to take on a role.

    That is once no new peer has appeared for `VIEW_SETTLE_S`; a daemon with seeds also needs a
    peer. After `MAX_VIEW_SETTLE_S` a view counts as settled in any case.
    """
    started_at = state.started_at
    if started_at is None or now - started_at < MIN_UPTIME_FOR_ROLES_S:
        return False
    if now - started_at >= MAX_VIEW_SETTLE_S:
        return True
    if state.seeds and not peers(state):
        return False
    return now - state.view.last_peer_added_at >= VIEW_SETTLE_S


def peers(state: FleetState) -> list[Member]:
    """Return the other daemons of this zone that haven't ended."""
    refresh_view(state)
    return state.view.peers


def sample_peers(state: FleetState, count: int, rng: Random) -> list[Member]:
    """Return up to `count` random peers of this zone."""
    known = peers(state)
    return rng.sample(known, min(count, len(known)))


def send(member: Member, message: FleetMessage) -> SendTo:
    """Return the action that sends a message to a daemon."""
    return SendTo(member.address, message, member.vm)


def send_all(members: list[Member], message: FleetMessage) -> list[FleetAction]:
    """Return the actions that send a message to several daemons."""
    return [send(member, message) for member in members]


def record_other_zone_member(state: FleetState, member: Member, *, now: float) -> None:
    """Record a daemon of another zone, from its message or from the platform's contacts."""
    if member.zone == state.me.zone:
        return
    known_by_vm = state.known_members_by_zone.setdefault(member.zone, {})
    known = known_by_vm.get(member.vm)
    if known is None or member.incarnation >= known.member.incarnation:
        known_by_vm[member.vm] = KnownMember(member, now)
    if len(known_by_vm) > MAX_KNOWN_MEMBERS_PER_ZONE:
        oldest = min(known_by_vm, key=lambda vm: known_by_vm[vm].heard_at)
        del known_by_vm[oldest]


def other_zones(state: FleetState) -> list[ZoneName]:
    """Return the zones, other than this one, in which a daemon is known."""
    zones = set(state.known_members_by_zone)
    for record in state.store_by_scope[Scope.SUMMARIES].record_by_key.values():
        if isinstance(record, ZoneContacts):
            zones.add(record.zone)
    zones.discard(state.me.zone)
    return sorted(zones)


def sample_contacts(state: FleetState, zone: ZoneName, count: int, rng: Random) -> list[Member]:
    """Return up to `count` random daemons of another zone.

    In half of the calls the daemon that was seen last comes first.
    """
    known = [*state.known_members_by_zone.get(zone, {}).values()]
    member_by_vm = {entry.member.vm: entry.member for entry in known}
    record = state.store_by_scope[Scope.SUMMARIES].record_by_key.get(f"k {zone}")
    if isinstance(record, ZoneContacts):
        for member in record.members:
            member_by_vm.setdefault(member.vm, member)
    if not member_by_vm:
        return []
    candidates = list(member_by_vm.values())
    rng.shuffle(candidates)
    if known and rng.random() < 0.5:
        latest = max(known, key=lambda entry: entry.heard_at).member
        candidates.remove(latest)
        candidates.insert(0, latest)
    return candidates[:count]
