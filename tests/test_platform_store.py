"""The client of the platform's store, against a stand-in that speaks its calls."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from builders_mesh import free_address, in_loop, member
from daisywharf._configuration import RouteName
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import VmId
from daisywharf._mesh._http_server import Exchange, HttpServer
from daisywharf._mesh._learned import Learned
from daisywharf._overload._calls_below import CallsBelow
from daisywharf.platform._store import ObjectStore

CONFIGURATION = {"version": 7, "resources": []}


class StoreStandIn:
    """Stand in for the store: objects by kind and name, revisions, a history that may be short."""

    def __init__(self) -> None:
        self.address = free_address()
        self.server = HttpServer(self._handle, now=time.monotonic)
        self.revision = 10
        self.oldest = 0
        self.object_by_place: dict[tuple[str, str], dict[str, Any]] = {}
        self.status: int | None = None
        self.is_silent = False
        self.nonsense: dict[str, Any] | None = None
        self.calls: list[str] = []

    def put(self, kind: str, name: str, specification: Any) -> dict[str, Any]:
        """Write an object."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        written = {"metadata": metadata, "specification": specification, "status": None}
        self.object_by_place[(kind, name)] = written
        return written

    def _handle(self, exchange: Exchange) -> None:
        method, target = exchange.method.decode(), urlsplit(exchange.target.decode())
        self.calls.append(f"{method} {target.path}")
        if self.is_silent:
            return
        if self.status is not None:
            exchange.respond(self.status)
            return
        if self.nonsense is not None:
            exchange.respond(200, body=msgspec.json.encode(self.nonsense))
            return
        status, content = self._answer(method, target.path, parse_qs(target.query), exchange.body)
        exchange.respond(status, body=msgspec.json.encode(content))

    def _answer(
        self, method: str, path: str, query: dict[str, list[str]], body: bytes
    ) -> tuple[int, Any]:
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        if method == "GET" and not name:
            return self._list(kind, query)
        given = msgspec.json.decode(body) if body else {}
        found = self.object_by_place.get((kind, name or given["metadata"]["name"]))
        if method == "GET":
            return (200, found) if found else (404, None)
        if method == "POST":
            if found:
                return 409, found
            return 201, self.put(kind, given["metadata"]["name"], given["specification"])
        if not found:
            return 404, None
        if (
            given["metadata"].get("revision", found["metadata"]["revision"])
            != found["metadata"]["revision"]
        ):
            return 409, found
        return 200, self.put(kind, name, given["specification"])

    def _list(self, kind: str, query: dict[str, list[str]]) -> tuple[int, Any]:
        objects = [o for (k, _), o in sorted(self.object_by_place.items()) if k == kind]
        if "watch" not in query:
            return 200, {"items": objects, "hasMore": False, "at": self.revision}
        after = int(query["watch"][0])
        if after < self.oldest:
            return 410, None
        events = [
            {"object": o, "deleted": False} for o in objects if o["metadata"]["revision"] > after
        ]
        return 200, {"events": events, "at": self.revision}


def _with_store(play: Callable[[StoreStandIn, ObjectStore], Awaitable[None]]) -> None:
    async def scenario() -> None:
        stand_in = StoreStandIn()
        await stand_in.server.start(stand_in.address)
        await play(stand_in, ObjectStore(stand_in.address, now=time.monotonic))
        stand_in.server.stop()
        for connection in list(stand_in.server.connections):
            connection.close()
        await asyncio.sleep(0)

    in_loop(scenario)


def test_the_configuration_is_read_and_watched_from_where_the_store_stands() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        empty = await store.read_configuration()
        assert (empty.configuration, empty.revision) == (None, 10)
        stand_in.put("config", "main", CONFIGURATION)
        # What others write moves the store on, and its history may begin behind the object.
        stand_in.put("other", "x", {})
        stand_in.oldest = stand_in.revision
        read = await store.read_configuration()
        assert read.configuration is not None
        assert read.configuration.version == 7
        watched = await store.watch_configuration(after=read.revision, wait_s=0.1)
        assert watched.configuration is None

    _with_store(play)


def test_a_watch_whose_history_is_gone_says_so() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.oldest = 5
        with pytest.raises(PlatformError) as caught:
            await store.watch_configuration(after=1, wait_s=0.1)
        assert caught.value.kind is ErrorKind.PLATFORM_GONE

    _with_store(play)


def test_a_record_is_written_and_an_earlier_process_s_is_returned() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        record = member("vm-1", started_ms=5)
        assert await store.write_member(record) is None
        assert await store.list_members() == [record]
        restarted = ObjectStore(stand_in.address, now=time.monotonic)
        later = member("vm-1", started_ms=9)
        assert await restarted.write_member(later) == record
        assert await store.list_members() == [later]

    _with_store(play)


def test_a_record_that_the_store_lost_is_written_anew() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        record = member("vm-1", started_ms=5)
        await store.write_member(record)
        stand_in.object_by_place.clear()
        assert await store.write_member(record) is None
        assert [found.vm for found in await store.list_members()] == [VmId("vm-1")]

    _with_store(play)


def test_a_record_that_can_t_be_read_is_left_out() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        await store.write_member(member("vm-1", started_ms=5))
        stand_in.put("daisywharf-daemons", "vm-2", {"record": "nonsense"})
        stand_in.put("daisywharf-daemons", "vm-3", None)
        assert [found.vm for found in await store.list_members()] == [VmId("vm-1")]

    _with_store(play)


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_turns_a_call_away_is_unavailable(status: int) -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.status = status
        with pytest.raises(PlatformError) as caught:
            await store.write_member(member("vm-1", started_ms=5))
        assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE

    _with_store(play)


def test_a_silent_store_is_given_up_and_whether_it_wrote_isn_t_known() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.is_silent = True
        with pytest.raises(PlatformError) as caught:
            await store.write_member(member("vm-1", started_ms=5))
        assert caught.value.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN

    _with_store(play)


def test_what_was_learned_is_kept_and_read_back() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        assert await store.read_learned() == Learned()
        first = Learned((CallsBelow("catalogue", "browse", "orders", "lookup", 1.0),), ())
        for learned in (first, Learned(first.rows, (RouteName("lookup"),))):
            await store.write_learned(learned)
            assert await store.read_learned() == learned
        stand_in.put("daisywharf-learned", "calls", {"rows": "nonsense"})
        assert await store.read_learned() == Learned()

    _with_store(play)


def test_an_answer_without_what_it_should_have_is_unreadable() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.nonsense = {"items": 7}
        for ask in (store.read_configuration, store.list_members):
            with pytest.raises(PlatformError, match="unreadable"):
                await ask()
        with pytest.raises(PlatformError, match="unreadable"):
            await store.watch_configuration(after=1, wait_s=0.1)

    _with_store(play)
