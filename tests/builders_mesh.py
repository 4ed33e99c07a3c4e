"""Build daemons on loopback, with stand-ins for the store, targets and clients."""

import asyncio
import json
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

from benchmarks._processes import free_address

from daisywharf._configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteName,
    SplitPart,
)
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import ServiceName, TargetId, Version, VmId, ZoneName
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._http_answers import HttpAnswer, HttpResult
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._http_server import Exchange, HttpServer
from daisywharf._mesh._learned import LearnedCalls
from daisywharf._mesh._model import MemberRecord, Readiness, TargetAnnouncement
from daisywharf._mesh._settings import MeshBounds, MeshSettings
from daisywharf._mesh._store import ConfigurationRead
from daisywharf._mesh._store_era import EraState
from daisywharf._topology import Address
from daisywharf.platform._headers import PlatformDialect

HOST = "127.0.0.1"
NOWHERE = Address(HOST, 9)


def route(name: str = "r", **changes: Any) -> Route:
    """Build a route to the service `stock` under `/NAME/`."""
    given: dict[str, Any] = {
        "name": RouteName(name),
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "parts": (SplitPart(ServiceName("stock"), 1.0),),
        "is_idempotent": True,
        "max_attempts": 2,
        "timeout_s": 5.0,
        "aim_s": 1.0,
        "importance": Importance.NORMAL,
    }
    return Route(**{**given, **changes})


def configuration(*routes: Route, version: int = 1) -> Configuration:
    """Build a configuration of these routes."""
    return Configuration(Version(version), routes, ClientLimits(), {})


def settings(vm: str = "vm-1", zone: str = "a", service: str = "stock") -> MeshSettings:
    """Build settings with addresses on loopback."""
    return MeshSettings(
        vm=VmId(vm),
        zone=ZoneName(zone),
        service=ServiceName(service),
        target_address=NOWHERE,
        entry_address=free_address(),
        links_address=free_address(),
        ready_address=NOWHERE,
        announcements_address=NOWHERE,
        store_address=NOWHERE,
        seeds=(),
        memory_bytes=200e6,
        bounds=MeshBounds(grace_s=1.0, retry_ratio=0.2, retry_window_s=10.0, retry_extra=50.0),
    )


def announcement(address: Address, **changes: Any) -> TargetAnnouncement:
    """Build an announcement of the target `t-1` of `stock`."""
    given: dict[str, Any] = {
        "target_id": TargetId("t-1"),
        "service": ServiceName("stock"),
        "address": address,
        "slots": 10,
        "readiness": Readiness.READY,
        "cold_s": 0.0,
        "born_ms": 1,
        "sequence": 1,
    }
    return TargetAnnouncement(**{**given, **changes})


def member(vm: str, *, started_ms: int) -> MemberRecord:
    """Build the record of a daemon without a target, at an address where nothing listens."""
    return MemberRecord(VmId(vm), ZoneName("a"), str(NOWHERE), started_ms, 0, False, None)


class MemoryStore:
    """An in-memory store; while `is_down`, each call fails."""

    def __init__(self, first: Configuration | None = None) -> None:
        self.configuration = first
        self.revision = 1
        self.record_by_vm: dict[str, MemberRecord] = {}
        self.learned = LearnedCalls()
        self.is_down = False
        self.calls = 0
        self.era_state = EraState()
        self.on_new_era: Callable[[int | None], None] = lambda _earlier: None
        self._changed = asyncio.Event()
        # Processes that have written their record, or were shown an earlier one.
        self._writers: set[tuple[VmId, int]] = set()

    def change(self, configuration: Configuration) -> None:
        """Write a configuration as the operator does."""
        self.configuration = configuration
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _count_call(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "the store is down")

    async def read_configuration(self) -> ConfigurationRead:
        self._count_call()
        return ConfigurationRead(self.configuration, self.revision)

    async def watch_configuration(
        self, *, after: int, era: int | None, wait_s: float, within_s: float
    ) -> ConfigurationRead:
        self._count_call()
        if self.revision <= after:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return ConfigurationRead(None, self.revision)
            if self.is_down:
                raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "the store went down")
        return ConfigurationRead(self.configuration, self.revision)

    async def write_member(self, record: MemberRecord) -> MemberRecord | None:
        self._count_call()
        found = self.record_by_vm.get(record.vm)
        writer = (record.vm, record.started_ms)
        if found is not None and writer not in self._writers:
            self._writers.add(writer)
            return found
        self._writers.add(writer)
        self.record_by_vm[record.vm] = record
        return None

    async def is_member_stored(self, record: MemberRecord) -> bool:
        self._count_call()
        return self.record_by_vm.get(record.vm) == record

    async def read_learned_calls(self) -> LearnedCalls:
        self._count_call()
        return self.learned

    async def write_learned_calls(self, learned: LearnedCalls) -> None:
        self._count_call()
        self.learned = learned

    async def list_members(self) -> list[MemberRecord]:
        self._count_call()
        return list(self.record_by_vm.values())


def daemon_at_rest(
    store: MemoryStore | None = None, *, vm: str = "vm-1", started_ms: int = 2
) -> MeshDaemon:
    """Build a daemon that isn't started; its wall clock shows `started_ms`."""
    return MeshDaemon(
        settings(vm),
        dialect=PlatformDialect(),
        store=store or MemoryStore(configuration(route())),
        now=time.monotonic,
        started_ms=started_ms,
        rng=Random(7),
    )


