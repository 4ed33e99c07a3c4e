"""Failures known from operators of similar systems, reproduced with real sockets.

A test that depends on a time runs on the virtual network.
"""

import asyncio
from itertools import count
from random import Random

import pytest

from builders_mesh import (
    HOST,
    Client,
    MemoryStore,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    announcement,
    configuration,
    eventually,
    free_address,
    in_loop,
    route,
    settings,
)
from daisywharf._errors import ErrorKind
from daisywharf._ids import ServiceName, TargetId
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    Answered,
    Call,
    CallResult,
    Frame,
    GateLoad,
    Members,
    Unanswered,
)
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._links import LinkServer, OutLink
from daisywharf._mesh._model import MemberRecord, Readiness, TargetRecord
from daisywharf._topology import Address
from daisywharf.platform._headers import PlatformDialect
from test_mesh_answers import RawTarget
from virtual_net import VirtualNet, in_virtual_time

LOAD = GateLoad(1, 0, 10, 3.0)


def _call(*, is_idempotent: bool) -> Call:
    return Call(
        call_id=0,
        target_id="t-1",
        request_id="id-1",
        caller_service="stock",
        route="r stock",
        time_left_ms=5_000,
        max_wait_ms=500,
        importance=1,
        sub_order=0,
        is_idempotent=is_idempotent,
        head=b"POST /r/x HTTP/1.1\r\n",
        body=b"order",
    )


class SilentDaemon:
    """Accept links and calls, and send no answers until a test asks for them."""

    def __init__(self) -> None:
        self.is_silent = False
        self.taken: list[tuple[FrameProtocol, Call]] = []
        self.lost = 0
        self.server = LinkServer(on_frame=self._take, on_lost=self._lose)
        self.address = free_address()

    def _take(self, link: FrameProtocol, frame: Frame) -> None:
        if isinstance(frame, Call):
            self.taken.append((link, frame))

    def _lose(self, _link: FrameProtocol) -> None:
        self.lost += 1

    def answer(self, number: int = 0) -> None:
        link, call = self.taken[number]
        link.send(Answered(call.call_id, 200, b"OK", b"", b"whole", True, False, LOAD))


async def _link_to(daemon: SilentDaemon, clock: list[float]) -> OutLink:
    await daemon.server.start(daemon.address)
    link = OutLink(
        daemon.address,
        now=lambda: clock[0],
        on_up=lambda _link: None,
        on_down=lambda _link: None,
        on_frame=lambda _link, _frame: None,
    )
    link.tick(now=clock[0])
    await eventually(lambda: link.is_up)
    return link


def test_an_order_at_a_machine_that_was_silent_for_a_while_gets_its_answer() -> None:
    """It used to be abandoned with 502 after a second, though the machine was only suspended."""

    async def scenario() -> None:
        clock = [10.0]
        daemon = SilentDaemon()
        link = await _link_to(daemon, clock)
        results: list[CallResult] = []
        link.submit(_call(is_idempotent=False), results.append)
        await eventually(lambda: len(daemon.taken) == 1)
        clock[0] += 1.5
        link.tick(now=clock[0])
        assert not link.is_up
        assert not results
        clock[0] += 3.0
        link.tick(now=clock[0])
        await eventually(lambda: link.is_up)
        daemon.answer()
        await eventually(lambda: bool(results))
        (result,) = results
        assert isinstance(result, Answered)
        assert result.body == b"whole"
        # The silent connection is closed once no call is pending on it.
        await eventually(lambda: daemon.lost == 1)
        link.close()
        daemon.server.stop()

    in_loop(scenario)


def test_what_may_run_again_is_not_kept_waiting_on_a_silent_connection() -> None:
    async def scenario() -> None:
        clock = [10.0]
        daemon = SilentDaemon()
        link = await _link_to(daemon, clock)
        results: list[CallResult] = []
        link.submit(_call(is_idempotent=True), results.append)
        await eventually(lambda: len(daemon.taken) == 1)
        clock[0] += 1.5
        link.tick(now=clock[0])
        await eventually(lambda: bool(results))
        (result,) = results
        assert isinstance(result, Unanswered)
        assert (result.kind, result.has_begun) == (ErrorKind.OUTCOME_UNKNOWN, True)
        link.close()
        daemon.server.stop()

    in_loop(scenario)


