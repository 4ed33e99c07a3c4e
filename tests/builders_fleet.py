"""A small fleet whose clock, links and platform are controlled by tests."""

from random import Random

import msgspec

from daisywharf._codec import decode, encode
from daisywharf._contract import CallClass, Contract, Importance
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._actions import PlatformAction
from daisywharf._fleet._in_force import contract_version
from daisywharf._fleet._messages import ContractRecord, FleetMessage, Member
from daisywharf._fleet._model import FleetState
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    ServiceName,
    TargetId,
    Version,
    VmId,
    ZoneName,
)
from daisywharf._topology import Address, Target

TICK_S = 0.2
ORDER = CallClassName("order")
KARRI = CustomerId("karri")


def contract(customer: CustomerId = KARRI, *, rate_per_second: float = 100.0) -> Contract:
    """Return a contract with one call class."""
    call_class = CallClass(
        name=ORDER,
        services=(ServiceName("orders"),),
        importance=Importance.CRITICAL,
        rate_per_second=rate_per_second,
        burst=10,
        deadline_ms=1000,
        idempotent=False,
    )
    return Contract(customer, {ORDER: call_class})


def member(number: int, *, zone: str = "z0", incarnation: int = 1) -> Member:
    """Return a daemon's identity."""
    vm = VmId(f"vm-{number}")
    return Member(vm, ZoneName(zone), Incarnation(incarnation), Address("10.0.0.1", number + 1))


def target(owner: Member, *, incarnation: int = 1, service: str = "orders") -> Target:
    """Return a serving target of a VM."""
    return Target(
        target_id=TargetId(f"{service}-{owner.vm}"),
        service=ServiceName(service),
        vm=owner.vm,
        zone=owner.zone,
        incarnation=Incarnation(incarnation),
        address=Address("10.0.0.1", 8000),
        slots=10,
        connections=20,
    )


class InFlightMessage(msgspec.Struct):
    """Hold a message that hasn't been delivered yet."""

    sender: VmId
    address: Address
    frame: bytes


class PendingAction(msgspec.Struct):
    """Hold a platform action that awaits its result."""

    vm: VmId
    action: PlatformAction
    asked_at: float


