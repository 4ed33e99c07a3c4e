"""An HTTP/1.1 server that handles complete requests and writes complete answers in order."""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, cast

import httptools

from daisywharf._configuration import ClientLimits
from daisywharf._mesh._framing import MessageBytes, framing_bytes
from daisywharf._mesh._headers import HeaderPair
from daisywharf._mesh._memory_budget import MemoryBudget, UnsentCount, add_buffered, set_unsent
from daisywharf._topology import Address

# Clients pipeline a handful; reading pauses at this many unanswered requests.
MAX_PIPELINED_REQUESTS: Final = 32
BACKLOG: Final = 1_024
# Allowance beyond the header limit, for the request line and the four bytes around each header.
HEAD_SLACK_BYTES: Final = 16_384
# Time for a whole request to arrive, however slowly its client sends.
MAX_REQUEST_READ_S: Final = 60.0
BODYLESS_METHODS: Final = frozenset({b"GET", b"HEAD", b"DELETE"})
BODYLESS_STATUSES: Final = frozenset({204, 304})
PHRASES: Final[dict[int, bytes]] = {s.value: s.phrase.encode() for s in HTTPStatus}


class Exchange:
    """Hold one request of a client and its answer.

    `request_target` is the path and query as the client sent them (RFC 9112, section 3.2);
    `arrived_at` is when the request began to arrive.
    """

    def __init__(self, connection: "ServerConnection", *, arrived_at: float) -> None:
        self.connection = connection
        self.arrived_at = arrived_at
        self.method = b""
        self.request_target = b""
        self.headers: list[HeaderPair] = []
        self.body = b""
        self.body_bytes = 0
        self.keeps_alive = True
        self.answer: bytes | None = None
        self.on_client_gone: Callable[[], None] | None = None

    def respond(self, status: int, *, lines: bytes = b"", body: bytes = b"") -> None:
        """Send an answer; each of the header `lines` ends with a line break."""
        self.respond_raw(status, PHRASES.get(status, b""), lines, body)

    def respond_raw(self, status: int, reason: bytes, lines: bytes, body: bytes) -> None:
        """Send an answer with a reason phrase; ignored if one was sent before."""
        if self.answer is not None:
            return
        head = b"HTTP/1.1 %d %b\r\n" % (status, reason)
        if status not in BODYLESS_STATUSES:
            lines += b"Content-Length: %d\r\n" % len(body)
        self.answer = head + lines + (b"" if self.method == b"HEAD" else b"\r\n" + body)
        if self.method == b"HEAD":
            self.answer += b"\r\n"
        self.on_client_gone = None
        self.drop_body()
        self.connection.flush()

    def count_body(self, count: int) -> None:
        """Add a received part of the body to its size and to the buffered bytes."""
        self.body_bytes += count
        add_buffered(self.connection.server.memory, count)

    def drop_body(self) -> None:
        """Release the body once no attempt needs it any more."""
        add_buffered(self.connection.server.memory, -self.body_bytes)
        self.body, self.body_bytes = b"", 0

    @property
    def is_awaited(self) -> bool:
        """Return whether the client still waits for the answer."""
        return self.answer is None and self in self.connection.exchanges


Handler = Callable[[Exchange], None]


class HttpServer:
    """Accept connections at one address; `handle` must answer each exchange eventually."""

    def __init__(
        self,
        handle: Handler,
        *,
        now: Callable[[], float],
        memory: MemoryBudget | None = None,
        memory_full_lines: Callable[[], bytes] = bytes,
    ) -> None:
        self.handle = handle
        self.now = now
        self.memory = memory or MemoryBudget(max_bytes=float("inf"))
        self.memory_full_lines = memory_full_lines
        self.limits = ClientLimits()
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen at an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), address.host, address.port, backlog=BACKLOG
        )

    def sweep(self, *, now: float) -> None:
        """Close connections that were idle, or slow to send a request, for too long."""
        for connection in list(self.connections):
            connection.sweep(now=now)

    def start_closing(self) -> None:
        """Close each connection after its next answer.

        Idle ones are closed later, by `close_idle`, once no request can be in transit on them.
        """
        self.is_closing = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of answer bytes that clients haven't read yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def stop(self) -> None:
        """Stop listening; open connections remain."""
        if self._server is not None:
            self._server.close()


