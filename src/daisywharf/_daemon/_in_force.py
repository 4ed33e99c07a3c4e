"""How far a contract has spread, as sent from a daemon to the command line."""

import msgspec

from daisywharf._ids import CustomerId, Version, ZoneName


class ZoneCount(msgspec.Struct, frozen=True):
    """Count the known daemons of a zone, and those that confirmed the contract's version."""

    zone: ZoneName
    daemons: int
    confirmed: int
    is_reachable: bool


class ContractInForce(msgspec.Struct, frozen=True):
    """Hold the version of a customer's contract on this daemon, and how far it has spread."""

    customer: CustomerId
    version: Version
    zones: tuple[ZoneCount, ...] = ()
