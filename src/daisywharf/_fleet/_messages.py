"""The messages that daemons of the fleet send each other."""

import msgspec

from daisywharf._contract import Contract
from daisywharf._ids import CustomerId, Incarnation, Version, VmId, ZoneName
from daisywharf._topology import Address, Target


class Member(msgspec.Struct, frozen=True):
    """Describe a daemon; `address` is where its links are accepted."""

    vm: VmId
    zone: ZoneName
    incarnation: Incarnation
    address: Address


class ContractRecord(msgspec.Struct, frozen=True):
    """Hold a customer's contract at a version, or its deletion (no contract)."""

    customer: CustomerId
    version: Version
    contract: Contract | None


class Sync(msgspec.Struct, frozen=True, tag="sync"):
    """Tell a peer the sender's members, targets and contracts."""

    sender: Member
    members: tuple[Member, ...]
    targets: tuple[Target, ...]
    contracts: tuple[ContractRecord, ...]


FleetMessage = Sync
