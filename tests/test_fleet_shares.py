"""How a customer's rate is divided among the daemons."""

import pytest
from tests.builders_fleet import KARRI, ORDER, FakeFleet

from daisywharf._fleet import _shares
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._demand import step_of, weight_of
from daisywharf._fleet._model import FleetState
from daisywharf._ids import VmId

VM_0 = VmId("vm-0")


def running_fleet() -> FakeFleet:
    world = FakeFleet(zones=3, per_zone=3)
    world.write()
    run_with_demand(world, 14.0, {})
    return world


def run_with_demand(world: FakeFleet, seconds: float, requests_by_vm: dict[VmId, int]) -> None:
    """Run the fleet with requests at each step: as given for a VM, else one."""
    for _ in range(round(seconds * 5)):
        for vm, state in world.state_by_vm.items():
            requests = requests_by_vm.get(vm, 1)
            fleet.record_demand(state, KARRI, ORDER, requests=requests, now=world.now)
        world.step()


def share_at(world: FakeFleet, state: FleetState) -> float:
    return fleet.share_of(state, KARRI, ORDER, now=world.now)


def test_equal_demand_gets_equal_shares_and_the_whole_rate() -> None:
    world = running_fleet()
    shares = [share_at(world, state) for state in world.state_by_vm.values()]
    assert sum(shares) == pytest.approx(1.0, abs=0.02)
    assert max(shares) <= 1.3 * min(shares)


def test_a_share_follows_demand_that_moves() -> None:
    world = running_fleet()
    before = share_at(world, world.state_by_vm[VM_0])
    run_with_demand(world, 15.0, {VM_0: 20})
    assert share_at(world, world.state_by_vm[VM_0]) > 3 * before
    assert world.share_sum() <= 1.05


def test_an_idle_daemon_keeps_a_small_share() -> None:
    world = running_fleet()
    run_with_demand(world, 15.0, {VM_0: 0})
    assert 0.0 < share_at(world, world.state_by_vm[VM_0]) < 0.05


def test_a_daemon_that_started_has_no_share_yet() -> None:
    world = running_fleet()
    world.start(VM_0)
    run_with_demand(world, 1.0, {})
    assert share_at(world, world.state_by_vm[VM_0]) == 0.0


def test_a_paused_daemon_has_no_share_when_it_resumes() -> None:
    world = running_fleet()
    assert fleet.share_of(world.state_by_vm[VM_0], KARRI, ORDER, now=world.now) > 0.0
    assert fleet.share_of(world.state_by_vm[VM_0], KARRI, ORDER, now=world.now + 5.0) == 0.0


def test_a_cut_off_zone_keeps_its_fraction() -> None:
    world = running_fleet()
    cut_zone = world.zones[0]
    in_zone = [state for state in world.state_by_vm.values() if state.me.zone == cut_zone]
    before = sum(share_at(world, state) for state in in_zone)
    world.cut_zones = {cut_zone}
    run_with_demand(world, 20.0, {state.me.vm: 30 for state in in_zone})
    after = sum(share_at(world, state) for state in in_zone)
    assert after == pytest.approx(before, rel=0.1)
    assert world.share_sum() <= 1.10


def test_a_removed_zone_loses_its_fraction(monkeypatch: pytest.MonkeyPatch) -> None:
    world = running_fleet()
    gone = [vm for vm, state in world.state_by_vm.items() if state.me.zone == world.zones[2]]
    for state in world.state_by_vm.values():
        state.zones = ()
    for vm in gone:
        world.pause(vm, for_s=1000.0)
    monkeypatch.setattr(_shares, "ZONE_RETENTION_S", 20.0)
    run_with_demand(world, 10.0, {})
    assert world.share_sum() < 0.8
    run_with_demand(world, 20.0, {})
    assert world.share_sum() == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("weight", [0.01, 1.0, 37.0, 5000.0])
def test_an_encoded_weight_is_within_five_percent(weight: float) -> None:
    assert weight_of(step_of(weight)) == pytest.approx(weight, rel=0.05)


def test_the_sum_holds_while_speakers_pause_at_the_edge_of_a_cut() -> None:
    """Demand moves into a zone just before it is cut off, while both its speakers are paused.

    Replays an example that SharesMachine found with a random seed.
    """
    world = FakeFleet(zones=3, per_zone=3, seed=384, loss=0.05)
    world.write()
    requests_by_vm: dict[VmId, int] = {}
    sums: list[float] = []

    def move_to(number: int) -> None:
        for peer in world.members:
            requests_by_vm[peer.vm] = 12 if peer.zone == world.zones[number] else 0

    def pause(number: int, for_s: float) -> None:
        world.pause(VmId(f"vm-{number}"), for_s=for_s)

    def switch_cut() -> None:
        world.cut_zones ^= {world.zones[2]}

    def pass_time(seconds: int) -> None:
        for _ in range(seconds * 5):
            for vm, state in world.state_by_vm.items():
                requests = requests_by_vm.get(vm, 2)
                fleet.record_demand(state, KARRI, ORDER, requests=requests, now=world.now)
            world.step()
            sums.append(world.share_sum())

    pass_time(14)
    pause(5, 2.0)
    requests_by_vm |= {VmId("vm-3"): 8, VmId("vm-7"): 8}
    pause(6, 7.0)
    move_to(2)
    pass_time(7)
    requests_by_vm[VmId("vm-8")] = 0
    pass_time(6)
    move_to(2)
    switch_cut()
    pass_time(1)
    move_to(0)
    pause(8, 2.0)
    pause(4, 7.0)
    pause(5, 2.0)
    pass_time(1)
    move_to(1)
    pass_time(10)
    assert max(sums) <= 1.10
