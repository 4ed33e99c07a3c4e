"""Many daemons' real fleet state on one virtual clock, with delays, message loss and faults."""

import heapq
from collections.abc import Callable
from random import Random

from benchmarks._fleet_platform import StandInPlatform
from daisywharf._codec import encode
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._actions import FleetAction, SendTo
from daisywharf._fleet._messages import FleetMessage, Member
from daisywharf._fleet._model import FleetState
from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._topology import Address, Target

TICK_PERIOD_S = 0.1
DELAY_IN_ZONE_S = 0.0003
DELAY_BETWEEN_ZONES_S = 0.0015
DELAY_SPREAD_RATIO = 0.5
START_SPREAD_S = 1.0
RENEWAL_PERIOD_S = 2.0
SEEDS_PER_ZONE = 2
STALL_MIN_S = 0.2
STALL_MAX_S = 2.0
SLOTS_BY_SERVICE = {"catalogue": 140, "orders": 200, "drawings": 270, "stock": 40}


class Node:
    """Hold one VM: its daemon's state (None while stopped) and its counts."""

    def __init__(self, *, vm: VmId, zone: ZoneName, address: Address, rng: Random) -> None:
        self.vm = vm
        self.zone = zone
        self.address = address
        self.rng = rng
        self.generation = 0
        self.state: FleetState | None = None
        self.known_incarnation = Incarnation(0)
        self.started_at = 0.0
        self.stalled_until = 0.0
        self.sent_bytes = 0
        self.false_deaths = 0
        self.target: Target | None = None


class World:
    """Simulate the clock, the network and the nodes."""

    def __init__(
        self, *, daemons: int, zones: int, seed: int, loss: float, stalls_per_minute: float = 0.5
    ) -> None:
        self.rng = Random(seed)
        self.loss = loss
        self.stalls_per_s = stalls_per_minute / 60.0
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self.cut_zones: set[ZoneName] = set()
        self.platform_cut_zones: set[ZoneName] = set()
        self.platform = StandInPlatform(self.schedule)
        self.zones = [ZoneName(f"zone-{number}") for number in range(zones)]
        self.nodes = [self._build_node(number) for number in range(daemons)]
        self.node_by_address = {node.address: node for node in self.nodes}
        self.seeds = [node.address for node in self.nodes[: SEEDS_PER_ZONE * zones]]
        self._last_encoded: tuple[FleetMessage | None, int] = (None, 0)

    def _build_node(self, number: int) -> Node:
        zone = self.zones[number % len(self.zones)]
        vm = VmId(f"vm-{number}")
        address = Address(f"10.{number % len(self.zones)}.{number // 250}.{number % 250}", 7400)
        return Node(vm=vm, zone=zone, address=address, rng=Random(self.rng.random()))

    def schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, event))

    def run_until(self, end: float) -> None:
        """Run all events up to and including a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def start_all(self) -> None:
        """Start every daemon at a random time within `START_SPREAD_S`."""
        for node in self.nodes:
            self.start(node, delay_s=node.rng.random() * START_SPREAD_S)

    def start(self, node: Node, *, delay_s: float) -> None:
        """Start a daemon with empty state after a delay; the one that runs ends at once."""
        node.generation += 1
        node.state = None
        generation = node.generation
        self.schedule(delay_s, lambda: self._begin(node, generation))

    def _begin(self, node: Node, generation: int) -> None:
        if node.generation != generation:
            return
        incarnation = Incarnation(int(self.now * 1000) + 1)
        me = Member(node.vm, node.zone, incarnation, node.address)
        node.state = FleetState(me=me, seeds=self.seeds, zones=self.zones)
        node.known_incarnation = incarnation
        node.started_at = self.now
        node.target = self._build_target(node, incarnation)
        self._tick(node, generation)
        self._renew(node, generation)

    def _build_target(self, node: Node, incarnation: Incarnation) -> Target:
        services = list(SLOTS_BY_SERVICE)
        service = services[int(node.vm.split("-")[1]) // len(self.zones) % len(services)]
        return Target(
            target_id=TargetId(f"{service}-{node.vm}"),
            service=ServiceName(service),
            vm=node.vm,
            zone=node.zone,
            incarnation=incarnation,
            address=Address(node.address.host, 8080),
            slots=SLOTS_BY_SERVICE[service],
            connections=900,
        )

    def _renew(self, node: Node, generation: int) -> None:
        if node.generation != generation or node.state is None or node.target is None:
            return
        self.act(node, fleet.announce(node.state, node.target, now=self.now))
        self.schedule(RENEWAL_PERIOD_S, lambda: self._renew(node, generation))

    def _tick(self, node: Node, generation: int) -> None:
        if node.generation != generation or node.state is None:
            return
        if node.rng.random() < self.stalls_per_s * TICK_PERIOD_S:
            stall_s = node.rng.uniform(STALL_MIN_S, STALL_MAX_S)
            node.stalled_until = self.now + stall_s
            self.schedule(stall_s, lambda: self._tick(node, generation))
            return
        self.act(node, fleet.tick(node.state, now=self.now, rng=node.rng))
        if node.state.me.incarnation != node.known_incarnation:
            node.known_incarnation = node.state.me.incarnation
            node.false_deaths += 1
        self.schedule(TICK_PERIOD_S, lambda: self._tick(node, generation))

    def act(self, node: Node, actions: list[FleetAction]) -> None:
        """Perform a daemon's actions."""
        for action in actions:
            if isinstance(action, SendTo):
                self._send(node, action)
            else:
                self._call_platform(node, action)

    def _call_platform(self, node: Node, action: FleetAction) -> None:
        assert not isinstance(action, SendTo)
        generation = node.generation

        def answer(result: fleet.PlatformResult) -> None:
            if node.generation != generation or node.state is None:
                return
            if node.zone in self.platform_cut_zones:
                return
            actions = fleet.handle_platform_result(node.state, result, now=self.now, rng=node.rng)
            self.act(node, actions)

        is_reachable = node.zone not in self.platform_cut_zones
        self.platform.call(action, answer, is_reachable=is_reachable)

    def _send(self, node: Node, action: SendTo) -> None:
        node.sent_bytes += self._size_of(action.message)
        receiver = self.node_by_address.get(action.address)
        if receiver is None or self.rng.random() < self.loss:
            return
        if not self.can_reach(node, receiver):
            return
        base_s = DELAY_IN_ZONE_S if node.zone == receiver.zone else DELAY_BETWEEN_ZONES_S
        delay_s = base_s * (1.0 + DELAY_SPREAD_RATIO * self.rng.random())
        generation = receiver.generation
        self.schedule(delay_s, lambda: self._deliver(receiver, action.message, generation))

    def can_reach(self, sender: Node, receiver: Node) -> bool:
        """Return whether no zone cut separates two nodes."""
        if sender.zone == receiver.zone:
            return True
        return sender.zone not in self.cut_zones and receiver.zone not in self.cut_zones

    def _size_of(self, message: FleetMessage) -> int:
        """Return a message's encoded size in bytes; one message often goes to many nodes."""
        known, size = self._last_encoded
        if known is not message:
            size = len(encode(message))
            self._last_encoded = (message, size)
        return size

    def _deliver(self, node: Node, message: FleetMessage, generation: int) -> None:
        if node.state is None or node.generation != generation:
            return
        if node.stalled_until > self.now:
            delay_s = node.stalled_until - self.now
            self.schedule(delay_s, lambda: self._deliver(node, message, generation))
            return
        self.act(node, fleet.receive(node.state, message, now=self.now, rng=node.rng))
