"""One daemon's state of the fleet logic. All times are seconds of the caller's clock."""

from collections import deque
from collections.abc import Iterable

import msgspec

from daisywharf._fleet._actions import PlatformAction
from daisywharf._fleet._messages import (
    DemandRecord,
    Member,
    MemberRecord,
    RateId,
    Scope,
    Status,
    ZoneDemand,
)
from daisywharf._fleet._store import Store
from daisywharf._ids import (
    CustomerId,
    Incarnation,
    TargetId,
    Version,
    VmId,
    ZoneName,
)
from daisywharf._topology import Address, Target

NEVER = float("-inf")


class OwnTarget(msgspec.Struct):
    """Hold a target of this VM and the time of its last announcement."""

    target: Target
    renewed_at: float


class PendingProbe(msgspec.Struct):
    """Hold the probe that awaits an answer; `is_indirect` once peers were asked to help."""

    subject: Member
    probe_id: int
    sent_at: float
    is_indirect: bool = False


class Probing:
    """Hold the state of the failure detector.

    `queue` are the VMs left in this probe round. `period_started_at` is when the current period
    of one probe started. `ended_at_by_vm` is when each ended daemon was found to have ended.
    """

    def __init__(self) -> None:
        self.queue: list[VmId] = []
        self.pending: PendingProbe | None = None
        self.last_probe_id = 0
        self.period_started_at = NEVER
        self.suspect_since_by_vm: dict[VmId, float] = {}
        self.ended_at_by_vm: dict[VmId, float] = {}


class View:
    """Cache peers and role holders until the membership changes.

    `last_peer_added_at` is when a daemon of this zone was last seen for the first time.
    """

    def __init__(self) -> None:
        self.is_stale = True
        self.last_peer_added_at = NEVER
        self.peers: list[Member] = []
        self.vms_by_role: dict[str, tuple[VmId, ...]] = {}


class GossipState:
    """Hold the byte budgets of gossip and repair, and the times of their last rounds."""

    def __init__(self) -> None:
        self.tokens_bytes = 0.0
        self.repair_tokens_bytes = 0.0
        self.last_round_at = NEVER
        self.last_compare_at = NEVER
        self.last_cross_zone_compare_at = NEVER
        self.last_reconnect_at = NEVER


class Outstanding(msgspec.Struct):
    """Hold a platform action that awaits its result."""

    action: PlatformAction
    started_at: float


class PlatformTask(msgspec.Struct):
    """Hold one kind of platform action: the running one, consecutive failures, next start."""

    outstanding: Outstanding | None = None
    failures: int = 0
    next_at: float = NEVER


class Watching:
    """Hold the state of this daemon's reads from and writes to the platform.

    `version` is the version after which the next watch resumes; while it is None, all contracts
    are listed first. `slot` is where this daemon writes its contact, `written_slot` where it last
    did.
    """

    def __init__(self) -> None:
        self.contracts = PlatformTask()
        self.contacts = PlatformTask()
        self.contact_write = PlatformTask()
        self.version: Version | None = None
        self.slot: int | None = None
        self.slot_since = NEVER
        self.written_slot: int | None = None
        self.last_fallback_check_at = NEVER


class Agreement(msgspec.Struct, frozen=True):
    """Hold when a daemon with a confirmed copy last reported the same contracts."""

    at: float
    zone: ZoneName


class Confirming:
    """Hold the evidence that this daemon's contracts are current.

    `platform_confirmed_at` is when the platform last confirmed them, to this daemon or to a
    peer; `was_confirmed` is whether they have been confirmed since the start or last pause.
    """

    def __init__(self) -> None:
        self.platform_confirmed_at = NEVER
        self.agreement_by_vm: dict[VmId, Agreement] = {}
        self.was_confirmed = False


class WeightSample(msgspec.Struct, frozen=True):
    """Hold the weights or fractions that apply from the time `at` on."""

    at: float
    weight_by_id: dict[RateId, float]


