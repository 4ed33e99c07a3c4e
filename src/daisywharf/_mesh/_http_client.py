"""An HTTP/1.1 client for one server, with one request at a time per connection."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import httptools

from daisywharf._errors import ErrorKind
from daisywharf._mesh._framing import MessageBytes, framing_bytes
from daisywharf._mesh._headers import HeaderPair
from daisywharf._mesh._http_answers import (
    HttpAnswer,
    HttpFailure,
    HttpResult,
    OnResult,
    OutboundRequest,
    Ownership,
    OwnershipCheck,
    accept_any_answer,
)
from daisywharf._mesh._memory_budget import MemoryBudget, add_buffered
from daisywharf._mesh._status_line import check_status_line
from daisywharf._topology import Address

CONNECT_TIMEOUT_S: Final = 1.0  # clients allow as long for a new connection
# Fraction of the server's idle limit for which a connection is reused, so that the server doesn't
# close it under a new request.
IDLE_FRACTION: Final = 0.6
DEFAULT_IDLE_S: Final = 4.0
MAX_ANSWER_BYTES: Final = 67_108_864
# Minimum fraction of all buffered bytes at which answers being read count as the overrun's cause.
MIN_ANSWERS_FRACTION: Final = 0.5
# A body up to this size is sent in one write with its head; a longer one isn't copied for that.
MAX_JOINED_BYTES: Final = 16_384
# For an answer's head and framing, including those of extra and provisional answers before it.
MAX_HEAD_BYTES: Final = 65_536


class HttpPool:
    """Pool the connections to one server."""

    def __init__(
        self,
        address: Address,
        *,
        now: Callable[[], float],
        max_idle: int = 1_000_000,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.now = now
        self.max_idle = max_idle
        self.memory = memory or MemoryBudget(max_bytes=float("inf"))
        self.idle: list[ClientConnection] = []
        self.open_connections: set[ClientConnection] = set()
        self.last_received_at = now()

    def send(
        self,
        data: bytes,
        on_result: OnResult,
        *,
        check_ownership: OwnershipCheck = accept_any_answer,
        max_idle_s: float = DEFAULT_IDLE_S,
        body: bytes = b"",
    ) -> OutboundRequest:
        """Send a request, on a connection idle for at most `max_idle_s` seconds or a new one."""
        request = OutboundRequest(data, on_result, check_ownership=check_ownership, body=body)
        connection = self._take_idle(max_idle_s)
        if connection is not None:
            connection.send(request)
        else:
            asyncio.ensure_future(self._open(request))
        return request

    async def fetch(self, data: bytes, *, within_s: float) -> HttpResult | None:
        """Send a request and return its result, or None after `within_s` seconds.

        After a timeout all idle connections are closed, because the fault that silenced one
        connection may affect them too.
        """
        future: asyncio.Future[HttpResult] = asyncio.get_running_loop().create_future()

        def set_result(result: HttpResult) -> None:
            if not future.done():
                future.set_result(result)

        request = self.send(data, set_result)
        try:
            async with asyncio.timeout(within_s):
                return await future
        except TimeoutError:
            self._close_idle()
            return None
        finally:
            if future.cancelled():
                request.cancel()

    def _close_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.abort()

    def _take_idle(self, max_idle_s: float) -> "ClientConnection | None":
        now = self.now()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now=now, max_idle_s=max_idle_s):
                return connection
            connection.abort()
        return None

    async def _open(self, request: OutboundRequest) -> None:
        try:
            connection = await self._connect(within_s=CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            request.finish(
                HttpFailure(ErrorKind.CONNECT_FAILED, has_begun=False, detail=repr(error))
            )
            return
        if request.is_open:
            connection.send(request)
        else:
            self.release(connection)

    def release(self, connection: "ClientConnection") -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        if len(self.idle) < self.max_idle:
            self.idle.append(connection)
        else:
            connection.abort()

    def sweep(self, *, now: float) -> None:
        """Close idle connections that have reached their idle limit."""
        stale = [c for c in self.idle if not c.is_usable(now=now, max_idle_s=DEFAULT_IDLE_S)]
        for connection in stale:
            self.idle.remove(connection)
            connection.abort()

    def abort_largest(self) -> None:
        """Abort the largest answer being read, if answers are the cause of the overrun.

        If the budget is exhausted, an answer is aborted whatever the cause.
        """
        buffered_bytes = self.memory.buffered_bytes + self.memory.unsent_bytes
        answer_bytes = sum(connection.body_bytes for connection in self.open_connections)
        is_cause = answer_bytes >= buffered_bytes * MIN_ANSWERS_FRACTION
        if not is_cause and not self.memory.is_exhausted:
            return
        largest = max(self.open_connections, key=lambda connection: connection.body_bytes)
        largest.abort_oversized(
            f"the largest answer while {buffered_bytes} bytes are buffered, over the bound of"
            f" {self.memory.max_overrun_bytes:.0f} bytes"
        )

    async def can_connect(self, *, within_s: float) -> bool:
        """Return whether the server accepts a connection within `within_s` seconds."""
        try:
            connection = await self._connect(within_s=within_s)
        except (OSError, TimeoutError):
            return False
        self.release(connection)
        return True

    async def _connect(self, *, within_s: float) -> "ClientConnection":
        async with asyncio.timeout(within_s):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self), self.address.host, self.address.port
            )
        return connection

    def close(self, detail: str = "") -> None:
        """Close all connections; requests on them fail with an unknown outcome."""
        self.idle.clear()
        for connection in list(self.open_connections):
            connection.fail(ErrorKind.OUTCOME_UNKNOWN, detail)
            connection.abort()


class ClientConnection(asyncio.Protocol):
    """Carry one request at a time; close if it is uncertain which request the bytes answer."""

    def __init__(self, pool: HttpPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.request: OutboundRequest | None = None
        self._parser: Any = None
        self._idle_since = pool.now()
        self._idle_limit_s = DEFAULT_IDLE_S
        # A list of parts would take fifty times the memory for a body in one-byte chunks.
        self._body = bytearray()
        self._message_bytes = MessageBytes()
        self._ownership: Ownership | None = None
        self._reset_answer()
        self._must_close = False
        self._complete_answer: HttpAnswer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the parser and register with the pool."""
        # uvloop's transports have the methods, not the base class.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpResponseParser(self)
        self.pool.open_connections.add(self)

    def is_usable(self, *, now: float, max_idle_s: float) -> bool:
        """Return whether the connection may carry another request."""
        idle_s = now - self._idle_since
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and idle_s < min(self._idle_limit_s, max_idle_s)

    def send(self, request: OutboundRequest) -> None:
        """Send a request."""
        assert self.transport is not None
        self.request = request
        self._message_bytes = MessageBytes()
        request.connection = self
        if len(request.body) <= MAX_JOINED_BYTES:
            self.transport.write(request.data + request.body)
        else:
            self.transport.write(request.data)
            self.transport.write(request.body)

    def abort(self) -> None:
        """Close at once, without a result for the request in progress."""
        self.request = None
        self._reset_answer()
        self.pool.open_connections.discard(self)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; report an answer once all bytes of this read are parsed."""
        self.pool.last_received_at = self.pool.now()
        if self.request is None:
            self.abort()
            return
        request = self.request
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._must_close = True
            self.fail(ErrorKind.CUT_ANSWER, f"invalid response: {error.__context__ or error!r}")
        self._message_bytes.received += len(data)
        if self.request is not None and framing_bytes(self._message_bytes) > MAX_HEAD_BYTES:
            self.abort_oversized(f"over {MAX_HEAD_BYTES} bytes of head and framing")
        if self.request is None and self.transport is not None:
            self._release_or_close()
        answer, self._complete_answer = self._complete_answer, None
        if answer is not None:
            request.finish(answer)

    def eof_received(self) -> bool:
        """Complete an answer that has no length and ends with the connection."""
        request = self.request
        if self._ends_with_connection and request is not None:
            self._complete()
            answer, self._complete_answer = self._complete_answer, None
            if answer is not None:
                request.finish(answer)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.pool.open_connections.discard(self)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.transport = None
        self.fail(ErrorKind.CUT_ANSWER, f"connection ended: {exc!r}")
        self._reset_answer()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer; without a request in progress, the connection must be closed."""
        if self.request is None:
            self._must_close = True
        self._reset_answer()

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers, which follow the body, are ignored."""
        if not self._has_head:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Determine how the answer's end is recognized and which request it belongs to.

        Raises ValueError for an invalid status line, which the parser reports as its own error.
        """
        self._has_head = True
        status = self._parser.get_status_code()
        check_status_line(status, self._parser.get_http_version(), self._reason)
        names = {name.lower() for name, _ in self._headers}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        has_body = status >= 200 and status not in (204, 304)
        self._ends_with_connection = has_body and not has_length
        if status >= 200 and self.request is not None:
            self._ownership = self.request.check_ownership(self._headers)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; abort answers beyond their memory bound."""
        if self.request is None:
            return
        memory = self.pool.memory
        self._body += body
        self._message_bytes.body += len(body)
        add_buffered(memory, len(body))
        max_bytes = min(MAX_ANSWER_BYTES, memory.max_answer_bytes)
        if self._message_bytes.body > max_bytes:
            self.abort_oversized(f"answer body over the bound of {max_bytes:.0f} bytes")
        elif memory.is_overrun:
            self.pool.abort_largest()

    def on_message_complete(self) -> None:
        """Complete the answer, unless it is a provisional one."""
        if self._parser.get_status_code() >= 200:
            self._complete()

    def _complete(self) -> None:
        """Keep the parsed answer for the request, or skip it if it belongs to another one."""
        request, ownership = self.request, self._ownership
        if request is None or ownership is None:
            return
        if not ownership.is_own:
            # A late answer to an earlier request: ours follows, but the connection isn't reused.
            self._must_close = True
            self._ends_with_connection = False
            return
        status = self._parser.get_status_code()
        keeps_alive = self._parser.should_keep_alive() and not self._ends_with_connection
        answer = HttpAnswer(status, self._reason, self._headers, bytes(self._body))
        self._drop_body()
        self.request = None
        if ownership.idle_s is not None:
            self._idle_limit_s = ownership.idle_s * IDLE_FRACTION
        self._idle_since = self.pool.now()
        request.connection = None
        self._must_close = self._must_close or not keeps_alive
        # Reported after all bytes of this read are parsed: extra bytes rule out reuse.
        self._complete_answer = answer

    def _release_or_close(self) -> None:
        """Return the connection to the pool, or close it if it can't be reused."""
        if self._must_close or self.transport is None or self.transport.is_closing():
            self.abort()
        else:
            self.pool.release(self)

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Fail the request in progress."""
        request, self.request = self.request, None
        if request is not None:
            request.connection = None
            request.finish(HttpFailure(kind, has_begun=True, detail=detail))

    @property
    def body_bytes(self) -> int:
        """Return the number of body bytes that are buffered."""
        return len(self._body)

    def abort_oversized(self, detail: str) -> None:
        """Fail the request with TOO_LARGE and close the connection."""
        self._must_close = True
        self._drop_body()
        self.fail(ErrorKind.TOO_LARGE, detail)
        if self.transport is not None:
            self.transport.abort()

    def _drop_body(self) -> None:
        add_buffered(self.pool.memory, -len(self._body))
        self._body = bytearray()

    def _reset_answer(self) -> None:
        self._has_head = False
        self._reason = b""
        self._headers: list[HeaderPair] = []
        self._ownership = None
        self._drop_body()
        self._ends_with_connection = False
