"""How a customer's rate is divided over the fleet."""

import pytest
from tests.builders_fleet import KARRI, ORDER, FakeFleet

from daisywharf._fleet import _shares
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._demand import level_of, weight_of
from daisywharf._fleet._model import FleetState
from daisywharf._ids import VmId

VM_0 = VmId("vm-0")


def running_fleet() -> FakeFleet:
    world = FakeFleet(zones=3, per_zone=3)
    world.write()
    run_with_demand(world, 14.0, {})
    return world


def run_with_demand(world: FakeFleet, seconds: float, requests_by_vm: dict[VmId, int]) -> None:
    """Let time pass while requests enter at each step, one where nothing is said."""
    for _ in range(round(seconds * 5)):
        for vm, state in world.state_by_vm.items():
            requests = requests_by_vm.get(vm, 1)
            fleet.note_demand(state, KARRI, ORDER, requests=requests, now=world.now)
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


def test_a_paused_daemon_has_no_share_when_it_wakes() -> None:
    world = running_fleet()
    assert fleet.share_of(world.state_by_vm[VM_0], KARRI, ORDER, now=world.now) > 0.0
    assert fleet.share_of(world.state_by_vm[VM_0], KARRI, ORDER, now=world.now + 5.0) == 0.0


def test_a_cut_off_zone_goes_on_with_its_part() -> None:
    world = running_fleet()
    cut = world.zones[0]
    in_zone = [state for state in world.state_by_vm.values() if state.me.zone == cut]
    before = sum(share_at(world, state) for state in in_zone)
    world.cut_zones = {cut}
    run_with_demand(world, 20.0, {state.me.vm: 30 for state in in_zone})
    after = sum(share_at(world, state) for state in in_zone)
    assert after == pytest.approx(before, rel=0.1)
    assert world.share_sum() <= 1.10


def test_a_zone_that_was_taken_away_gives_up_its_part(monkeypatch: pytest.MonkeyPatch) -> None:
    world = running_fleet()
    gone = [vm for vm, state in world.state_by_vm.items() if state.me.zone == world.zones[2]]
    for state in world.state_by_vm.values():
        state.zones = ()
    for vm in gone:
        world.pause(vm, for_s=1000.0)
    monkeypatch.setattr(_shares, "ZONE_KEPT_S", 20.0)
    run_with_demand(world, 10.0, {})
    assert world.share_sum() < 0.8
    run_with_demand(world, 20.0, {})
    assert world.share_sum() == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("weight", [0.01, 1.0, 37.0, 5000.0])
def test_a_written_weight_is_within_five_in_a_hundred(weight: float) -> None:
    assert weight_of(level_of(weight)) == pytest.approx(weight, rel=0.05)
