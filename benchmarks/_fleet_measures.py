"""Measurements of the fleet benchmark while the world runs."""

import math
from collections.abc import Iterable

import msgspec

from benchmarks._fleet_world import Node, World
from daisywharf._contract import CallClass, Contract, Importance
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._in_force import contract_version
from daisywharf._fleet._model import FleetState
from daisywharf._ids import CallClassName, CustomerId, ServiceName, TargetId, Version, VmId

CUSTOMER_COUNT = 4
RATE_PER_S = 2_000.0
LOAD_RATIO = 1.2
HOT_ZONE_FRACTION = 0.6
MAX_FOLLOWED_UNUSED_RATIO = 0.1
BROWSE = CallClassName("browse")
ORDER = CallClassName("order")


def contract_of(number: int) -> Contract:
    """Return the contract of the customer with this number."""
    services = (ServiceName("catalogue"), ServiceName("orders"))
    classes = {
        name: CallClass(
            name=name,
            services=services,
            importance=Importance.NORMAL,
            rate_per_second=RATE_PER_S,
            burst=100.0,
            deadline_ms=2000,
            idempotent=name == BROWSE,
        )
        for name in (BROWSE, ORDER)
    }
    return Contract(CustomerId(f"customer-{number}"), classes)


class PendingEdit(msgspec.Struct):
    """Hold an accepted edit and the nodes where it isn't in force yet."""

    customer: CustomerId
    version: Version
    accepted_at: float
    missing: set[VmId]


class PendingDrain(msgspec.Struct):
    """Hold a requested drain and the nodes that would still send work to the target."""

    target_id: TargetId
    service: ServiceName
    asked_at: float
    missing: set[VmId]