class ServerConnection(asyncio.Protocol):
    """Read the requests of one connection and write their answers in the same order."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.exchanges: deque[Exchange] = deque()
        self.transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._reading: Exchange | None = None
        self._body = bytearray()
        self._message_bytes = MessageBytes()
        self._head_bytes = 0
        self._has_head = False
        self._active_at = server.now()
        self._is_ending = False
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._unsent = UnsentCount(server.memory)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the parser and register with the server."""
        # uvloop's transports have the methods, not the base class.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the client's requests."""
        self.server.connections.discard(self)
        self.transport = None
        self._abandon_exchanges()
        set_unsent(self._unsent, 0)

    def eof_received(self) -> bool:
        """Treat a client that closes its side as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; ignore those after the last request that is accepted."""
        if self._is_ending:
            return
        self._active_at = self.server.now()
        self._message_bytes.received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The upgrade is declined: the request is answered normally and is the last one.
            if self.exchanges:
                self.exchanges[-1].keeps_alive = False
            self._is_ending = True
            self.flush()
        except httptools.HttpParserError:
            if not self._is_ending:
                self._refuse(HTTPStatus.BAD_REQUEST)
        self._refuse_oversized()

    def _refuse_oversized(self) -> None:
        """Refuse a request with too many bytes outside its body."""
        max_bytes = self.server.limits.header_bytes + HEAD_SLACK_BYTES
        if self._reading is None or framing_bytes(self._message_bytes) <= max_bytes:
            return
        if self._has_head:
            self._refuse(HTTPStatus.BAD_REQUEST)
        else:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def pause_writing(self) -> None:
        """Stop reading requests while the client doesn't read answers."""
        self._is_writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading requests."""
        self._is_writing_paused = False
        set_unsent(self._unsent, self.unsent_bytes)
        self._update_reading()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reading = Exchange(self, arrived_at=self.server.now())
        self._body = bytearray()
        # Bytes of the read in which the request begins aren't counted.
        self._message_bytes = MessageBytes()
        self._head_bytes = 0
        self._has_head = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        if self._reading is not None:
            self._reading.request_target += url
            self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers, which follow the body, are ignored."""
        if self._reading is not None and not self._has_head:
            value = value or b""
            self._reading.headers.append((name, value))
            self._head_bytes += len(name) + len(value)
            if self._head_bytes > self.server.limits.header_bytes:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Store the method, and send 100 Continue to a client that waits for it."""
        exchange = self._reading
        if exchange is None or self.transport is None:
            return
        self._has_head = True
        exchange.method = self._parser.get_method()
        exchange.keeps_alive = self._parser.should_keep_alive()
        if exchange.method in BODYLESS_METHODS or self.exchanges:
            return
        if any(name.lower() == b"expect" for name, _ in exchange.headers):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; refuse the request if the body or all buffers are too large."""
        exchange = self._reading
        if exchange is None:
            return
        self._body += body
        self._message_bytes.body += len(body)
        exchange.count_body(len(body))
        if exchange.body_bytes > self.server.limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.server.memory.is_full:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, self.server.memory_full_lines())

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        exchange, self._reading = self._reading, None
        if exchange is None or self._is_ending:
            return
        exchange.body = bytes(self._body)
        self._body = bytearray()
        if not exchange.keeps_alive:
            self._is_ending = True
        self.exchanges.append(exchange)
        self._update_reading()
        self.server.handle(exchange)

    # Answers.

    def flush(self) -> None:
        """Write the answers that are ready, in the order of the requests."""
        if self.transport is None:
            return
        written = []
        while self.exchanges and self.exchanges[0].answer is not None:
            exchange = self.exchanges.popleft()
            is_last = not exchange.keeps_alive or self._should_close_after(exchange)
            written.append(_with_connection(exchange.answer or b"", is_last=is_last))
            if is_last:
                self._is_ending = True
                self._abandon_exchanges()
        if written:
            self._active_at = self.server.now()
            self.transport.write(b"".join(written))
        set_unsent(self._unsent, self.unsent_bytes)
        if self._is_ending and not self.exchanges:
            self.transport.close()
        elif written:
            self._update_reading()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return bool(self.exchanges) or self._reading is not None

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that wait for an earlier one or in the write buffer."""
        waiting = sum(len(exchange.answer or b"") for exchange in self.exchanges)
        written = 0 if self.transport is None else self.transport.get_write_buffer_size()
        return waiting + written

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self._is_ending = True
            self.transport.close()

    def sweep(self, *, now: float) -> None:
        """Close the connection if it was idle, or slow to send a request, for too long."""
        set_unsent(self._unsent, self.unsent_bytes)
        limits = self.server.limits
        reading = self._reading
        if reading is not None and not self._has_head:
            if now - reading.arrived_at > limits.header_timeout_s:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif reading is not None and now - reading.arrived_at > MAX_REQUEST_READ_S:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        elif not self.exchanges and now - self._active_at > limits.idle_timeout_s:
            self.close()

    def _should_close_after(self, exchange: Exchange) -> bool:
        # Not if another request has begun to arrive: closing would lose it.
        return self.server.is_closing and not self.exchanges and self._reading is None

    def _refuse(self, status: HTTPStatus, lines: bytes = b"") -> None:
        """Refuse a request that can't be read, after the pending answers, and close."""
        if self._is_ending:
            return
        self._is_ending = True
        exchange = self._reading or Exchange(self, arrived_at=self.server.now())
        self._reading = None
        self._body = bytearray()
        exchange.keeps_alive = False
        self.exchanges.append(exchange)
        exchange.respond(status, lines=lines)

    def _abandon_exchanges(self) -> None:
        """Drop all requests of the connection and notify their handlers."""
        exchanges, self.exchanges = self.exchanges, deque()
        if self._reading is not None:
            self._reading.drop_body()
            self._reading = None
        for exchange in exchanges:
            exchange.drop_body()
            on_client_gone, exchange.on_client_gone = exchange.on_client_gone, None
            if on_client_gone is not None:
                on_client_gone()

    def _update_reading(self) -> None:
        """Pause or resume reading, by write backpressure and the number of pending requests."""
        must_pause = self._is_writing_paused or len(self.exchanges) >= MAX_PIPELINED_REQUESTS
        if (
            must_pause == self._is_reading_paused
            or self.transport is None
            or self.transport.is_closing()
        ):
            return
        self._is_reading_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()


def _with_connection(answer: bytes, *, is_last: bool) -> bytes:
    if not is_last:
        return answer
    line_end = answer.index(b"\r\n") + 2
    return answer[:line_end] + b"Connection: close\r\n" + answer[line_end:]
