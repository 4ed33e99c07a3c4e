"""Measure one daemon's view of a fleet of a given size, without sockets.

Run as `python -m benchmarks state --daemons 3000 --zones 15 --services 220 --json`.
"""

import argparse
import json
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from benchmarks._fleet_measures import contract_of
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._codec import encode
from daisywharf._daemon._fleet_actor import FleetActor
from daisywharf._daemon._subscriptions import _select_services
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._messages import (
    ContractRecord,
    DemandEntry,
    DemandRecord,
    Gossip,
    Member,
    MemberRecord,
    RateId,
    Scope,
    ServiceSummary,
    Status,
    SummaryContact,
    TargetRecord,
)
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._store import put
from daisywharf._ids import (
    Incarnation,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._topology import Address, GateHost, TargetState

MS_PER_S = 1_000.0
BYTES_PER_KB = 1_000.0
TICKS = 50
PUBLISH_RUNS = 5
TICK_S = 0.1
RECORDS_PER_MESSAGE = 4
LIBRARY_SERVICES = 5


class StateFigures(msgspec.Struct, frozen=True):
    """The benchmark's figures; times are processor time of the thread that runs FleetActor."""

    daemons: int
    zones: int
    services: int
    customers: int
    records: int
    view_kb: float
    snapshot_kb: float
    hand_out_ms: float
    quiet_tick_ms: float
    busy_tick_ms: float
    message_ms: float
    whole_frame_kb: float
    library_frame_kb: float
    snapshots_in_busy_second: int


def main(arguments: list[str]) -> int:
    """Print the memory, processor time and frame sizes of one daemon's view."""
    parser = argparse.ArgumentParser(prog="benchmarks state", description=main.__doc__)
    parser.add_argument("--daemons", type=int, default=3_000)
    parser.add_argument("--zones", type=int, default=15)
    parser.add_argument("--services", type=int, default=220)
    parser.add_argument("--customers", type=int, default=50)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    figures = measure(
        daemons=options.daemons,
        zones=options.zones,
        services=options.services,
        customers=options.customers,
    )
    print(json.dumps(msgspec.to_builtins(figures), indent=None if options.json else 2))
    return 0


def measure(*, daemons: int, zones: int, services: int, customers: int) -> StateFigures:
    """Build the view of one daemon and measure it."""
    tracemalloc.start()
    state = build_state(daemons=daemons, zones=zones, services=services, customers=customers)
    view_bytes = tracemalloc.get_traced_memory()[0]
    holder = SnapshotHolder(Snapshot(state.me.vm, state.me.zone, 0))
    actor = FleetActor(
        state,
        holder=holder,
        send=lambda action: None,
        run_platform_action=lambda action: None,
        on_snapshot=lambda snapshot: None,
        rng=Random(1),
        sweep_claims=lambda: None,
    )
    actor._publish_snapshot(0.0)
    snapshot_bytes = tracemalloc.get_traced_memory()[0] - view_bytes
    tracemalloc.stop()
    snapshot = holder.current
    library_services = sorted(snapshot.targets_by_service)[:LIBRARY_SERVICES]
    hand_out_ms = _processor_ms(lambda: _republish(actor))
    clock = _Clock()
    quiet_tick_ms = _processor_ms(lambda: _tick(actor, clock.next()), times=TICKS)
    sequence_before = holder.current.sequence
    busy = DemandSource(state, daemons // zones)
    busy_tick_ms = _processor_ms(lambda: _busy_tick(actor, busy, clock.next()), times=TICKS)
    snapshots_made = holder.current.sequence - sequence_before
    return StateFigures(
        daemons=daemons,
        zones=zones,
        services=services,
        customers=customers,
        records=sum(len(store.record_by_key) for store in state.store_by_scope.values()),
        view_kb=round(view_bytes / BYTES_PER_KB, 1),
        snapshot_kb=round(snapshot_bytes / BYTES_PER_KB, 1),
        hand_out_ms=hand_out_ms,
        quiet_tick_ms=quiet_tick_ms,
        busy_tick_ms=busy_tick_ms,
        message_ms=_processor_ms(lambda: _receive(state, busy, clock.next()), times=TICKS),
        whole_frame_kb=round(_frame_bytes(snapshot) / BYTES_PER_KB, 1),
        library_frame_kb=round(
            _frame_bytes(_select_services(snapshot, tuple(library_services))) / BYTES_PER_KB, 1
        ),
        snapshots_in_busy_second=round(snapshots_made / (TICKS * TICK_S)),
    )


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def next(self) -> float:
        self.now += TICK_S
        return self.now


class DemandSource:
    """Source of new demand records, of each peer in turn."""

    def __init__(self, state: FleetState, peers: int) -> None:
        self.state = state
        self.peers = peers
        self.sequence = 0

    def records(self) -> tuple[DemandRecord, ...]:
        """Return new demand records of the next `RECORDS_PER_MESSAGE` peers."""
        self.sequence += 1
        return tuple(
            DemandRecord(
                _vm(0, (self.sequence * RECORDS_PER_MESSAGE + place) % self.peers),
                Incarnation(1),
                self.sequence,
                (DemandEntry(RateId(1), self.sequence % 50),),
            )
            for place in range(RECORDS_PER_MESSAGE)
        )


def _frame_bytes(snapshot: Snapshot) -> int:
    return len(encode(snapshot))


def _processor_ms(run: Callable[[], Any], *, times: int = PUBLISH_RUNS) -> float:
    started = time.thread_time()
    for _ in range(times):
        run()
    return round((time.thread_time() - started) / times * MS_PER_S, 3)


def _republish(actor: FleetActor) -> None:
    actor._published_version = None
    actor._publish_snapshot(0.0)


def _tick(actor: FleetActor, now: float) -> None:
    fleet.tick(actor._state, now=now, rng=actor._rng)
    actor._publish_snapshot(now)


def _busy_tick(actor: FleetActor, demand: DemandSource, now: float) -> None:
    _receive(actor._state, demand, now)
    _tick(actor, now)


def _receive(state: FleetState, demand: DemandSource, now: float) -> None:
    sender = _member(0, 1)
    fleet.receive(state, Gossip(sender, demand.records()), now=now, rng=Random(1))


def _vm(zone: int, place: int) -> VmId:
    return VmId(f"vm-{zone:02d}-{place:04d}")


def _member(zone: int, place: int) -> Member:
    address = Address(f"10.{zone}.{place // 250}.{place % 250}", 8_401)
    return Member(_vm(zone, place), ZoneName(f"zone-{zone:02d}"), Incarnation(1), address)


def _target(zone: int, place: int, services: int) -> TargetRecord:
    number = zone * 1_000 + place
    return TargetRecord(
        target_id=TargetId(f"target-{number}"),
        service=ServiceName(f"service-{number % services:03d}"),
        incarnation=Incarnation(1_764_810_000_000_000_000 + number),
        host=f"10.{zone}.{place // 250}.{place % 250}",
        port=8_080,
        slots=120,
        connections=900,
        state=TargetState.SERVING,
        gate=GateHost.TARGET,
    )


def build_state(*, daemons: int, zones: int, services: int, customers: int) -> FleetState:
    """Build the view of the first daemon of the first zone."""
    daemons_per_zone = daemons // zones
    state = FleetState(me=_member(0, 0), seeds=())
    members, summaries, contracts, demand = (
        state.store_by_scope[scope]
        for scope in (Scope.MEMBERS, Scope.SUMMARIES, Scope.CONTRACTS, Scope.DEMAND)
    )
    for place in range(daemons_per_zone):
        record = MemberRecord(_member(0, place), 1, Status.ALIVE, (_target(0, place, services),))
        put(members, record, copies=0)
        put(demand, DemandRecord(_vm(0, place), Incarnation(1), 1, _entries(customers)), copies=0)
    for zone in range(1, zones):
        for place in range(daemons_per_zone):
            put(summaries, _summary(zone, place, services), copies=0)
    for number in range(customers):
        contract = contract_of(number)
        put(contracts, ContractRecord(contract.customer, contract.version, contract), copies=0)
    return state


def _entries(customers: int) -> tuple[DemandEntry, ...]:
    return tuple(DemandEntry(RateId(number), number % 50) for number in range(customers // 5))


def _summary(zone: int, place: int, services: int) -> ServiceSummary:
    target = _target(zone, place, services)
    contact = SummaryContact(_vm(zone, place), target)
    zone_name = ZoneName(f"zone-{zone:02d}")
    return ServiceSummary(zone_name, target.service, 1, _vm(zone, 0), 1, 120, (contact,))