class Measures:
    """Collect samples; times in seconds.

    `overshoot` is the largest sum of shares beyond 1, `unused` the fractions of the allowed demand
    that the shares did not cover, and `followed_s` the time until they followed a move of demand.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.in_force_s: list[float] = []
        self.drains_s: list[float] = []
        self.rejoins_s: list[float] = []
        self.edits: list[PendingEdit] = []
        self.drains: list[PendingDrain] = []
        self.rejoining: dict[VmId, float] = {}
        self.reverts = 0
        self.seen_versions: dict[tuple[str, int, CustomerId], Version] = {}
        self.version_everywhere: dict[CustomerId, Version] = {}
        self.overshoot = 0.0
        self.unused: list[float] = []
        self.hot_zone = 0
        self.moved_at: float | None = None
        self.followed_s: float | None = None

    def demand_at(self, node: Node) -> float:
        """Return the demand for each call class at a node, in requests a second.

        The hot zone gets `HOT_ZONE_FRACTION` of all demand; the others share the rest.
        """
        world = self.world
        number = int(node.vm.split("-")[1])
        zone = number % len(world.zones)
        zones = len(world.zones)
        rest_fraction = (1.0 - HOT_ZONE_FRACTION) / (zones - 1) if zones > 1 else 0.0
        fraction = (
            HOT_ZONE_FRACTION if zone == self.hot_zone and zones > 1 else rest_fraction or 1.0
        )
        nodes_per_zone = len(world.nodes) // zones
        weight = 1.0 + (number // zones) % 4
        return RATE_PER_S * LOAD_RATIO * fraction * weight / (nodes_per_zone * 2.5)

    def enter_demand(self, *, period_s: float) -> None:
        """Record a period's requests at every running daemon, with noise around the demand."""
        for node, state in running(self.world.nodes):
            mean = self.demand_at(node) * period_s
            for number in range(CUSTOMER_COUNT):
                for name in (BROWSE, ORDER):
                    drawn = node.rng.gauss(mean, math.sqrt(mean))
                    customer = CustomerId(f"customer-{number}")
                    requests = max(0, round(drawn))
                    fleet.record_demand(
                        state, customer, name, requests=requests, now=self.world.now
                    )

    def sample_shares(self, *, is_counted: bool) -> None:
        """Sample the overshoot and the unused part of one class's shares for each customer."""
        now = self.world.now
        nodes = list(running(self.world.nodes))
        if not nodes:
            return
        worst_unused = 0.0
        for number in range(CUSTOMER_COUNT):
            customer = CustomerId(f"customer-{number}")
            shares = [fleet.share_of(state, customer, BROWSE, now=now) for _, state in nodes]
            self.overshoot = max(self.overshoot, sum(shares) - 1.0)
            used = sum(
                min(self.demand_at(node), share * RATE_PER_S)
                for (node, _), share in zip(nodes, shares, strict=True)
            )
            allowed_demand = min(RATE_PER_S, sum(self.demand_at(node) for node, _ in nodes))
            unused = 1.0 - used / allowed_demand
            worst_unused = max(worst_unused, unused)
            if is_counted:
                self.unused.append(unused)
        if self.moved_at is None or self.followed_s is not None:
            return
        if now > self.moved_at + 1.0 and worst_unused <= MAX_FOLLOWED_UNUSED_RATIO:
            self.followed_s = now - self.moved_at

    def track_edit(self, customer: CustomerId, version: Version) -> None:
        """Begin to wait until an edit is in force at all running nodes."""
        missing = {node.vm for node, _ in running(self.world.nodes)}
        self.edits.append(PendingEdit(customer, version, self.world.now, missing))

    def track_drain(self, target_id: TargetId, service: ServiceName, zone: str) -> None:
        """Begin to wait until a drain is known to all running nodes of its zone."""
        missing = {node.vm for node, _ in running(self.world.nodes) if node.zone == zone}
        self.drains.append(PendingDrain(target_id, service, self.world.now, missing))

    def restart_edit_clocks(self, zone: str) -> None:
        """Restart the time of all pending edits, when a zone is reachable again."""
        for edit in self.edits:
            edit.accepted_at = self.world.now

    def poll(self) -> None:
        """Record the edits, drains and rejoins that are complete."""
        node_by_vm = {node.vm: node for node in self.world.nodes}
        for edit in self.edits:
            self._poll_edit(edit, node_by_vm)
        self.edits = [edit for edit in self.edits if edit.missing]
        for drain in self.drains:
            self._poll_drain(drain, node_by_vm)
        self.drains = [drain for drain in self.drains if drain.missing]
        self._poll_rejoins(node_by_vm)

    def _poll_edit(self, edit: PendingEdit, node_by_vm: dict[VmId, Node]) -> None:
        world = self.world
        for vm in list(edit.missing):
            node = node_by_vm[vm]
            if node.state is None:
                edit.missing.discard(vm)
            elif contract_version(node.state, edit.customer) >= edit.version:
                edit.missing.discard(vm)
                since = max(edit.accepted_at, node.started_at)
                self.in_force_s.append(world.now - since)
        if not edit.missing:
            known = self.version_everywhere.get(edit.customer, Version(0))
            self.version_everywhere[edit.customer] = max(known, edit.version)

    def _poll_drain(self, drain: PendingDrain, node_by_vm: dict[VmId, Node]) -> None:
        for vm in list(drain.missing):
            state = node_by_vm[vm].state
            targets = fleet.targets_of(state, drain.service) if state else []
            if all(target.target_id != drain.target_id for target in targets):
                drain.missing.discard(vm)
                if state is not None:
                    self.drains_s.append(self.world.now - drain.asked_at)

    def _poll_rejoins(self, node_by_vm: dict[VmId, Node]) -> None:
        for vm, since in list(self.rejoining.items()):
            node = node_by_vm[vm]
            if node.state is None or not fleet.is_confirmed(node.state):
                continue
            customer = CustomerId("customer-0")
            if fleet.share_of(node.state, customer, BROWSE, now=self.world.now) > 0.0:
                self.rejoins_s.append(self.world.now - since)
                del self.rejoining[vm]

    def check_reverts(self) -> None:
        """Count returns to an older version, and versions that a confirmed daemon lacks."""
        for node, state in running(self.world.nodes):
            for number in range(CUSTOMER_COUNT):
                customer = CustomerId(f"customer-{number}")
                version = contract_version(state, customer)
                key = (node.vm, node.generation, customer)
                if version < self.seen_versions.get(key, Version(0)):
                    self.reverts += 1
                self.seen_versions[key] = version
                oldest = self.version_everywhere.get(customer, Version(0))
                if fleet.is_confirmed(state) and version < oldest:
                    self.reverts += 1


def running(nodes: Iterable[Node]) -> Iterable[tuple[Node, FleetState]]:
    """Yield the nodes whose daemon runs, with its state."""
    for node in nodes:
        if node.state is not None:
            yield node, node.state


def quantile(samples: list[float], fraction: float) -> float:
    """Return the quantile at `fraction`; 0 for no samples."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
