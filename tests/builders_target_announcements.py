"""Targets that report rate limits and departures in answers, and clients that record them."""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Final

from benchmarks._announcement_ledger import (
    AnnouncedLimit,
    AnnouncementLedger,
    Arrival,
    ExcusedInterval,
    RelayedAnnouncement,
)

from builders_mesh import SeenRequest, TargetStandIn, announcement, header_of
from builders_virtual_fleet import ENTRY, VirtualFleet, VirtualVm
from daisywharf._ids import TargetId
from daisywharf._mesh._http_answers import HttpAnswer, HttpResult
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._model import Readiness
from daisywharf._topology import Address
from virtual_net import Process, start_in

TARGET_PORT: Final = 8305
SERVICE: Final = "stock-0"
WORK_S: Final = 0.09
HEARTBEAT_PERIOD_S: Final = 1.0
METHODS: Final = ("GET", "POST")


class ReportingTarget:
    """A target that reports its rate limit and its departure in answer headers."""

    def __init__(self, world: "ReportingWorld", vm: VirtualVm, *, number: int) -> None:
        self.world = world
        self.vm = vm
        self.has_left = False
        self.target_id = f"t-{vm.name}-{number}"
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.work_s = WORK_S
        self.rejected_share = 0.0
        self.born_ms = int(world.fleet.now * 1_000)
        self.sequence = 0
        self.stand_in = TargetStandIn(self._behave)
        self.process = Process(vm.host)

    def leave(self) -> None:
        """Stop, and close all connections."""
        self.has_left = True
        if self.limit_per_s is not None:
            self.set_limit(None)
        self.stand_in.server.stop()
        for connection in list(self.stand_in.server.connections):
            connection.close()

    def set_limit(self, per_s: float | None) -> None:
        """Report a rate limit in calls per second from now on, or none."""
        self.limit_per_s = per_s
        self.world.ledger.limits.append(AnnouncedLimit(self.target_id, per_s, self.world.fleet.now))

    async def start(self) -> None:
        """Listen, and announce itself at each heartbeat."""
        await start_in(self.process, self.stand_in.server.start(Address(self.vm.host, TARGET_PORT)))
        asyncio.ensure_future(self._announce())

    async def _announce(self) -> None:
        while not self.has_left:
            self.announce()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def announce(self) -> None:
        """Announce itself as ready to the local daemon, if one is running."""
        self.sequence += 1
        daemon = self.vm.daemon
        is_running = daemon is not None and not daemon.stopped.is_set()
        if daemon is not None and is_running and not self.vm.process.is_suspended:
            sent = announcement(
                Address(self.vm.host, TARGET_PORT),
                target_id=TargetId(self.target_id),
                service=SERVICE,
                slots=40,
                readiness=Readiness.READY,
                born_ms=self.born_ms,
                sequence=self.sequence,
            )
            self.vm.process.context.run(daemon.handle_announcement, sent)

    def _behave(self, seen: SeenRequest) -> None:
        self.world.record_arrival(self, seen)
        if self.rejected_share and self.world.rng.random() < self.rejected_share:
            seen.answer(503, Not_Executed="1")
            return
        asyncio.get_running_loop().call_later(self.work_s, self._answer, seen)

    def _answer(self, seen: SeenRequest) -> None:
        headers = {"From_Target": self.target_id}
        if self.limit_per_s is not None:
            headers["Server_Limit"] = f"{self.limit_per_s}"
        if self.is_leaving:
            headers["Server_Leaving"] = "1"
        seen.answer(**headers)


