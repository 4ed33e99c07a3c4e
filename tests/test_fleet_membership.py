"""Which daemons and targets a daemon knows of."""

import msgspec
import pytest
from tests.builders_fleet import FakeFleet, target

from daisywharf._fleet import _membership, _state
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._membership import publish_self
from daisywharf._fleet._messages import MemberRecord, Status
from daisywharf._ids import Incarnation, ServiceName, VmId
from daisywharf._topology import Address, GateHost, TargetState

ORDERS = ServiceName("orders")
VM_1 = VmId("vm-1")


def start_zone(size: int, **options: float) -> FakeFleet:
    world = FakeFleet(zones=1, per_zone=size, **options)  # type: ignore[arg-type]
    world.run(8.0)
    return world


def observer_of(world: FakeFleet) -> fleet.FleetState:
    return world.state_by_vm[VmId("vm-0")]


def observed_record(world: FakeFleet, vm: VmId) -> MemberRecord:
    record = observer_of(world).member_record(vm)
    assert record is not None
    return record


def check_new_incarnation_after_pause(world: FakeFleet) -> None:
    """Pause a daemon until it is declared dead, and check that it returns as a new incarnation."""
    before = observed_record(world, VM_1).member.incarnation
    world.pause(VM_1, for_s=15.0)
    world.run(14.0)
    assert observed_record(world, VM_1).status is Status.DEAD
    world.run(8.0)
    assert observed_record(world, VM_1).status is Status.ALIVE
    assert observed_record(world, VM_1).member.incarnation > before


def test_daemons_find_each_other_from_seeds() -> None:
    world = start_zone(6, loss=0.05)
    assert all(len(state.member_records()) == 6 for state in world.state_by_vm.values())


def test_a_silent_daemon_is_suspected_before_it_is_declared_dead() -> None:
    world = start_zone(4)
    world.pause(VM_1, for_s=60.0)
    seen = []
    for _ in range(12):
        world.run(1.0)
        seen.append(observed_record(world, VM_1).status)
    assert Status.SUSPECT in seen
    assert seen[-1] is Status.DEAD


def test_a_daemon_refutes_a_suspicion() -> None:
    world = start_zone(4)
    world.pause(VM_1, for_s=2.6)
    world.run(12.0)
    assert observed_record(world, VM_1).status is Status.ALIVE


def test_a_paused_daemon_comes_back_as_a_new_incarnation() -> None:
    check_new_incarnation_after_pause(start_zone(4))


def test_a_long_pause_revives_no_daemon_whose_end_was_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_membership, "ENDED_RETENTION_S", 12.0)
    monkeypatch.setattr(_state, "FORGET_THRESHOLD_S", 10.0)
    world = start_zone(4)
    world.pause(VM_1, for_s=30.0)
    world.pause(VmId("vm-2"), for_s=1000.0)
    world.run(29.0)
    assert observer_of(world).member_record(VmId("vm-2")) is None
    for _ in range(8):
        world.run(1.0)
        assert observer_of(world).member_record(VmId("vm-2")) is None
    assert observed_record(world, VM_1).status is Status.ALIVE
    assert len(world.state_by_vm[VM_1].member_records()) == 3


def test_a_dead_incarnation_that_came_back_would_be_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def order(record: MemberRecord) -> tuple[int, int, int]:
        return (record.member.incarnation, record.sequence, record.status)

    monkeypatch.setattr(MemberRecord, "order", property(order))
    for module in (_membership, _state):
        monkeypatch.setattr(module, "reincarnate", lambda state, number: publish_self(state))
    with pytest.raises(AssertionError):
        check_new_incarnation_after_pause(start_zone(4))


def test_a_daemon_that_leaves_is_gone_without_suspicion() -> None:
    world = start_zone(4)
    state = world.state_by_vm[VM_1]
    world.act(VM_1, fleet.leave(state, now=world.now))
    world.run(1.0)
    assert observed_record(world, VM_1).status is Status.LEFT


