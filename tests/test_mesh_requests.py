"""Client requests: chunked bodies, trailers, size limits and closed connections."""

import asyncio

import pytest

from builders_mesh import (
    Client,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    ask_without_reading,
    configuration,
    eventually,
    header_of,
    in_loop,
    route,
)
from daisywharf._configuration import ClientLimits, Configuration, RouteName
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._memory_budget import add_buffered
from daisywharf._mesh._routes import RouteTable, find_route

HEAD = "Host: shop.example\r\nAttempt-Id: c1\r\nDeadline-Ms: 5000\r\n"


async def _send_raw(
    text: str, target: TargetStandIn | None = None, limits: ClientLimits | None = None
) -> tuple[bytes, list[SeenRequest]]:
    """Send bytes on one connection and read until it closes."""
    world = MeshWorld()
    target = target or TargetStandIn()
    daemon = await world.add(target)
    await world.settle()
    if limits is not None:
        daemon.clients.limits = limits
    address = daemon.settings.entry_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(text.encode())
    async with asyncio.timeout(20.0):
        received = await reader.read()
    writer.close()
    await world.close()
    return received, target.seen


def test_a_chunked_body_arrives_whole_and_its_trailers_are_dropped() -> None:
    async def scenario() -> None:
        received, seen = await _send_raw(
            f"POST /r/x HTTP/1.1\r\n{HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
        )
        assert received.startswith(b"HTTP/1.1 200")
        assert seen[0].body == b"abcde"
        assert seen[0].header["content-length"] == "5"
        assert "x-trailer" not in seen[0].header

    in_loop(scenario)


def test_an_upgrade_request_is_answered_once_like_any_other() -> None:
    async def scenario() -> None:
        received, _ = await _send_raw(
            f"GET /r/x HTTP/1.1\r\n{HEAD}Connection: upgrade\r\nUpgrade: h2c\r\n\r\n"
        )
        assert received.count(b"HTTP/1.1 ") == 1
        assert received.startswith(b"HTTP/1.1 200")

    in_loop(scenario)


@pytest.mark.parametrize(
    ("text", "status"),
    [
        ("nonsense\r\n\r\n", b"400"),
        (f"GET /r/x HTTP/1.1\r\n{HEAD}Content-Length: x\r\n\r\n", b"400"),
        (
            f"POST /r/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"400",
        ),
        (f"GET /r/x HTTP/1.1\r\n{HEAD}X-Long: {'y' * 200}\r\n\r\n", b"431"),
        (f"POST /r/x HTTP/1.1\r\n{HEAD}Content-Length: 50\r\n\r\n{'z' * 50}", b"413"),
        ("GET /r/x HT", b"408"),
    ],
)
def test_a_request_over_the_limits_is_refused_and_its_connection_closed(
    text: str, status: bytes
) -> None:
    async def scenario() -> None:
        limits = ClientLimits(
            header_bytes=200, body_bytes=20, header_timeout_s=0.1, idle_timeout_s=15.0
        )
        received, seen = await _send_raw(text, limits=limits)
        assert received.startswith(b"HTTP/1.1 " + status)
        assert not seen

    in_loop(scenario)


def test_an_idle_connection_is_closed() -> None:
    async def scenario() -> None:
        received, _ = await _send_raw("", limits=ClientLimits(idle_timeout_s=0.1))
        assert received == b""

    in_loop(scenario)


def _table() -> RouteTable:
    made: Configuration = configuration(
        route("a", path_prefix="/a/"),
        route("ab", path_prefix="/a/b/"),
        route("all", path_prefix="/"),
    )
    return RouteTable(made)


@pytest.mark.parametrize(
    ("path", "name"),
    [("/a/x", "a"), ("/a/b/x", "ab"), ("/a/b", "a"), ("/a/b/", "ab"), ("/a", "all"), ("/", "all")],
)
def test_the_longest_prefix_wins(path: str, name: str) -> None:
    found = find_route(_table(), host="SHOP.example:80", path=path)
    assert found is not None
    assert found.name == name


def test_another_host_has_no_route() -> None:
    assert find_route(_table(), host="elsewhere.example", path="/a/x") is None


