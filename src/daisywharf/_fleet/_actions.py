"""Actions that the fleet logic returns to its caller to run, and the results fed back to it."""

import msgspec

from daisywharf._fleet._messages import ContractRecord, FleetMessage, Member
from daisywharf._ids import Version, VmId
from daisywharf._topology import Address

WATCH_TIMEOUT_S = 10.0


class SendTo(msgspec.Struct, frozen=True):
    """Send a message to a daemon; `vm` is None if only its seed address is known."""

    address: Address
    message: FleetMessage
    vm: VmId | None = None


class ListContracts(msgspec.Struct, frozen=True):
    """Read all contracts from the platform."""


class WatchContracts(msgspec.Struct, frozen=True):
    """Long-poll the platform for contracts that changed after the version `after`."""

    after: Version
    timeout_s: float = WATCH_TIMEOUT_S


class ListContacts(msgspec.Struct, frozen=True):
    """Read the contacts of all zones from the platform."""


class WriteContact(msgspec.Struct, frozen=True):
    """Write this daemon's contact to the platform, replacing the one in `slot` of its zone."""

    member: Member
    slot: int = 0


PlatformAction = ListContracts | WatchContracts | ListContacts | WriteContact
FleetAction = SendTo | PlatformAction


class ContractsRead(msgspec.Struct, frozen=True):
    """Report contracts read from the platform: a full listing if `whole`, else changes."""

    records: tuple[ContractRecord, ...]
    version: Version
    whole: bool


class ContactsRead(msgspec.Struct, frozen=True):
    """Report the contacts read from the platform."""

    members: tuple[Member, ...]


class PlatformFailed(msgspec.Struct, frozen=True):
    """Report a failed platform action; `is_gone` if the platform can't resume a watch there."""

    action: PlatformAction
    is_gone: bool = False


class ContactWritten(msgspec.Struct, frozen=True):
    """Report that this daemon's contact was written to the platform."""


PlatformResult = ContractsRead | ContactsRead | PlatformFailed | ContactWritten
