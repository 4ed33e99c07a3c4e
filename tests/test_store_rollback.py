"""A store that comes back from an older copy takes nothing back that was acknowledged."""

import asyncio
from typing import Final

import msgspec
import pytest
from benchmarks._platform_store import StoreStandIn

from builders_mesh import daemon_at_rest, in_loop, member, settings
from builders_rollback import FIRST, KIND, RollbackFleet, play_rollback, play_store, target_of
from daisywharf._configuration import RouteName
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import TargetId, VmId
from daisywharf._mesh import _store_sync
from daisywharf._mesh._confirmation import is_probe_due, record_confirmed
from daisywharf._mesh._frames import StatusUpdate
from daisywharf._mesh._learned import LearnedCalls
from daisywharf._mesh._model import MemberRecord, Readiness, TargetRecord
from daisywharf._mesh._store_era import MAX_ERA, EraChange, EraState, observe_era, parse_era
from daisywharf._signals._events import Event
from daisywharf.platform import _store
from daisywharf.platform._store import ObjectStore
from test_other_writers import LoggedEvents

LENGTHS_S: Final = (1.0, 4.0, 11.0, 20.0)
APPLY_S: Final = 2.0  # from the users' site files: `configApplyMs`
# Daemons have written their records, and read them once more, this long after a rollback.
RESTORED_S: Final = 9.0
CONFIGURATION: Final = {"version": 7, "resources": []}


async def _recover(fleet: RollbackFleet, *, operator_s: float = 1.5) -> None:
    """Let the operator write the newest version again, and a next one; check both are in force."""
    await asyncio.sleep(operator_s)
    fleet.write_again()
    await asyncio.sleep(APPLY_S)
    assert fleet.outdated() == []
    fleet.change()
    await asyncio.sleep(APPLY_S)
    assert fleet.outdated() == []
    await asyncio.sleep(RESTORED_S)
    fleet.check_whole()


# The era itself.


def test_an_era_rises_and_never_falls() -> None:
    state = EraState()
    observed = [observe_era(state, era) for era in (None, None, 3, 3, 2, None, 4, 3)]
    assert observed == [
        EraChange.NONE,
        EraChange.NONE,
        EraChange.NEW,  # earlier responses named none: they may be of before a rollback
        EraChange.NONE,
        EraChange.OLDER,
        EraChange.NONE,
        EraChange.NEW,
        EraChange.OLDER,
    ]
    assert state.era == 4


@pytest.mark.parametrize("is_response", [False, True])
def test_the_first_era_makes_nothing_outdated(is_response: bool) -> None:
    state = EraState()
    assert observe_era(state, 5, is_response=is_response) is EraChange.FIRST
    assert observe_era(state, 4) is EraChange.OLDER
    assert observe_era(state, 6) is EraChange.NEW


def test_an_era_of_0_after_responses_without_one_is_no_rollback() -> None:
    state = EraState()
    observe_era(state, None)
    assert observe_era(state, 0) is EraChange.FIRST
    assert observe_era(state, 1) is EraChange.NEW


@pytest.mark.parametrize("text", [b"", b"x", b"-1", b"1.5", b"9" * 10, b"9" * 5_000])
def test_a_text_that_is_no_era_counts_as_none(text: bytes) -> None:
    """A huge number would make every later response look outdated."""
    assert parse_era(text) is None
    assert parse_era(b" 7 ") == 7


@pytest.mark.parametrize("era", [-1, MAX_ERA + 1])
def test_an_impossible_era_from_another_daemon_is_ignored(era: int) -> None:
    daemon = daemon_at_rest()
    daemon.sync.record_peer_era(era, source="vm-2")
    assert daemon.sync.store.era_state.era is None


# The client of the store.


