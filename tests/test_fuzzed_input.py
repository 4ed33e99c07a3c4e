"""Fuzzed external input: nothing crashes, hangs, or is misread."""

import asyncio
from typing import Any

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from builders_transport import FedTransport, in_pieces
from daisywharf._errors import ConfigurationError, RequestError
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    LENGTH_BYTES,
    Frame,
    GateLoad,
    RelayLoad,
    RetryDecision,
    RetryDeposit,
    RetryRequest,
    StatusUpdate,
    TargetLoad,
    ZoneLoads,
    encode_frame,
)
from daisywharf._mesh._http_answers import HttpAnswer, HttpResult, OutboundRequest, Ownership
from daisywharf._mesh._http_client import ClientConnection, HttpPool
from daisywharf._mesh._http_server import Exchange, HttpServer, ServerConnection
from daisywharf._mesh._model import TargetAnnouncement
from daisywharf._topology import Address
from daisywharf.platform._configuration import read_configuration
from daisywharf.platform._heartbeats import read_deregistration, read_heartbeat

FUZZ = settings(max_examples=300, deadline=None, derandomize=True)
CUTS = st.lists(st.integers(0, 10_000), max_size=12)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
LOAD = GateLoad(3, 1, 18, 2.5)
NEWS = StatusUpdate(7, True, LOAD, 40)
FRAMES: list[Frame] = [
    NEWS,
    ZoneLoads(NEWS, (TargetLoad("t-1", LOAD, 250), TargetLoad("t-2", LOAD, 0))),
    RelayLoad(NEWS),
    RetryDeposit({"stock": 1.25}),  # type: ignore[dict-item]
    RetryRequest(4, {"stock": 4.0}),  # type: ignore[dict-item]
    RetryDecision(4, True),
]


def _receive(pieces: list[bytes]) -> tuple[list[Frame], bool]:
    taken: list[Frame] = []
    protocol = FrameProtocol(lambda _link, frame: taken.append(frame), lambda _link: None)
    transport = FedTransport()
    protocol.connection_made(transport)
    for piece in pieces:
        if not transport.is_closed:
            protocol.data_received(piece)
    return taken, transport.is_closed


@FUZZ
@given(frames=st.lists(st.sampled_from(FRAMES), max_size=6), cuts=CUTS)
def test_frames_are_read_alike_wherever_their_bytes_are_cut(
    frames: list[Frame], cuts: list[int]
) -> None:
    whole = b"".join(encode_frame(frame) for frame in frames)
    assert _receive(in_pieces(whole, cuts)) == (frames, False)


@FUZZ
@given(body=st.binary(max_size=60), cuts=CUTS)
def test_bytes_that_are_no_frame_end_the_link_or_are_left_out(body: bytes, cuts: list[int]) -> None:
    framed = len(body).to_bytes(LENGTH_BYTES, "big") + body
    taken, is_closed = _receive(in_pieces(framed + encode_frame(NEWS), cuts))
    assert is_closed or taken[-1] == NEWS


@FUZZ
@given(content=JSON)
def test_a_frame_of_any_content_is_read_left_out_or_ends_its_link(content: Any) -> None:
    try:
        body = msgspec.msgpack.encode(content)
    except OverflowError:
        return
    _receive([len(body).to_bytes(LENGTH_BYTES, "big") + body])


def _serve(pieces: list[bytes]) -> tuple[list[Exchange], FedTransport]:
    taken: list[Exchange] = []
    server = HttpServer(taken.append, now=lambda: 1.0)
    connection = ServerConnection(server)
    transport = FedTransport()
    connection.connection_made(transport)
    for piece in pieces:
        if not transport.is_closed:
            connection.data_received(piece)
    return taken, transport


REQUESTS = [
    (b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", b"/a", b""),
    (b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", b"/b", b"body"),
    (
        b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: t\r\n\r\n",
        b"/c",
        b"body",
    ),
]


@FUZZ
@given(requests=st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=6), cuts=CUTS)
def test_pipelined_requests_are_read_alike_wherever_their_bytes_are_cut(
    requests: list[tuple[bytes, bytes, bytes]], cuts: list[int]
) -> None:
    taken, transport = _serve(in_pieces(b"".join(raw for raw, _, _ in requests), cuts))
    assert [(e.request_target, e.body) for e in taken] == [
        (target, body) for _, target, body in requests
    ]
    assert not transport.is_closed


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 4\r\nContent-Length: 30\r\n",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Content-Length: +4\r\n",
        b"Content-Length: 4, 4\r\n",
        b"Content-Length: -4\r\n",
        b"Content-Length : 4\r\n",
    ],
)
def test_a_request_whose_end_can_be_read_two_ways_is_refused(lines: bytes) -> None:
    """Request smuggling: the second half, read as a request, would get another client's answer."""
    smuggled = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
    taken, transport = _serve(
        [b"POST /a HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n0\r\n\r\n" + smuggled]
    )
    assert all(exchange.request_target != b"/smuggled" for exchange in taken)
    assert transport.written.startswith(b"HTTP/1.1 400")
    assert transport.is_closed


