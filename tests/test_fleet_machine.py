"""Invariants of the fleet under loss, duplication, reordering, pauses, partitions and restarts."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from tests.builders_fleet import KARRI, ORDER, FakeFleet

from daisywharf._fleet import _state as fleet
from daisywharf._fleet._in_force import contract_version
from daisywharf._ids import CustomerId, VmId

OTHER = CustomerId("scheldezand")
OVERSHOOT_IN_PARTITION = 0.10
vm_numbers = st.integers(0, 7)
seconds = st.sampled_from([0.4, 1.0, 2.0, 6.0])
customers = st.sampled_from([KARRI, OTHER])

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=8,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)


class RecordsMachine(RuleBasedStateMachine):
    """Check membership and contracts under random faults."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.world = FakeFleet(zones=2, per_zone=4, seed=seed, loss=0.05)
        self.world.duplication = 0.1
        self.version_by_process: dict[tuple[int, CustomerId], int] = {}
        self.min_version_by_customer: dict[CustomerId, int] = {}
        self.deleted_by_customer: dict[CustomerId, int] = {}
        self.ended_incarnation_by_process: dict[tuple[int, VmId], int] = {}
        # Invariants key by id(state); keeping the old states alive prevents reuse of their ids.
        self.states = list(self.world.state_by_vm.values())
        self.world.write(KARRI)
        self.world.run(8.0)

    @rule(customer=customers)
    def edit(self, customer: CustomerId) -> None:
        if not self.world.is_platform_down:
            self.world.write(customer)

    @rule(customer=customers)
    def delete(self, customer: CustomerId) -> None:
        if not self.world.is_platform_down:
            self.deleted_by_customer[customer] = self.world.delete(customer)

    @rule()
    def switch_platform(self) -> None:
        self.world.is_platform_down = not self.world.is_platform_down

    @rule()
    def lose_platform_answers(self) -> None:
        self.world.pending.clear()

    @rule()
    def switch_cut(self) -> None:
        self.world.cut_zones ^= {self.world.zones[1]}

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]))
    def change_loss(self, loss: float) -> None:
        self.world.loss = loss

    @rule(number=vm_numbers, for_s=st.sampled_from([0.6, 4.0, 9.0]))
    def pause(self, number: int, for_s: float) -> None:
        self.world.pause(VmId(f"vm-{number}"), for_s=for_s)

    @rule(number=vm_numbers)
    def restart(self, number: int) -> None:
        vm = VmId(f"vm-{number}")
        self.world.start(vm)
        self.states.append(self.world.state_by_vm[vm])

    @rule()
    def replace_zone(self) -> None:
        for peer in self.world.members:
            if peer.zone == self.world.zones[1]:
                self.restart(int(peer.vm.split("-")[1]))

    @rule(for_s=seconds)
    def pass_time(self, for_s: float) -> None:
        self.world.run(for_s)

    @invariant()
    def no_contract_goes_back(self) -> None:
        for customer in (KARRI, OTHER):
            for state in self.world.state_by_vm.values():
                key = (id(state), customer)
                version = contract_version(state, customer)
                assert version >= self.version_by_process.get(key, 0)
                self.version_by_process[key] = version

    @invariant()
    def a_confirmed_copy_holds_what_was_in_force_everywhere(self) -> None:
        for customer in (KARRI, OTHER):
            versions = self.world.versions(customer)
            oldest = self.min_version_by_customer.get(customer, 0)
            for state in self.world.state_by_vm.values():
                version = contract_version(state, customer)
                # A daemon that started after a deletion has no record of the customer.
                is_deleted = version == 0 and self.deleted_by_customer.get(customer, -1) >= oldest
                if fleet.is_confirmed(state) and not is_deleted:
                    assert version >= oldest
            self.min_version_by_customer[customer] = max(oldest, *(min(versions), 0))

    @invariant()
    def no_ended_incarnation_comes_back(self) -> None:
        for state in self.world.state_by_vm.values():
            for peer in self.world.members:
                record = state.member_record(peer.vm)
                key = (id(state), peer.vm)
                ended_incarnation = self.ended_incarnation_by_process.get(key, -1)
                if record is None:
                    continue
                if record.is_terminal:
                    self.ended_incarnation_by_process[key] = max(
                        ended_incarnation, record.member.incarnation
                    )
                else:
                    assert record.member.incarnation > ended_incarnation

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        world = self.world
        world.is_platform_down = False
        world.cut_zones.clear()
        world.loss = 0.0
        world.run(30.0)
        accepted = world.record_by_customer[KARRI].contract
        for state in world.state_by_vm.values():
            assert fleet.contracts_by_customer(state).get(KARRI) == accepted
            assert fleet.is_confirmed(state)
        counts = {len(state.member_records()) for state in world.state_by_vm.values()}
        assert counts == {4}


class SharesMachine(RuleBasedStateMachine):
    """Check that shares stay within the rate while demand moves and faults occur."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.world = FakeFleet(zones=3, per_zone=3, seed=seed, loss=0.05)
        self.world.write(KARRI)
        self.demand_by_vm: dict[VmId, int] = {}
        self.pass_time(14)

    @rule(number=st.integers(0, 8), requests=st.sampled_from([0, 5, 40, 200]))
    def change_demand(self, number: int, requests: int) -> None:
        self.demand_by_vm[VmId(f"vm-{number}")] = requests

    @rule(number=st.integers(0, 2))
    def move_all_demand(self, number: int) -> None:
        zone = self.world.zones[number]
        for peer in self.world.members:
            self.demand_by_vm[peer.vm] = 60 if peer.zone == zone else 0

    @rule()
    def switch_cut(self) -> None:
        self.world.cut_zones ^= {self.world.zones[2]}

    @rule(number=st.integers(0, 8), for_s=st.sampled_from([0.6, 2.0, 7.0]))
    def pause(self, number: int, for_s: float) -> None:
        self.world.pause(VmId(f"vm-{number}"), for_s=for_s)

    @rule(number=st.integers(0, 8))
    def restart(self, number: int) -> None:
        self.world.start(VmId(f"vm-{number}"))

    @rule(for_s=st.integers(1, 6))
    def pass_time(self, for_s: int) -> None:
        for _ in range(for_s * 5):
            for vm, state in self.world.state_by_vm.items():
                requests = self.demand_by_vm.get(vm, 10) // 5
                fleet.record_demand(state, KARRI, ORDER, requests=requests, now=self.world.now)
            self.world.step()
            assert self.world.share_sum() <= 1.0 + OVERSHOOT_IN_PARTITION


TestRecords = RecordsMachine.TestCase
TestRecords.settings = SETTINGS
TestShares = SharesMachine.TestCase
TestShares.settings = SETTINGS