def test_a_watch_from_a_revision_that_was_assigned_again_restarts_from_a_list() -> None:
    """The store has the revision again, so it would leave out what was written before it."""

    async def scenario(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.put("config", "main", CONFIGURATION)
        read = await store.read_configuration()
        waiting = asyncio.ensure_future(
            store.watch_configuration(after=read.revision, era=read.era, wait_s=1.0, within_s=2.0)
        )
        await asyncio.sleep(0.5)
        stand_in.roll_back(10.0)
        stand_in.put("config", "main", {**CONFIGURATION, "version": 8})
        stand_in.put("other", "x", {})
        assert stand_in.revision > read.revision
        for _ in range(2):  # the one that waited, and one that isn't sent
            with pytest.raises(PlatformError) as caught:
                await waiting
            assert caught.value.kind is ErrorKind.PLATFORM_GONE
            calls = store.calls
            waiting = asyncio.ensure_future(
                store.watch_configuration(
                    after=read.revision, era=read.era, wait_s=1.0, within_s=2.0
                )
            )
        await asyncio.gather(waiting, return_exceptions=True)
        assert store.calls == calls
        again = await store.read_configuration()
        assert again.configuration is not None
        assert (again.configuration.version, again.era) == (8, 2)

    play_store(scenario)


def test_a_list_with_pages_of_two_eras_restarts() -> None:
    """Otherwise it would hold records from before the rollback beside those of the copy."""

    async def scenario(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.page_size = 2
        await asyncio.sleep(3.0)
        for number in range(6):
            record = member(f"vm-{number}", started_ms=5)
            stand_in.put(KIND, record.vm, {"record": msgspec.to_builtins(record)})
        stand_in.delay_s = 0.05
        listing = asyncio.ensure_future(store.list_members())
        await asyncio.sleep(0.08)  # the first page has been read
        stand_in.roll_back(1.0)
        for number in (4, 5):
            record = member(f"vm-{number}", started_ms=9)
            stand_in.put(KIND, record.vm, {"record": msgspec.to_builtins(record)})
        found = await listing
        assert [(record.vm, record.started_ms) for record in found] == [("vm-4", 9), ("vm-5", 9)]

    play_store(scenario)


def test_a_response_of_an_older_era_counts_as_none(monkeypatch: pytest.MonkeyPatch) -> None:
    logged = LoggedEvents(monkeypatch, _store)

    async def scenario(stand_in: StoreStandIn, store: ObjectStore) -> None:
        stand_in.put("config", "main", CONFIGURATION)
        observe_era(store.era_state, 2, is_response=False)
        with pytest.raises(PlatformError, match="era 1") as caught:
            await store.read_configuration()
        assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
        with pytest.raises(PlatformError) as caught:
            await store.write_member(member("vm-1", started_ms=5))
        assert caught.value.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN
        stand_in.status = 503  # error responses name the era as well
        with pytest.raises(PlatformError, match="era 1"):
            await store.read_configuration()
        assert logged.count(Event.STORE_RESPONSE_DROPPED) == 3

    play_store(scenario)


def test_an_error_response_tells_of_a_new_era() -> None:
    async def scenario(stand_in: StoreStandIn, store: ObjectStore) -> None:
        earlier: list[int | None] = []
        store.on_new_era = earlier.append
        stand_in.roll_back(1.0)
        stand_in.status = 503
        with pytest.raises(PlatformError):
            await store.read_configuration()
        assert (earlier, store.era_state.era) == ([1], 2)

    play_store(scenario)


def _record(revision: int, **changes: object) -> MemberRecord:
    return msgspec.structs.replace(member("vm-1", started_ms=5), revision=revision, **changes)


def _put(stand_in: StoreStandIn, record: MemberRecord) -> None:
    stand_in.put(KIND, record.vm, {"record": msgspec.to_builtins(record)})


@pytest.mark.parametrize("is_era_known", [False, True])
@pytest.mark.parametrize("is_newer", [False, True])
def test_a_conditional_write_never_relies_on_a_revision_of_another_era(
    is_era_known: bool, is_newer: bool
) -> None:
    """The revision was assigned again to a record that another process wrote."""

    async def scenario(stand_in: StoreStandIn, store: ObjectStore) -> None:
        assert await store.write_member(_record(1)) is None
        written_at = stand_in.revision
        await asyncio.sleep(1.0)
        stand_in.roll_back(5.0)
        other = _record(3, started_ms=9 if is_newer else 4)
        _put(stand_in, other)
        assert stand_in.revision == written_at
        if is_era_known:
            await store.read_configuration()
            stand_in.calls.clear()
        else:
            # It succeeds by chance, or fails: neither says anything.
            with pytest.raises(PlatformError) as caught:
                await store.write_member(_record(2))
            assert caught.value.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN
            _put(stand_in, other)
        found = await store.write_member(_record(2))
        assert found == (other if is_newer else None)
        if found is None:
            # What is older is overwritten, not adopted.
            assert await store.list_members() == [_record(2)]
            if is_era_known:
                first = [call.partition(" ")[0] for call in stand_in.calls[:2]]
                assert first == ["GET", "PUT"]

    play_store(scenario)


def test_a_record_that_the_rollback_removed_is_created_again() -> None:
    async def scenario(stand_in: StoreStandIn, store: ObjectStore) -> None:
        await asyncio.sleep(1.0)
        await store.write_member(_record(1))
        stand_in.roll_back(0.5)
        await store.read_configuration()
        assert await store.write_member(_record(2)) is None
        assert await store.list_members() == [_record(2)]

    play_store(scenario)


# Whole fleets.


@pytest.mark.parametrize("seconds", LENGTHS_S)
@pytest.mark.parametrize("operator_s", [0.05, 1.5])
def test_a_rollback_while_watches_wait(seconds: float, operator_s: float) -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        for _ in range(3):
            fleet.change()
            await asyncio.sleep(0.3)
        fleet.store.roll_back(seconds)
        await _recover(fleet, operator_s=operator_s)

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
def test_a_rollback_after_a_moment_without_the_store(seconds: float) -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        fleet.change()
        await asyncio.sleep(0.5)
        fleet.store.is_silent = True
        fleet.silence_store()
        await asyncio.sleep(1.2)
        fleet.store.roll_back(seconds)
        fleet.store.is_silent = False
        await _recover(fleet, operator_s=3.0)

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
@pytest.mark.parametrize("after_s", [0.02, 0.3, 1.02, 1.06, 1.12])
def test_a_rollback_while_a_daemon_restarts_and_reads_a_list(
    seconds: float, after_s: float
) -> None:
    """1.0 s after its start, it writes its record and reads those of all daemons."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.store.page_size = 2
        fleet.store.delay_s = 0.02
        fleet.change()
        await asyncio.sleep(0.5)
        fleet.kill(FIRST)
        await asyncio.sleep(0.3)
        fleet.start_daemon(fleet.vm_by_name[FIRST])
        await asyncio.sleep(after_s)
        fleet.store.roll_back(seconds)
        await _recover(fleet)

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
def test_a_new_daemon_is_found_that_lists_the_store_before_the_others_wrote_again(
    seconds: float,
) -> None:
    """It finds no other daemon in the copy, and no other daemon knows of it."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.kill(FIRST)
        for daemon in fleet.daemons:
            daemon.membership.forget(VmId(FIRST))
        fleet.store.roll_back(seconds)
        for key in [key for key in fleet.store.object_by_key if key[0] == KIND]:
            del fleet.store.object_by_key[key]
        fleet.start_daemon(fleet.vm_by_name[FIRST])
        await asyncio.sleep(0.02)
        fleet.announce(FIRST)  # it writes its record and lists those of all daemons now
        await asyncio.sleep(0.1)
        assert fleet.daemon(FIRST).sync.has_listed
        assert list(fleet.daemon(FIRST).membership.record_by_vm) == [FIRST]
        await _recover(fleet)

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
@pytest.mark.parametrize("is_executed", [False, True])
def test_a_rollback_while_a_write_is_in_flight_that_is_executed_late(
    seconds: float, is_executed: bool
) -> None:
    """Its condition holds again, as revisions are assigned again: an older record replaces one."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        await asyncio.sleep(3.0)
        fleet.store.holds_writes = True
        fleet.announce(FIRST, slots=20, sequence=2)
        await asyncio.sleep(0.3)
        fleet.store.roll_back(seconds)
        fleet.store.holds_writes = False
        fleet.announce(FIRST, sequence=3, readiness=Readiness.LEFT)
        await asyncio.sleep(3.0)
        stored = fleet.stored(FIRST)
        assert stored is not None
        assert stored.target is not None
        assert stored.target.readiness is Readiness.LEFT
        held, *_ = fleet.store.held_writes
        body = msgspec.json.decode(held[2])
        entry = fleet.store.object_by_key[(KIND, FIRST)]
        if is_executed:
            entry["metadata"]["revision"] = body["metadata"]["revision"]
        assert fleet.store.execute_held_writes()[0] == (200 if is_executed else 409)
        replaced = fleet.stored(FIRST)
        assert (replaced != stored) is is_executed
        await _recover(fleet)
        restored = fleet.stored(FIRST)
        assert restored is not None
        assert restored.target is not None
        assert restored.target.readiness is Readiness.LEFT

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
@pytest.mark.parametrize("zone", ["antwerpen", "gent"])
def test_a_rollback_that_some_daemons_have_not_seen_yet(seconds: float, zone: str) -> None:
    """A zone's calls still get responses as before the rollback, for three seconds."""

    async def scenario(fleet: RollbackFleet) -> None:
        lagging = [vm for vm in fleet.vm_by_name.values() if vm.zone == zone]
        fleet.announce(FIRST)
        fleet.change()
        await asyncio.sleep(1.0)
        fleet.store.lagging_hosts = {vm.host for vm in lagging}
        fleet.store.roll_back(seconds)
        rolled_back_at = fleet.now
        await asyncio.sleep(1.5)
        # They heard of it from the other zone, and rely on no response of before any more.
        for vm in lagging:
            assert vm.daemon is not None
            assert vm.daemon.sync.store.era_state.era == 2
            assert vm.daemon.sync.confirmation.confirmed_at <= rolled_back_at + 1.0
        fleet.write_again()
        fleet.change()
        await asyncio.sleep(1.5)
        fleet.store.lagging_hosts = set()
        await asyncio.sleep(1.0)
        await _recover(fleet)

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
def test_several_rollbacks_in_a_row(seconds: float) -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        for pause_s in (0.1, 0.7, 2.0):
            fleet.change()
            await asyncio.sleep(0.3)
            fleet.store.roll_back(seconds)
            await asyncio.sleep(pause_s)
        await _recover(fleet)
        assert fleet.store.era == 4

    play_rollback(scenario)


def test_the_version_in_force_is_confirmed_only_once_the_store_shows_it_again() -> None:
    """Without the operator's write, the daemons ask on at a bounded pace."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.change()
        await asyncio.sleep(0.5)
        fleet.store.roll_back(3.0)
        rolled_back_at = fleet.now
        await asyncio.sleep(2.0)
        calls = fleet.count_calls("GET /-/objects/config")
        await asyncio.sleep(6.0)
        for daemon in fleet.daemons:
            assert daemon.version == 2
            assert daemon.sync.confirmation.confirmed_at <= rolled_back_at
        # Of each zone of 4 and 3, two watch once a second and the others probe in turn.
        assert fleet.count_calls("GET /-/objects/config") - calls < 6.0 * 2 * (3 + 10)
        await _recover(fleet)

    play_rollback(scenario)


@pytest.mark.parametrize("era", [None, 1])
def test_watches_that_expire_right_after_a_list_are_paced(era: int | None) -> None:
    """A part of the store that lags behind lacks the revision of each list for a while."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.store.oldest_revision = 1_000
        await asyncio.sleep(2.0)
        calls = fleet.count_calls("GET /-/objects/config")
        await asyncio.sleep(5.0)
        # In each of two zones, one daemon lists and watches in 0.1 s.
        assert fleet.count_calls("GET /-/objects/config") - calls <= 5.0 * 2 * 2 / 0.1

    play_rollback(scenario, era=era)


def test_a_rollback_costs_a_bounded_number_of_calls() -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        await asyncio.sleep(2.0)
        fleet.store.calls.clear()
        rolled_back_at = fleet.now
        fleet.store.roll_back(5.0)
        fleet.write_again()
        while fleet.now < rolled_back_at + RESTORED_S:
            await asyncio.sleep(0.1)
        daemons = len(fleet.vm_by_name)
        assert fleet.count_calls("PUT", "POST") == daemons
        # Each daemon reads its record before it writes, and once more seconds later.
        assert fleet.count_calls(f"GET /-/objects/{KIND}/") == 2 * daemons
        lists = [call for call in fleet.store.calls if call == f"GET /-/objects/{KIND}"]
        assert len(lists) <= 2 * 2
        fleet.check_whole()

    play_rollback(scenario)


@pytest.mark.parametrize("seconds", LENGTHS_S)
def test_learned_calls_are_written_again(seconds: float) -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        learned = LearnedCalls((), (RouteName("lookup"),))
        for daemon in fleet.daemons:
            daemon.sync.snapshot_learned_calls = lambda: learned
        await asyncio.sleep(6.0)
        key = ("daisywharf-learned", "calls")
        assert key in fleet.store.object_by_key
        fleet.store.roll_back(seconds)
        fleet.store.object_by_key.pop(key, None)
        await _recover(fleet)
        assert key in fleet.store.object_by_key

    play_rollback(scenario)


def test_a_daemon_whose_record_is_outdated_in_the_store_is_asked_for_it() -> None:
    """It heard of the new era and wrote to a part of the store that the rollback reached later."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce("gent-3")
        await asyncio.sleep(2.0)
        fleet.store.roll_back(1.0)
        fleet.write_again()
        await asyncio.sleep(2.0)
        fleet.daemon("gent-3").sync._check_record = lambda: None  # type: ignore[method-assign]
        record = msgspec.structs.replace(fleet.daemon("gent-3").membership.own, revision=0)
        _put(fleet.store, record)
        await asyncio.sleep(2.5)
        assert fleet.stored("gent-3") == fleet.daemon("gent-3").membership.own

    play_rollback(scenario)


# Departures.


async def _leave(fleet: RollbackFleet) -> None:
    """Let the target of the first VM leave, and check that this is acknowledged."""
    fleet.announce(FIRST, sequence=5, readiness=Readiness.LEFT)
    assert await fleet.daemon(FIRST).is_departure_kept()


@pytest.mark.parametrize("seconds", LENGTHS_S)
@pytest.mark.parametrize("down_s", [0.05, 4.0])
@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("asks_for_lists", [False, True])
def test_an_acknowledged_departure_outlives_a_rollback_and_a_restart(
    seconds: float, down_s: float, restarts: int, asks_for_lists: bool
) -> None:
    """The copy still says that the target is ready; only other daemons know that it left.

    A daemon that has asked several others for lists already doesn't ask for one.
    """

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        await asyncio.sleep(max(seconds, 2.0))
        await _leave(fleet)
        for _ in range(restarts):
            fleet.kill(FIRST)
            fleet.store.roll_back(seconds)
            await asyncio.sleep(down_s)
            _restart(fleet, asks_for_lists=asks_for_lists)
            await asyncio.sleep(2.5)
        fleet.announce(FIRST, sequence=4)  # late
        assert not fleet.daemon(FIRST).gate.is_open
        await _recover(fleet)
        stored = fleet.stored(FIRST)
        assert stored is not None
        assert stored.target is not None
        assert stored.target.readiness is Readiness.LEFT

    play_rollback(scenario)


def _restart(fleet: RollbackFleet, *, asks_for_lists: bool) -> None:
    """Start the first VM's daemon, which asks other daemons for all their records or doesn't."""
    fleet.start_daemon(fleet.vm_by_name[FIRST])
    if not asks_for_lists:
        fleet.daemon(FIRST).membership._may_request_list = lambda: False  # type: ignore[method-assign]


@pytest.mark.parametrize("offset_ms", [-60_000, 60_000])
@pytest.mark.parametrize("leaves", [False, True])
def test_a_departure_outlives_a_rollback_and_a_restart_with_another_clock(
    offset_ms: int, leaves: bool
) -> None:
    """The copy has no record of the process that acknowledged it, whose clock was ahead or not."""

    async def scenario(fleet: RollbackFleet) -> None:
        vm = fleet.vm_by_name[FIRST]
        fleet.kill(FIRST)
        vm.clock_offset_ms = -offset_ms
        fleet.start_daemon(vm)
        await asyncio.sleep(2.5)
        fleet.announce(FIRST)
        if leaves:
            await _leave(fleet)
        fleet.kill(FIRST)
        fleet.store.roll_back(8.0)
        vm.clock_offset_ms = 0
        _restart(fleet, asks_for_lists=False)
        await asyncio.sleep(2.5)
        fleet.announce(FIRST, sequence=4)
        assert fleet.daemon(FIRST).gate.is_open is not leaves
        await _recover(fleet)
        own = fleet.daemon(FIRST).membership.own
        for daemon in fleet.daemons:
            assert daemon.membership.record_by_vm[own.vm] == own

    play_rollback(scenario)


def test_a_late_announcement_before_the_departure_is_heard_of_again_does_not_hold() -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        await asyncio.sleep(5.0)
        await _leave(fleet)
        fleet.kill(FIRST)
        fleet.store.roll_back(4.0)
        fleet.start_daemon(fleet.vm_by_name[FIRST])
        await asyncio.sleep(0.01)
        fleet.announce(FIRST, sequence=4)
        await asyncio.sleep(4.0)
        assert not fleet.daemon(FIRST).gate.is_open

    play_rollback(scenario)


def test_an_earlier_departure_in_the_copy_does_not_replace_a_later_one_from_a_peer() -> None:
    async def scenario() -> None:
        daemon = daemon_at_rest(started_ms=100)
        own = daemon.membership.own
        for born_ms, sequence in ((10, 5), (20, 2), (10, 7)):
            target = TargetRecord(
                TargetId("t"), settings().service, 5, Readiness.LEFT, born_ms, sequence
            )
            daemon._apply_earlier_record(msgspec.structs.replace(own, started_ms=50, target=target))
        published = daemon.membership.own.target
        assert published is not None
        assert (published.born_ms, published.sequence) == (20, 2)
        daemon.close()

    in_loop(scenario)


def test_a_departure_from_one_peer_counts_if_the_earlier_process_had_a_clock_ahead() -> None:
    async def scenario() -> None:
        daemon = daemon_at_rest(started_ms=100)
        target = TargetRecord(TargetId("t-1"), settings().service, 5, Readiness.LEFT, 10, 5)
        earlier = msgspec.structs.replace(
            daemon.membership.own, started_ms=200, revision=7, target=target
        )
        daemon.peers.merge((earlier,))
        assert daemon.membership.own.started_ms == 201
        daemon.handle_announcement(target_of(FIRST, target_id="t-1", born_ms=10, sequence=4))
        assert not daemon.gate.is_open
        daemon.close()

    in_loop(scenario)


def test_a_departure_that_only_the_store_has_is_not_acknowledged_while_links_are_up() -> None:
    """The store may lose it, and this daemon may end before it writes it again."""

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        await asyncio.sleep(2.0)
        others = [name for name in fleet.vm_by_name if name != FIRST]
        fleet.suspend(*others)
        fleet.announce(FIRST, sequence=5, readiness=Readiness.LEFT)
        assert not await fleet.daemon(FIRST).is_departure_kept()
        assert fleet.daemon(FIRST).sync.is_own_record_written
        fleet.resume(*others)
        assert await fleet.daemon(FIRST).is_departure_kept()

    play_rollback(scenario)


def test_a_departure_is_acknowledged_during_a_rollback_once_a_peer_has_read_it() -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        await asyncio.sleep(2.0)
        fleet.store.is_silent = True
        fleet.store.roll_back(1.0)
        fleet.announce(FIRST, sequence=5, readiness=Readiness.LEFT)
        assert await fleet.daemon(FIRST).is_departure_kept()
        fleet.store.is_silent = False
        await _recover(fleet)

    play_rollback(scenario)


# Records of other daemons.


def test_a_record_of_before_a_move_does_not_replace_the_present_one() -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        daemon = fleet.daemon("gent-1")
        present = daemon.membership.record_by_vm[fleet.daemon(FIRST).settings.vm]
        before = msgspec.structs.replace(
            present, address="10.77.0.1:8301", started_ms=present.started_ms - 5_000
        )
        fleet.store.roll_back(1.0)
        fleet.write_again()
        # The daemon of the first VM writes it again within a second; the copy had the earlier one.
        await asyncio.sleep(2.0)
        _put(fleet.store, before)
        await asyncio.sleep(2.0)
        for other in fleet.daemons:
            assert other.membership.record_by_vm[present.vm].address == present.address
        await _recover(fleet)

    play_rollback(scenario)


# Stores and daemons without eras.


def test_a_store_without_the_header_works_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    logged = LoggedEvents(monkeypatch, _store, _store_sync)

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        assert await fleet.daemon(FIRST).is_departure_kept()
        fleet.store.oldest_revision = fleet.store.revision + 1
        fleet.store.revision += 1
        fleet.store.is_silent = True
        await asyncio.sleep(3.0)
        fleet.store.is_silent = False
        await asyncio.sleep(3.0)
        fleet.change()
        await asyncio.sleep(APPLY_S)
        assert fleet.outdated() == []
        await asyncio.sleep(RESTORED_S)
        fleet.check_whole()
        assert {daemon.reporter.status().store_era for daemon in fleet.daemons} == {0}
        assert logged.count(Event.STORE_ERA_CHANGED) == 0
        assert logged.count(Event.STORE_RESPONSE_DROPPED) == 0

    play_rollback(scenario, era=None)


def test_a_store_that_names_its_era_from_the_first_rollback_on() -> None:
    async def scenario(fleet: RollbackFleet) -> None:
        fleet.announce(FIRST)
        fleet.change()
        await asyncio.sleep(0.5)
        fleet.store.enable_era(0)
        await asyncio.sleep(0.1)
        fleet.store.roll_back(0.0)
        await _recover(fleet)

    play_rollback(scenario, era=None)


def test_a_confirmation_from_a_daemon_in_an_older_era_does_not_count() -> None:
    async def scenario() -> None:
        daemon = daemon_at_rest()
        daemon.sync.record_peer_era(3, source="vm-2")
        for era, is_counted in ((0, False), (2, False), (3, True)):
            status = StatusUpdate(0, True, None, 40, era)
            daemon.sync.record_peer_confirmation(status, version=0)
            assert (daemon.sync.confirmation.confirmed_at > float("-inf")) is is_counted
        daemon.close()

    in_loop(scenario)


def test_a_confirmation_of_before_a_new_era_makes_a_probe_due() -> None:
    """The store may have answered this daemon as before the rollback, until a moment ago."""

    async def scenario() -> None:
        daemon = daemon_at_rest()
        state = daemon.sync.confirmation
        daemon.sync.record_peer_era(1, source="vm-2")
        record_confirmed(state, at=daemon.now())
        daemon.sync.store.era_state.has_responses = True
        assert not is_probe_due(state, rank=0, now=daemon.now())
        daemon.sync.record_peer_era(2, source="vm-2")
        assert is_probe_due(state, rank=0, now=daemon.now() + 0.01)
        # The others of a zone still ask one by one.
        assert not is_probe_due(state, rank=5, now=daemon.now() + 0.01)
        daemon.close()

    in_loop(scenario)


def test_a_new_era_is_logged_once_with_its_source(monkeypatch: pytest.MonkeyPatch) -> None:
    logged = LoggedEvents(monkeypatch, _store_sync)

    async def scenario(fleet: RollbackFleet) -> None:
        fleet.store.roll_back(1.0)
        await _recover(fleet)
        fields = [found for event, found in logged.events if event is Event.STORE_ERA_CHANGED]
        assert len(fields) == len(fleet.vm_by_name)
        assert {(found["earlier"], found["era"]) for found in fields} == {(1, 2)}
        assert "the store" in {found["source"] for found in fields}

    play_rollback(scenario)
