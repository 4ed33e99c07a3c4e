"""Messages and records that daemons exchange."""

from enum import IntEnum
from typing import Final, NewType

import msgspec

from daisywharf._contract import Contract
from daisywharf._ids import (
    CustomerId,
    Incarnation,
    ServiceName,
    TargetId,
    Version,
    VmId,
    ZoneName,
)
from daisywharf._topology import Address, GateHost, TargetState


class Status(IntEnum):
    """Status of one incarnation of a daemon; of two claims the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class Scope(IntEnum):
    """Sets of records that daemons replicate; the first two stay within a zone."""

    MEMBERS = 0
    DEMAND = 1
    SUMMARIES = 2
    CONTRACTS = 3


ZONE_SCOPES: Final = (Scope.MEMBERS, Scope.DEMAND)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Identify a daemon; `address` is where it accepts links."""

    vm: VmId
    zone: ZoneName
    incarnation: Incarnation
    address: Address


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe a target compactly; VM and zone are those of the enclosing record."""

    target_id: TargetId
    service: ServiceName
    incarnation: Incarnation
    host: str
    port: int
    slots: int
    connections: int
    state: TargetState
    gate: GateHost
    path_prefix: str = ""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """Hold a daemon's status and targets; only the daemon itself increments `sequence`."""

    member: Member
    sequence: int
    status: Status
    targets: tuple[TargetRecord, ...] = ()

    @property
    def key(self) -> str:
        """Return the key that identifies this record in a store."""
        return f"m {self.member.vm}"

    @property
    def is_terminal(self) -> bool:
        """Return whether this incarnation has ended."""
        return self.status >= Status.LEFT

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Return a sort key for records of one VM; within an incarnation its end comes last."""
        end = int(self.is_terminal)
        return (self.member.incarnation, end, 0 if end else self.sequence, self.status)


RateId = NewType("RateId", int)


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold the demand for a customer's call class as a step of a logarithmic scale."""

    rate_id: RateId
    step: int


