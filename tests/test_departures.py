"""An acknowledged departure of a target binds its daemon, and the processes that follow it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from builders_mesh import (
    NOWHERE,
    MemoryStore,
    announcement,
    configuration,
    daemon_at_rest,
    eventually,
    in_loop,
    route,
    settings,
)
from daisywharf._ids import TargetId
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._departures import (
    MAX_DEPARTURES,
    Departure,
    Departures,
    departure_of,
    record_departure,
    with_departure,
)
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._http_server import HttpServer
from daisywharf._mesh._model import Readiness, TargetDeparture
from daisywharf.platform._control import control_handler

TARGET = TargetId("t-1")
NOW_MS = 5_000


def _left(**changes: Any) -> TargetDeparture:
    """Build a deregistration of the target `t-1` that announcements are built of."""
    return TargetDeparture(**{"target_id": TARGET, "born_ms": 1, "sequence": 7, **changes})


def _is_published(daemon: MeshDaemon) -> bool:
    """Return whether other daemons would call the daemon's target."""
    target = daemon.membership.own.target
    return target is not None and target.readiness is Readiness.READY


@pytest.mark.parametrize("given", [{}, {"born_ms": None}, {"born_ms": None, "sequence": None}])
def test_a_deregistration_at_a_restarted_daemon_binds_when_a_late_heartbeat_follows(
    given: dict[str, Any],
) -> None:
    """The new process hears of its target for the first time by the deregistration."""

    async def scenario() -> None:
        daemon = daemon_at_rest(MemoryStore(configuration(route())))
        await daemon.start()
        daemon.handle_departure(_left(**given))
        daemon.handle_announcement(announcement(NOWHERE, sequence=6))
        assert not daemon.gate.is_open
        assert not _is_published(daemon)
        daemon.handle_announcement(announcement(NOWHERE, born_ms=NOW_MS, sequence=1))
        assert daemon.gate.is_open
        daemon.close()

    in_loop(scenario)


@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_deregistration_binds_after_two_restarts_in_a_row(is_store_down: bool) -> None:
    """The process between the restarts hears nothing of its target."""

    async def scenario() -> None:
        store = MemoryStore(configuration(route()))
        peer = daemon_at_rest(store, vm="vm-2")
        await peer.start()
        await eventually(lambda: peer.sync.has_listed)
        first = daemon_at_rest(store)
        await first.start()
        await eventually(lambda: first.sync.has_listed and _has_link(first))
        store.is_down = is_store_down
        first.handle_departure(_left())
        assert await first.is_departure_kept()
        await asyncio.sleep(0.05)
        daemons = [first]
        for started_ms in (3, 4):
            daemons[-1].close()
            daemon = daemon_at_rest(store, started_ms=started_ms)
            daemon.settings = first.settings
            daemons.append(daemon)
            if is_store_down:
                # What a peer answers to the hello of a daemon that knows no other.
                daemon.peers.merge(tuple(peer.membership.record_by_vm.values()))
                peer.peers.merge((daemon.membership.own,))
            else:
                await daemon.start()
                await eventually(lambda: daemons[-1].sync.has_listed)
        daemons[-1].handle_announcement(announcement(NOWHERE, sequence=6))
        assert not daemons[-1].gate.is_open
        for daemon in (*daemons, peer):
            daemon.close()

    in_loop(scenario)


def _has_link(daemon: MeshDaemon) -> bool:
    return any(link.is_up for link in daemon.membership.link_by_vm.values())


def test_a_departure_that_a_restart_would_forget_is_not_acknowledged() -> None:
    async def scenario() -> None:
        store = MemoryStore(configuration(route()))
        daemon = daemon_at_rest(store)
        await daemon.start()
        await eventually(lambda: daemon.sync.has_listed)
        ask = await _control(daemon)
        body = b'{"sequence":7,"born":1}'
        store.is_down = True
        assert await ask("/-/instances/t-1/deregister", body) == 503
        store.is_down = False
        assert await ask("/-/instances/t-1/deregister", body) == 200
        found = store.record_by_vm["vm-1"].target
        assert found is not None
        assert (found.target_id, found.readiness) == (TARGET, Readiness.LEFT)
        daemon.close()

    in_loop(scenario)


def test_a_peer_that_knows_of_a_departure_is_enough_for_its_acknowledgement() -> None:
    async def scenario() -> None:
        store = MemoryStore(configuration(route()))
        daemon, peer = daemon_at_rest(store), daemon_at_rest(store, vm="vm-2")
        await daemon.start()
        await peer.start()
        await eventually(lambda: _has_link(daemon) and _has_link(peer))
        daemon.handle_announcement(announcement(NOWHERE, sequence=6))
        ask = await _control(daemon)
        store.is_down = True
        assert await ask("/-/instances/t-1/deregister", b'{"sequence":7,"born":1}') == 200
        await eventually(lambda: _readiness_at(peer, daemon) is Readiness.LEFT)
        daemon.close()
        peer.close()

    in_loop(scenario)


def _readiness_at(peer: MeshDaemon, daemon: MeshDaemon) -> Readiness | None:
    record = peer.membership.record_by_vm.get(daemon.settings.vm)
    return None if record is None or record.target is None else record.target.readiness


async def _control(daemon: MeshDaemon) -> Callable[[str, bytes], Awaitable[int]]:
    """Serve a daemon's control address; return a function that posts to it."""
    handler = control_handler(
        service=lambda: daemon.settings.service,
        handle_announcement=daemon.handle_announcement,
        handle_departure=daemon.handle_departure,
        is_departure_kept=daemon.is_departure_kept,
    )
    address = settings().entry_address
    server = HttpServer(handler, now=daemon.now)
    await server.start(address)
    pool = HttpPool(address, now=daemon.now)

    async def ask(path: str, body: bytes) -> int:
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        result = await pool.fetch(head.encode() + body, within_s=5.0)
        assert isinstance(result, HttpAnswer)
        return result.status

    return ask


def test_a_departure_holds_for_its_incarnation_and_earlier_ones_only() -> None:
    departures = Departures()
    record_departure(departures, TARGET, departure_of(_left(born_ms=10), now_ms=NOW_MS))
    earlier = announcement(NOWHERE, born_ms=9)
    same = announcement(NOWHERE, born_ms=10, sequence=3)
    later = announcement(NOWHERE, born_ms=11)
    assert with_departure(departures, earlier).readiness is Readiness.LEFT
    assert with_departure(departures, same).readiness is Readiness.LEFT
    assert with_departure(departures, later) is later


def test_the_last_departure_of_a_target_counts_whatever_order_they_are_heard_in() -> None:
    draining = Departure(Readiness.DRAINING, 10, 5)
    left = Departure(Readiness.LEFT, 10, 7)
    earlier = Departure(Readiness.LEFT, 9, 50)
    for heard in ([draining, left, earlier], [earlier, left, draining], [left, earlier, draining]):
        departures = Departures()
        for departure in heard:
            record_departure(departures, TARGET, departure)
        assert departures.by_target_id == {TARGET: left}


def test_departures_of_many_targets_take_bounded_memory() -> None:
    departures = Departures()
    for number in range(MAX_DEPARTURES * 3):
        record_departure(departures, TargetId(f"t-{number}"), Departure(Readiness.LEFT, 1, 1))
    assert len(departures.by_target_id) == MAX_DEPARTURES
    assert f"t-{MAX_DEPARTURES * 3 - 1}" in departures.by_target_id