class SeenRequest:
    """A request as a target received it."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.method = exchange.method.decode()
        self.path = exchange.request_target.decode()
        self.body = exchange.body
        self.header = {name.decode().lower(): value.decode() for name, value in exchange.headers}

    def answer(self, status: int = 200, body: bytes = b"whole", **headers: str) -> None:
        """Answer as a target does, with a signature and the request's id."""
        lines = f"Attempt-Id: {self.header.get('attempt-id', '')}\r\nServer-Signature: s\r\n"
        lines += "".join(f"{n.replace('_', '-')}: {v}\r\n" for n, v in headers.items())
        self.exchange.respond(status, lines=lines.encode(), body=body)


class TargetStandIn:
    """A target stand-in: `behave` answers each request, or leaves it unanswered.

    `gone` counts the requests whose client disconnected.
    """

    def __init__(
        self,
        behave: Callable[[SeenRequest], None] = lambda seen: seen.answer(),
        *,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.behave = behave
        self.seen: list[SeenRequest] = []
        self.gone = 0
        self.address = free_address()
        self.server = HttpServer(self._handle, now=now)

    def _handle(self, exchange: Exchange) -> None:
        seen = SeenRequest(exchange)
        self.seen.append(seen)
        exchange.on_client_gone = self._count_gone
        self.behave(seen)

    def _count_gone(self) -> None:
        self.gone += 1


class MeshWorld:
    """The daemons, targets and store of one test."""

    def __init__(self, *routes: Route, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.store = MemoryStore(configuration(*(routes or (route(),))))
        self.daemons: list[MeshDaemon] = []
        self.targets: list[TargetStandIn] = []

    async def add(
        self,
        target: TargetStandIn | None = None,
        *,
        zone: str = "a",
        service: str = "stock",
        **announced: Any,
    ) -> MeshDaemon:
        """Start a daemon, and a target on its VM if one is given, and announce the target."""
        vm = f"vm-{len(self.daemons) + 1}"
        daemon = MeshDaemon(
            settings(vm, zone, service),
            dialect=PlatformDialect(),
            store=self.store,
            now=self.now,
            started_ms=1,
            rng=Random(7),
        )
        self.daemons.append(daemon)
        await daemon.start()
        if target is not None:
            self.targets.append(target)
            await target.server.start(target.address)
            announced = {"target_id": f"t-{vm}", "service": service, **announced}
            daemon.handle_announcement(announcement(target.address, **announced))
        return daemon

    async def settle(self) -> None:
        """Wait until each daemon has a configuration and knows the targets of all daemons."""
        await self.settle_without_targets()
        await eventually(lambda: all(_targets_known(d) == len(self.targets) for d in self.daemons))

    async def settle_without_targets(self) -> None:
        """Wait until each daemon has a configuration and open links to all others."""
        await eventually(
            lambda: all(
                d.is_ready
                and len(d.membership.record_by_vm) == len(self.daemons)
                and all(link.is_up for link in d.membership.link_by_vm.values())
                for d in self.daemons
            )
        )

    async def close(self) -> None:
        """Close everything that was started."""
        for daemon in self.daemons:
            daemon.close()
        for target in self.targets:
            target.server.stop()
            for connection in list(target.server.connections):
                connection.close()
        await asyncio.sleep(0)


def _targets_known(daemon: MeshDaemon) -> int:
    return sum(len(p.candidates) for p in daemon.services.placement_by_service.values())


async def eventually(condition: Callable[[], bool], *, within_s: float = 20.0) -> None:
    """Wait until a condition holds; raise TimeoutError after `within_s` seconds."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.01)


class Client:
    """Send requests to a daemon as a client does."""

    def __init__(self, daemon: MeshDaemon, *, now: Callable[[], float] = time.monotonic) -> None:
        self.pool = HttpPool(daemon.settings.entry_address, now=now)
        self.number = 0

    async def ask(
        self,
        path: str = "/r/x",
        *,
        method: str = "GET",
        body: bytes = b"",
        host: str = "shop.example",
        **headers: str,
    ) -> HttpResult:
        """Send a request and wait for its result."""
        future: asyncio.Future[HttpResult] = asyncio.get_running_loop().create_future()
        self.send(path, future.set_result, method=method, body=body, host=host, **headers)
        async with asyncio.timeout(20.0):
            return await future

    def send(
        self,
        path: str,
        on_result: Callable[[HttpResult], None],
        *,
        method: str = "GET",
        body: bytes = b"",
        host: str = "shop.example",
        **headers: str,
    ) -> Any:
        """Send a request; return the handle to cancel it."""
        self.number += 1
        given = {"Host": host, "Attempt-Id": f"id-{self.number}", "Deadline-Ms": "5000"}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body:
            given["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in given.items())
        return self.pool.send(head.encode() + b"\r\n" + body, on_result)


def header_of(answer: HttpAnswer, name: str) -> str | None:
    """Return the value of a header of an answer, or None."""
    for found, value in answer.headers:
        if found.decode().lower() == name.lower():
            return value.decode()
    return None


def in_loop(scenario: Callable[[], Any]) -> None:
    """Run a scenario on an event loop of its own."""
    asyncio.run(scenario())


def json_of(answer: HttpAnswer) -> Any:
    """Decode an answer's JSON body."""
    return json.loads(answer.body)


async def ask_without_reading(
    address: Address, path: str, *, number: int = 1
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request on a connection whose client reads hardly any of the answer by itself."""
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    slow.setblocking(False)
    await asyncio.get_running_loop().sock_connect(slow, (address.host, address.port))
    reader, writer = await asyncio.open_connection(sock=slow, limit=1_000)
    head = f"Host: shop.example\r\nAttempt-Id: slow-{number}\r\nDeadline-Ms: 20000\r\n"
    writer.write(f"GET {path} HTTP/1.1\r\n{head}\r\n".encode())
    return reader, writer
