"""The client of the platform's store, against a stand-in for the store."""

import time

import pytest
from benchmarks._platform_store import StoreStandIn

from builders_mesh import member
from builders_store import with_store
from daisywharf._configuration import RouteName
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import VmId
from daisywharf._mesh._learned import LearnedCalls
from daisywharf._overload._calls_below import CallsBelow
from daisywharf.platform._store import ObjectStore

CONFIGURATION = {"version": 7, "resources": []}


def test_the_configuration_is_watched_from_the_store_s_present_revision() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        empty = await store.read_configuration()
        assert (empty.configuration, empty.revision) == (None, 10)
        stand_in.put("config", "main", CONFIGURATION)
        # Other writes advance the store's revision, and its history may begin after the object's.
        stand_in.put("other", "x", {})
        stand_in.oldest_revision = stand_in.revision
        read = await store.read_configuration()
        assert read.configuration is not None
        assert read.configuration.version == 7
        watched = await store.watch_configuration(
            after=read.revision, era=None, wait_s=0.1, within_s=1.1
        )
        assert watched.configuration is None

    with_store(play)


def test_a_watch_from_a_revision_before_the_history_fails_as_gone() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.oldest_revision = 5
        with pytest.raises(PlatformError) as caught:
            await store.watch_configuration(after=1, era=None, wait_s=0.1, within_s=1.1)
        assert caught.value.kind is ErrorKind.PLATFORM_GONE

    with_store(play)


def test_a_write_returns_the_record_of_an_earlier_process_and_the_next_one_replaces_it() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        record = member("vm-1", started_ms=5)
        assert await store.write_member(record) is None
        assert await store.list_members() == [record]
        restarted = ObjectStore(stand_in.address, now=time.monotonic)
        later = member("vm-1", started_ms=9)
        assert await restarted.write_member(later) == record
        # Not replaced yet: what it says of a departure would be lost with this process.
        assert await store.list_members() == [record]
        assert await restarted.write_member(later) is None
        assert await store.list_members() == [later]

    with_store(play)


def test_a_record_that_the_store_lost_is_written_anew() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        record = member("vm-1", started_ms=5)
        await store.write_member(record)
        stand_in.object_by_key.clear()
        assert await store.write_member(record) is None
        assert [found.vm for found in await store.list_members()] == [VmId("vm-1")]

    with_store(play)


def test_an_unreadable_record_is_skipped() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        await store.write_member(member("vm-1", started_ms=5))
        stand_in.put("daisywharf-daemons", "vm-2", {"record": "nonsense"})
        stand_in.put("daisywharf-daemons", "vm-3", None)
        assert [found.vm for found in await store.list_members()] == [VmId("vm-1")]

    with_store(play)


@pytest.mark.parametrize("status", [429, 503])
def test_a_store_that_refuses_a_call_is_unavailable(status: int) -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.status = status
        with pytest.raises(PlatformError) as caught:
            await store.write_member(member("vm-1", started_ms=5))
        assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE

    with_store(play)


def test_a_write_at_a_silent_store_times_out_with_an_unknown_outcome() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.is_silent = True
        with pytest.raises(PlatformError) as caught:
            await store.write_member(member("vm-1", started_ms=5))
        assert caught.value.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN

    with_store(play)


def test_learned_calls_are_written_and_read_back() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        assert await store.read_learned_calls() == LearnedCalls()
        first = LearnedCalls((CallsBelow("catalogue", "browse", "orders", "lookup", 1.0),), ())
        for learned in (first, LearnedCalls(first.rows, (RouteName("lookup"),))):
            await store.write_learned_calls(learned)
            assert await store.read_learned_calls() == learned
        stand_in.put("daisywharf-learned", "calls", {"rows": "nonsense"})
        assert await store.read_learned_calls() == LearnedCalls()

    with_store(play)


def test_an_answer_without_a_required_field_is_unreadable() -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.malformed_answer = {"items": 7}
        for ask in (store.read_configuration, store.list_members):
            with pytest.raises(PlatformError, match="unreadable"):
                await ask()
        with pytest.raises(PlatformError, match="unreadable"):
            await store.watch_configuration(after=1, era=None, wait_s=0.1, within_s=1.1)

    with_store(play)
