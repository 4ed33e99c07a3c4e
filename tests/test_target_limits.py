"""A target's reported rate limit is not exceeded; a target that leaves gets no more calls."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from benchmarks._announcement_ledger import broken_announcements, count_checked_arrivals

from builders_announcement_faults import run_faults
from builders_mesh import NOWHERE, announcement, in_loop
from builders_target_announcements import ReportingWorld
from builders_virtual_fleet import VirtualFleet
from daisywharf._mesh._frames import Call
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._memory_budget import MemoryBudget
from daisywharf.platform._headers import PlatformDialect
from virtual_net import VirtualNet, in_virtual_time

ZONES = {"perth-a": 3, "perth-b": 2, "perth-c": 1}
LIMITED_VM = "perth-b-1"
ALL = [f"{zone}-{n}" for zone, count in ZONES.items() for n in range(1, count + 1)]
Scenario = Callable[[ReportingWorld], Awaitable[None]]


def _play(scenario: Scenario, *, seed: int = 7) -> None:
    async def play(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone=ZONES)
        await fleet.start()
        world = ReportingWorld(fleet, seed=seed)
        await world.start()
        await scenario(world)

    in_virtual_time(play)


@pytest.mark.parametrize("per_s", [0.0, 0.5, 4.1, 20.5])
def test_a_target_gets_no_more_calls_than_its_reported_limit(per_s: float) -> None:
    async def scenario(world: ReportingWorld) -> None:
        await world.load(per_s=300.0, lasts_s=3.0)
        world.target_by_vm[LIMITED_VM].set_limit(per_s)
        await world.load(per_s=300.0, lasts_s=12.0)
        assert broken_announcements(world.ledger) == []

    _play(scenario)


@pytest.mark.parametrize("limited_vms", [[LIMITED_VM], ALL], ids=["one", "all"])
def test_a_limit_holds_after_a_restart_of_the_target_s_daemon(limited_vms: list[str]) -> None:
    async def scenario(world: ReportingWorld) -> None:
        for name in limited_vms:
            world.target_by_vm[name].set_limit(0.8)
            world.target_by_vm[name].work_s = 0.6
        await world.load(per_s=300.0, lasts_s=6.0)
        for _ in range(3):
            world.fleet.kill(LIMITED_VM)
            await world.load(per_s=300.0, lasts_s=0.5)
            world.fleet.start_daemon(world.fleet.vm_by_name[LIMITED_VM])
            await world.load(per_s=300.0, lasts_s=1.5)
        await world.load(per_s=300.0, lasts_s=4.0)
        assert count_checked_arrivals(world.ledger) > 0
        assert broken_announcements(world.ledger) == []

    _play(scenario)


def test_a_target_that_reports_its_departure_in_an_answer_gets_no_more_calls() -> None:
    async def scenario(world: ReportingWorld) -> None:
        await world.load(per_s=100.0, lasts_s=2.0)
        target = world.target_by_vm[LIMITED_VM]
        target.is_leaving = True
        await world.load(per_s=100.0, lasts_s=8.0)
        assert world.ledger.relayed_leavings
        assert broken_announcements(world.ledger) == []

    _play(scenario)


def test_a_departure_reported_in_one_answer_is_known_to_all_daemons() -> None:
    async def scenario(world: ReportingWorld) -> None:
        await world.load(per_s=100.0, lasts_s=2.0)
        await asyncio.sleep(1.0)
        target = world.target_by_vm[LIMITED_VM]
        target.is_leaving = True
        await world.load(per_s=20.0, lasts_s=2.0, names=[LIMITED_VM])
        assert world.ledger.relayed_leavings
        known_at = world.fleet.now
        await world.load(per_s=100.0, lasts_s=3.0)
        assert world.arrival_count(target, since=known_at, until=world.fleet.now) == 0

    _play(scenario)


def test_a_departure_reported_in_an_answer_holds_after_a_restart_of_the_target_s_daemon() -> None:
    async def scenario(world: ReportingWorld) -> None:
        fleet = world.fleet
        await world.load(per_s=100.0, lasts_s=2.0)
        world.target_by_vm[LIMITED_VM].is_leaving = True
        await world.load(per_s=100.0, lasts_s=0.5)
        # Neither the restarted daemon nor the store knows of the departure from here on.
        fleet.cut_from_store(fleet.vm_by_name)
        fleet.kill(LIMITED_VM)
        await world.load(per_s=100.0, lasts_s=0.5)
        fleet.start_daemon(fleet.vm_by_name[LIMITED_VM])
        await world.load(per_s=100.0, lasts_s=8.0)
        assert world.ledger.relayed_leavings
        assert broken_announcements(world.ledger) == []

    _play(scenario)


# The users' `recoveryS` is 15 s.
@pytest.mark.parametrize(("per_s", "within_s"), [(4.1, 2.0), (0.0, 12.0)])
def test_a_target_gets_its_share_again_soon_after_its_limit_ends(
    per_s: float, within_s: float
) -> None:
    async def scenario(world: ReportingWorld) -> None:
        target = world.target_by_vm[LIMITED_VM]
        target.set_limit(per_s)
        await world.load(per_s=300.0, lasts_s=6.0)
        target.set_limit(None)
        await world.load(per_s=300.0, lasts_s=within_s)
        ended_at = world.fleet.now
        await world.load(per_s=300.0, lasts_s=3.0)
        arrived = world.arrival_count(target, since=ended_at, until=world.fleet.now)
        assert arrived >= 0.5 * 300.0 * 3.0 / 6

    _play(scenario)


def test_clients_are_served_while_one_target_reports_a_limit_and_another_leaves() -> None:
    async def scenario(world: ReportingWorld) -> None:
        world.target_by_vm[LIMITED_VM].set_limit(1.0)
        world.target_by_vm["perth-a-1"].is_leaving = True
        began_at = world.fleet.now
        await world.load(per_s=300.0, lasts_s=10.0)
        assert world.served_fraction(since=began_at) >= 0.999

    _play(scenario)


@pytest.mark.parametrize("seed", range(1, 4))
def test_limits_and_departures_hold_during_overlapping_faults(seed: int) -> None:
    async def scenario(world: ReportingWorld) -> None:
        await run_faults(world, seed=seed, lasts_s=30.0, load_per_s=150.0)
        assert count_checked_arrivals(world.ledger) > 0
        assert broken_announcements(world.ledger) == []

    _play(scenario, seed=seed)


def _call(*, limit_per_s: float | None) -> Call:
    head = b"GET /orders/x HTTP/1.1\r\n"
    return Call(1, "t-1", "a", "s", "r stock", 5_000, 5_000, 0, 0, True, head, b"", limit_per_s)


def test_a_gate_that_has_just_started_gets_the_limit_from_entries_that_know_it() -> None:
    async def scenario() -> None:
        gate = Gate(dialect=PlatformDialect(), now=lambda: 1.0, memory=MemoryBudget(max_bytes=1e6))
        gate.handle_announcement(announcement(NOWHERE))
        gate.submit(_call(limit_per_s=0.5), lambda _result: None)
        assert gate.load().limit_per_s == 0.5
        assert (gate.load().running, gate.load().waiting) == (0, 1)

    in_loop(scenario)


def test_a_limit_that_entries_know_is_not_that_of_the_next_incarnation_under_the_same_id() -> None:
    async def scenario() -> None:
        gate = Gate(dialect=PlatformDialect(), now=lambda: 1.0, memory=MemoryBudget(max_bytes=1e6))
        gate.handle_announcement(announcement(NOWHERE))
        gate.handle_announcement(announcement(NOWHERE, born_ms=2))
        gate.submit(_call(limit_per_s=0.5), lambda _result: None)
        assert gate.load().limit_per_s is None

    in_loop(scenario)
