"""Several daemons: drains, the configuration in force, store outages, starts and shutdowns."""

import asyncio
from typing import Any

import msgspec
from msgspec.structs import replace

from builders_mesh import (
    Client,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    announcement,
    configuration,
    eventually,
    in_loop,
    member,
    route,
)
from daisywharf._configuration import SplitPart
from daisywharf._errors import ErrorKind
from daisywharf._ids import RequestId, ServiceName, VmId
from daisywharf._mesh._announcements import Verdict, check_announcement
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import Call, CallResult, Frame, GateLoad, OnCallResult, Unanswered
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._incoming import IncomingCalls
from daisywharf._mesh._model import Readiness
from daisywharf._mesh._watching import WATCHERS_PER_ZONE, WatchReport, watchers_before
from daisywharf._outcomes._pause import PauseState, pause_tick
from daisywharf._overload._actions import CallId
from daisywharf._topology import Address

ADDRESS = Address("127.0.0.1", 9)


def test_a_draining_target_gets_no_new_calls_and_completes_its_running_ones() -> None:
    async def scenario() -> None:
        unanswered: list[SeenRequest] = []
        leaving, staying = TargetStandIn(unanswered.append), TargetStandIn()
        world = MeshWorld()
        daemon = await world.add(leaving)
        await world.settle()
        results: list[object] = []
        Client(daemon).send("/r/x", results.append)
        await eventually(lambda: len(unanswered) == 1)
        await world.add(staying)
        await world.settle()
        daemon.handle_announcement(
            announcement(
                leaving.address,
                target_id="t-vm-1",
                readiness=Readiness.DRAINING,
                sequence=2,
            )
        )
        client = Client(daemon)
        for _ in range(10):
            answer = await client.ask()
            assert isinstance(answer, HttpAnswer)
            assert answer.status == 200
        assert len(leaving.seen) == 1
        unanswered[0].answer()
        await eventually(lambda: len(results) == 1)
        await world.close()

    in_loop(scenario)


def test_a_gate_refuses_calls_of_an_entry_that_does_not_know_of_the_drain() -> None:
    async def scenario() -> None:
        leaving = TargetStandIn()
        world = MeshWorld()
        daemon = await world.add(leaving)
        await world.settle()
        daemon.gate.slots.is_closed = True
        results: list[CallResult] = []
        daemon.gate.submit(_call("t-vm-1"), results.append)
        (refused,) = results
        assert isinstance(refused, Unanswered)
        assert (refused.kind, refused.has_begun) == (ErrorKind.DRAINING, False)
        await world.close()

    in_loop(scenario)


def _call(target_id: str) -> Call:
    return Call(
        call_id=1,
        target_id=target_id,
        request_id="id",
        caller_service="stock",
        route="r stock",
        time_left_ms=1000,
        max_wait_ms=100,
        importance=2,
        sub_order=0,
        is_idempotent=True,
        head=b"GET /r/x HTTP/1.1\r\n",
        body=b"",
    )


def test_a_call_for_an_earlier_incarnation_isn_t_run() -> None:
    async def scenario() -> None:
        target = TargetStandIn()
        world = MeshWorld()
        daemon = await world.add(target)
        results: list[CallResult] = []
        daemon.gate.submit(_call("t-of-before"), results.append)
        (refused,) = results
        assert isinstance(refused, Unanswered)
        assert refused.kind is ErrorKind.WRONG_INCARNATION
        assert not target.seen
        await world.close()

    in_loop(scenario)


def test_a_changed_configuration_is_in_force_everywhere_and_never_goes_back() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        for zone in ("a", "a", "a", "b"):
            await world.add(TargetStandIn() if zone == "b" else None, zone=zone)
        await world.settle()
        world.store.change(configuration(route("new"), version=9))
        await eventually(lambda: all(d.version == 9 for d in world.daemons))
        world.store.change(configuration(route("old"), version=4))
        await asyncio.sleep(0.1)
        assert [d.version for d in world.daemons] == [9, 9, 9, 9]
        await world.close()

    in_loop(scenario)


