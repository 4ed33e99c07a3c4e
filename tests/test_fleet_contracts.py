"""How contracts come into force and stay so, and how often the platform is called."""

import pytest
from tests.builders_fleet import KARRI, FakeFleet

from daisywharf._fleet import _membership, _repair
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._messages import Freshness
from daisywharf._fleet._model import FleetState
from daisywharf._ids import VmId

DAEMONS_PER_ZONE = 4


def running_fleet(**options: float) -> FakeFleet:
    world = FakeFleet(zones=2, per_zone=DAEMONS_PER_ZONE, **options)  # type: ignore[arg-type]
    world.write()
    world.run(10.0)
    return world


def replace_isolated_zone(world: FakeFleet) -> None:
    """Replace a cut-off zone in a platform outage, and check that no new daemon is confirmed."""
    world.is_platform_down = True
    world.cut_zones = {world.zones[1]}
    replaced = [peer.vm for peer in world.members if peer.zone == world.zones[1]]
    for vm in replaced:
        world.start(vm)
    world.run(12.0)
    assert not any(fleet.is_confirmed(world.state_by_vm[vm]) for vm in replaced)


def test_an_edit_is_in_force_everywhere_within_seconds() -> None:
    world = running_fleet(loss=0.05)
    version = world.write(rate_per_second=7.0)
    world.run(5.0)
    assert set(world.versions()) == {version}


def test_a_deletion_stays_deleted() -> None:
    world = running_fleet()
    world.pause(VmId("vm-3"), for_s=10.0)
    world.delete()
    world.run(20.0)
    states = world.state_by_vm.values()
    assert all(KARRI not in fleet.contracts_by_customer(state) for state in states)


def test_a_listing_removes_what_was_deleted_while_nobody_watched() -> None:
    world = running_fleet()
    world.is_platform_down = True
    world.run(6.0)
    world.delete()
    for state in world.state_by_vm.values():
        state.watching.version = None
    world.is_platform_down = False
    world.run(8.0)
    states = world.state_by_vm.values()
    assert all(KARRI not in fleet.contracts_by_customer(state) for state in states)


def test_a_lagging_listing_reverts_nothing() -> None:
    world = running_fleet()
    old = tuple(world.record_by_customer.values())
    old_version = old[0].version
    newest = world.write(rate_per_second=9.0)
    world.run(5.0)
    state = world.state_by_vm[VmId("vm-0")]
    lagging = fleet.ContractsRead(old, old_version, whole=True)
    fleet.handle_platform_result(state, lagging, now=world.now, rng=world.rng)
    empty = fleet.ContractsRead((), old_version, whole=True)
    fleet.handle_platform_result(state, empty, now=world.now, rng=world.rng)
    assert fleet.contracts_by_customer(state)[KARRI].version == newest


def test_a_replaced_zone_learns_from_others_in_an_outage() -> None:
    world = running_fleet()
    world.is_platform_down = True
    for peer in world.members:
        if peer.zone == world.zones[1]:
            world.start(peer.vm)
    world.run(15.0)
    assert set(world.versions()) == {1}
    assert all(fleet.is_confirmed(state) for state in world.state_by_vm.values())


def test_a_replaced_zone_that_reaches_no_other_confirms_nothing() -> None:
    replace_isolated_zone(running_fleet())


def test_peers_that_falsely_report_confirmation_would_be_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real = _membership.freshness_of

    def always_confirmed(state: FleetState, *, now: float) -> Freshness:
        freshness = real(state, now=now)
        return Freshness(freshness.digest, freshness.age_s, True, freshness.is_joined)

    for module in (_membership, _repair):
        monkeypatch.setattr(module, "freshness_of", always_confirmed)
    with pytest.raises(AssertionError):
        replace_isolated_zone(running_fleet())


def test_in_a_long_platform_outage_contracts_are_agreed_but_not_confirmed() -> None:
    world = running_fleet()
    world.is_platform_down = True
    world.run(45.0)
    state = world.state_by_vm[VmId("vm-0")]
    assert fleet.status(state, world.now).copy_state is fleet.CopyState.AGREED
    assert KARRI in fleet.contracts_by_customer(state)


def test_an_outage_of_all_watchers_heals() -> None:
    world = running_fleet()
    for zone in world.zones:
        in_zone = [peer.vm for peer in world.members if peer.zone == zone]
        for vm in world.state_by_vm[in_zone[0]].view.vms_by_role["watcher"]:
            world.pause(vm, for_s=100.0)
    version = world.write(rate_per_second=3.0)
    world.run(17.0)
    running = [state for vm, state in world.state_by_vm.items() if not world.is_paused(vm)]
    assert running
    assert all(fleet.contracts_by_customer(state)[KARRI].version == version for state in running)


def test_a_restart_of_everything_in_an_outage_confirms_nothing_until_it_ends() -> None:
    world = running_fleet()
    world.is_platform_down = True
    for peer in world.members:
        world.start(peer.vm)
    world.run(40.0)
    assert not any(fleet.is_confirmed(state) for state in world.state_by_vm.values())
    world.is_platform_down = False
    world.run(8.0)
    assert set(world.versions()) == {1}
    assert all(fleet.is_confirmed(state) for state in world.state_by_vm.values())


def test_a_lost_answer_is_asked_for_again() -> None:
    world = running_fleet()
    world.pending.clear()
    version = world.write(rate_per_second=3.0)
    world.run(30.0)
    assert set(world.versions()) == {version}


def test_calls_to_the_platform_stay_few_in_an_outage_and_after_it() -> None:
    world = running_fleet()
    world.is_platform_down = True
    world.run(10.0)
    before = world.platform_calls
    world.run(20.0)
    watchers = 2 * len(world.zones)
    assert world.platform_calls - before <= watchers * 20
    world.is_platform_down = False
    before = world.platform_calls
    world.run(5.0)
    assert world.platform_calls - before <= watchers * 3


def test_a_platform_that_takes_five_seconds_only_delays_edits() -> None:
    world = running_fleet()
    world.platform_delay_s = 5.0
    world.run(10.0)
    before = world.platform_calls
    version = world.write(rate_per_second=3.0)
    world.run(12.0)
    assert set(world.versions()) == {version}
    assert all(fleet.is_confirmed(state) for state in world.state_by_vm.values())
    assert world.platform_calls - before <= 2 * len(world.zones) * 4


def test_a_waiting_operator_sees_each_zone_confirm() -> None:
    world = running_fleet()
    state = world.state_by_vm[VmId("vm-0")]
    version = world.write(rate_per_second=3.0)
    for _ in range(6):
        fleet.poll_in_force(state, KARRI, now=world.now)
        world.run(1.0)
    assert set(world.versions()) == {version}
    zones = fleet.poll_in_force(state, KARRI, now=world.now)
    assert [(zone.daemons_known, zone.daemons_confirmed) for zone in zones] == [(4, 4), (4, 4)]
    assert all(zone.is_reachable for zone in zones)


def test_a_waiting_operator_sees_which_zone_cannot_be_reached() -> None:
    world = running_fleet()
    world.cut_zones = {world.zones[1]}
    state = world.state_by_vm[VmId("vm-0")]
    for _ in range(6):
        fleet.poll_in_force(state, KARRI, now=world.now)
        world.run(1.0)
    own, other = fleet.poll_in_force(state, KARRI, now=world.now)
    assert own.is_reachable
    assert not other.is_reachable