class FakeFleet:
    """Run daemons, the messages between them, and a platform."""

    def __init__(self, *, zones: int, per_zone: int, seed: int = 0, loss: float = 0.0) -> None:
        self.rng = Random(seed)
        self.loss = loss
        self.duplication = 0.0
        self.now = 0.0
        self.zones = [ZoneName(f"z{number}") for number in range(zones)]
        self.members = [
            member(number, zone=self.zones[number % zones]) for number in range(zones * per_zone)
        ]
        self.state_by_vm: dict[VmId, FleetState] = {}
        self.paused_until_by_vm: dict[VmId, float] = {}
        self.in_flight: list[InFlightMessage] = []
        self.cut_zones: set[ZoneName] = set()
        self.is_platform_down = False
        self.platform_calls = 0
        self.version = 0
        self.record_by_customer: dict[CustomerId, ContractRecord] = {}
        self.target_by_vm: dict[VmId, Target] = {}
        self.platform_delay_s = 0.0
        self.pending: list[PendingAction] = []
        for me in self.members:
            self.start(me.vm)

    def start(self, vm: VmId) -> None:
        """Start a daemon with an empty state, in place of the one that ran."""
        initial_member = next(peer for peer in self.members if peer.vm == vm)
        incarnation = Incarnation(int(self.now * 1000) + 1)
        me = Member(vm, initial_member.zone, incarnation, initial_member.address)
        seeds = [peer.address for peer in self.members[: 2 * len(self.zones)]]
        self.state_by_vm[vm] = FleetState(me=me, seeds=seeds, zones=self.zones)
        self.paused_until_by_vm.pop(vm, None)
        self.pending = [item for item in self.pending if item.vm != vm]

    def pause(self, vm: VmId, *, for_s: float) -> None:
        """Suspend a daemon's process for some seconds."""
        self.paused_until_by_vm[vm] = self.now + for_s

    def is_paused(self, vm: VmId) -> bool:
        """Return whether a daemon's process is suspended."""
        return self.paused_until_by_vm.get(vm, 0.0) > self.now

    def write(self, customer: CustomerId = KARRI, *, rate_per_second: float = 100.0) -> Version:
        """Write a contract to the platform and return its version."""
        self.version += 1
        accepted = msgspec.structs.replace(
            contract(customer, rate_per_second=rate_per_second), version=Version(self.version)
        )
        record = ContractRecord(customer, Version(self.version), accepted)
        self.record_by_customer[customer] = record
        return record.version

    def delete(self, customer: CustomerId = KARRI) -> Version:
        """Delete a contract on the platform and return the version of that."""
        self.version += 1
        record = ContractRecord(customer, Version(self.version), None)
        self.record_by_customer[customer] = record
        return record.version

    def run(self, seconds: float) -> None:
        """Run for some seconds."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def step(self) -> None:
        """Advance by one tick: deliver messages in random order, then tick each daemon."""
        self.now += TICK_S
        self._deliver()
        self._answer_platform()
        for vm, state in list(self.state_by_vm.items()):
            if self.is_paused(vm):
                continue
            announced = self.target_by_vm.get(vm)
            if announced is not None:
                self.act(vm, fleet.announce(state, announced, now=self.now))
            self.act(vm, fleet.tick(state, now=self.now, rng=self.rng))

    def act(self, vm: VmId, actions: list[fleet.FleetAction]) -> None:
        """Run a daemon's actions."""
        for action in actions:
            if isinstance(action, fleet.SendTo):
                self.in_flight.append(InFlightMessage(vm, action.address, encode(action.message)))
            else:
                self.platform_calls += 1
                self.pending.append(PendingAction(vm, action, self.now))

    def _deliver(self) -> None:
        in_flight, self.in_flight = self.in_flight, []
        self.rng.shuffle(in_flight)
        member_by_address = {peer.address: peer for peer in self.members}
        zone_by_vm = {peer.vm: peer.zone for peer in self.members}
        for item in in_flight:
            receiver = member_by_address.get(item.address)
            if receiver is None:
                continue
            zones = {receiver.zone, zone_by_vm[item.sender]}
            is_cut = len(zones) > 1 and bool(zones & self.cut_zones)
            if is_cut or self.rng.random() < self.loss:
                continue
            if self.is_paused(receiver.vm):
                self.in_flight.append(item)
                continue
            self._receive(receiver.vm, item)
            if self.rng.random() < self.duplication:
                self.in_flight.append(item)

    def _receive(self, vm: VmId, item: InFlightMessage) -> None:
        message = decode(item.frame, FleetMessage)
        state = self.state_by_vm[vm]
        self.act(vm, fleet.receive(state, message, now=self.now, rng=self.rng))

    def _answer_platform(self) -> None:
        pending, self.pending = self.pending, []
        for item in pending:
            vm, state = item.vm, self.state_by_vm[item.vm]
            is_slow = self.now - item.asked_at < self.platform_delay_s
            if is_slow or self.is_paused(vm) or self._is_unchanged_watch(item.action):
                self.pending.append(item)
                continue
            result = self._result(item.action)
            self.act(vm, fleet.handle_platform_result(state, result, now=self.now, rng=self.rng))

    def _is_unchanged_watch(self, action: PlatformAction) -> bool:
        is_watch = isinstance(action, fleet.WatchContracts) and not self.is_platform_down
        return is_watch and action.after >= self.version

    def _result(self, action: PlatformAction) -> fleet.PlatformResult:
        if self.is_platform_down:
            return fleet.PlatformFailed(action)
        version = Version(self.version)
        records = tuple(self.record_by_customer.values())
        if isinstance(action, fleet.ListContracts):
            existing = tuple(record for record in records if record.contract is not None)
            return fleet.ContractsRead(existing, version, whole=True)
        if isinstance(action, fleet.WatchContracts):
            changed = tuple(record for record in records if record.version > action.after)
            return fleet.ContractsRead(changed, version, whole=False)
        if isinstance(action, fleet.ListContacts):
            return fleet.ContactsRead(())
        return fleet.ContactWritten()

    def versions(self, customer: CustomerId = KARRI) -> list[Version]:
        """Return each daemon's version of a contract."""
        return [contract_version(state, customer) for state in self.state_by_vm.values()]

    def share_sum(self, customer: CustomerId = KARRI) -> float:
        """Return the sum of all daemons' current shares."""
        return sum(
            fleet.share_of(state, customer, ORDER, now=self.now)
            for state in self.state_by_vm.values()
        )
