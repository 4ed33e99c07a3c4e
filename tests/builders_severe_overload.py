"""Build replays of severe overload: rejecting targets, waves of demand, clients that come back."""

import asyncio
import functools

from builders_mesh import NOWHERE, announcement, configuration, daemon_at_rest, route
from daisywharf._configuration import RouteName, SplitPart
from daisywharf._contract import Importance
from daisywharf._experiments._surge import Outcome, Rejecting, Stream, Surge
from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._frames import Call, GateLoad, OnCallResult
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._http_server import Exchange
from daisywharf._mesh._memory_budget import MemoryBudget
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._chain import record_rows
from daisywharf._overload._run_times import MIN_RUNS, record_run
from daisywharf._routing._placement import set_target
from daisywharf._topology import Target
from daisywharf.platform._headers import PlatformDialect

# A deep service of 81 slots, which serve 3,450 calls of 22 ms per second, at 0.77 of its capacity.
BROWSE = Stream(Importance.NORMAL, per_s=430.0, calls=4)
ORDERS = Stream(Importance.CRITICAL, per_s=150.0, calls=4)
CHECKS = Stream(Importance.HIGH, per_s=320.0, calls=1)
SLOTS = 81
WORK_S = 0.022
LASTS_S = 14.0
REJECTING = Rejecting(share=0.55, starts_s=2.0, ends_s=10.0)


@functools.cache
def rejecting_surge(*, follows_chance: bool, seed: int = 1) -> Surge:
    """Play a service whose targets reject 0.55 of their calls for 8 s, with or without chances."""
    surge = Surge(
        slots=SLOTS,
        work_s=WORK_S,
        follows_level=True,
        rejecting=REJECTING,
        follows_chance=follows_chance,
        seed=seed,
    )
    surge.run([BROWSE, ORDERS, CHECKS], lasts_s=LASTS_S)
    return surge


def whole_fraction(outcome: Outcome) -> float:
    """Return the served fraction of the requests of one class."""
    return outcome.whole / outcome.offered


def total(surge: Surge, field: str) -> float:
    """Return the sum of a field of `Outcome` over all classes."""
    return float(sum(getattr(o, field) for o in surge.outcome_by_importance.values()))


class FakeConnection:
    """The client's connection of an exchange that no network carries."""

    def __init__(self, daemon: MeshDaemon) -> None:
        self.server = daemon.clients

    def flush(self) -> None:
        """Send nothing: the answer stays in the exchange."""


