"""The messages and records that daemons of the fleet send each other."""

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
    """Order what is said of one incarnation of a daemon; the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class Scope(IntEnum):
    """Name the sets of records that daemons keep equal among themselves."""

    MEMBERS = 0
    DEMAND = 1
    SUMMARIES = 2
    CONTRACTS = 3


ZONE_SCOPES: Final = (Scope.MEMBERS, Scope.DEMAND)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe a daemon; `address` is where its links are accepted."""

    vm: VmId
    zone: ZoneName
    incarnation: Incarnation
    address: Address


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold a target in few bytes; its daemon's record tells the VM and the zone."""

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
    """Hold a daemon's state and targets; only the daemon itself raises `sequence`."""

    member: Member
    sequence: int
    status: Status
    targets: tuple[TargetRecord, ...] = ()

    @property
    def key(self) -> str:
        """Name the record among all records."""
        return f"m {self.member.vm}"

    @property
    def is_terminal(self) -> bool:
        """Tell whether this incarnation has ended."""
        return self.status >= Status.LEFT

    @property
    def order(self) -> tuple[int, int, int, int]:
        """Order the records of one VM; nothing follows the end of an incarnation."""
        end = int(self.is_terminal)
        return (self.member.incarnation, end, 0 if end else self.sequence, self.status)


RateId = NewType("RateId", int)


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold the demand for a customer's call class, on a logarithmic scale."""

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
        """Name the record among all records."""
        return f"d {self.vm}"

    @property
    def order(self) -> tuple[int, int]:
        """Order the records of one VM."""
        return (self.incarnation, self.sequence)


class ContractRecord(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Hold a customer's contract at a version, or its deletion (no contract)."""

    customer: CustomerId
    version: Version
    contract: Contract | None

    @property
    def key(self) -> str:
        """Name the record among all records."""
        return f"c {self.customer}"

    @property
    def order(self) -> tuple[int]:
        """Order the records of one customer."""
        return (self.version,)


class ZoneContacts(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Name some daemons of a zone."""

    zone: ZoneName
    sequence: int
    publisher: VmId
    members: tuple[Member, ...]

    @property
    def key(self) -> str:
        """Name the record among all records."""
        return f"k {self.zone}"

    @property
    def order(self) -> tuple[int, str]:
        """Order the records of one zone; a tie goes to the larger publisher."""
        return (self.sequence, self.publisher)


class ZoneDemand(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Hold the recent demand at a whole zone, with floors added; renewed as a heartbeat."""

    zone: ZoneName
    sequence: int
    publisher: VmId
    entries: tuple[DemandEntry, ...]

    @property
    def key(self) -> str:
        """Name the record among all records."""
        return f"w {self.zone}"

    @property
    def order(self) -> tuple[int, str]:
        """Order the records of one zone; a tie goes to the larger publisher."""
        return (self.sequence, self.publisher)


class SummaryContact(msgspec.Struct, frozen=True, array_like=True):
    """Hold a target of another zone and its VM."""

    vm: VmId
    target: TargetRecord


class ServiceSummary(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Sum up a service in a zone; `contacts` are some of its targets."""

    zone: ZoneName
    service: ServiceName
    sequence: int
    publisher: VmId
    target_count: int
    slots: int
    contacts: tuple[SummaryContact, ...]

    @property
    def key(self) -> str:
        """Name the record among all records."""
        return f"s {self.zone} {self.service}"

    @property
    def order(self) -> tuple[int, str]:
        """Order the records of one service; a tie goes to the larger publisher."""
        return (self.sequence, self.publisher)


Record = MemberRecord | DemandRecord | ContractRecord | ZoneContacts | ZoneDemand | ServiceSummary


class Freshness(msgspec.Struct, frozen=True, array_like=True):
    """Tell how old a daemon's word from the platform is, for the contracts of one digest.

    `age_s` is none where no word is known; `is_settled` tells that the copy was confirmed,
    `is_joined` that the sender has had time to learn its zone's members.
    """

    digest: int
    age_s: float | None
    was_confirmed: bool
    is_joined: bool


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Ask a daemon for a sign of life, on behalf of `origin` where there is one."""

    sender: Member
    probe_id: int
    freshness: Freshness
    origin: Member | None = None


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag="alive"):
    """Answer a probe; `subject` is the daemon that lives, `origin` the one that wants to know."""

    sender: Member
    probe_id: int
    freshness: Freshness
    subject: Member
    origin: Member | None = None


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag="indirect"):
    """Ask a peer to probe a daemon that doesn't answer the sender."""

    sender: Member
    probe_id: int
    subject: Member


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="gossip"):
    """Spread changed records."""

    sender: Member
    records: tuple[Record, ...]


class RepairRequest(msgspec.Struct, frozen=True, array_like=True, tag="compare"):
    """Compare all records of a scope by one digest."""

    sender: Member
    scope: Scope
    digest: int
    freshness: Freshness


class RepairBuckets(msgspec.Struct, frozen=True, array_like=True, tag="buckets"):
    """Compare the records of a scope by the digest of each bucket."""

    sender: Member
    scope: Scope
    bucket_digests: tuple[int, ...]
    freshness: Freshness


class RepairRecords(msgspec.Struct, frozen=True, array_like=True, tag="repair"):
    """Give records of buckets that differ; ask for the receiver's records of `wanted`."""

    sender: Member
    scope: Scope
    records: tuple[Record, ...]
    wanted: tuple[int, ...]


class Introduction(msgspec.Struct, frozen=True, array_like=True, tag="meet"):
    """Name some daemons of the receiver's zone to a receiver that has just started."""

    sender: Member
    members: tuple[Member, ...]


class DrainRequest(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Ask for a target to be drained; `is_forwarded` stops a second forward across zones."""

    sender: Member
    target_id: TargetId
    is_forwarded: bool = False


class DrainAnswer(msgspec.Struct, frozen=True, array_like=True, tag="drained"):
    """Tell that the daemon of the target has marked it."""

    sender: Member
    target_id: TargetId


class InForceRequest(msgspec.Struct, frozen=True, array_like=True, tag="version?"):
    """Ask which version of a contract is held; `for_zone` asks for the count of a zone."""

    sender: Member
    customer: CustomerId
    version: Version
    for_zone: bool = False


class InForceAnswer(msgspec.Struct, frozen=True, array_like=True, tag="version"):
    """Tell how many known daemons of the sender's zone hold at least `version`.

    For an answer about the sender alone both counts are at most 1.
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
