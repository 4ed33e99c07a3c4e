"""Events are logged when they occur, and a logged failure doesn't stop the process."""

import io
import json
from collections.abc import Iterator
from pathlib import Path
from random import Random

import msgspec
import pykka
import pytest
from benchmarks._processes import Processes, address_in, eventually, write_settings

from builders_signals import Chain
from daisywharf import ErrorKind, PlatformError
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._daemon._actors import log_exceptions
from daisywharf._daemon._fleet_actor import FleetActor
from daisywharf._daemon._fleet_events import LoggedFleet, fleet_events
from daisywharf._daemon._platform_actor import PlatformHealth, record_failure, record_reachable
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._messages import ContractRecord, Member, MemberRecord, Scope, Status
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._shares import ZONE_STALE_AFTER_S
from daisywharf._fleet._state import ListContracts, WatchContracts
from daisywharf._fleet._store import put
from daisywharf._ids import (
    CustomerId,
    Incarnation,
    ServiceName,
    TargetId,
    Version,
    VmId,
    ZoneName,
)
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._signals import Event, _log, configure_events
from daisywharf._signals._shedding import SheddingState, log_shedding_change
from daisywharf._topology import Address, Target

SOURCES = Path(__file__).parent.parent / "src"


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    """Write events of all levels as JSON lines to a string."""
    text = io.StringIO()
    configure_events(is_json=True, level="DEBUG", stream=text)
    yield text
    _log._log.write = None


def _written_events(stream: io.StringIO) -> list[str]:
    return [json.loads(line)["event"] for line in stream.getvalue().splitlines()]


def _member(vm: str) -> Member:
    address = Address("127.0.0.1", 1_024)
    return Member(VmId(vm), ZoneName("perth-1"), Incarnation(1), address)


def _target(target_id: str) -> Target:
    return Target(
        target_id=TargetId(target_id),
        service=ServiceName("orders"),
        vm=VmId("vm-1"),
        zone=ZoneName("perth-1"),
        incarnation=Incarnation(1),
        address=Address("127.0.0.1", 1_025),
        slots=4,
        connections=16,
    )


def test_each_event_of_the_catalogue_is_logged_somewhere() -> None:
    texts = [path.read_text() for path in SOURCES.rglob("*.py") if path.name not in ("_events.py",)]
    unused = [event.name for event in Event if not any(f"Event.{event.name}" in t for t in texts)]
    assert unused == []


def test_a_target_is_logged_when_it_is_announced_drains_and_leaves() -> None:
    logged_fleet, state = LoggedFleet(), FleetState(me=_member("vm-1"), seeds=())
    logged = []

    def record_logged(now: float) -> None:
        logged.extend(event.event for event in fleet_events(logged_fleet, state, now=now))

    for target_id in ("orders-1", "orders-2"):
        fleet.announce(state, _target(target_id), now=0.0)
    record_logged(0.0)
    fleet.request_drain(state, TargetId("orders-1"), now=1.0)
    record_logged(1.0)
    logged_fleet.withdrawn.add(TargetId("orders-1"))
    fleet.withdraw(state, TargetId("orders-1"), now=2.0)
    record_logged(2.0)
    fleet.tick(state, now=60.0, rng=Random(1))
    record_logged(60.0)
    record_logged(61.0)
    assert logged == [
        Event.TARGET_ANNOUNCED,
        Event.TARGET_ANNOUNCED,
        Event.TARGET_DRAINING,
        Event.TARGET_LEFT,
        Event.TARGET_LAPSED,
    ]


def test_a_contract_is_logged_once_for_each_version() -> None:
    logged_fleet, state = LoggedFleet(), FleetState(me=_member("vm-1"), seeds=())
    contract = Chain("orders").caller._state.holder.current.contract_by_customer["counter"]
    logged = []
    for version, value in ((1, contract), (2, contract), (2, contract), (3, None)):
        record = ContractRecord(CustomerId("counter"), Version(version), value)
        put(state.store_by_scope[Scope.CONTRACTS], record, copies=0)
        logged += [
            (e.event, e.fields["version"]) for e in fleet_events(logged_fleet, state, now=0.0)
        ]
    assert logged == [
        (Event.CONTRACT_IN_FORCE, 1),
        (Event.CONTRACT_IN_FORCE, 2),
        (Event.CONTRACT_DELETED, 3),
    ]


def test_a_daemon_is_logged_as_suspected_and_as_lost() -> None:
    logged_fleet, state = LoggedFleet(), FleetState(me=_member("vm-1"), seeds=())
    peer = _member("vm-2")
    state.probing.suspect_since_by_vm[peer.vm] = 0.0
    logged = fleet_events(logged_fleet, state, now=0.0)
    del state.probing.suspect_since_by_vm[peer.vm]
    state.probing.ended_at_by_vm[peer.vm] = 5.0
    put(state.store_by_scope[Scope.MEMBERS], MemberRecord(peer, 1, Status.DEAD), copies=0)
    logged += fleet_events(logged_fleet, state, now=5.0)
    logged += fleet_events(logged_fleet, state, now=6.0)
    assert [(event.event, event.fields["peer"]) for event in logged] == [
        (Event.DAEMON_SUSPECTED, "vm-2"),
        (Event.DAEMON_LOST, "vm-2"),
    ]


