"""Simulate many daemons on a virtual clock, and measure how the fleet behaves.

Run as `python -m benchmarks fleet --daemons N --zones Z --seed S --loss P --fault F --json`.
"""

import argparse
import json
from collections.abc import Callable
from enum import Enum

import msgspec

from benchmarks._fleet_measures import (
    CUSTOMER_COUNT,
    Measures,
    contract_of,
    quantile,
    running,
)
from benchmarks._fleet_world import World
from daisywharf._fleet import _state as fleet
from daisywharf._ids import CustomerId

WARM_UP_S = 20.0
FAULT_BEGINS_AT_S = 25.0
FAULT_ENDS_AT_S = 50.0
DEMAND_MOVES_AT_S = 30.0
RUN_ENDS_AT_S = 70.0
MOVE_BEFORE_CUT_S = 1.0
MOVE_AFTER_CUT_S = 5.0
POLL_S = 0.05
EDIT_PERIOD_S = 3.0
DRAIN_PERIOD_S = 4.0
MIN_UPTIME_FOR_DRAIN_S = 10.0
SHARE_PERIOD_S = 0.5
S_PER_HOUR = 3600.0


class Fault(Enum):
    """Fault that lasts from `FAULT_BEGINS_AT_S` to `FAULT_ENDS_AT_S`."""

    NONE = "none"
    PLATFORM_DOWN = "platform-down"
    ZONE_CUT = "zone-cut"
    ZONE_REPLACED = "zone-replaced"
    ALL_RESTART = "all-restart"


class Figures(msgspec.Struct, frozen=True):
    """Figures of one run; times in seconds, rates per second."""

    daemons: int
    zones: int
    seed: int
    loss: float
    fault: str
    config_in_force_seconds: dict[str, float]
    edits_not_in_force: int
    reverts: int
    platform_reads_per_second: float
    platform_reads_per_second_max: float
    platform_writes_per_second: float
    bytes_per_second_per_daemon: float
    bytes_per_second_max: float
    new_work_after_drain_seconds: float
    new_work_after_drain_seconds_p99: float
    drains_not_known: int
    false_deaths_per_hour: float
    share_overshoot_ratio: float
    share_unused_ratio: float
    share_followed_seconds: float | None
    rejoin_seconds: float
    not_rejoined: int


