"""Faulty targets: a client only gets a complete, signed answer to its own request."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from builders_mesh import (
    Client,
    MeshWorld,
    TargetStandIn,
    announcement,
    eventually,
    free_address,
    in_loop,
    route,
)
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._topology import Address

Behave = Callable[[int, str, asyncio.StreamWriter], Awaitable[None]]
WHOLE = b"the whole body"


def answer(
    request_id: str, body: bytes = WHOLE, *, length: int | None = None, more: str = ""
) -> bytes:
    """Return a target's answer; `length` overrides Content-Length, and may be wrong."""
    stated_length = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Signature: s\r\n{more}"
    return f"{head}Content-Length: {stated_length}\r\n\r\n".encode() + body


class RawTarget:
    """A target that answers with raw bytes; `behave` gets the request's number, id and writer."""

    def __init__(self, behave: Behave) -> None:
        self.behave = behave
        self.address: Address = free_address()
        self.requests = 0
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.address.host, self.address.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = next(
                    line.split(": ")[1]
                    for line in head.split("\r\n")
                    if line.lower().startswith("attempt-id")
                )
                self.requests += 1
                await self.behave(self.requests, request_id, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


async def ask_raw_target(
    behave: Behave, *, times: int = 1, is_idempotent: bool = False, sound_target: bool = False
) -> tuple[list[HttpAnswer], RawTarget]:
    """Send requests to a daemon beside a raw target, and a sound one on another VM if wanted."""
    world = MeshWorld(route(is_idempotent=is_idempotent, timeout_s=1.0))
    target = RawTarget(behave)
    await target.start()
    daemon = await world.add()
    daemon.handle_announcement(announcement(target.address))
    if sound_target:
        await world.add(TargetStandIn(lambda seen: seen.answer(200, WHOLE)))
    await world.settle_without_targets()
    if sound_target:
        placement = daemon.services.placement_of(route().parts[0].service)
        await eventually(lambda: len(placement.candidates) == 2)
    client = Client(daemon)
    answers = []
    for _ in range(times):
        result = await client.ask()
        assert isinstance(result, HttpAnswer)
        answers.append(result)
    target.stop()
    await world.close()
    return answers, target


async def _cut(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request_id, length=500))
    writer.close()


async def _reset_without_length(
    _number: int, request_id: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Signature: s\r\n\r\nhalf".encode()
    )
    await writer.drain()
    # Without lingering, a close resets the connection.
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _not_http(_number: int, _request_id: str, writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x00\x01 these bytes are no answer\r\n\r\n")


async def _unsigned(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
    writer.write(
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nContent-Length: 2\r\n\r\nno".encode()
    )


async def _encoded(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request_id, more="Content-Encoding: gzip\r\n"))


async def _for_another_request(
    _number: int, _request_id: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(answer("somebody-else"))
    writer.close()


@pytest.mark.parametrize(
    "behave", [_cut, _reset_without_length, _not_http, _unsigned, _encoded, _for_another_request]
)
def test_an_answer_that_is_cut_unsigned_or_for_another_request_is_a_failure(behave: Behave) -> None:
    async def scenario() -> None:
        (got,), _ = await ask_raw_target(behave)
        assert got.status == 502
        assert got.body == b""

    in_loop(scenario)


def test_an_answer_without_a_length_is_complete_when_its_connection_ends() -> None:
    async def behave(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Signature: s\r\n\r\n"
        writer.write(head.encode() + WHOLE)
        writer.close()

    async def scenario() -> None:
        (got,), _ = await ask_raw_target(behave)
        assert (got.status, got.body) == (200, WHOLE)

    in_loop(scenario)


def test_a_late_answer_to_an_earlier_request_is_skipped() -> None:
    async def behave(number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
        if number == 2:
            writer.write(answer("id-1", b"the extra one"))
        writer.write(answer(request_id, WHOLE))

    async def scenario() -> None:
        answers, target = await ask_raw_target(behave, times=3)
        assert [a.body for a in answers] == [WHOLE] * 3
        # The connection with the extra answer is not reused.
        assert target.connections == 2

    in_loop(scenario)


def test_a_connection_with_bytes_after_an_answer_is_not_reused() -> None:
    async def behave(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request_id) + answer(request_id, b"once more"))

    async def scenario() -> None:
        answers, target = await ask_raw_target(behave, times=3)
        assert [a.body for a in answers] == [WHOLE] * 3
        assert target.connections == 3

    in_loop(scenario)


def test_an_idempotent_request_is_retried_at_another_target() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        target = RawTarget(_cut)
        await target.start()
        daemon = await world.add()
        daemon.handle_announcement(announcement(target.address))
        await world.add(TargetStandIn())
        await world.settle_without_targets()
        client = Client(daemon)
        results = [await client.ask() for _ in range(8)]
        assert [r.status for r in results if isinstance(r, HttpAnswer)] == [200] * 8
        target.stop()
        await world.close()

    in_loop(scenario)


def test_a_request_for_a_target_that_accepts_no_connection_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        world = MeshWorld(route(is_idempotent=False))
        daemon = await world.add()
        daemon.handle_announcement(announcement(free_address()))
        await world.settle_without_targets()
        got = await Client(daemon).ask(method="POST", body=b"order")
        assert isinstance(got, HttpAnswer)
        assert got.status == 503
        assert any(name.lower() == b"retry-after" for name, _ in got.headers)
        await world.close()

    in_loop(scenario)


def test_a_call_at_a_target_that_vanishes_silently_is_retried_at_another() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        asked = asyncio.Event()

        async def never(_number: int, _request_id: str, _writer: asyncio.StreamWriter) -> None:
            asked.set()

        target = RawTarget(never)
        await target.start()
        daemon = await world.add()
        daemon.handle_announcement(announcement(target.address))
        await world.settle_without_targets()
        results: list[object] = []
        Client(daemon).send("/r/x", results.append)
        await asked.wait()
        target.stop()
        await world.add(TargetStandIn())
        await eventually(lambda: len(results) == 1)
        (got,) = results
        assert isinstance(got, HttpAnswer)
        assert got.status == 200
        await world.close()

    in_loop(scenario)