def test_a_daemon_that_can_t_reach_the_store_gets_the_configuration_from_the_others() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        first = await world.add(TargetStandIn())
        await eventually(lambda: first.is_ready)
        world.store.is_down = True
        late = await world.add()
        late.membership.open_seed_link(first.settings.links_address)
        await eventually(lambda: late.version == 1)
        await world.settle()
        answer = await Client(late).ask()
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        await world.close()

    in_loop(scenario)


def test_records_that_the_store_lost_in_an_outage_are_written_again() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        for _ in range(3):
            await world.add(TargetStandIn())
        await world.settle()
        await eventually(lambda: len(world.store.record_by_vm) == 3)
        world.store.is_down = True
        # Waiting watches end with an error, as the connections to a real store do.
        world.store.change(configuration(route(), version=2))
        await eventually(lambda: any(d.sync.is_store_unavailable for d in world.daemons))
        world.store.record_by_vm.clear()
        world.store.is_down = False
        await eventually(lambda: len(world.store.record_by_vm) == 3)
        await world.close()

    in_loop(scenario)


def test_a_stopping_daemon_completes_running_calls_and_gets_no_new_ones() -> None:
    async def scenario() -> None:
        unanswered: list[SeenRequest] = []
        world = MeshWorld()
        stopping = await world.add(TargetStandIn(unanswered.append))
        await world.settle()
        results: list[object] = []
        Client(stopping).send("/r/x", results.append)
        await eventually(lambda: len(unanswered) == 1)
        other = await world.add(TargetStandIn())
        await world.settle()
        stop = asyncio.ensure_future(stopping.stop())
        await asyncio.sleep(0)
        assert not stopping.is_ready
        await eventually(lambda: stopping.gate.is_stopping)
        client = Client(other)
        for _ in range(5):
            answer = await client.ask()
            assert isinstance(answer, HttpAnswer)
            assert answer.status == 200
        assert len(unanswered) == 1
        unanswered[0].answer()
        await eventually(lambda: len(results) == 1)
        await stop
        await world.close()

    in_loop(scenario)


def test_a_healthy_target_keeps_serving_while_its_daemon_begins_to_stop() -> None:
    # Gates that closed at SIGTERM left a service that had just lost its other targets without any
    # for seconds, during a rolling restart of its daemons (szv-wharf inc-5799).
    async def scenario() -> None:
        world = MeshWorld()
        stopping = await world.add(TargetStandIn())
        other = await world.add(None)
        await world.settle()
        bounds = replace(stopping.settings.bounds, grace_s=20.0)
        stopping.settings = replace(stopping.settings, bounds=bounds)
        stop = asyncio.ensure_future(stopping.stop())
        await asyncio.sleep(0)
        assert not stopping.is_ready
        answer = await Client(other).ask()
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        stop.cancel()
        await world.close()

    in_loop(scenario)


def test_a_stopping_daemon_with_a_leaving_target_informs_the_others_at_once() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        target = TargetStandIn()
        stopping = await world.add(target)
        other = await world.add(TargetStandIn())
        await world.settle()
        stopping.handle_announcement(
            announcement(
                target.address, target_id="t-vm-1", readiness=Readiness.DRAINING, sequence=2
            )
        )
        stop = asyncio.ensure_future(stopping.stop())
        await asyncio.sleep(0)
        assert stopping.gate.is_stopping
        for _ in range(5):
            answer = await Client(other).ask()
            assert isinstance(answer, HttpAnswer)
            assert answer.status == 200
        assert not target.seen
        await stop
        await world.close()

    in_loop(scenario)


def test_parts_of_a_split_get_their_share_over_daemons() -> None:
    async def scenario() -> None:
        parts = (SplitPart(ServiceName("stock"), 75.0), SplitPart(ServiceName("orders"), 25.0))
        world = MeshWorld(route(parts=parts))
        stock, orders = TargetStandIn(), TargetStandIn()
        await world.add(stock)
        await world.add(orders, service="orders")
        await world.settle()
        for daemon in world.daemons:
            client = Client(daemon)
            for _ in range(40):
                await client.ask()
        assert 18 <= len(orders.seen) <= 22
        await world.close()

    in_loop(scenario)


