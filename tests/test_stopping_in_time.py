"""A stopping daemon completes the requests that it accepted, and accepts none it can't complete."""

import asyncio
import re
from typing import Final

from builders_mesh import SeenRequest, TargetStandIn, announcement
from builders_virtual_fleet import ENTRY, VirtualFleet
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

    def send(self, request: str, path: str) -> None:
        """Send a request, unless the daemon has closed the connection."""
        if not self.is_lost and self.transport is not None:
            head = f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {request}\r\n"
            self.transport.write(f"{head}Deadline-Ms: 6000\r\n\r\n".encode())


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