def test_a_vm_with_a_new_address_replaces_its_former_record() -> None:
    world = start_zone(4)
    index = next(index for index, peer in enumerate(world.members) if peer.vm == VM_1)
    moved = msgspec.structs.replace(world.members[index], address=Address("10.0.0.9", 99))
    world.members[index] = moved
    world.start(VM_1)
    world.run(8.0)
    records = [state.member_record(VM_1) for state in world.state_by_vm.values()]
    assert {record.member.address for record in records if record} == {moved.address}


def test_a_vm_whose_clock_was_set_back_goes_past_its_former_incarnation() -> None:
    world = start_zone(4)
    before = observed_record(world, VM_1).member.incarnation
    world.start(VM_1)
    state = world.state_by_vm[VM_1]
    state.me = msgspec.structs.replace(state.me, incarnation=Incarnation(0))
    world.run(8.0)
    assert observed_record(world, VM_1).member.incarnation > before
    assert observed_record(world, VM_1).member == state.me


def test_a_target_keeps_all_that_it_announced() -> None:
    world = start_zone(3)
    plain = target(world.state_by_vm[VM_1].me)
    announced = msgspec.structs.replace(
        plain, path_prefix="/v2", gate=GateHost.DAEMON, state=TargetState.COLD, incarnation=5
    )
    world.target_by_vm[VM_1] = announced
    world.run(2.0)
    assert fleet.targets_of(observer_of(world), ORDERS) == [announced]


def test_a_target_that_stops_renewing_is_withdrawn() -> None:
    world = start_zone(3)
    announced = target(world.state_by_vm[VM_1].me)
    world.target_by_vm[VM_1] = announced
    world.run(2.0)
    assert fleet.targets_of(observer_of(world), ORDERS) == [announced]
    world.target_by_vm.clear()
    world.run(9.0)
    assert fleet.targets_of(observer_of(world), ORDERS) == []


def test_a_drain_requested_at_any_daemon_is_known_in_the_zone_within_two_seconds() -> None:
    world = start_zone(5, loss=0.05)
    announced = target(world.state_by_vm[VM_1].me)
    world.target_by_vm[VM_1] = announced
    world.run(2.0)
    requester = observer_of(world)
    world.act(requester.me.vm, fleet.request_drain(requester, announced.target_id, now=world.now))
    world.run(2.0)
    assert all(not fleet.targets_of(state, ORDERS) for state in world.state_by_vm.values())


def test_a_drain_survives_a_restart_of_the_daemon() -> None:
    world = start_zone(4)
    announced = target(world.state_by_vm[VM_1].me)
    world.target_by_vm[VM_1] = announced
    world.run(2.0)
    requester = observer_of(world)
    world.act(requester.me.vm, fleet.request_drain(requester, announced.target_id, now=world.now))
    world.run(2.0)
    world.start(VM_1)
    world.run(8.0)
    assert fleet.targets_of(observer_of(world), ORDERS) == []
    restarted = target(world.state_by_vm[VM_1].me, incarnation=2)
    world.target_by_vm[VM_1] = restarted
    world.run(2.0)
    assert fleet.targets_of(observer_of(world), ORDERS) == [restarted]


def test_a_drain_reaches_a_target_of_another_zone() -> None:
    world = FakeFleet(zones=2, per_zone=3)
    world.run(8.0)
    announced = target(world.state_by_vm[VM_1].me)
    world.target_by_vm[VM_1] = announced
    world.run(4.0)
    requester = observer_of(world)
    assert requester.me.zone != announced.zone
    assert fleet.targets_of(requester, ORDERS) == [announced]
    world.act(requester.me.vm, fleet.request_drain(requester, announced.target_id, now=world.now))
    world.run(4.0)
    record = world.state_by_vm[VM_1].member_record(VM_1)
    assert record is not None
    assert [stored.state for stored in record.targets] == [TargetState.DRAINING]
    assert fleet.targets_of(requester, ORDERS) == []