class RecordingChannel:
    """A channel to a gate that records the calls sent there and never answers."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    def submit(self, call: Call, on_result: OnCallResult) -> object:
        """Record a call."""
        self.calls.append(call)
        return len(self.calls)

    def cancel(self, call_id: object) -> None:
        """Ignore that nobody waits for a call any more."""


def daemon_with_recording_channel(channel: RecordingChannel) -> MeshDaemon:
    """Build an entry whose route leads to one gate of `stock`, behind this channel."""
    daemon = daemon_with_gates(0.0)
    daemon.entry.put_in_force(configuration(route(aim_s=1.0)))
    daemon.entry.channel_to = lambda _vm: channel
    return daemon


def gate_with_runs(*, seconds: float, slots: int = 10) -> Gate:
    """Build a gate with a ready target, and ten runs of the route `r` that took this long."""
    gate = Gate(dialect=PlatformDialect(), now=lambda: 1.0, memory=MemoryBudget(max_bytes=1e6))
    gate.handle_announcement(announcement(NOWHERE, slots=slots))
    for _ in range(MIN_RUNS):
        record_run(gate.run_times, "r stock", seconds, now=1.0)
    return gate


def call_of(*, time_left_ms: int, max_wait_ms: int = 5_000, route_name: str = "r stock") -> Call:
    """Build a call to the target of `gate_with_runs`."""
    return Call(
        0,
        "t-1",
        "q1",
        "front",
        route_name,
        time_left_ms,
        max_wait_ms,
        Importance.HIGH,
        0,
        True,
        b"GET /r/x HTTP/1.1\r\n",
        b"",
    )


def daemon_with_gates(
    *shares: float,
    visits: float = 4.0,
    is_client_route: bool = True,
    front_occupied: int = 20,
) -> MeshDaemon:
    """Build an entry whose route leads to `front`, and `visits` times to the gates of `stock`.

    Each gate of `stock` has just announced one of the rejected shares, and the gate of `front` that
    this many of its 20 slots are occupied.
    """
    front = route(parts=(SplitPart(ServiceName("front"), 1.0),))
    daemon = daemon_at_rest()
    entry, now = daemon.entry, daemon.now()
    # The clock stands still, so that announced loads don't expire on a slow machine.
    entry.now = lambda: now
    entry.put_in_force(configuration(front))
    record_rows(entry.chain, "vm-1", (CallsBelow("front", "r", "stock", "s", visits),))
    if is_client_route:
        entry.origins.request_routes = frozenset({RouteName("r")})
    _add_gate(daemon, "front", "f-0", vm="vm-front")
    entry.record_load(
        ServiceName("front"), TargetId("f-0"), GateLoad(front_occupied, 0, 20, 3.0, None, 0.0)
    )
    for number, share in enumerate(shares):
        _add_gate(daemon, "stock", f"t-{number}", vm=f"vm-{number}")
        report_share(daemon, number, share)
    return daemon


def _add_gate(daemon: MeshDaemon, service: str, target_id: str, *, vm: str) -> None:
    """Let an entry know a gate whose daemon it has no link to."""
    target = Target(
        target_id=TargetId(target_id),
        service=ServiceName(service),
        vm=VmId(vm),
        zone=ZoneName("a"),
        incarnation=Incarnation(1),
        address=NOWHERE,
        slots=20,
        connections=20,
    )
    placement = daemon.services.placement_of(target.service)
    set_target(placement, target.vm, target, cold_s=0.0, now=daemon.entry.now())


def report_share(
    daemon: MeshDaemon, number: int, share: float, *, level: float = 3.0, age_s: float = 0.0
) -> None:
    """Record the load of a gate of `stock`, as it announced it `age_s` seconds ago."""
    load = GateLoad(0, 0, 20, level, None, share)
    daemon.entry.record_load(ServiceName("stock"), TargetId(f"t-{number}"), load, age_s=age_s)


def ask(
    daemon: MeshDaemon, *, time_left_ms: int | None = 2_000, request_id: str = "q1"
) -> Exchange:
    """Hand a client's request to an entry, in a loop; its answer is in the exchange returned.

    Without `time_left_ms` the request doesn't say how much time its client has.
    """
    connection = FakeConnection(daemon)
    exchange = Exchange(connection, arrived_at=daemon.entry.now())  # type: ignore[arg-type]
    exchange.method, exchange.request_target = b"GET", b"/r/x"
    exchange.headers = [
        (b"Host", b"shop.example"),
        (b"Attempt-Id", request_id.encode()),
    ]
    if time_left_ms is not None:
        exchange.headers.append((b"Deadline-Ms", str(time_left_ms).encode()))
    daemon.entry.handle(exchange)
    return exchange


def ask_times(
    daemon: MeshDaemon, count: int, *, time_left_ms: int | None = 2_000
) -> list[Exchange]:
    """Hand requests of a client to an entry, one after the other."""

    async def scenario() -> list[Exchange]:
        return [
            ask(daemon, time_left_ms=time_left_ms, request_id=f"q{number}")
            for number in range(count)
        ]

    return asyncio.run(scenario())


def outcomes(daemon: MeshDaemon) -> dict[str, int]:
    """Return how many requests ended at an entry, by outcome."""
    counts = daemon.entry.request_stats.count_by_labels.items()
    return {outcome: count for (_, _, outcome), count in counts}


@functools.cache
def surge_in_the_first_second(*, strict_when_unknown: bool, seed: int = 1) -> Surge:
    """Play 1.5 times the capacity from the start, with calls that are known after 1.5 s."""
    calls_per_s = 1.5 * SLOTS / WORK_S
    surge = Surge(
        slots=SLOTS,
        work_s=WORK_S,
        follows_level=True,
        chain_known_at_s=1.5,
        strict_when_unknown=strict_when_unknown,
        seed=seed,
    )
    chains = [
        Stream(Importance.NORMAL, calls_per_s * 0.9 / 4, 4),
        Stream(Importance.CRITICAL, calls_per_s * 0.1 / 4, 4),
    ]
    surge.run([*chains, Stream(Importance.NORMAL, 200.0, 0)], lasts_s=6.0)
    return surge