def test_late_announcements_change_nothing() -> None:
    known = announcement(ADDRESS, born_ms=10, sequence=5)
    assert check_announcement(None, known) is Verdict.TAKEN
    assert check_announcement(known, announcement(ADDRESS, born_ms=10, sequence=4)) is Verdict.LATE
    assert check_announcement(known, announcement(ADDRESS, born_ms=10, sequence=6)) is Verdict.TAKEN
    before = announcement(ADDRESS, target_id="t-0", born_ms=9, sequence=50)
    assert check_announcement(known, before) is Verdict.EARLIER_INCARNATION
    again = announcement(ADDRESS, born_ms=11, sequence=1)
    assert check_announcement(known, again) is Verdict.TAKEN


def test_a_departure_is_final_for_an_incarnation() -> None:
    leaving = announcement(ADDRESS, readiness=Readiness.DRAINING, sequence=5)
    assert (
        check_announcement(leaving, announcement(ADDRESS, sequence=6)) is Verdict.LEAVING_IS_FINAL
    )


def test_two_daemons_of_a_zone_watch_and_others_replace_failed_ones() -> None:
    vms = [VmId(f"vm-{n}") for n in range(5)]
    reports = {vm: WatchReport(is_watching=True, heard_at=10.0) for vm in vms}

    def watchers(now: float) -> list[VmId]:
        return [
            vm
            for vm in vms
            if watchers_before(vm, {v: r for v, r in reports.items() if v != vm}, now=now)
            < WATCHERS_PER_ZONE
        ]

    assert watchers(10.5) == vms[:2]
    reports[vms[0]] = WatchReport(is_watching=False, heard_at=10.4)
    assert watchers(10.5) == [vms[0], vms[1], vms[2]]
    assert watchers(20.0) == vms


def test_a_suspension_is_detected_as_a_gap_between_ticks() -> None:
    state = PauseState(now=100.0)
    assert pause_tick(state, now=100.1) == 0.0
    assert pause_tick(state, now=104.2) > 3.5
    assert pause_tick(state, now=104.3) == 0.0
    assert pause_tick(state, now=107.3) > 2.5


def test_a_reused_address_belongs_to_the_daemon_that_started_there_last() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        daemon = await world.add(TargetStandIn())
        membership = daemon.membership
        before = member("vm-before", started_ms=10)
        after = member("vm-after", started_ms=20)
        membership.merge([before])
        membership.merge([after])
        assert VmId("vm-before") not in membership.record_by_vm
        # Daemons that still have the former record go on sending it; it must not be accepted.
        link = membership.link_by_vm[VmId("vm-after")]
        link.is_up = True
        passed_on: list[Frame] = []
        link.send = passed_on.append  # type: ignore[method-assign]
        membership.merge([before])
        assert not passed_on
        membership.merge([msgspec.structs.replace(before, revision=5)])
        assert VmId("vm-before") not in membership.record_by_vm
        assert membership.record_by_vm[VmId("vm-after")] == after
        assert set(membership.link_by_vm) == {VmId("vm-after")}
        await world.close()

    in_loop(scenario)


class EndingGate:
    """A gate at which the cancellation of one call ends another, as a freed slot may do."""

    def __init__(self) -> None:
        self.on_result_by_id: dict[CallId, OnCallResult] = {}
        self.cancelled: list[CallId] = []

    def submit(self, call: Call, on_result: OnCallResult) -> CallId:
        """Keep the call."""
        call_id = CallId(RequestId(call.request_id), len(self.on_result_by_id) + 1)
        self.on_result_by_id[call_id] = on_result
        return call_id

    def cancel(self, call_id: CallId) -> None:
        """Cancel the call, and end the last one."""
        self.cancelled.append(call_id)
        last = max(self.on_result_by_id, key=lambda other: other.attempt)
        self.on_result_by_id[last](Unanswered(3, ErrorKind.TOO_LATE, False, GateLoad(0, 0, 1, 0.0)))


def test_all_calls_of_a_lost_link_are_cancelled_though_one_ends_meanwhile() -> None:
    gate: Any = EndingGate()
    incoming = IncomingCalls(gate, has_unnoticed_pause=lambda: False)
    link = FrameProtocol(lambda _link, _frame: None, incoming.cancel_all)
    for number in (1, 2, 3):
        incoming.submit(link, replace(_call("t-1"), call_id=number))
    link.connection_lost(None)
    assert len(gate.cancelled) == 3
