"""Endless or malformed messages: each is bounded, closes its connection, and is reported."""

import asyncio
import time
import tracemalloc

import pytest

from builders_endless import MAX_SENT_BYTES, EndlessTarget, send_without_end
from builders_mesh import (
    Client,
    MeshWorld,
    TargetStandIn,
    announcement,
    free_address,
    in_loop,
    route,
)
from daisywharf._configuration import ClientLimits
from daisywharf._errors import ErrorKind
from daisywharf._mesh._http_answers import HttpAnswer, HttpFailure, HttpResult
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._http_server import Exchange, HttpServer
from daisywharf._mesh._memory_budget import MemoryBudget, max_buffered_bytes

# Memory of the smallest machines in the users' deployments.
MACHINE_BYTES = 200e6
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "one header": (b"HTTP/1.1 200 OK\r\nA: ", b"b"),
    "a header's name": (b"HTTP/1.1 200 OK\r\n", b"a"),
    "provisional answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk's extension": (CHUNKED + b"4;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
    "a body in chunks": (CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
    "a body in chunks of a byte": (CHUNKED, b"1\r\nx\r\n"),
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
}


async def _ask(
    target: EndlessTarget, *, connections: int, machine_bytes: float = MACHINE_BYTES
) -> tuple[list[HttpResult], MemoryBudget]:
    memory = MemoryBudget(max_bytes=max_buffered_bytes(machine_bytes))
    pool = HttpPool(await target.start(), now=time.monotonic, memory=memory)
    results = await asyncio.gather(
        *(pool.fetch(REQUEST, within_s=60.0) for _ in range(connections))
    )
    target.stop()
    return [result for result in results if result is not None], memory


@pytest.mark.parametrize("what", ANSWERS)
def test_an_answer_without_end_fails_and_ends_its_connection(what: str) -> None:
    async def scenario() -> None:
        target = EndlessTarget(*ANSWERS[what])
        (result,), memory = await _ask(target, connections=1, machine_bytes=60e6)
        assert isinstance(result, HttpFailure)
        assert result.has_begun
        assert target.unstopped == 0
        assert memory.buffered_bytes == 0

    in_loop(scenario)


@pytest.mark.parametrize("what", ["headers", "a body in chunks", "a body without a length"])
def test_answers_without_end_from_many_connections_stay_within_the_machine_s_memory(
    what: str,
) -> None:
    async def scenario() -> None:
        tracemalloc.start()
        target = EndlessTarget(*ANSWERS[what])
        results, memory = await _ask(target, connections=20)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert [type(result) for result in results] == [HttpFailure] * 20
        assert target.unstopped == 0
        assert memory.buffered_bytes == 0
        assert peak < MACHINE_BYTES / 2

    in_loop(scenario)


def test_whole_answers_in_small_chunks_are_accepted() -> None:
    async def scenario() -> None:
        whole = CHUNKED + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
        target = EndlessTarget(whole, b"x", max_bytes=0)
        (result,), _ = await _ask(target, connections=1)
        assert isinstance(result, HttpAnswer)
        assert len(result.body) == 100_000

    in_loop(scenario)


POST = b"POST /r/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "a request target": (b"GET /", b"x", b"431"),
    "headers": (b"GET / HTTP/1.1\r\n", b"A: b\r\n", b"431"),
    "one header": (b"GET / HTTP/1.1\r\nA: ", b"b", b"431"),
    "a chunk's extension": (POST + b"4;", b"x", b"400"),
    "trailers": (POST + b"0\r\n", b"A: b\r\n", b"400"),
    "a body in chunks of a byte": (POST, b"1\r\nx\r\n", b"413"),
    "a body in chunks": (POST, b"4000\r\n" + b"x" * 0x4000 + b"\r\n", b"413"),
}


@pytest.mark.parametrize("what", REQUESTS)
def test_a_request_without_end_is_refused_and_ends_its_connection(what: str) -> None:
    async def scenario() -> None:
        taken: list[Exchange] = []
        server = HttpServer(taken.append, now=time.monotonic)
        server.limits = ClientLimits(body_bytes=200_000, header_timeout_s=3600.0)
        address = free_address()
        await server.start(address)
        head, piece, status = REQUESTS[what]
        tracemalloc.start()
        results = await asyncio.gather(*(send_without_end(address, head, piece) for _ in range(10)))
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        server.stop()
        for sent, answer in results:
            assert sent < MAX_SENT_BYTES
            # Closing with unread bytes may reset the connection before the answer is read.
            assert answer[9:12] in (status, b"")
        assert not taken
        assert peak < MACHINE_BYTES / 2

    in_loop(scenario)


def test_a_non_idempotent_request_with_an_endless_answer_fails_at_once() -> None:
    async def scenario() -> None:
        world = MeshWorld(route(is_idempotent=False, timeout_s=60.0))
        target = EndlessTarget(*ANSWERS["headers"])
        daemon = await world.add()
        daemon.handle_announcement(announcement(await target.start()))
        await world.settle_without_targets()
        got = await Client(daemon).ask(method="POST", body=b"order")
        assert isinstance(got, HttpAnswer)
        assert got.status == 502
        assert not any(name.lower() == b"retry-after" for name, _ in got.headers)
        assert not daemon.gate.slots.running
        target.stop()
        await world.close()

    in_loop(scenario)


def test_an_idempotent_request_with_an_endless_answer_is_retried_at_another_target() -> None:
    async def scenario() -> None:
        world = MeshWorld(route(timeout_s=60.0))
        target = EndlessTarget(*ANSWERS["a body in chunks"])
        daemon = await world.add()
        daemon.handle_announcement(announcement(await target.start()))
        await world.add(TargetStandIn())
        await world.settle_without_targets()
        client = Client(daemon)
        results = [await client.ask() for _ in range(4)]
        assert [r.status for r in results if isinstance(r, HttpAnswer)] == [200] * 4
        target.stop()
        await world.close()

    in_loop(scenario)


def test_a_run_that_continues_long_past_its_deadline_is_aborted() -> None:
    async def scenario() -> None:
        world = MeshWorld(route(is_idempotent=False, timeout_s=0.2))
        target = EndlessTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", b"x", max_bytes=0)
        target.holds_open = True
        daemon = await world.add()
        daemon.handle_announcement(announcement(await target.start()))
        await world.settle_without_targets()
        got = await Client(daemon).ask(method="POST", body=b"order")
        assert isinstance(got, HttpAnswer)
        assert got.status == 504
        assert len(daemon.gate.slots.running) == 1
        daemon.gate.sweep(now=daemon.now() + 3600.0)
        assert not daemon.gate.slots.running
        target.stop()
        await world.close()

    in_loop(scenario)


def test_the_store_s_answers_are_bounded_as_well() -> None:
    async def scenario() -> None:
        target = EndlessTarget(*ANSWERS["a body in chunks"], max_bytes=200_000_000)
        pool = HttpPool(await target.start(), now=time.monotonic, max_idle=4)
        result = await pool.fetch(REQUEST, within_s=60.0)
        assert isinstance(result, HttpFailure)
        assert result.kind is ErrorKind.TOO_LARGE
        target.stop()

    in_loop(scenario)