class DemandRecord(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Hold the recent demand at one daemon."""

    vm: VmId
    incarnation: Incarnation
    sequence: int
    entries: tuple[DemandEntry, ...]

    @property
    def key(self) -> str:
        """Return the key that identifies this record in a store."""
        return f"d {self.vm}"

    @property
    def order(self) -> tuple[int, int]:
        """Return a sort key for records of one VM."""
        return (self.incarnation, self.sequence)


class ContractRecord(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Hold a customer's contract at a version; `contract` is None if it was deleted."""

    customer: CustomerId
    version: Version
    contract: Contract | None

    @property
    def key(self) -> str:
        """Return the key that identifies this record in a store."""
        return f"c {self.customer}"

    @property
    def order(self) -> tuple[int]:
        """Return a sort key for records of one customer."""
        return (self.version,)


class ZoneContacts(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """List some daemons of a zone through which other zones can reach it."""

    zone: ZoneName
    sequence: int
    publisher: VmId
    members: tuple[Member, ...]

    @property
    def key(self) -> str:
        """Return the key that identifies this record in a store."""
        return f"k {self.zone}"

    @property
    def order(self) -> tuple[int, str]:
        """Return a sort key for records of one zone; the larger publisher breaks ties."""
        return (self.sequence, self.publisher)


class ZoneDemand(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Hold a zone's recent demand with floors added; it also serves as the zone's heartbeat."""

    zone: ZoneName
    sequence: int
    publisher: VmId
    entries: tuple[DemandEntry, ...]

    @property
    def key(self) -> str:
        """Return the key that identifies this record in a store."""
        return f"w {self.zone}"

    @property
    def order(self) -> tuple[int, str]:
        """Return a sort key for records of one zone; the larger publisher breaks ties."""
        return (self.sequence, self.publisher)


class SummaryTarget(msgspec.Struct, frozen=True, array_like=True):
    """Hold a target that a summary lists, and its VM."""

    vm: VmId
    target: TargetRecord


class ServiceSummary(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Summarize a service in a zone; `targets` are those that other zones may call."""

    zone: ZoneName
    service: ServiceName
    sequence: int
    publisher: VmId
    target_count: int
    slots: int
    targets: tuple[SummaryTarget, ...]

    @property
    def key(self) -> str:
        """Return the key that identifies this record in a store."""
        return f"s {self.zone} {self.service}"

    @property
    def order(self) -> tuple[int, str]:
        """Return a sort key for summaries of one service; the larger publisher breaks ties."""
        return (self.sequence, self.publisher)


Record = MemberRecord | DemandRecord | ContractRecord | ZoneContacts | ZoneDemand | ServiceSummary


class Freshness(msgspec.Struct, frozen=True, array_like=True):
    """Report how long ago the platform confirmed the contracts with this digest.

    `age_s` is None if that is unknown. `was_confirmed`: the sender's copy has been confirmed
    since it started. `is_joined`: the sender has had time to learn its zone's members.
    """

    digest: int
    age_s: float | None
    was_confirmed: bool
    is_joined: bool


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Check that a daemon is alive, on behalf of `origin` if that is set."""

    sender: Member
    probe_id: int
    freshness: Freshness
    origin: Member | None = None


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag="alive"):
    """Answer a probe; `subject` is the probed daemon, `origin` the one that requested it."""

    sender: Member
    probe_id: int
    freshness: Freshness
    subject: Member
    origin: Member | None = None


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag="indirect"):
    """Ask a peer to probe `subject`, which doesn't answer the sender."""

    sender: Member
    probe_id: int
    subject: Member


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="gossip"):
    """Send changed records."""

    sender: Member
    records: tuple[Record, ...]


class RepairRequest(msgspec.Struct, frozen=True, array_like=True, tag="compare"):
    """Start an anti-entropy comparison of a scope with one digest over all its records."""

    sender: Member
    scope: Scope
    digest: int
    freshness: Freshness


class RepairBuckets(msgspec.Struct, frozen=True, array_like=True, tag="buckets"):
    """Continue a comparison that found a difference, with the digest of each bucket."""

    sender: Member
    scope: Scope
    bucket_digests: tuple[int, ...]
    freshness: Freshness


class RepairRecords(msgspec.Struct, frozen=True, array_like=True, tag="repair"):
    """Send records of buckets that differ; request the receiver's of buckets `wanted`."""

    sender: Member
    scope: Scope
    records: tuple[Record, ...]
    wanted: tuple[int, ...]


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag="meet"):
    """List some daemons of the receiver's zone for a receiver that has just started."""

    sender: Member
    members: tuple[Member, ...]


class DrainRequest(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Request that a target be drained; `is_forwarded` prevents a second forward."""

    sender: Member
    target_id: TargetId
    is_forwarded: bool = False


class DrainAnswer(msgspec.Struct, frozen=True, array_like=True, tag="drained"):
    """Confirm that the target's daemon has marked it as draining."""

    sender: Member
    target_id: TargetId


class InForceRequest(msgspec.Struct, frozen=True, array_like=True, tag="version?"):
    """Ask for the receiver's version of a contract, or with `for_zone` for its zone's counts."""

    sender: Member
    customer: CustomerId
    version: Version
    for_zone: bool = False


class InForceAnswer(msgspec.Struct, frozen=True, array_like=True, tag="version"):
    """Count the known daemons of the sender's zone, and those with at least `version`.

    An answer about the sender alone gives the sender's own version; both counts are then 1.
    """

    sender: Member
    customer: CustomerId
    version: Version
    daemons_known: int
    daemons_confirmed: int
    for_zone: bool = False


FleetMessage = (
    Probe
    | ProbeAnswer
    | IndirectProbe
    | Gossip
    | RepairRequest
    | RepairBuckets
    | RepairRecords
    | Introduction
    | DrainRequest
    | DrainAnswer
    | InForceRequest
    | InForceAnswer
)