@FUZZ
@given(data=st.binary(max_size=200), cuts=CUTS)
@example(data=b"GET / HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nmore", cuts=[])
def test_bytes_that_are_no_request_crash_nothing(data: bytes, cuts: list[int]) -> None:
    _serve(in_pieces(data, cuts))
    _serve(in_pieces(REQUESTS[2][0][:60] + data, cuts))


OWN = Ownership(is_own=True)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


def _read_answer(pieces: list[bytes]) -> list[HttpResult]:
    results: list[HttpResult] = []

    async def scenario() -> None:
        pool = HttpPool(Address("127.0.0.1", 9), now=lambda: 1.0)
        connection = ClientConnection(pool)
        transport = FedTransport()
        connection.connection_made(transport)
        connection.send(OutboundRequest(b"", results.append, check_ownership=lambda _headers: OWN))
        for piece in pieces:
            if not transport.is_closed:
                connection.data_received(piece)
        connection.connection_lost(None)
        assert not pool.open_connections
        assert pool.memory.buffered_bytes == 0

    asyncio.run(scenario())
    return results


@settings(FUZZ, max_examples=100)
@given(cuts=CUTS, behind=st.binary(max_size=20))
def test_a_whole_answer_is_read_alike_wherever_it_is_cut(cuts: list[int], behind: bytes) -> None:
    results = _read_answer([*in_pieces(ANSWER, cuts), *([behind] if behind else [])])
    assert [type(result) for result in results] == [HttpAnswer]
    assert isinstance(results[0], HttpAnswer)
    assert results[0].body == b"whole"


@settings(FUZZ, max_examples=100)
@given(length=st.integers(0, len(ANSWER) - 1), cuts=CUTS)
def test_an_answer_that_breaks_off_is_never_whole(length: int, cuts: list[int]) -> None:
    results = _read_answer(in_pieces(ANSWER[:length], cuts))
    assert len(results) == 1
    assert not isinstance(results[0], HttpAnswer)


@settings(FUZZ, max_examples=100)
@given(data=st.binary(max_size=120), cuts=CUTS)
def test_bytes_that_are_no_answer_end_in_one_result(data: bytes, cuts: list[int]) -> None:
    assert len(_read_answer(in_pieces(data, cuts))) == 1


@FUZZ
@given(content=JSON, more=st.dictionaries(st.sampled_from(["slots", "state", "born"]), JSON))
def test_announcements_of_any_content_are_read_or_refused(
    content: Any, more: dict[str, Any]
) -> None:
    beat = {
        "service": "stock",
        "address": "10.0.0.1:80",
        "slots": 18,
        "state": "ready",
        "sequence": 1,
    }
    for body in (content, beat | more, beat | {"address": content}, beat | {"sequence": content}):
        encoded = msgspec.json.encode(body)
        try:
            assert isinstance(read_heartbeat("t-1", encoded), TargetAnnouncement)
        except RequestError as error:
            assert "t-1" in str(error)
        try:
            read_deregistration("t-1", encoded)
        except RequestError as error:
            assert "deregistration" in str(error)


ROUTE = {
    "resourceKind": "routes",
    "metadata": {"name": "r"},
    "specification": {"kind": "idempotent", "host": "h", "pathPrefix": "/", "service": "stock"},
}


@FUZZ
@given(entry=JSON, name=st.sampled_from(["kind", "trafficSplit", "timeoutMs", "priority"]))
@example(entry="an entry of text", name="kind")
@example(entry=[], name="trafficSplit")
@example(entry=1e308, name="priority")
def test_an_entry_that_can_t_be_read_leaves_the_other_routes_in_force(
    entry: Any, name: str
) -> None:
    changed = {**ROUTE, "specification": {**ROUTE["specification"], name: entry}}  # type: ignore[dict-item]
    entries = [
        entry,
        {"resourceKind": "routes", "metadata": entry, "specification": entry},
        {"resourceKind": "limits", "specification": {"maxHeaderBytes": entry}},
        changed,
        {**ROUTE, "metadata": {"name": "sound"}},
    ]
    read = read_configuration({"version": 3, "resources": entries})
    assert read.routes[-1].name == "sound"


@FUZZ
@given(document=JSON)
def test_a_configuration_of_any_content_is_read_or_refused(document: Any) -> None:
    try:
        read_configuration(document)
    except ConfigurationError as error:
        assert "version" in str(error)