class ReportingWorld:
    """A fleet with a target and a client on each VM, and a record of what each of them saw."""

    def __init__(self, fleet: VirtualFleet, *, seed: int = 7) -> None:
        self.fleet = fleet
        self.rng = Random(seed)
        self.ledger = AnnouncementLedger()
        self.target_by_vm: dict[str, ReportingTarget] = {}
        self.statuses: list[tuple[float, int]] = []
        self._sent_by_request: dict[str, tuple[str, int, float]] = {}
        self.client = Process("10.99.0.1")
        self._pool_by_daemon_start: dict[tuple[str, int], HttpPool] = {}
        self._last_number = 0

    async def start(self) -> None:
        """Start a target beside each daemon, and wait until all daemons know all targets."""
        for vm in self.fleet.vm_by_name.values():
            await self.start_target(vm.name)
        if self.fleet.version == 1:
            self.fleet.change()
        await asyncio.sleep(2.0)

    async def start_target(self, name: str) -> ReportingTarget:
        """Start a target on a VM, replacing the previous one."""
        earlier = self.target_by_vm.get(name)
        if earlier is not None:
            earlier.leave()
        number = 1 if earlier is None else int(earlier.target_id.rpartition("-")[2]) + 1
        target = ReportingTarget(self, self.fleet.vm_by_name[name], number=number)
        self.target_by_vm[name] = target
        await target.start()
        return target

    def record_excuse(self, name: str, *, lasts_s: float) -> None:
        """Record that a VM is suspended or cut off for `lasts_s` seconds from now on."""
        now = self.fleet.now
        self.ledger.excused_intervals.append(ExcusedInterval(name, now, now + lasts_s))

    def record_arrival(self, target: ReportingTarget, seen: SeenRequest) -> None:
        """Record that a request reached a target."""
        request = seen.header["attempt-id"]
        vm, process, sent_at = self._sent_by_request[request]
        self.ledger.arrivals.append(
            Arrival(target.target_id, request, vm, process, sent_at, self.fleet.now)
        )

    def send(self, name: str, *, method: str = "GET") -> None:
        """Send a request to the daemon of a VM, and record its answer."""
        vm = self.fleet.vm_by_name[name]
        self._last_number += 1
        request = f"{name}.{self._last_number}"
        daemon_start = (name, vm.starts)
        self._sent_by_request[request] = (*daemon_start, self.fleet.now)

        def record_result(result: HttpResult) -> None:
            now = self.fleet.now
            status = result.status if isinstance(result, HttpAnswer) else 0
            self.statuses.append((now, status))
            if not isinstance(result, HttpAnswer):
                return
            target = header_of(result, "From-Target")
            if target is not None and header_of(result, "Server-Limit") is not None:
                self.ledger.relayed_limits.append(RelayedAnnouncement(target, *daemon_start, now))
            if target is not None and header_of(result, "Server-Leaving") is not None:
                self.ledger.relayed_leavings.append(RelayedAnnouncement(target, *daemon_start, now))

        pool = self._pool_by_daemon_start.get(daemon_start)
        if pool is None:
            address = Address(vm.host, ENTRY)
            pool = self._pool_by_daemon_start[daemon_start] = HttpPool(
                address, now=self.fleet.net.loop.time
            )
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        head = f"{method} /orders/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {request}\r\n"
        self.client.context.run(
            pool.send, f"{head}Deadline-Ms: 3000\r\n{length}\r\n".encode(), record_result
        )

    async def load(
        self, *, per_s: float, lasts_s: float, names: Iterable[str] | None = None
    ) -> None:
        """Send requests at a mean rate to the daemons of these VMs, or of all."""
        wanted = list(self.fleet.vm_by_name if names is None else names)
        until = self.fleet.now + lasts_s
        while self.fleet.now < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            name = self.rng.choice(wanted)
            if self.fleet.vm_by_name[name].daemon is not None:
                self.send(name, method=self.rng.choice(METHODS))

    def served_fraction(self, *, since: float) -> float:
        """Return the fraction of requests served, of those that ended since a time."""
        ended = [status for at, status in self.statuses if at >= since]
        return sum(status == 200 for status in ended) / max(1, len(ended))

    def arrival_count(self, target: ReportingTarget, *, since: float, until: float) -> int:
        """Return how many requests reached a target in an interval."""
        return sum(
            arrival.target == target.target_id and since <= arrival.at < until
            for arrival in self.ledger.arrivals
        )
