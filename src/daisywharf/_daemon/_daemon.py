"""A daemon: its components, startup and shutdown."""

import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

import msgspec
import pykka

from daisywharf._call._caller import Caller
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._daemon._claims import make_key_claimer
from daisywharf._daemon._fleet_actor import FleetActor
from daisywharf._daemon._forwarding import HostedGates
from daisywharf._daemon._frames import DemandReport, FleetFrame, Subscribe
from daisywharf._daemon._http import http_app
from daisywharf._daemon._in_flight import InFlight
from daisywharf._daemon._links import Link, Links
from daisywharf._daemon._platform_actor import PlatformActor, PlatformCounts, PlatformHealth
from daisywharf._daemon._routes import routes_of
from daisywharf._daemon._subscriptions import Subscriptions, push_snapshot, subscribe
from daisywharf._fleet._messages import Member
from daisywharf._fleet._state import FleetAction, FleetState, PlatformResult, WatchContracts
from daisywharf._http_server import HttpServer
from daisywharf._ids import Incarnation
from daisywharf._objects._interface import Platform
from daisywharf._outcomes._pause import PauseState, pause_tick
from daisywharf._settings import DaemonSettings
from daisywharf._signals import Event, log_event

TICK_PERIOD_S: Final = 0.1
STOP_TIMEOUT_S: Final = 30.0
STOP_POLL_PERIOD_S: Final = 0.02
LEAVE_GOSSIP_S: Final = 0.5


class Running(msgspec.Struct):
    """Hold what exists only while a daemon runs; `fleet` is the proxy of its `FleetActor`."""

    member: Member
    fleet: Any
    actors: list[pykka.ActorRef[Any]]


class Daemon:
    """Connect the components of one daemon, and start and stop them."""

    def __init__(self, settings: DaemonSettings, *, platform: Platform | None = None) -> None:
        self.settings = settings
        self.holder = SnapshotHolder(Snapshot(settings.vm, settings.zone, 0))
        self.platform = platform or _platform_at(settings.platform)
        self.caller = Caller(
            self.holder,
            name=settings.vm,
            claim_key=make_key_claimer(self.platform),
            keys=settings.keys,
        )
        self.gates = HostedGates()
        self.subscriptions = Subscriptions()
        self.entered_in_flight = InFlight()
        self.is_draining = False
        self._pause = PauseState(now=time.monotonic())
        self.platform_counts = PlatformCounts()
        self.platform_health = PlatformHealth()
        self.running: Running
        self.links = Links(
            me=lambda: self.running.member,
            keys=settings.keys,
            on_frame=self._handle_frame,
            on_unreachable=lambda address: None,
        )
        self.http = HttpServer(
            http_app(routes_of(self)), address=settings.http, threads=settings.http_threads
        )

    def start(self) -> None:
        """Accept links, join the fleet and serve HTTP."""
        self._stop_traces = _start_traces(self.settings)
        address = self.links.start(self.settings.links)
        incarnation = Incarnation(time.time_ns())
        member = Member(self.settings.vm, self.settings.zone, incarnation, address)
        request_actor, watch_actor = (self._start_platform_actor() for _ in range(2))
        fleet = FleetActor.start(
            FleetState(me=member, seeds=self.settings.peers, zones=self.settings.zones),
            holder=self.holder,
            send=lambda action: self.links.send(action.address, FleetFrame(action.message)),
            run_platform_action=lambda action: _run_platform_action(
                action, request_actor, watch_actor
            ),
            on_snapshot=lambda snapshot: push_snapshot(self.subscriptions, self.links, snapshot),
            rng=Random(),
            sweep_claims=request_actor.proxy().sweep_claims.defer,
        )
        self.running = Running(member, fleet.proxy(), [fleet, request_actor, watch_actor])
        self.links.run_periodically(TICK_PERIOD_S, self._tick)
        self.http.start()
        log_event(
            Event.DAEMON_STARTED,
            vm=member.vm,
            zone=member.zone,
            http=str(self.http.address),
            links=str(address),
        )

    def stop(self) -> None:
        """Refuse new requests, leave the fleet, finish the calls in flight and close.

        Calls that still run after `STOP_TIMEOUT_S` are cut off, and their number is logged.
        """
        self.is_draining = True
        log_event(Event.DAEMON_STOPPING, in_flight=self._calls_in_flight())
        for gate in self.gates.gate_by_id.values():
            gate.drain()
        self.running.fleet.leave().get(timeout=STOP_TIMEOUT_S)
        # Lets the leave messages reach peers before the links close.
        time.sleep(LEAVE_GOSSIP_S)
        self._wait_for_calls()
        cut_off = self._calls_in_flight()
        self.http.stop()
        self.links.stop()
        for actor in self.running.actors:
            actor.stop(block=False)
        self.caller.close()
        self._stop_traces()
        log_event(Event.DAEMON_STOPPED, cut_off=cut_off)

    def _wait_for_calls(self) -> None:
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while self._calls_in_flight() and time.monotonic() < deadline:
            time.sleep(STOP_POLL_PERIOD_S)

    def _calls_in_flight(self) -> int:
        hosted = sum(gate.in_flight for gate in self.gates.gate_by_id.values())
        return hosted + self.entered_in_flight.count

    def _tick(self) -> None:
        if pause_tick(self._pause, now=time.monotonic()) > 0.0:
            self.caller.record_clock_gap()
        demands = self.caller.demand.read_and_reset()
        if demands:
            self.running.fleet.record_demand.defer(demands)
        self.running.fleet.tick.defer()

    def _handle_frame(self, link: Link, frame: Any) -> None:
        if not hasattr(self, "running"):
            # Peers may know this address from an earlier incarnation and send before startup ends.
            return
        if isinstance(frame, FleetFrame):
            self.running.fleet.receive.defer(frame.message)
        elif isinstance(frame, DemandReport):
            self.running.fleet.record_demand.defer(frame.demands)
        elif isinstance(frame, Subscribe):
            subscribe(self.subscriptions, self.links, link, frame, self.holder.current)

    def _start_platform_actor(self) -> pykka.ActorRef[Any]:
        return PlatformActor.start(
            self.platform,
            on_result=self._handle_platform_result,
            counts=self.platform_counts,
            health=self.platform_health,
        )

    def _handle_platform_result(self, result: PlatformResult) -> None:
        self.running.fleet.platform_answered.defer(result)


def _start_traces(settings: DaemonSettings) -> Callable[[], None]:
    traces = settings.traces
    if traces is None:
        return lambda: None
    from daisywharf._signals._trace_file import start_trace_file

    return start_trace_file(traces.file, process=settings.vm, ratio=traces.ratio)


def _run_platform_action(
    action: FleetAction, request_actor: pykka.ActorRef[Any], watch_actor: pykka.ActorRef[Any]
) -> None:
    # A watch blocks its actor while it waits, so it has a separate one.
    actor = watch_actor if isinstance(action, WatchContracts) else request_actor
    actor.proxy().run.defer(action)


def _platform_at(url: str | None) -> Platform:
    if url is None:
        from daisywharf._objects._absent import AbsentPlatform

        return AbsentPlatform()
    from daisywharf._objects._http_client import HttpPlatform

    return HttpPlatform(url)
