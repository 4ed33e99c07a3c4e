"""What a daemon asks its shells to do, and what they report back."""

import msgspec

from daisywharf._fleet._messages import ContractRecord, FleetMessage, Member
from daisywharf._ids import Version, VmId
from daisywharf._topology import Address

WATCH_TIMEOUT_S = 10.0


class SendTo(msgspec.Struct, frozen=True):
    """Send a message to a daemon; `vm` is none where only a seed address is known."""

    address: Address
    message: FleetMessage
    vm: VmId | None = None


class ListContracts(msgspec.Struct, frozen=True):
    """Read all contracts from the platform."""


class WatchContracts(msgspec.Struct, frozen=True):
    """Wait at the platform for contracts that changed after a version."""

    after: Version
    timeout_s: float = WATCH_TIMEOUT_S


class ListContacts(msgspec.Struct, frozen=True):
    """Read the contacts of all zones from the platform."""


class WriteContact(msgspec.Struct, frozen=True):
    """Write this daemon's contact at the platform, over the last one in its zone's `slot`."""

    member: Member
    slot: int = 0


PlatformAction = ListContracts | WatchContracts | ListContacts | WriteContact
FleetAction = SendTo | PlatformAction


class ContractsRead(msgspec.Struct, frozen=True):
    """Report contracts that the platform gave; `whole` tells a listing from changes."""

    records: tuple[ContractRecord, ...]
    version: Version
    whole: bool


class ContactsRead(msgspec.Struct, frozen=True):
    """Report the contacts that the platform holds."""

    members: tuple[Member, ...]


class PlatformFailed(msgspec.Struct, frozen=True):
    """Report an action on the platform that failed."""

    action: PlatformAction
    is_gone: bool = False


class ContactWritten(msgspec.Struct, frozen=True):
    """Report that this daemon's contact was written."""


PlatformResult = ContractsRead | ContactsRead | PlatformFailed | ContactWritten
