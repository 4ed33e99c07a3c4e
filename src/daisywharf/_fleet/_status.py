"""Status report of this daemon's view of the fleet."""

import msgspec

from daisywharf._fleet._choosing import SPEAKER, WATCHER, has_role, other_zones
from daisywharf._fleet._confirming import CopyState, copy_state
from daisywharf._fleet._membership import suspects
from daisywharf._fleet._messages import ContractRecord, Member, Scope
from daisywharf._fleet._model import NEVER, FleetState
from daisywharf._fleet._shares import ZONE_STALE_AFTER_S
from daisywharf._ids import Version, VmId, ZoneName


class ZoneStatus(msgspec.Struct, frozen=True):
    """Report the age of another zone's last heartbeat; None if there was none.

    `is_heard` is whether that heartbeat is at most `ZONE_STALE_AFTER_S` old.
    """

    zone: ZoneName
    heard_ago_s: float | None
    is_heard: bool


class FleetStatus(msgspec.Struct, frozen=True):
    """Hold one daemon's view of the fleet; times in seconds.

    `platform_word_age_s` is the time since the platform last confirmed the contracts, None if
    it isn't known to have. `contracts_digest` is equal on daemons with the same contracts.
    `platform_failures` counts consecutive failed reads of the contracts.
    """

    me: Member
    daemons_in_zone: int
    suspects: tuple[VmId, ...]
    zones: tuple[ZoneStatus, ...]
    copy_state: CopyState
    platform_word_age_s: float | None
    contract_count: int
    contracts_digest: int
    newest_version: Version
    is_joined: bool
    is_watcher: bool
    is_speaker: bool
    platform_failures: int


def status(state: FleetState, now: float) -> FleetStatus:
    """Return this daemon's view of the fleet."""
    contracts = state.store_by_scope[Scope.CONTRACTS]
    records = [
        record for record in contracts.record_by_key.values() if isinstance(record, ContractRecord)
    ]
    confirmed_at = state.confirming.platform_confirmed_at
    return FleetStatus(
        me=state.me,
        daemons_in_zone=len(state.member_records()),
        suspects=tuple(suspects(state)),
        zones=tuple(_zone_status(state, zone, now) for zone in other_zones(state)),
        copy_state=copy_state(state, now=now),
        platform_word_age_s=None if confirmed_at == NEVER else now - confirmed_at,
        contract_count=sum(1 for record in records if record.contract is not None),
        contracts_digest=contracts.digest,
        newest_version=max((record.version for record in records), default=Version(0)),
        is_joined=state.is_joined,
        is_watcher=has_role(state, WATCHER),
        is_speaker=has_role(state, SPEAKER),
        platform_failures=state.watching.contracts.failures,
    )


def _zone_status(state: FleetState, zone: ZoneName, now: float) -> ZoneStatus:
    heartbeat_at = state.shares.heartbeat_at_by_zone.get(zone)
    if heartbeat_at is None:
        return ZoneStatus(zone, None, is_heard=False)
    age_s = now - heartbeat_at
    return ZoneStatus(zone, age_s, is_heard=age_s <= ZONE_STALE_AFTER_S)
