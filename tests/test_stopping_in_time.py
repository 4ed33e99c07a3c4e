"""A stopping daemon completes the requests that it accepted, and accepts none it can't complete."""

import asyncio
import re
from typing import Final

import pytest

from builders_mesh import SeenRequest, TargetStandIn, announcement
from builders_virtual_fleet import ENTRY, VirtualFleet
from daisywharf._configuration import RouteName
from daisywharf._contract import Importance
from daisywharf._mesh._entry import Entry
from daisywharf._mesh._frames import Call
from daisywharf._mesh._stopping import can_accept, schedule_stop
from daisywharf._topology import Address
from virtual_net import Process, VirtualNet, in_virtual_time, start_in

# `gracePeriodS` of the users' site files.
GRACE_S: Final = 6.0
WORK_S: Final = 0.3


class Connection(asyncio.Protocol):
    """A client's connection and the bytes received on it."""

    def __init__(self) -> None:
        self.received = b""
        self.is_lost = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True

    def send(self, request: str, path: str, *, deadline_ms: int = 6_000) -> None:
        """Send a request, unless the daemon has closed the connection."""
        if not self.is_lost and self.transport is not None:
            head = f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {request}\r\n"
            self.transport.write(f"{head}Deadline-Ms: {deadline_ms}\r\n\r\n".encode())


class StoppingWorld:
    """An entry that is to be stopped, and a target on another VM."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.client = Process("10.1.0.99")
        self.target = TargetStandIn(self._behave)
        self.stopped_at = 0.0

    def _behave(self, seen: SeenRequest) -> None:
        work_s = GRACE_S if seen.path.endswith("/slow") else WORK_S
        asyncio.get_running_loop().call_later(work_s, seen.answer)

    async def start(self) -> None:
        """Start the target, and wait until the entry knows it."""
        vm = self.fleet.vm_by_name["antwerpen-2"]
        assert vm.daemon is not None
        self.target.address = Address(vm.host, 1)
        await start_in(vm.process, self.target.server.start(self.target.address))
        vm.process.context.run(
            vm.daemon.handle_announcement, announcement(self.target.address, service="stock-0")
        )
        self.fleet.change()
        await asyncio.sleep(1.0)

    async def start_busy_target(self, name: str) -> None:
        """Start a target at a VM, and a request there that lasts for the whole stop."""
        vm = self.fleet.vm_by_name[name]
        assert vm.daemon is not None
        target = TargetStandIn(lambda _seen: None)
        target.address = Address(vm.host, 1)
        await start_in(vm.process, target.server.start(target.address))
        given = announcement(target.address, target_id="t-busy", service="other")
        vm.process.context.run(vm.daemon.handle_announcement, given)
        call = Call(
            call_id=0,
            target_id=given.target_id,
            request_id="busy",
            caller_service=given.service,
            route="other other",
            time_left_ms=20_000,
            max_wait_ms=1_000,
            importance=Importance.NORMAL,
            sub_order=5,
            is_idempotent=False,
            head=b"GET /busy HTTP/1.1\r\nAttempt-Id: busy\r\n",
            body=b"",
        )
        vm.process.context.run(vm.daemon.gate.submit, call, lambda _result: None)
        await asyncio.sleep(0.1)
        assert vm.daemon.gate.slots.running

    async def connect(self) -> Connection:
        """Open a connection of a client."""
        host = self.fleet.vm_by_name["antwerpen-1"].host
        loop = asyncio.get_running_loop()
        _, connection = await start_in(self.client, loop.create_connection(Connection, host, ENTRY))
        assert isinstance(connection, Connection)
        return connection

    def stop(self) -> None:
        """Signal the entry to stop."""
        self.fleet.stop("antwerpen-1")
        self.stopped_at = self.fleet.now

    async def until(self, after_s: float) -> None:
        """Wait until `after_s` seconds after the signal."""
        await asyncio.sleep(self.stopped_at + after_s - self.fleet.now)

    def ran(self, request: str) -> bool:
        """Return whether the target received a request."""
        return any(seen.header["attempt-id"] == request for seen in self.target.seen)


def _statuses(connection: Connection) -> list[int]:
    return [int(code) for code in re.findall(rb"HTTP/1.1 (\d+)", connection.received)]


def test_a_request_that_arrives_just_before_the_end_of_a_stop_is_refused() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone={"antwerpen": 2})
        await fleet.start()
        world = StoppingWorld(fleet)
        await world.start()
        busy, late = await world.connect(), await world.connect()
        late.send("early", "/orders/quick")
        await asyncio.sleep(1.0)
        world.stop()
        await world.until(2.0)
        busy.send("slow", "/orders/slow")
        await world.until(5.15)
        late.send("late", "/orders/quick")
        await world.until(GRACE_S)
        assert world.ran("slow")
        assert _statuses(late) == [200, 503]
        assert not world.ran("late")
        assert b"Retry-After:" in late.received
        assert late.is_lost

    in_virtual_time(scenario)


def test_requests_are_served_until_clients_know_that_the_daemon_stops() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone={"antwerpen": 2})
        await fleet.start()
        world = StoppingWorld(fleet)
        await world.start()
        connections = [await world.connect() for _ in range(8)]
        world.stop()
        for number, connection in enumerate(connections):
            await world.until(0.3 * number)
            connection.send(f"id-{number}", "/orders/quick")
        await world.until(GRACE_S)
        assert [_statuses(connection) for connection in connections] == [[200]] * 8

    in_virtual_time(scenario)


def _take_for_calls(world: StoppingWorld) -> Entry:
    """Make the entry believe that its clients' route carries targets' calls; return the entry."""
    daemon = world.fleet.vm_by_name["antwerpen-1"].daemon
    assert daemon is not None
    daemon.entry.origins.call_routes = frozenset({RouteName("orders")})
    return daemon.entry


@pytest.mark.parametrize("is_target_busy", [False, True])
def test_late_requests_on_a_route_that_seems_to_carry_calls_are_not_cut_off(
    is_target_busy: bool,
) -> None:
    """Clients of each VM use routes of their own, which look like routes of targets' calls."""

    async def scenario(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone={"antwerpen": 2})
        await fleet.start()
        world = StoppingWorld(fleet)
        await world.start()
        if is_target_busy:
            await world.start_busy_target("antwerpen-1")
        entry = _take_for_calls(world)
        connections = [await world.connect() for _ in range(12)]
        world.stop()
        for number, connection in enumerate(connections):
            await world.until(0.1 + 0.45 * number)
            assert entry.origins.call_routes
            connection.send(f"id-{number}", "/orders/quick")
        await world.until(GRACE_S)
        # Requests of the first 2.6 s are served; later ones aren't run, as they may last for 6 s.
        served = [_statuses(connection) == [200] for connection in connections]
        assert served == [True] * 6 + [False] * 6
        assert [world.ran(f"id-{number}") for number in range(12)] == served
        # Without a busy target the process ends once it is idle; its connections close unread.
        for connection in connections[6:]:
            assert _statuses(connection) in ([503], [])
            assert _statuses(connection) or connection.is_lost
        refused = [connection for connection in connections if _statuses(connection) == [503]]
        assert len(refused) >= (5 if is_target_busy else 0)

    in_virtual_time(scenario)


