"""Ask one server over HTTP/1.1 on the event loop, one request at a time on a connection."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import httptools

from daisywharf._errors import ErrorKind
from daisywharf._mesh._framing import MessageBytes, framing_bytes
from daisywharf._mesh._headers import HeaderPair
from daisywharf._mesh._held import HeldBytes, keep
from daisywharf._mesh._http_answers import (
    Asked,
    HttpAnswer,
    HttpFailure,
    HttpResult,
    Judge,
    OnResult,
    Ownership,
    any_answer,
)
from daisywharf._topology import Address

CONNECT_TIMEOUT_S: Final = 1.0  # clients allow a new connection as long
# A connection is used again only this long before its server may close it for idleness.
IDLE_MARGIN: Final = 0.6
DEFAULT_IDLE_S: Final = 4.0
MOST_ANSWER_BYTES: Final = 67_108_864
# Part of all held bytes from which on answers that are being read count as the cause of an overrun.
ANSWERS_PART: Final = 0.5
# Of an answer's head, with those of extra and provisional answers before it.
MOST_HEAD_BYTES: Final = 65_536


class HttpPool:
    """Hold the connections to one server."""

    def __init__(
        self,
        address: Address,
        *,
        now: Callable[[], float],
        most: int = 1_000_000,
        held: HeldBytes | None = None,
    ) -> None:
        self.address = address
        self.now = now
        self.most = most
        self.held = held or HeldBytes(most=float("inf"))
        self.idle: list[ClientConnection] = []
        self.open_connections: set[ClientConnection] = set()
        self.heard_at = now()

    def ask(
        self,
        request: bytes,
        on_result: OnResult,
        *,
        judge: Judge = any_answer,
        most_idle_s: float = DEFAULT_IDLE_S,
    ) -> Asked:
        """Send a request, on a connection that was idle for at most `most_idle_s`, or a new one."""
        asked = Asked(request, on_result, judge=judge)
        connection = self._take_idle(most_idle_s)
        if connection is not None:
            connection.send(asked)
        else:
            asyncio.ensure_future(self._open(asked))
        return asked

    async def fetch(self, request: bytes, *, within_s: float) -> HttpResult | None:
        """Send a request and wait for its result; give it up and return none after `within_s`.

        What made one connection silent may have met the idle ones as well: they are closed then.
        """
        future: asyncio.Future[HttpResult] = asyncio.get_running_loop().create_future()

        def settle(result: HttpResult) -> None:
            if not future.done():
                future.set_result(result)

        asked = self.ask(request, settle)
        try:
            async with asyncio.timeout(within_s):
                return await future
        except TimeoutError:
            self._drop_idle()
            return None
        finally:
            if future.cancelled():
                asked.cancel()

    def _drop_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.abandon()

    def _take_idle(self, most_idle_s: float) -> "ClientConnection | None":
        now = self.now()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now=now, most_idle_s=most_idle_s):
                return connection
            connection.abandon()
        return None

    async def _open(self, asked: Asked) -> None:
        try:
            connection = await self._connect(within_s=CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            asked.finish(HttpFailure(ErrorKind.CONNECT_FAILED, has_begun=False, detail=repr(error)))
            return
        if asked.is_open:
            connection.send(asked)
        else:
            self.give_back(connection)

    def give_back(self, connection: "ClientConnection") -> None:
        """Keep a connection for the next request."""
        if len(self.idle) < self.most:
            self.idle.append(connection)
        else:
            connection.abandon()

    def sweep(self, *, now: float) -> None:
        """Close connections that were idle for too long."""
        stale = [c for c in self.idle if not c.is_usable(now=now, most_idle_s=DEFAULT_IDLE_S)]
        for connection in stale:
            self.idle.remove(connection)
            connection.abandon()

    def end_largest(self) -> None:
        """End the answer that takes the most memory, if answers are what overruns the bound."""
        held = self.held.kept + self.held.unsent
        if sum(connection.body_bytes for connection in self.open_connections) < held * ANSWERS_PART:
            return
        largest = max(self.open_connections, key=lambda connection: connection.body_bytes)
        largest.end_oversized(
            f"the largest of {held} bytes held, at most {self.held.most_at_all:.0f}"
        )

    async def can_connect(self, *, within_s: float) -> bool:
        """Tell whether the server takes a connection."""
        try:
            connection = await self._connect(within_s=within_s)
        except (OSError, TimeoutError):
            return False
        self.give_back(connection)
        return True

    async def _connect(self, *, within_s: float) -> "ClientConnection":
        async with asyncio.timeout(within_s):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self), self.address.host, self.address.port
            )
        return connection

    def close(self, detail: str = "") -> None:
        """Close all connections; requests on them fail, and may have been read."""
        self.idle.clear()
        for connection in list(self.open_connections):
            connection.fail(ErrorKind.OUTCOME_UNKNOWN, detail)
            connection.abandon()


class ClientConnection(asyncio.Protocol):
    """Carry one request at a time; any doubt about whose bytes came ends the connection."""

    def __init__(self, pool: HttpPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.asked: Asked | None = None
        self._parser: Any = None
        self._idle_since = pool.now()
        self._idle_limit_s = DEFAULT_IDLE_S
        # A list of parts would take fifty times the memory of a body in chunks of a byte.
        self._body = bytearray()
        self._counted = MessageBytes()
        self._ownership: Ownership | None = None
        self._reset_answer()
        self._is_doubtful = False
        self._answer: HttpAnswer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready to send."""
        # uvloop's transports have the methods, not the base class.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpResponseParser(self)
        self.pool.open_connections.add(self)

    def is_usable(self, *, now: float, most_idle_s: float) -> bool:
        """Tell whether the connection may carry another request."""
        idle_s = now - self._idle_since
        is_open = self.transport is not None and not self.transport.is_closing()
        return is_open and idle_s < min(self._idle_limit_s, most_idle_s)

    def send(self, asked: Asked) -> None:
        """Send a request."""
        assert self.transport is not None
        self.asked = asked
        self._counted = MessageBytes()
        asked.connection = self
        self.transport.write(asked.request)

    def abandon(self) -> None:
        """Close at once; what was asked gets no result from here."""
        self.asked = None
        self._reset_answer()
        self.pool.open_connections.discard(self)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read a part of an answer."""
        self.pool.heard_at = self.pool.now()
        if self.asked is None:
            self.abandon()
            return
        asked = self.asked
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._is_doubtful = True
            self.fail(ErrorKind.CUT_ANSWER, f"unreadable answer: {error!r}")
        self._counted.received += len(data)
        if self.asked is not None and framing_bytes(self._counted) > MOST_HEAD_BYTES:
            self.end_oversized(f"over {MOST_HEAD_BYTES} bytes beside a body")
        if self.asked is None and self.transport is not None:
            self._settle()
        answer, self._answer = self._answer, None
        if answer is not None:
            asked.finish(answer)

    def eof_received(self) -> bool:
        """Take the end for the end of an answer without a length."""
        asked = self.asked
        if self._ends_with_connection and asked is not None:
            self._complete()
            answer, self._answer = self._answer, None
            if answer is not None:
                asked.finish(answer)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what was asked."""
        self.pool.open_connections.discard(self)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.transport = None
        self.fail(ErrorKind.CUT_ANSWER, f"connection ended: {exc!r}")
        self._reset_answer()

    # Calls of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; one behind a whole answer belongs to no request."""
        if self.asked is None:
            self._is_doubtful = True
        self._reset_answer()

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers, which come behind the body, are left out."""
        if not self._has_head:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Tell whether the answer's end shows, and whose answer it is."""
        self._has_head = True
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        has_body = status >= 200 and status not in (204, 304)
        self._ends_with_connection = has_body and not has_length
        if status >= 200 and self.asked is not None:
            self._ownership = self.asked.judge(self._headers)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self.asked is None:
            return
        held = self.pool.held
        self._body += body
        self._counted.body += len(body)
        keep(held, len(body))
        most = min(MOST_ANSWER_BYTES, held.most_of_an_answer)
        if self._counted.body > most:
            self.end_oversized(f"answer of over {most:.0f} bytes")
        elif held.is_overrun:
            self.pool.end_largest()

    def on_message_complete(self) -> None:
        """Hand the whole answer over."""
        if self._parser.get_status_code() >= 200:
            self._complete()

    def _complete(self) -> None:
        asked, ownership = self.asked, self._ownership
        if asked is None or ownership is None:
            return
        if not ownership.is_own:
            # A late extra answer: the own one comes behind it, on a connection in doubt.
            self._is_doubtful = True
            self._ends_with_connection = False
            return
        status = self._parser.get_status_code()
        keeps_alive = self._parser.should_keep_alive() and not self._ends_with_connection
        answer = HttpAnswer(status, self._reason, self._headers, bytes(self._body))
        self._drop_body()
        self.asked = None
        if ownership.idle_s is not None:
            self._idle_limit_s = ownership.idle_s * IDLE_MARGIN
        self._idle_since = self.pool.now()
        asked.connection = None
        self._is_doubtful = self._is_doubtful or not keeps_alive
        # Handed over once all bytes of this read are seen: more of them put it in doubt.
        self._answer = answer

    def _settle(self) -> None:
        if self._is_doubtful or self.transport is None or self.transport.is_closing():
            self.abandon()
        else:
            self.pool.give_back(self)

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """End what was asked without an answer."""
        asked, self.asked = self.asked, None
        if asked is not None:
            asked.connection = None
            asked.finish(HttpFailure(kind, has_begun=True, detail=detail))

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the body that are held."""
        return len(self._body)

    def end_oversized(self, detail: str) -> None:
        """End an answer that takes more than its share of memory."""
        self._is_doubtful = True
        self._drop_body()
        self.fail(ErrorKind.TOO_LARGE, detail)
        if self.transport is not None:
            self.transport.abort()

    def _drop_body(self) -> None:
        keep(self.pool.held, -len(self._body))
        self._body = bytearray()

    def _reset_answer(self) -> None:
        self._has_head = False
        self._reason = b""
        self._headers: list[HeaderPair] = []
        self._ownership = None
        self._drop_body()
        self._ends_with_connection = False
