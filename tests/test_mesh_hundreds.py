"""What each daemon knows in a fleet too large for full reports to all, on a virtual network."""

import asyncio
from random import Random
from typing import Final

import pytest

from builders_mesh import announcement
from builders_virtual_fleet import VirtualFleet
from daisywharf._ids import ServiceName, TargetId
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import Frame, Members
from daisywharf._mesh._membership import MAX_MEMBER_LISTS_PER_PERIOD
from daisywharf._mesh._model import Readiness
from daisywharf._mesh._reporting import MAX_FULL_REPORTS
from daisywharf._routing._placement import SUSPECT_AFTER_S, Candidate, place
from daisywharf._topology import Address
from virtual_net import VirtualNet, in_virtual_time

VMS_BY_ZONE: Final = {"perth-a": 15, "perth-b": 15, "perth-c": 15}
STOCK: Final = ServiceName("stock-0")
# From the users' site files: `drainMs`, `configApplyMs`, and the extra time for a new target.
DRAIN_S: Final = 2.0
APPLY_S: Final = 2.0
JOIN_S: Final = APPLY_S + 2.0


def _announce(fleet: VirtualFleet, name: str, readiness: Readiness, *, sequence: int) -> None:
    vm = fleet.vm_by_name[name]
    assert vm.daemon is not None
    given = announcement(
        Address(vm.host, 9),
        target_id=TargetId(f"t-{name}"),
        service=STOCK,
        readiness=readiness,
        sequence=sequence,
    )
    vm.process.context.run(vm.daemon.handle_announcement, given)


async def _fleet(net: VirtualNet) -> VirtualFleet:
    fleet = VirtualFleet(net, vms_by_zone=VMS_BY_ZONE)
    assert len(fleet.vm_by_name) > MAX_FULL_REPORTS + 1
    await fleet.start()
    for name in fleet.vm_by_name:
        _announce(fleet, name, Readiness.READY, sequence=1)
    await asyncio.sleep(JOIN_S)
    return fleet


def _daemons(fleet: VirtualFleet) -> list[MeshDaemon]:
    return [vm.daemon for vm in fleet.vm_by_name.values() if vm.daemon is not None]


def _candidates(daemon: MeshDaemon) -> dict[TargetId, Candidate]:
    return daemon.services.placement_of(STOCK).candidate_by_id


def test_each_daemon_knows_a_recent_load_of_each_gate_of_all_zones() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = await _fleet(net)
        for _ in range(8):
            await asyncio.sleep(0.31)
            for daemon in _daemons(fleet):
                candidates = _candidates(daemon)
                assert len(candidates) == len(fleet.vm_by_name)
                ages_s = [
                    fleet.now - candidate.load.heard_at
                    for candidate in candidates.values()
                    if candidate.load is not None
                ]
                assert len(ages_s) == len(candidates)
                assert max(ages_s) < SUSPECT_AFTER_S

    in_virtual_time(scenario)


def test_restarting_daemons_get_full_record_lists_from_few_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against full lists from all daemons: with 300 daemons each restart cost 2 MB."""
    full_lists = 0
    send = FrameProtocol.send

    def counted(self: FrameProtocol, frame: Frame, encoded: bytes = b"") -> None:
        nonlocal full_lists
        full_lists += (
            isinstance(frame, Members) and len(frame.records) > sum(VMS_BY_ZONE.values()) / 2
        )
        send(self, frame, encoded)

    monkeypatch.setattr(FrameProtocol, "send", counted)

    async def scenario(net: VirtualNet) -> None:
        nonlocal full_lists
        fleet = await _fleet(net)
        full_lists = 0
        names = list(fleet.vm_by_name)[::3]
        fleet.kill(*names)
        await asyncio.sleep(1.0)
        for name in names:
            fleet.start_daemon(fleet.vm_by_name[name])
        await asyncio.sleep(JOIN_S)
        known = {len(daemon.membership.record_by_vm) for daemon in _daemons(fleet)}
        assert known == {len(fleet.vm_by_name)}
        # A daemon reads the store's list within two seconds of its start, and then requests none
        # from other daemons.
        assert full_lists <= 2 * MAX_MEMBER_LISTS_PER_PERIOD * len(names)

    in_virtual_time(scenario)


def test_a_target_that_joins_is_known_everywhere_in_time() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = await _fleet(net)
        fleet.kill("perth-c-3")
        await asyncio.sleep(1.0)
        fleet.start_daemon(fleet.vm_by_name["perth-c-3"])
        await asyncio.sleep(0.5)
        _announce(fleet, "perth-c-3", Readiness.READY, sequence=1)
        await asyncio.sleep(JOIN_S)
        assert all(TargetId("t-perth-c-3") in _candidates(d) for d in _daemons(fleet))

    in_virtual_time(scenario)


def test_a_departure_is_known_everywhere_in_time_while_a_zone_is_cut_off_from_the_store() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = await _fleet(net)
        fleet.cut_from_store(name for name in fleet.vm_by_name if name.startswith("perth-b"))
        _announce(fleet, "perth-b-7", Readiness.DRAINING, sequence=2)
        await asyncio.sleep(DRAIN_S)
        assert not any(TargetId("t-perth-b-7") in _candidates(d) for d in _daemons(fleet))

    in_virtual_time(scenario)


def test_vms_that_lose_power_get_few_calls_even_if_no_call_was_pending_there() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = await _fleet(net)
        lost = [f"perth-a-{number}" for number in range(1, 6)]
        fleet.power_off(*lost)
        await asyncio.sleep(SUSPECT_AFTER_S + 1.0)
        rng = Random(3)
        gone = {TargetId(f"t-{name}") for name in lost}
        for daemon in _daemons(fleet):
            placement = daemon.services.placement_of(STOCK)
            chosen = [
                place(placement, "orders stock-0", excluded=set(), now=fleet.now, rng=rng)
                for _ in range(200)
            ]
            calls_to_lost = sum(c is not None and c.record.target.target_id in gone for c in chosen)
            assert calls_to_lost <= 0.1 * len(chosen)

    in_virtual_time(scenario)


def test_a_change_is_in_force_in_time_while_a_zone_is_cut_off_from_the_store() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = await _fleet(net)
        fleet.cut_from_store(name for name in fleet.vm_by_name if name.startswith("perth-c"))
        await asyncio.sleep(3.0)
        fleet.change()
        await asyncio.sleep(APPLY_S)
        assert fleet.outdated() == []

    in_virtual_time(scenario)