def test_a_daemon_whose_buffers_are_full_refuses_bodies_as_not_run() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        held: list[SeenRequest] = []
        daemon = await world.add(TargetStandIn(held.append))
        await world.settle()
        daemon.memory.max_bytes = 10_000
        client = Client(daemon)
        results: list[object] = []
        client.send("/r/x", results.append, method="POST", body=b"x" * 4_000)
        await eventually(lambda: len(held) == 1)
        # Both the entry and the gate count the body, as they may be in different processes.
        assert daemon.memory.buffered_bytes == 8_000
        second = await Client(daemon).ask("/r/x", method="POST", body=b"y" * 4_000)
        assert isinstance(second, HttpAnswer)
        assert second.status == 503
        assert float(header_of(second, "Retry-After") or "") > 0
        assert len(held) == 1
        held[0].answer(200, b"z" * 100)
        await eventually(lambda: len(results) == 1)
        assert daemon.memory.buffered_bytes == 0
        await world.close()

    in_loop(scenario)


def test_a_daemon_whose_buffers_are_full_refuses_requests_that_seem_to_be_calls() -> None:
    """The inference may be wrong, and a daemon that outgrows its memory loses all requests."""

    async def scenario() -> None:
        world = MeshWorld()
        entry = await world.add()
        target = TargetStandIn()
        await world.add(target)
        await world.settle()
        entry.entry.origins.call_routes = frozenset({RouteName("r")})
        held_bytes = int(entry.memory.max_bytes) + 1
        add_buffered(entry.memory, held_bytes)
        refused = await Client(entry).ask()
        assert isinstance(refused, HttpAnswer)
        assert refused.status == 503
        assert not target.seen
        add_buffered(entry.memory, -held_bytes)
        served = await Client(entry).ask()
        assert isinstance(served, HttpAnswer)
        assert served.status == 200
        await world.close()

    in_loop(scenario)


def test_buffered_bytes_are_released_when_a_client_disconnects_within_its_body() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        daemon = await world.add(TargetStandIn())
        await world.settle()
        address = daemon.settings.entry_address
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(f"POST /r/x HTTP/1.1\r\n{HEAD}Content-Length: 500\r\n\r\n".encode())
        writer.write(b"x" * 300)
        await eventually(lambda: daemon.memory.buffered_bytes == 300)
        writer.close()
        await eventually(lambda: daemon.memory.buffered_bytes == 0)
        await world.close()

    in_loop(scenario)


# The kernel buffers up to 4 MB for the sender, and little for a reader as slow as this one.
BIG_BODY = b"z" * 12_000_000


async def _ask_and_expect_refusal(daemon: MeshDaemon) -> None:
    refused = await Client(daemon).ask("/r/x")
    assert isinstance(refused, HttpAnswer)
    assert refused.status == 503


def test_answers_that_clients_don_t_read_count_until_they_are_gone() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        held: list[SeenRequest] = []
        daemon = await world.add(TargetStandIn(held.append))
        await world.settle()
        daemon.memory.max_bytes = 1_000_000
        reader, writer = await ask_without_reading(daemon.settings.entry_address, "/r/x")
        await eventually(lambda: len(held) == 1)
        target_transport = held[0].exchange.connection.transport
        assert target_transport is not None
        # The gate has read half of the answer.
        answer_head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {held[0].header['attempt-id']}\r\n"
        answer_head += f"Server-Signature: s\r\nContent-Length: {len(BIG_BODY)}\r\n\r\n"
        half = len(BIG_BODY) // 2
        target_transport.write(answer_head.encode() + BIG_BODY[:half])
        await eventually(lambda: daemon.memory.buffered_bytes == half)
        assert daemon.memory.is_full
        await _ask_and_expect_refusal(daemon)
        # The whole answer has been written to the client, and a sweep has counted what it left.
        target_transport.write(BIG_BODY[half:])
        await eventually(lambda: daemon.memory.unsent_bytes > daemon.memory.max_bytes)
        assert daemon.memory.buffered_bytes == 0
        await _ask_and_expect_refusal(daemon)
        assert len(held) == 1
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(len(BIG_BODY)) == BIG_BODY
        await eventually(lambda: not daemon.memory.is_full)
        writer.close()
        await world.close()

    in_loop(scenario)


def test_answers_written_to_clients_that_don_t_read_count_before_the_next_sweep(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("daisywharf._mesh._daemon.SWEEP_PERIOD_S", 3_600.0)

    async def scenario() -> None:
        world = MeshWorld()
        target = TargetStandIn(
            lambda seen: seen.answer(200, BIG_BODY if seen.path == "/r/big" else b"small")
        )
        daemon = await world.add(target)
        await world.settle()
        daemon.memory.max_bytes = 1_000_000
        _, writer = await ask_without_reading(daemon.settings.entry_address, "/r/big")
        await eventually(lambda: daemon.clients.unsent_bytes > daemon.memory.max_bytes)
        second = await Client(daemon).ask("/r/small")
        writer.close()
        await world.close()
        assert isinstance(second, HttpAnswer)
        assert second.status == 503

    in_loop(scenario)
