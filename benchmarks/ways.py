"""Compare the alternatives for the data path: codecs, links, servers, event loops, actors."""

import argparse
import asyncio
import json
import threading
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import cbor2
import cheroot.wsgi
import msgspec
import pykka
import urllib3
import uvloop
import websockets.asyncio.client
import websockets.asyncio.server

from benchmarks._processes import free_address
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    LENGTH_BYTES,
    Answered,
    Call,
    CallResult,
    Frame,
    GateLoad,
    decode_frame,
    encode_frame,
)
from daisywharf._mesh._http_answers import HttpResult
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._http_server import Exchange, HttpServer
from daisywharf._mesh._links import LinkServer, OutLink
from daisywharf._overload._level_controller import LevelController, move_level

HOST: Final = "127.0.0.1"
US_PER_S: Final = 1e6
HEAD: Final = b"GET /r-abcdef/2f HTTP/1.1\r\nHost: shop.example\r\nAccept: */*\r\n"
CALL: Final = Call(
    7, "i-48cfa6aee3", "48cfa6aee397e558", "catalogue", "r stock", 900, 300, 1, 77, True, HEAD, b""
)
# The size of a drawing's download on karri-mesh: 6 KB on average.
ANSWER: Final = Answered(
    7, 200, b"OK", b"Server-Signature: s\r\n", b"x" * 6_000, True, False, GateLoad(20, 0, 47, 3.0)
)


def main(arguments: list[str]) -> int:
    """Print the processor time of one exchange by each alternative, both ends in one process."""
    parser = argparse.ArgumentParser(prog="benchmarks ways", description=main.__doc__)
    parser.add_argument(
        "--exchanges", type=int, default=2_000, help="exchanges by each alternative"
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    count = options.exchanges
    figures = {
        "codec: msgspec MessagePack": _time_us(_msgpack_round_trip, count),
        "codec: cbor2": _time_us(_cbor_round_trip, count),
        "link: frames, uvloop": uvloop.run(_time_link(count)),
        "link: frames, asyncio": asyncio.run(_time_link(count)),
        "link: websockets and CBOR, uvloop": uvloop.run(_time_websocket(count)),
        "link: HTTP/1.1 on httptools, uvloop": uvloop.run(_time_http(count)),
        "HTTP: cheroot and urllib3, threads": _time_cheroot(count),
        "decision: a function": _time_us(_build_decision(), count),
        "decision: asked of a pykka actor": _time_actor(count),
    }
    shown = {name: round(value, 1) for name, value in figures.items()}
    if options.json:
        print(json.dumps(shown))
    else:
        for name, value in shown.items():
            print(f"{name:38} {value:8.1f} us of processor time")
    return 0


def _time_us(operation: Callable[[], object], count: int) -> float:
    """Return the processor time of one operation in microseconds."""
    began_at_s = time.process_time()
    for _ in range(count):
        operation()
    return (time.process_time() - began_at_s) / count * US_PER_S


async def _time_async_us(operation: Callable[[], Awaitable[object]], count: int) -> float:
    """Return the processor time of one operation in microseconds, after a warm-up."""
    for _ in range(count // 10):
        await operation()
    began_at_s = time.process_time()
    for _ in range(count):
        await operation()
    return (time.process_time() - began_at_s) / count * US_PER_S


def _msgpack_round_trip() -> None:
    for frame in (CALL, ANSWER):
        decode_frame(encode_frame(frame)[LENGTH_BYTES:])


def _cbor_round_trip() -> None:
    for frame in (CALL, ANSWER):
        _from_cbor(_to_cbor(frame), type(frame))


def _to_cbor(frame: Frame) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def _from_cbor(data: bytes, frame_type: Any) -> Any:
    return msgspec.convert(cbor2.loads(data), frame_type)


async def _time_link(count: int) -> float:
    def answer(protocol: FrameProtocol, frame: Frame) -> None:
        assert isinstance(frame, Call)
        protocol.send(msgspec.structs.replace(ANSWER, call_id=frame.call_id))

    address = free_address()
    server = LinkServer(on_frame=answer, on_lost=lambda _protocol: None)
    await server.start(address)
    link = OutLink(
        address,
        now=time.monotonic,
        on_up=lambda _link: None,
        on_down=lambda _link: None,
        on_frame=lambda _link, _frame: None,
    )
    link.tick(now=time.monotonic())
    while not link.is_up:
        await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()

    async def exchange_once() -> CallResult:
        result: asyncio.Future[CallResult] = loop.create_future()
        link.submit(CALL, result.set_result)
        return await result

    elapsed_us = await _time_async_us(exchange_once, count)
    link.close()
    server.stop()
    return elapsed_us


async def _time_websocket(count: int) -> float:
    async def answer(connection: websockets.asyncio.server.ServerConnection) -> None:
        async for message in connection:
            assert isinstance(message, bytes)
            call = _from_cbor(message, Call)
            await connection.send(_to_cbor(msgspec.structs.replace(ANSWER, call_id=call.call_id)))

    async with websockets.asyncio.server.serve(answer, HOST, 0, compression=None) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        uri = f"ws://{HOST}:{port}"
        async with websockets.asyncio.client.connect(uri, compression=None) as connection:

            async def exchange_once() -> None:
                await connection.send(_to_cbor(CALL))
                _from_cbor(await connection.recv(decode=False), Answered)

            return await _time_async_us(exchange_once, count)


async def _time_http(count: int) -> float:
    def answer(exchange: Exchange) -> None:
        exchange.respond(200, lines=ANSWER.headers, body=ANSWER.body)

    address = free_address()
    server = HttpServer(answer, now=time.monotonic)
    await server.start(address)
    pool = HttpPool(address, now=time.monotonic)
    loop = asyncio.get_running_loop()

    async def exchange_once() -> HttpResult:
        result: asyncio.Future[HttpResult] = loop.create_future()
        pool.send(CALL.head + b"\r\n", result.set_result)
        return await result

    elapsed_us = await _time_async_us(exchange_once, count)
    pool.close()
    server.stop()
    return elapsed_us


def _time_cheroot(count: int) -> float:
    def answer(_environ: Any, start_response: Any) -> list[bytes]:
        start_response("200 OK", [("Content-Length", str(len(ANSWER.body)))])
        return [ANSWER.body]

    server = cheroot.wsgi.Server((HOST, 0), answer, numthreads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    pool = urllib3.HTTPConnectionPool(HOST, server.bind_addr[1], maxsize=1)
    try:
        return _time_us(lambda: pool.urlopen("GET", "/r-abcdef/2f").data, count)
    finally:
        server.stop()
        thread.join()


def _build_decision() -> Callable[[], float]:
    controller = LevelController(now=0.0)
    clock = [0.0]

    def operation() -> float:
        clock[0] += 0.05
        return move_level(controller, load=0.9, ceiling=3.0, entries=16, now=clock[0])

    return operation


class _DecisionActor(pykka.ThreadingActor):
    def __init__(self) -> None:
        super().__init__()
        self.operation = _build_decision()

    def on_receive(self, message: Any) -> Any:
        return self.operation()


def _time_actor(count: int) -> float:
    actor = _DecisionActor.start()
    try:
        return _time_us(lambda: actor.ask("move"), count)
    finally:
        actor.stop()
