"""What clients may send: bodies in chunks, trailers, limits, connections that end."""

import asyncio

import pytest

from builders_mesh import MeshWorld, Seen, TargetStandIn, configuration, in_loop, route
from daisywharf._configuration import ClientLimits, Configuration
from daisywharf._mesh._routes import RouteTable, find_route

HEAD = "Host: shop.example\r\nAttempt-Id: c1\r\nDeadline-Ms: 5000\r\n"


async def _say(
    text: str, target: TargetStandIn | None = None, limits: ClientLimits | None = None
) -> tuple[bytes, list[Seen]]:
    """Send bytes on one connection and read until it ends."""
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


def test_a_body_in_chunks_arrives_whole_and_its_trailers_are_no_headers() -> None:
    async def scenario() -> None:
        received, seen = await _say(
            f"POST /r/x HTTP/1.1\r\n{HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
        )
        assert received.startswith(b"HTTP/1.1 200")
        assert seen[0].body == b"abcde"
        assert seen[0].header["content-length"] == "5"
        assert "x-trailer" not in seen[0].header

    in_loop(scenario)


def test_an_upgrade_is_answered_as_any_other_request_and_once() -> None:
    async def scenario() -> None:
        received, _ = await _say(
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
def test_what_breaks_the_limits_is_refused_and_ends_the_connection(
    text: str, status: bytes
) -> None:
    async def scenario() -> None:
        limits = ClientLimits(
            header_bytes=200, body_bytes=20, header_timeout_s=0.1, idle_timeout_s=15.0
        )
        received, seen = await _say(text, limits=limits)
        assert received.startswith(b"HTTP/1.1 " + status)
        assert not seen

    in_loop(scenario)


def test_an_idle_connection_is_closed() -> None:
    async def scenario() -> None:
        received, _ = await _say("", limits=ClientLimits(idle_timeout_s=0.1))
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
