"""A stand-in for the platform's store, with the faults that the platform's documents describe."""

import asyncio
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from daisywharf._mesh._http_server import Exchange, HttpServer, ServerConnection
from daisywharf._topology import Address

MS_PER_S = 1_000.0


class StoreStandIn:
    """Hold objects by kind and name, and the revision that each write increases.

    A watch from a revision before `oldest_revision` fails with 410, as with a truncated history.
    With `is_silent`, new requests aren't carried out and nothing is answered; with `loses_answers`,
    requests are carried out but not answered. If set, `status` or `malformed_answer` is the answer
    to every request, and none is carried out.
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
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, specification: Any) -> dict[str, Any]:
        """Write an object and return it with its new revision."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        written = {"metadata": metadata, "specification": specification, "status": None}
        self.object_by_key[(kind, name)] = written
        self._changed.set()
        self._changed = asyncio.Event()
        return written

    def silence_open_connections(self) -> None:
        """Answer nothing more on the open connections; new ones work."""
        for connection in self.server.connections:
            self.silent_connections.add(connection)
            for exchange in connection.exchanges:
                exchange.answer = b""  # an answer is written only once: the real one is dropped

    def _refuse_or_drop(self, exchange: Exchange) -> bool:
        """Refuse a caller on a refused host; return whether the request gets no further answer."""
        connection = exchange.connection
        peer = connection.transport.get_extra_info("peername") if connection.transport else None
        is_refused = peer is not None and peer[0] in self.refused_hosts
        if is_refused and not self.is_refusal_silent:
            exchange.respond(503)
        return is_refused or connection in self.silent_connections

    def _handle(self, exchange: Exchange) -> None:
        method, target = exchange.method.decode(), urlsplit(exchange.request_target.decode())
        self.calls.append(f"{method} {target.path}")
        if self.is_silent or self._refuse_or_drop(exchange):
            return
        if self.status is not None:
            exchange.respond(self.status)
        elif self.malformed_answer is not None:
            exchange.respond(200, body=msgspec.json.encode(self.malformed_answer))
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
        if "watch" in query_by_name:
            await self._wait_for_change(
                int(query_by_name["watch"][0]), int(query_by_name["waitMs"][0]) / MS_PER_S
            )
        status, content = self._answer(method, path, query_by_name, body)
        if not self.loses_answers and not self.is_silent:
            exchange.respond(status, body=msgspec.json.encode(content))

    async def _wait_for_change(self, after: int, wait_s: float) -> None:
        if self.revision > after or after < self.oldest_revision:
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
            return 200, {"items": objects, "hasMore": False, "at": self.revision}
        after = int(query["watch"][0])
        if after < self.oldest_revision:
            return 410, None
        events = [
            {"object": item, "deleted": False}
            for item in objects
            if item["metadata"]["revision"] > after
        ]
        return 200, {"events": events, "at": self.revision}