def test_a_zone_is_logged_as_unreachable_and_as_reachable_again() -> None:
    logged_fleet, state = LoggedFleet(), FleetState(me=_member("vm-1"), seeds=())
    zone = ZoneName("perth-2")
    logged = []
    for now, heartbeat_at in ((0.0, 0.0), (ZONE_STALE_AFTER_S + 1, 0.0), (100.0, 100.0)):
        state.shares.heartbeat_at_by_zone[zone] = heartbeat_at
        logged += [event.event for event in fleet_events(logged_fleet, state, now=now)]
    assert logged == [Event.ZONE_UNREACHABLE, Event.ZONE_BACK]


def test_an_outage_of_the_platform_is_logged_once_and_when_it_ends(stream: io.StringIO) -> None:
    health = PlatformHealth()
    error = PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")
    for now in (1.0, 2.0):
        record_failure(health, ListContracts(), error, now=now)
    record_reachable(health, now=4.5)
    record_reachable(health, now=5.0)
    assert _written_events(stream) == ["platform-unavailable", "platform-back"]
    assert '"outage_s":3.5' in stream.getvalue()


def test_a_watch_that_is_gone_is_no_outage(stream: io.StringIO) -> None:
    health = PlatformHealth()
    error = PlatformError(ErrorKind.PLATFORM_GONE, "gone")
    record_failure(health, WatchContracts(Version(7)), error, now=1.0)
    assert health.unreachable_since is None
    assert _written_events(stream) == ["watch-gone"]


def test_shedding_is_logged_when_it_begins_and_ends(stream: io.StringIO) -> None:
    state = SheddingState()
    for now, level in enumerate((OPEN_LEVEL, Level(3, 9), Level(2, 1), OPEN_LEVEL, OPEN_LEVEL)):
        log_shedding_change(state, "orders-1", level, now=float(now))
    assert _written_events(stream) == ["shedding-started", "shedding-ended"]


def test_an_actor_continues_after_a_message_that_fails(stream: io.StringIO) -> None:
    class Failing(pykka.ThreadingActor):
        @log_exceptions
        def fail(self) -> None:
            raise KeyError("hostile")

        def is_alive(self) -> bool:
            return True

    proxy = Failing.start().proxy()
    proxy.fail.defer()
    assert proxy.is_alive().get(timeout=5)
    proxy.actor_ref.stop()
    assert _written_events(stream) == ["unexpected-error"]


def test_a_pause_of_the_process_is_logged(stream: io.StringIO) -> None:
    snapshot = Snapshot(VmId("vm-1"), ZoneName("perth-1"), 0)
    actor = FleetActor(
        FleetState(me=_member("vm-1"), seeds=()),
        holder=SnapshotHolder(snapshot),
        send=lambda action: None,
        run_platform_action=lambda action: None,
        on_snapshot=lambda snapshot: None,
        rng=Random(1),
        sweep_claims=lambda: None,
    )
    for now in (10.0, 10.1, 10.1 + fleet.PAUSE_THRESHOLD_S):
        actor._log_clock_gap(now)
    assert _written_events(stream) == ["clock-gap"]


@pytest.mark.processes
def test_a_daemon_logs_its_start_its_stop_and_refused_peers(processes: Processes) -> None:
    path = write_settings(processes.directory, "vm-1", zone="perth-1", platform=None)
    settings = msgspec.json.decode(path.read_bytes()) | {"log": {"format": "json"}}
    path.write_bytes(msgspec.json.encode(settings))
    daemon = processes.start("vm-1", "daemon", "--settings", str(path))
    http, links = (f"http://{address_in(daemon, name)}" for name in ("http", "links"))
    reply = processes.http.request("POST", f"{http}/announce", body=b"{}")
    assert reply.status == 400
    upgrade = {
        "Connection": "Upgrade",
        "Upgrade": "websocket",
        "Sec-WebSocket-Version": "13",
        "Sec-WebSocket-Key": "AAAAAAAAAAAAAAAAAAAAAA==",
    }
    processes.http.request("GET", links, headers=upgrade, preload_content=False).close()
    eventually(lambda: "peer-refused" in processes.log("vm-1"))
    assert processes.stop("vm-1") == 0
    lines = [line for line in processes.log("vm-1").splitlines() if line.startswith("{")]
    events = [json.loads(line)["event"] for line in lines]
    assert events[0] == "daemon-started"
    assert {"announcement-refused", "peer-refused"} <= set(events)
    assert events[-2:] == ["daemon-stopping", "daemon-stopped"]
    assert json.loads(lines[0])["fields"]["vm"] == "vm-1"


@pytest.mark.processes
def test_a_daemon_refuses_invalid_settings_by_its_exit_code(processes: Processes) -> None:
    path = processes.directory / "bad.yaml"
    path.write_text("vm: vm-1\n")
    with pytest.raises(AssertionError, match="ended with 3"):
        processes.start("vm-1", "daemon", "--settings", str(path))
