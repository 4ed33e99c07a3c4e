"""The fleet as one daemon sees it, and what it does about it."""

from collections.abc import Iterable
from random import Random

import msgspec

from daisywharf._contract import Contract
from daisywharf._fleet._messages import ContractRecord, FleetMessage, Member, Sync
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    ServiceName,
    TargetId,
    Version,
    VmId,
    ZoneName,
)
from daisywharf._topology import Address, Target

SYNC_PERIOD_S = 0.5


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


class ListContacts(msgspec.Struct, frozen=True):
    """Read the contacts of all zones from the platform."""


class WriteContact(msgspec.Struct, frozen=True):
    """Write this daemon's contact at the platform."""

    member: Member


FleetAction = SendTo | ListContracts | WatchContracts | ListContacts | WriteContact


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

    action: ListContracts | WatchContracts | ListContacts | WriteContact
    is_gone: bool = False


class ContactWritten(msgspec.Struct, frozen=True):
    """Report that this daemon's contact was written."""


PlatformResult = ContractsRead | ContactsRead | PlatformFailed | ContactWritten


class FleetState:
    """Hold one daemon's view of members, targets and contracts."""

    def __init__(self, *, me: Member, seeds: Iterable[Address]) -> None:
        self.me = me
        self.seeds = tuple(seeds)
        self.member_by_vm: dict[VmId, Member] = {me.vm: me}
        self.target_by_id: dict[TargetId, Target] = {}
        self.record_by_customer: dict[CustomerId, ContractRecord] = {}
        self.synced_at = float("-inf")
        self.is_listing = False
        self.watched_version: Version | None = None


def announce(state: FleetState, target: Target, *, now: float) -> list[FleetAction]:
    """Take a target's announcement or its renewal; spread a changed one soon."""
    state.target_by_id[target.target_id] = target
    return []


def withdraw(state: FleetState, target_id: TargetId, *, now: float) -> list[FleetAction]:
    """Let a target leave; it receives no new work once this has spread."""
    state.target_by_id.pop(target_id, None)
    return []


def receive(
    state: FleetState, message: FleetMessage, *, now: float, rng: Random
) -> list[FleetAction]:
    """Merge what a peer says."""
    for member in (message.sender, *message.members):
        state.member_by_vm[member.vm] = member
    for target in message.targets:
        if target.vm != state.me.vm:
            state.target_by_id[target.target_id] = target
    _merge(state, message.contracts)
    return []


def tick(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Do what time asks for; call every 100 ms."""
    actions: list[FleetAction] = []
    if not state.is_listing and state.watched_version is None:
        state.is_listing = True
        actions.append(ListContracts())
    if now - state.synced_at >= SYNC_PERIOD_S:
        state.synced_at = now
        actions.extend(_sync(state))
    return actions


def _sync(state: FleetState) -> list[FleetAction]:
    message = Sync(
        sender=state.me,
        members=tuple(state.member_by_vm.values()),
        targets=tuple(state.target_by_id.values()),
        contracts=tuple(state.record_by_customer.values()),
    )
    peers = {member.address: member.vm for member in state.member_by_vm.values()}
    for seed in state.seeds:
        peers.setdefault(seed, VmId(""))
    peers.pop(state.me.address, None)
    return [SendTo(address, message, vm or None) for address, vm in peers.items()]


def platform_answered(
    state: FleetState, result: PlatformResult, *, now: float, rng: Random
) -> list[FleetAction]:
    """Take the result of an action on the platform."""
    if isinstance(result, PlatformFailed):
        state.is_listing = False
        state.watched_version = None
    if isinstance(result, ContractsRead):
        _merge(state, result.records)
        state.watched_version = result.version
        return [WatchContracts(result.version)]
    return []


def leave(state: FleetState, *, now: float) -> list[FleetAction]:
    """Tell peers that this daemon and its targets go."""
    return []


def contracts_by_customer(state: FleetState) -> dict[CustomerId, Contract]:
    """Return the contracts in force here."""
    return {
        customer: record.contract
        for customer, record in state.record_by_customer.items()
        if record.contract is not None
    }


def targets_of(state: FleetState, service: ServiceName) -> list[Target]:
    """Return the targets of a service that may be called from here."""
    return [target for target in state.target_by_id.values() if target.service == service]


def share_of(
    state: FleetState, customer: CustomerId, call_class: CallClassName, *, now: float
) -> float:
    """Return the part (0 to 1) of the contract's rate that this daemon's entry may admit."""
    return 1.0


def note_demand(
    state: FleetState,
    customer: CustomerId,
    call_class: CallClassName,
    *,
    requests: int,
    now: float,
) -> None:
    """Count requests that entered here since the last note, admitted or not."""


def _merge(state: FleetState, records: Iterable[ContractRecord]) -> None:
    for record in records:
        known = state.record_by_customer.get(record.customer)
        if known is None or record.version > known.version:
            state.record_by_customer[record.customer] = record


def zones_of(state: FleetState) -> set[ZoneName]:
    """Return the zones that this daemon has heard of."""
    return {member.zone for member in state.member_by_vm.values()}
