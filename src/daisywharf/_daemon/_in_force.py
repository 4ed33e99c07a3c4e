"""How far a contract has spread, as a daemon tells it and the command line reads it."""

import msgspec

from daisywharf._ids import CustomerId, Version, ZoneName


class ZoneCount(msgspec.Struct, frozen=True):
    """Tell in one zone how many daemons are known and how many confirmed a version."""

    zone: ZoneName
    daemons: int
    confirmed: int
    is_reachable: bool


class ContractInForce(msgspec.Struct, frozen=True):
    """Tell the version of a customer's contract here, and how far it has spread."""

    customer: CustomerId
    version: Version
    zones: tuple[ZoneCount, ...] = ()