class FleetRun:
    """One run of the benchmark: its load, edits, drains and fault."""

    def __init__(self, world: World, fault: Fault) -> None:
        self.world = world
        self.fault = fault
        self.measures = Measures(world)
        self.reads_after_warm_up = 0
        self.writes_after_warm_up = 0
        self.bytes_after_warm_up: dict[str, int] = {}
        self.reads_a_second_ago = 0
        self.max_reads_per_s = 0
        self.edit_count = 0

    def run(self) -> None:
        """Run the whole schedule, up to `RUN_ENDS_AT_S`."""
        for number in range(CUSTOMER_COUNT):
            self.world.platform.write(contract_of(number))
        self.world.start_all()
        self._every(POLL_S, self.measures.poll, after_s=WARM_UP_S)
        self._every(SHARE_PERIOD_S, self._sample)
        self._every(1.0, lambda: self.measures.enter_demand(period_s=1.0))
        self._every(1.0, self._count_reads)
        self._every(EDIT_PERIOD_S, self._edit, after_s=WARM_UP_S)
        self._every(DRAIN_PERIOD_S, self._drain, after_s=WARM_UP_S)
        self.world.schedule(WARM_UP_S, self._record_warm_up)
        self.world.schedule(FAULT_BEGINS_AT_S, self._begin_fault)
        self.world.schedule(DEMAND_MOVES_AT_S, self._move_demand)
        self.world.schedule(FAULT_ENDS_AT_S, self._end_fault)
        self.world.run_until(RUN_ENDS_AT_S)

    def _every(self, period_s: float, event: Callable[[], None], *, after_s: float = 0.0) -> None:
        def again() -> None:
            event()
            self.world.schedule(period_s, again)

        self.world.schedule(after_s + period_s, again)

    def _sample(self) -> None:
        self.measures.sample_shares(is_counted=self.world.now >= WARM_UP_S)
        self.measures.check_reverts()

    def _record_warm_up(self) -> None:
        self.reads_after_warm_up = self.world.platform.reads
        self.writes_after_warm_up = self.world.platform.writes
        self.bytes_after_warm_up = {node.vm: node.sent_bytes for node in self.world.nodes}

    def _count_reads(self) -> None:
        reads = self.world.platform.reads
        self.max_reads_per_s = max(self.max_reads_per_s, reads - self.reads_a_second_ago)
        self.reads_a_second_ago = reads

    def _edit(self) -> None:
        if self.world.platform.is_down or self.world.now > RUN_ENDS_AT_S - 2 * EDIT_PERIOD_S:
            return
        self.edit_count += 1
        number = self.edit_count % CUSTOMER_COUNT
        if self.edit_count % 5 == 0:
            customer = CustomerId(f"customer-{number}")
            self.world.platform.delete(customer)
        version = self.world.platform.write(contract_of(number))
        self.measures.track_edit(CustomerId(f"customer-{number}"), version)

    def _drain(self) -> None:
        if self.world.now > RUN_ENDS_AT_S - DRAIN_PERIOD_S:
            return
        now = self.world.now
        nodes = [
            (node, state)
            for node, state in running(self.world.nodes)
            if now - node.started_at >= MIN_UPTIME_FOR_DRAIN_S
        ]
        if not nodes:
            return
        receiver, state = self.world.rng.choice(nodes)
        in_zone = [node for node, _ in nodes if node.zone == receiver.zone and node.target]
        target = self.world.rng.choice(in_zone).target
        assert target is not None
        actions = fleet.request_drain(state, target.target_id, now=self.world.now)
        self.world.act(receiver, actions)
        self.measures.track_drain(target.target_id, target.service, receiver.zone)

    def _move_demand(self) -> None:
        self.measures.hot_zone = 1 % len(self.world.zones)
        self.measures.moved_at = self.world.now

    def _move_demand_to(self, zone: int) -> None:
        self.measures.hot_zone = zone

    def _begin_fault(self) -> None:
        world = self.world
        last_zone = world.zones[-1]
        if self.fault in (Fault.PLATFORM_DOWN, Fault.ZONE_REPLACED):
            world.platform.set_down(True)
        if self.fault is Fault.ZONE_CUT:
            world.platform_cut_zones.add(last_zone)
            cut_after_s = (FAULT_ENDS_AT_S - FAULT_BEGINS_AT_S) / 2
            world.schedule(cut_after_s, lambda: world.cut_zones.add(last_zone))
            # Demand moves into the zone just before the cut, and away from it during the cut.
            last = len(world.zones) - 1
            world.schedule(cut_after_s - MOVE_BEFORE_CUT_S, lambda: self._move_demand_to(last))
            world.schedule(cut_after_s + MOVE_AFTER_CUT_S, lambda: self._move_demand_to(0))
        for node in world.nodes:
            is_replaced = self.fault is Fault.ZONE_REPLACED and node.zone == last_zone
            if is_replaced or self.fault is Fault.ALL_RESTART:
                world.start(node, delay_s=node.rng.random())
                self.measures.rejoining[node.vm] = world.now

    def _end_fault(self) -> None:
        self.world.platform.set_down(False)
        self.world.platform_cut_zones.clear()
        self.world.cut_zones.clear()
        if self.fault is Fault.ZONE_CUT:
            self.measures.restart_edit_clocks(self.world.zones[-1])

    def figures(self, *, seed: int) -> Figures:
        """Return the figures of a finished run."""
        world, measures = self.world, self.measures
        elapsed_s = RUN_ENDS_AT_S - WARM_UP_S
        rates = [
            (node.sent_bytes - self.bytes_after_warm_up[node.vm]) / elapsed_s
            for node in world.nodes
        ]
        deaths = sum(node.false_deaths for node in world.nodes)
        in_force = measures.in_force_s
        return Figures(
            daemons=len(world.nodes),
            zones=len(world.zones),
            seed=seed,
            loss=world.loss,
            fault=self.fault.value,
            config_in_force_seconds={
                "p50": round(quantile(in_force, 0.5), 3),
                "p99": round(quantile(in_force, 0.99), 3),
                "max": round(max(in_force, default=0.0), 3),
            },
            edits_not_in_force=len(measures.edits),
            reverts=measures.reverts,
            platform_reads_per_second=(world.platform.reads - self.reads_after_warm_up) / elapsed_s,
            platform_reads_per_second_max=self.max_reads_per_s,
            platform_writes_per_second=(world.platform.writes - self.writes_after_warm_up)
            / elapsed_s,
            bytes_per_second_per_daemon=round(sum(rates) / len(rates), 1),
            bytes_per_second_max=round(max(rates), 1),
            new_work_after_drain_seconds=round(max(measures.drains_s, default=0.0), 3),
            new_work_after_drain_seconds_p99=round(quantile(measures.drains_s, 0.99), 3),
            drains_not_known=len(measures.drains),
            false_deaths_per_hour=deaths * S_PER_HOUR / RUN_ENDS_AT_S,
            share_overshoot_ratio=round(measures.overshoot, 4),
            share_unused_ratio=round(sum(measures.unused) / len(measures.unused), 4),
            share_followed_seconds=measures.followed_s,
            rejoin_seconds=round(max(measures.rejoins_s, default=0.0), 3),
            not_rejoined=len(measures.rejoining),
        )


def run_fleet(*, daemons: int, zones: int, seed: int, loss: float, fault: Fault) -> Figures:
    """Run the benchmark once."""
    world = World(daemons=daemons, zones=zones, seed=seed, loss=loss)
    run = FleetRun(world, fault)
    run.run()
    return run.figures(seed=seed)


def main(arguments: list[str]) -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks fleet")
    parser.add_argument("--daemons", type=int, default=45)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--fault", type=Fault, default=Fault.NONE)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    figures = run_fleet(
        daemons=options.daemons,
        zones=options.zones,
        seed=options.seed,
        loss=options.loss,
        fault=options.fault,
    )
    values = msgspec.to_builtins(figures)
    if options.json:
        print(json.dumps(values))
    else:
        for name, value in values.items():
            print(f"{name}: {value}")
    return 0
