"""The parts of a soak that run in its own process: targets, clients and link relays."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec

from benchmarks._announcement_ledger import AnnouncedLimit, Arrival, RelayedAnnouncement
from benchmarks._soak_ledger import (
    REFUSAL_STATUSES,
    AcknowledgedLeaving,
    Ledger,
    Run,
    SentRequest,
    vm_of,
)
from daisywharf._mesh._headers import HeaderPair
from daisywharf._mesh._http_answers import HttpAnswer, HttpFailure
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._http_server import Exchange, HttpServer
from daisywharf._topology import Address

HOST_NAME: Final = "shop.example"
HEARTBEAT_S: Final = 0.5
ACK_TIMEOUT_S: Final = 1.0
CLIENT_TIMEOUT_S: Final = 3.0
FRONT, BACK = "front", "back"
FILLER: Final = b"." * 800


def body_of(request: str, target: str) -> bytes:
    """Return the complete body of a target's answer to a request."""
    return f"{request} at {target} ".encode() + FILLER


class SoakTarget:
    """Stand in for a target: serve requests, announce itself, and simulate faults.

    `misbehaviour` gets each exchange and its request, and returns whether it ended the exchange.
    """

    def __init__(
        self,
        name: str,
        service: str,
        *,
        address: Address,
        control: Address,
        entry: Address,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.ledger = ledger
        self.rng = rng
        self.work_s = 0.02
        self.slots = 20
        self.state = "ready"
        self.limit_per_s: float | None = None
        self.announces_leaving = False
        self.misbehaviour: Callable[[Exchange, str], bool] | None = None
        self.server = HttpServer(self._handle, now=time.monotonic)
        self._control = HttpPool(control, now=time.monotonic)
        self._entry = HttpPool(entry, now=time.monotonic)
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._running = 0
        self._last_call_number = 0
        self._heartbeats: asyncio.Task[None] | None = None
        self.is_down = False

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        await self.server.start(self.address)
        self._heartbeats = asyncio.ensure_future(self._announce())

    def crash(self) -> None:
        """Stop without an announcement; running requests are lost."""
        self.is_down = True
        if self.limit_per_s is not None:
            self.set_limit(None)
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self.server.stop()
        for connection in list(self.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._control.close()
        self._entry.close()

    def set_limit(self, per_s: float | None) -> None:
        """Announce a limit in answers from now on, in requests a second; None ends it."""
        self.limit_per_s = per_s
        self.ledger.announcements.limits.append(AnnouncedLimit(self.name, per_s, time.monotonic()))

    async def leave(self, *, drain_s: float) -> None:
        """Announce that the target leaves, serve for `drain_s` more seconds, and stop."""
        self.announces_leaving = True
        self.state = "draining"
        while not await self._send_heartbeat():
            await asyncio.sleep(0.1)
        self.ledger.acknowledged_leavings.append(AcknowledgedLeaving(self.name, time.monotonic()))
        await asyncio.sleep(drain_s)
        self.crash()

    async def _announce(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self) -> bool:
        self._sequence += 1
        body = msgspec.json.encode(
            {
                "service": self.service,
                "address": str(self.address),
                "zone": "any",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            }
        )
        path = f"/-/instances/{self.name}/heartbeat"
        head = f"POST {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n\r\n"
        result = await self._control.fetch(head.encode() + body, within_s=ACK_TIMEOUT_S)
        return isinstance(result, HttpAnswer) and result.status == 200

    def _handle(self, exchange: Exchange) -> None:
        request = header_of(exchange.headers, b"attempt-id")
        origin = self.ledger.origin_by_request.get(request)
        if origin is not None:
            self.ledger.announcements.arrivals.append(
                Arrival(self.name, request, *origin, time.monotonic())
            )
        if self._running >= self.slots:
            lines = f"Attempt-Id: {request}\r\nNot-Executed: 1\r\n".encode()
            exchange.respond(503, lines=lines + self.announcement_lines())
            return
        self._running += 1
        run = Run(self.name, self.service, time.monotonic())
        self.ledger.runs_by_request[request].append(run)
        task = asyncio.ensure_future(self._run(exchange, request, run))
        exchange.on_client_gone = lambda: _cancel(task)
        task.add_done_callback(self._handle_run_end)

    def _handle_run_end(self, _task: asyncio.Task[None]) -> None:
        self._running -= 1

    async def _run(self, exchange: Exchange, request: str, run: Run) -> None:
        await asyncio.sleep(self.work_s * (0.5 + self.rng.random()))
        calls_below = self.service == FRONT and exchange.request_target.endswith(b"/chain")
        status = await self._call_below(request) if calls_below else 200
        if self.misbehaviour is not None and self.misbehaviour(exchange, request):
            return
        lines = f"Attempt-Id: {request}\r\nServer-Signature: s\r\nFrom: {self.name}\r\n".encode()
        run.answered_at = time.monotonic()
        exchange.respond(
            status, lines=lines + self.announcement_lines(), body=body_of(request, self.name)
        )

    def announcement_lines(self) -> bytes:
        """Return the header lines that announce a limit or the leaving, if any."""
        lines = (
            b"" if self.limit_per_s is None else f"Server-Limit: {self.limit_per_s}\r\n".encode()
        )
        return lines + (b"Server-Leaving: 1\r\n" if self.announces_leaving else b"")

    async def _call_below(self, request: str) -> int:
        self._last_call_number += 1
        inner_request = f"{request}.{self._last_call_number}"
        head = request_head("GET", "/back/inner", inner_request, time_left_s=1.0)
        vm = vm_of(self.name)
        process = self.ledger.process_by_vm[vm]
        self.ledger.origin_by_request[inner_request] = (vm, process, time.monotonic())
        result = await self._entry.fetch(head + b"\r\n", within_s=1.2)
        if isinstance(result, HttpAnswer):
            record_announcements(self.ledger, result, vm=vm, process=process)
        return 200 if isinstance(result, HttpAnswer) and result.status == 200 else 500


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


class SoakClient:
    """Send requests to one VM's daemon and record their outcomes."""

    def __init__(self, vm: str, entry: Address, *, ledger: Ledger) -> None:
        self.vm = vm
        self.ledger = ledger
        self.process = 0
        self.pool = HttpPool(entry, now=time.monotonic)
        self._last_request_number = 0

    async def send(self, method: str, path: str) -> SentRequest:
        """Send one request and wait until it ends."""
        self._last_request_number += 1
        request = f"{self.vm}-{self._last_request_number}"
        sent = SentRequest(request, self.vm, self.process, path, method == "GET", time.monotonic())
        self.ledger.sent.append(sent)
        self.ledger.origin_by_request[request] = (self.vm, self.process, sent.sent_at)
        body = b"order" if method == "POST" else b""
        head = request_head(method, path, request, time_left_s=CLIENT_TIMEOUT_S, length=len(body))
        result = await self.pool.fetch(head + b"\r\n" + body, within_s=CLIENT_TIMEOUT_S + 0.5)
        sent.ended_at = time.monotonic()
        if isinstance(result, HttpAnswer):
            sent.status = result.status
            record_announcements(self.ledger, result, vm=sent.vm, process=sent.process)
            has_retry_after = any(name.lower() == b"retry-after" for name, _ in result.headers)
            sent.promises_not_run = result.status in REFUSAL_STATUSES and has_retry_after
            whole_bodies = (
                body_of(request, r.target) for r in self.ledger.runs_by_request[request]
            )
            sent.is_whole = result.body in whole_bodies
        elif isinstance(result, HttpFailure):
            sent.status = 0
        return sent


def record_announcements(ledger: Ledger, answer: HttpAnswer, *, vm: str, process: int) -> None:
    """Record what a target announced in an answer that a daemon passed on."""
    target = header_of(answer.headers, b"from")
    relayed = RelayedAnnouncement(target, vm, process, time.monotonic())
    if target and header_of(answer.headers, b"server-limit"):
        ledger.announcements.relayed_limits.append(relayed)
    if target and header_of(answer.headers, b"server-leaving"):
        ledger.announcements.relayed_leavings.append(relayed)


def request_head(
    method: str, path: str, request: str, *, time_left_s: float, length: int = 0
) -> bytes:
    """Return a request's head without the empty line that ends it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {request}\r\n"
    head += f"Deadline-Ms: {int(time_left_s * 1_000)}\r\n"
    return (head + (f"Content-Length: {length}\r\n" if length else "")).encode()


def header_of(headers: list[HeaderPair], name: bytes) -> str:
    """Return the value of a header, or an empty string."""
    return next((v.decode("latin-1") for n, v in headers if n.lower() == name), "")


class LinkRelay:
    """Forward a daemon's links, optionally delayed, in one direction only, or not at all."""

    def __init__(self, address: Address, upstream: Address) -> None:
        self.address = address
        self.upstream = upstream
        self.delay_s = 0.0
        self.drops_in = False
        self.drops_out = False
        # The links numbered up to this one carry nothing more.
        self.silent_before = 0
        self._opened_count = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept, self.address.host, self.address.port
        )

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Drop everything on the open links; new ones work."""
        self.silent_before = self._opened_count

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.upstream.host, self.upstream.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        self._opened_count += 1
        number = self._opened_count

        def is_silent() -> bool:
            return number <= self.silent_before

        # The end of a soak cancels open connections; there is nothing left to report.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, upstream_writer, lambda: self.drops_in or is_silent()),
                self._forward(upstream_reader, writer, lambda: self.drops_out or is_silent()),
            )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dropped: Callable[[], bool],
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if writer.transport.is_closing():
                    break
                if not is_dropped():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass  # the other end was killed or reset; the daemons notice it by themselves
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
