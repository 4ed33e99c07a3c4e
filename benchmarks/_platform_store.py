"""A stand-in for the platform's store, with the faults that the platform's documents describe."""

import asyncio
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from daisywharf._mesh._http_server import Exchange, HttpServer, ServerConnection
from daisywharf._topology import Address

MS_PER_S = 1_000.0
HISTORY_S = 30.0  # copies are kept for this long


class Copy(msgspec.Struct, frozen=True):
    """Hold the state of the store at a time, in seconds of the event loop's clock."""

    at: float
    era: int | None
    revision: int
    object_by_key: dict[tuple[str, str], dict[str, Any]]


class StoreStandIn:
    """Hold objects by kind and name, and the revision that each write increases.

    A watch from a revision before `oldest_revision` fails with 410, as with a truncated history.
    With `is_silent`, new requests aren't carried out and nothing is answered; with `loses_answers`,
    requests are carried out but not answered. If set, `status` or `malformed_answer` is the answer
    to every request, and none is carried out.

    Once `enable_era` has been called, all answers name the store's era, and `roll_back` restores a
    copy. Requests from `lagging_hosts` are then still answered as before the rollback. With
    `page_size`, lists have pages of so many objects. With `holds_writes`, writes get no answer and
    are carried out by `execute_held_writes`.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.server = HttpServer(self._handle, now=time.monotonic)
        self.revision = 10
        self.oldest_revision = 0
        self.object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self.status: int | None = None
        self.is_silent = False
        self.loses_answers = False
        self.delay_s = 0.0
        self.malformed_answer: dict[str, Any] | None = None
        self.refused_hosts: set[str] = set()
        self.is_refusal_silent = False
        self.silent_connections: set[ServerConnection] = set()
        self.calls: list[str] = []
        self.era: int | None = None
        self.lagging_hosts: set[str] = set()
        self.page_size: int | None = None
        self.holds_writes = False
        self.held_writes: list[tuple[str, str, bytes]] = []
        self.history: deque[Copy] = deque()
        self.before_rollback: Copy | None = None
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, specification: Any) -> dict[str, Any]:
        """Write an object and return it with its new revision."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        written = {"metadata": metadata, "specification": specification, "status": None}
        self.object_by_key[(kind, name)] = written
        self._keep_copy()
        self._changed.set()
        self._changed = asyncio.Event()
        return written

    def enable_era(self, era: int = 1) -> None:
        """Name the era in all answers from now on, and keep copies to roll back to."""
        self.era = era
        self._keep_copy()

    def _copy(self) -> Copy:
        now = asyncio.get_running_loop().time()
        return Copy(now, self.era, self.revision, dict(self.object_by_key))

    def _keep_copy(self) -> None:
        if self.era is None:
            return
        self.history.append(self._copy())
        while len(self.history) > 1 and self.history[1].at < self.history[-1].at - HISTORY_S:
            self.history.popleft()

    def roll_back(self, seconds: float) -> None:
        """Restore the copy from `seconds` ago, or the oldest one, in a new era.

        Watches that wait aren't told: they end by the next write or with their wait.
        """
        assert self.era is not None, "call enable_era first"
        self.before_rollback = self._copy()
        restored_at = self.before_rollback.at - seconds
        while len(self.history) > 1 and self.history[-1].at > restored_at:
            self.history.pop()
        self.era += 1
        self.revision = self.history[-1].revision
        self.object_by_key = dict(self.history[-1].object_by_key)
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self._keep_copy()

    def execute_held_writes(self) -> list[int]:
        """Carry out the writes that were held, if their conditions hold; return the statuses."""
        held, self.held_writes = self.held_writes, []
        return [self._answer(method, path, {}, body)[0] for method, path, body in held]

    def silence_open_connections(self) -> None:
        """Answer nothing more on the open connections; new ones work."""
        for connection in self.server.connections:
            self.silent_connections.add(connection)
            for exchange in connection.exchanges:
                exchange.answer = b""  # an answer is written only once: the real one is dropped

    def _refuse_or_drop(self, exchange: Exchange) -> bool:
        """Refuse a caller on a refused host; return whether the request gets no further answer."""
        connection = exchange.connection
        is_refused = self._host_of(exchange) in self.refused_hosts
        if is_refused and not self.is_refusal_silent:
            exchange.respond(503, lines=self._era_lines())
        return is_refused or connection in self.silent_connections

    @staticmethod
    def _host_of(exchange: Exchange) -> str:
        transport = exchange.connection.transport
        peer = None if transport is None else transport.get_extra_info("peername")
        return "" if peer is None else str(peer[0])

    def _handle(self, exchange: Exchange) -> None:
        method, target = exchange.method.decode(), urlsplit(exchange.request_target.decode())
        self.calls.append(f"{method} {target.path}")
        if self.is_silent or self._refuse_or_drop(exchange):
            return
        if self.status is not None:
            exchange.respond(self.status, lines=self._era_lines())
        elif self.malformed_answer is not None:
            body = msgspec.json.encode(self.malformed_answer)
            exchange.respond(200, lines=self._era_lines(), body=body)
        elif self.holds_writes and method != "GET":
            self.held_writes.append((method, target.path, exchange.body))
        else:
            # The body is lost when the caller disconnects, but its call may still be carried out.
            body = exchange.body
            asyncio.ensure_future(self._respond(exchange, method, target.path, target.query, body))

    async def _respond(
        self, exchange: Exchange, method: str, path: str, query: str, body: bytes
    ) -> None:
        query_by_name = parse_qs(query)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.before_rollback is not None and self._host_of(exchange) in self.lagging_hosts:
            wait_ms = int(query_by_name.get("waitMs", ["0"])[0])
            await asyncio.sleep(wait_ms / MS_PER_S)
            self._respond_as_before(exchange, method, path, query_by_name, body)
            return
        if "watch" in query_by_name:
            await self._wait_for_change(
                int(query_by_name["watch"][0]), int(query_by_name["waitMs"][0]) / MS_PER_S
            )
        status, content = self._answer(method, path, query_by_name, body)
        if not self.loses_answers and not self.is_silent:
            exchange.respond(status, lines=self._era_lines(), body=msgspec.json.encode(content))

    def _respond_as_before(
        self,
        exchange: Exchange,
        method: str,
        path: str,
        query: dict[str, list[str]],
        body: bytes,
    ) -> None:
        """Answer from the state before the last rollback; writes are acknowledged but lost."""
        assert self.before_rollback is not None
        present, history = self._copy(), self.history
        self.history = deque()
        self._restore(self.before_rollback)
        status, content = self._answer(method, path, query, body)
        exchange.respond(status, lines=self._era_lines(), body=msgspec.json.encode(content))
        self._restore(present)
        self.history = history

    def _restore(self, copy: Copy) -> None:
        self.era, self.revision = copy.era, copy.revision
        self.object_by_key = dict(copy.object_by_key)

    def _era_lines(self) -> bytes:
        return b"" if self.era is None else b"Store-Era: %d\r\n" % self.era

    async def _wait_for_change(self, after: int, wait_s: float) -> None:
        if self.revision != after or after < self.oldest_revision:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _answer(
        self, method: str, path: str, query: dict[str, list[str]], body: bytes
    ) -> tuple[int, Any]:
        """Carry out a request and return the status and the content of its answer."""
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        if method == "GET" and not name:
            return self._list(kind, query)
        document = msgspec.json.decode(body) if body else {}
        current = self.object_by_key.get((kind, name or document["metadata"]["name"]))
        if method == "GET":
            return (200, current) if current else (404, None)
        if method == "POST":
            if current:
                return 409, current
            return 201, self.put(kind, document["metadata"]["name"], document["specification"])
        if not current:
            return 404, None
        known_revision = current["metadata"]["revision"]
        if document["metadata"].get("revision", known_revision) != known_revision:
            return 409, current
        return 200, self.put(kind, name, document["specification"])

    def _list(self, kind: str, query: dict[str, list[str]]) -> tuple[int, Any]:
        objects = [
            item for (item_kind, _), item in sorted(self.object_by_key.items()) if item_kind == kind
        ]
        if "watch" not in query:
            return 200, self._page(objects, after=query.get("after", [""])[0])
        after = int(query["watch"][0])
        if after < self.oldest_revision or after > self.revision:
            return 410, None
        events = [
            {"object": item, "deleted": False}
            for item in objects
            if item["metadata"]["revision"] > after
        ]
        return 200, {"events": events, "at": self.revision}

    def _page(self, objects: list[dict[str, Any]], *, after: str) -> dict[str, Any]:
        following = [item for item in objects if item["metadata"]["name"] > after]
        page = following[: self.page_size]
        return {"items": page, "hasMore": len(page) < len(following), "at": self.revision}