def test_an_order_on_a_silent_connection_is_given_up_with_its_caller_and_fails_with_it() -> None:
    async def scenario() -> None:
        clock = [10.0]
        daemon = SilentDaemon()
        link = await _link_to(daemon, clock)
        results: list[CallResult] = []
        first = link.submit(_call(is_idempotent=False), results.append)
        link.submit(_call(is_idempotent=False), results.append)
        await eventually(lambda: len(daemon.taken) == 2)
        clock[0] += 1.5
        link.tick(now=clock[0])
        link.cancel(first)
        daemon.taken[0][0].close()
        await eventually(lambda: bool(results))
        assert [type(result) for result in results] == [Unanswered]
        link.close()
        daemon.server.stop()

    in_loop(scenario)


def _earlier_record(readiness: Readiness) -> MemberRecord:
    """Build the record of the target `t-1` that the previous process left."""
    target = TargetRecord(TargetId("t-1"), ServiceName("stock"), 10, readiness, 1, 7)
    given = settings()
    return MemberRecord(given.vm, given.zone, str(given.links_address), 1, 3, False, target)


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.LEFT])
@pytest.mark.parametrize("source", ["store", "peer"])
def test_a_target_that_left_before_a_restart_is_not_used_again(
    readiness: Readiness, source: str
) -> None:
    """An announcement that was in transit when the departure was acknowledged arrives last."""

    async def scenario() -> None:
        store = MemoryStore(configuration(route()))
        daemon = MeshDaemon(
            settings(),
            dialect=PlatformDialect(),
            store=store,
            now=asyncio.get_running_loop().time,
            started_ms=2,
            rng=Random(7),
        )
        if source == "store":
            store.record_by_vm[daemon.settings.vm] = _earlier_record(readiness)
        else:
            store.is_down = True
        await daemon.start()
        if source == "store":
            await eventually(lambda: daemon.sync.has_listed)
        else:
            members = Members((_earlier_record(readiness),))
            daemon.peers.merge(members.records)
        daemon.handle_announcement(announcement(free_address(), sequence=6))
        assert not daemon.gate.is_open
        # Another incarnation at the same address is another target.
        daemon.handle_announcement(
            announcement(free_address(), target_id="t-2", born_ms=9, sequence=1)
        )
        assert daemon.gate.is_open
        daemon.close()

    in_loop(scenario)


def test_a_late_refusal_without_an_id_doesn_t_say_that_an_order_hasn_t_run() -> None:
    async def behave(_number: int, _request_id: str, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        writer.close()

    async def scenario() -> None:
        world = MeshWorld(route(is_idempotent=False))
        target = RawTarget(behave)
        await target.start()
        daemon = await world.add()
        daemon.handle_announcement(announcement(target.address))
        await world.settle_without_targets()
        got = await Client(daemon).ask(method="POST", body=b"order")
        assert isinstance(got, HttpAnswer)
        assert got.status == 502
        target.stop()
        await world.close()

    in_loop(scenario)


@pytest.mark.parametrize(("stopped_after_s", "accepted_before"), [(0.02, 60), (0.0, 0)])
def test_requests_accepted_in_a_planned_stop_under_load_are_answered_whole(
    stopped_after_s: float, accepted_before: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    ports = count(1_000)
    monkeypatch.setattr("builders_mesh.free_address", lambda: Address(HOST, next(ports)))

    async def scenario(net: VirtualNet) -> None:
        now = net.loop.time
        world = MeshWorld(now=now)

        def soon(seen: SeenRequest) -> None:
            asyncio.get_running_loop().call_later(0.05, seen.answer)

        stopped = await world.add(TargetStandIn(soon, now=now), slots=4)
        await world.add(TargetStandIn(soon, now=now), slots=40)
        await world.settle()
        results: list[object] = []
        client = Client(stopped, now=now)
        for number in range(60):
            client.send(f"/r/{number}", results.append)
        await asyncio.sleep(stopped_after_s)
        assert len(stopped.entry.pending) == accepted_before
        await stopped.stop()
        # The process would exit here: whatever is unanswered is cut off.
        assert not stopped.entry.pending
        assert not stopped.gate.calls_by_id
        await eventually(lambda: len(results) == 60)
        statuses = [getattr(result, "status", 0) for result in results]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 40
        # Each request that a target received has its whole answer.
        assert [target.gone for target in world.targets] == [0, 0]
        assert statuses.count(200) == sum(len(target.seen) for target in world.targets)
        assert {getattr(r, "body", b"") for r in results if getattr(r, "status", 0) == 200} == {
            b"whole"
        }
        await world.close()

    in_virtual_time(scenario)