def test_a_call_of_a_running_request_is_served_while_its_deadline_lies_within_the_stop() -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone={"antwerpen": 2})
        await fleet.start()
        world = StoppingWorld(fleet)
        await world.start()
        await world.start_busy_target("antwerpen-1")
        _take_for_calls(world)
        connections = [await world.connect() for _ in range(2)]
        world.stop()
        await world.until(4.0)
        connections[0].send("call", "/orders/quick", deadline_ms=1_000)
        await world.until(4.4)
        connections[1].send("long-call", "/orders/quick", deadline_ms=1_000)
        await world.until(GRACE_S)
        assert [_statuses(connection) for connection in connections] == [[200], [503]]
        assert not world.ran("long-call")

    in_virtual_time(scenario)


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 3.0, 6.0, 10.0])
def test_a_stop_ends_in_its_grace_period_and_accepts_nothing_that_can_last_longer(
    grace_s: float,
) -> None:
    schedule = schedule_stop(grace_s=grace_s, now=100.0)
    assert 100.0 <= schedule.gate_closes_at <= schedule.ends_at < 100.0 + grace_s
    assert schedule.accepts_until <= schedule.ends_at
    late = schedule.accepts_until
    for is_target_busy in (False, True):
        assert not can_accept(
            schedule, deadline=schedule.ends_at, is_target_busy=is_target_busy, now=late
        )
    assert not can_accept(schedule, deadline=late, is_target_busy=False, now=late)