class ShareState:
    """Hold demand, its recent history, and the shares computed from it.

    Rates and weights are in requests per second; shares and fractions are between 0 and 1.
    `reset_at` is when this daemon last started or resumed after a pause; it has no shares until
    `has_start_wait_ended`.
    """

    def __init__(self) -> None:
        self.count_by_id: dict[RateId, int] = {}
        self.rate_by_id: dict[RateId, float] = {}
        self.rates_updated_at: float | None = None
        self.published: DemandRecord | None = None
        self.own_samples: deque[WeightSample] = deque()
        self.own_zone_samples: deque[WeightSample] = deque()
        self.fraction_samples: deque[WeightSample] = deque()
        self.reserved_fractions_by_zone: dict[ZoneName, dict[RateId, float]] = {}
        self.heartbeat_at_by_zone: dict[ZoneName, float] = {}
        self.zone_demand_by_zone: dict[ZoneName, ZoneDemand] = {}
        self.share_by_id: dict[RateId, float] = {}
        self.computed_at = NEVER
        self.reset_at = NEVER
        self.has_start_wait_ended = False
        self.published_at = NEVER


class PendingDrain(msgspec.Struct):
    """Hold a drain that the target's daemon hasn't confirmed; retries end at `until`."""

    until: float
    next_at: float


class InForceWatch(msgspec.Struct):
    """Hold the answers about one customer's contract until the time `until`.

    `is_wanted_here` is whether an operator waits at this daemon, not only in another zone.
    """

    until: float
    asked_at: float = NEVER
    is_wanted_here: bool = False
    version: Version = Version(0)
    version_by_member: dict[Member, Version] = {}
    count_by_zone: dict[ZoneName, "ZoneCount"] = {}


class ZoneCount(msgspec.Struct, frozen=True):
    """Hold a zone's last answer about its daemons; `heard_at` is when it arrived."""

    version: Version
    daemons_known: int
    daemons_confirmed: int
    heard_at: float


class KnownMember(msgspec.Struct):
    """Hold a daemon of another zone; `heard_at` is when it was last seen."""

    member: Member
    heard_at: float


class FleetState:
    """Hold one daemon's view of members, targets, contracts and demand.

    `zones` are the zones named in the settings: each counts in the division of rates even
    before its first heartbeat. `now` is the time of the last tick, `sequence` that of this daemon's
    last published member record.
    """

    def __init__(
        self, *, me: Member, seeds: Iterable[Address], zones: Iterable[ZoneName] = ()
    ) -> None:
        self.me = me
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.zones = tuple(zones)
        self.sequence = 0
        self.now = NEVER
        self.started_at: float | None = None
        self.has_left = False
        self.is_joined = False
        self.store_by_scope = {scope: Store() for scope in Scope}
        self.cross_zone_scope_by_key: dict[str, int] = {}
        self.own_target_by_id: dict[TargetId, OwnTarget] = {}
        self.drained_incarnation_by_id: dict[TargetId, Incarnation] = {}
        self.pending_drain_by_id: dict[TargetId, PendingDrain] = {}
        self.in_force_by_customer: dict[CustomerId, InForceWatch] = {}
        self.known_members_by_zone: dict[ZoneName, dict[VmId, KnownMember]] = {}
        self.introduced_members: tuple[Member, ...] = ()
        self.probing = Probing()
        self.view = View()
        self.gossip = GossipState()
        self.watching = Watching()
        self.confirming = Confirming()
        self.shares = ShareState()

    def member_record(self, vm: VmId) -> MemberRecord | None:
        """Return the record of a daemon of this zone, or None if it is unknown."""
        record = self.store_by_scope[Scope.MEMBERS].record_by_key.get(f"m {vm}")
        return record if isinstance(record, MemberRecord) else None

    def member_records(self) -> list[MemberRecord]:
        """Return the records of this zone's daemons that haven't ended, this one included."""
        records = self.store_by_scope[Scope.MEMBERS].record_by_key.values()
        return [
            record
            for record in records
            if isinstance(record, MemberRecord) and record.status < Status.LEFT
        ]
