"""Replay a load of many teams on two services through the real decisions, without a network.

Requests enter at several daemons. `front` has room for all of them; the calls that they make to
`stock`, and the requests for `stock` itself, exceed its slots.
"""

from functools import partial
from random import Random

import msgspec

from daisywharf._configuration import RouteName, Team
from daisywharf._context import sub_order_of
from daisywharf._contract import Importance
from daisywharf._ids import CallClassName, RequestId, ServiceName, TeamName
from daisywharf._mesh._entry import (
    INNER_CALL_IMPORTANCE,
    QUEUE_WAIT_FRACTION,
)
from daisywharf._mesh._fair_shares import FairShares, order_request, own_demand
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._chain import chain_level
from daisywharf._overload._fair_order import FairOrder, RouteDemand
from daisywharf._overload._level_controller import (
    LevelController,
    is_shed,
    move_level,
    record_arrival,
)
from daisywharf._overload._queue import WaitingCall
from daisywharf._overload._slots import (
    SlotGate,
    arrive,
    expire,
    load_ratio,
    record_run_time,
    release,
)
from daisywharf._virtual._loop import VirtualLoop, call_later, run_until

FRONT = ServiceName("front")
STOCK = ServiceName("stock")
ENTRIES = 6
GATES = {FRONT: 6, STOCK: 4}
SLOTS = {FRONT: 20, STOCK: 11}
WORK_S = {FRONT: 0.03, STOCK: 0.08}
TICK_PERIOD_S = 0.05
# The level at which nothing is refused: no request is less important than NORMAL.
CEILING = float(Importance.NORMAL + 1)
LEVEL_DELAY_S = 0.05
REPORT_PERIOD_S = 0.5
MAX_GATES = 3
TIMEOUT_S = 3.0
AIM_S = 1.0
# Requests that arrive before this aren't counted: the levels are still moving to the load.
WARM_UP_S = 5.0


class Kind(msgspec.Struct, frozen=True):
    """Describe the requests on one route: `stock_calls` are made one after another by `front`.

    Requests without such calls go to `stock` themselves.
    """

    route: RouteName
    importance: Importance
    stock_calls: int
    weight: float


KINDS = (
    Kind(RouteName("browse"), Importance.NORMAL, 2, 0.5),
    Kind(RouteName("check"), Importance.NORMAL, 0, 0.3),
    Kind(RouteName("order"), Importance.HIGH, 1, 0.2),
)
# The same routes, all of one importance.
EQUAL_KINDS = tuple(msgspec.structs.replace(kind, importance=Importance.NORMAL) for kind in KINDS)
STOCK_CALLS_PER_REQUEST = sum(kind.weight * max(1, kind.stock_calls) for kind in KINDS)
CAPACITY_PER_S = GATES[STOCK] * 10 / WORK_S[STOCK] / STOCK_CALLS_PER_REQUEST


class Ends(msgspec.Struct):
    """Count requests, and those that were answered completely."""

    offered: int = 0
    whole: int = 0

    @property
    def share(self) -> float:
        """Return the served share."""
        return self.whole / max(1, self.offered)


def build_teams(count: int = 86, *, importance: Importance | None = None) -> list[Team]:
    """Build teams, the largest first."""
    return [Team(TeamName(f"team-{rank}"), (), importance) for rank in range(1, count + 1)]


def demand_by_rank(teams: list[Team], *, per_s: float) -> dict[TeamName, float]:
    """Divide a demand among teams in inverse proportion to their rank."""
    weights = [1.0 / rank for rank in range(1, len(teams) + 1)]
    return {
        team.name: per_s * weight / sum(weights)
        for team, weight in zip(teams, weights, strict=True)
    }


def build_order(
    demand_by_team: dict[TeamName, float],
    *,
    importance: Importance | None = Importance.NORMAL,
    route_demand: RouteDemand | None = None,
) -> FairOrder:
    """Build an order of teams of one importance, by default with requests on NORMAL routes only."""
    return FairOrder(
        demand_by_team,
        importance_by_team=dict.fromkeys(demand_by_team, importance),
        route_demand=route_demand or {importance: {Importance.NORMAL: 1.0}},
    )


class Request:
    """Hold a request on its way through the services."""

    def __init__(self, number: int, team: Team, kind: Kind, *, now: float) -> None:
        self.number = number
        self.team = team
        self.kind = kind
        self.sub_order = sub_order_of(RequestId(str(number)))
        self.hash = self.sub_order
        self.arrived_at = now
        self.calls_left = kind.stock_calls


class Gate:
    """Hold one target's slots and its level."""

    def __init__(self, service: ServiceName, number: int) -> None:
        self.service = service
        self.name = f"{service}-{number}"
        self.slots = SlotGate(slots=SLOTS[service])
        self.level_controller = LevelController(now=0.0)


class PlacedCall(msgspec.Struct):
    """Hold a call at a gate, and the gates that it has tried."""

    request: Request
    service: ServiceName
    is_inner: bool
    tried: list[str]


class FairReplay:
    """Replay a demand by team. Without `is_fair` requests are ordered by the hash of their id.

    With `has_reports` each entry knows the demand of all, half a second late; otherwise its own.
    """

    def __init__(
        self,
        teams: list[Team],
        demand_by_team: dict[TeamName, float],
        *,
        kinds: tuple[Kind, ...] = KINDS,
        is_fair: bool = True,
        has_reports: bool = True,
        seed: int = 1,
    ) -> None:
        self.loop = VirtualLoop()
        self.kinds = kinds
        self.is_fair = is_fair
        self.ends_at = WARM_UP_S
        self.rng = Random(seed)
        self.demand_by_team = demand_by_team
        self.gates_by_service = {
            service: [Gate(service, number) for number in range(count)]
            for service, count in GATES.items()
        }
        self.level_by_service: dict[ServiceName, float] = {}
        self.fleet_table: dict[TeamName, float] = {}
        self.entries = [
            FairShares(fleet_demand=lambda: self.fleet_table, now=0.0) for _ in range(ENTRIES)
        ]
        for entry in self.entries:
            entry.put_in_force(tuple(teams))
        self.ends_by_team = {team.name: Ends() for team in teams}
        self.ends_by_route = {kind.route: Ends() for kind in kinds}
        self.thrown_away = 0
        self._last_number = 0
        self._call_by_id: dict[CallId, PlacedCall] = {}
        for team in teams:
            # Arrivals of a team are the same in all runs of a seed, whatever other teams do.
            self._schedule(team, Random(f"{seed} {team.name}"))
        call_later(self.loop, TICK_PERIOD_S, self._tick)
        if has_reports:
            call_later(self.loop, REPORT_PERIOD_S, self._report)

    def run(self, *, lasts_s: float) -> None:
        """Replay arrivals for `lasts_s` seconds after the warm-up, and let their requests end."""
        self.ends_at = WARM_UP_S + lasts_s
        run_until(self.loop, self.ends_at + TIMEOUT_S)

    def _report(self) -> None:
        totals: dict[TeamName, float] = {}
        for entry in self.entries:
            for team, demand in own_demand(entry, now=self.loop.now).items():
                totals[team] = totals.get(team, 0.0) + demand
        call_later(self.loop, REPORT_PERIOD_S, lambda: setattr(self, "fleet_table", totals))
        call_later(self.loop, REPORT_PERIOD_S, self._report)

    def _tick(self) -> None:
        now = self.loop.now
        levels = {}
        for service, gates in self.gates_by_service.items():
            for gate in gates:
                self._apply(gate, expire(gate.slots, now=now))
                load = load_ratio(gate.slots)
                move_level(
                    gate.level_controller, load=load, ceiling=CEILING, entries=ENTRIES, now=now
                )
            levels[service] = sum(gate.level_controller.level for gate in gates) / len(gates)
        call_later(self.loop, LEVEL_DELAY_S, lambda: setattr(self, "level_by_service", levels))
        call_later(self.loop, TICK_PERIOD_S, self._tick)

    def _schedule(self, team: Team, rng: Random) -> None:
        delay_s = rng.expovariate(self.demand_by_team[team.name])
        call_later(self.loop, delay_s, lambda: self._enter(team, rng))

    def _enter(self, team: Team, rng: Random) -> None:
        now = self.loop.now
        if now > self.ends_at:
            return
        self._schedule(team, rng)
        (kind,) = rng.choices(self.kinds, [kind.weight for kind in self.kinds])
        self._last_number += 1
        request = Request(self._last_number, team, kind, now=now)
        if self._is_counted(request):
            self.ends_by_team[team.name].offered += 1
            self.ends_by_route[kind.route].offered += 1
        entry = rng.choice(self.entries)
        fair = order_request(entry, team, kind.importance, request.sub_order, now=now)
        if self.is_fair:
            request.sub_order = fair
        visits = {FRONT: 1.0, STOCK: float(kind.stock_calls)} if kind.stock_calls else {STOCK: 1.0}
        strictest = chain_level(visits, self.level_by_service)
        if is_shed(self._importance(request), request.sub_order, level=strictest.level):
            return
        service = FRONT if kind.stock_calls else STOCK
        self._send(PlacedCall(request, service, is_inner=False, tried=[]))

    @staticmethod
    def _importance(request: Request) -> Importance:
        importance = request.team.importance
        return request.kind.importance if importance is None else importance

    @staticmethod
    def _is_counted(request: Request) -> bool:
        return request.arrived_at > WARM_UP_S

    def _send(self, call: PlacedCall) -> None:
        now = self.loop.now
        request = call.request
        gates = [g for g in self.gates_by_service[call.service] if g.name not in call.tried]
        if not gates or len(call.tried) >= MAX_GATES:
            self.thrown_away += self._is_counted(request)
            return
        gate = min(self.rng.sample(gates, min(2, len(gates))), key=lambda g: load_ratio(g.slots))
        call.tried.append(gate.name)
        self._last_number += 1
        call_id = CallId(RequestId(str(self._last_number)), 0)
        self._call_by_id[call_id] = call
        time_left_s = request.arrived_at + TIMEOUT_S - now
        wait_s = (
            time_left_s
            if call.is_inner
            else AIM_S * QUEUE_WAIT_FRACTION - (now - request.arrived_at)
        )
        importance = INNER_CALL_IMPORTANCE if call.is_inner else self._importance(request)
        waiting = WaitingCall(
            call_id,
            CallClassName(request.kind.route),
            importance,
            request.hash if call.is_inner else request.sub_order,
            0,
            now + wait_s,
            now,
            has_team=self.is_fair and not call.is_inner,
        )
        record_arrival(gate.level_controller)
        self._apply(gate, arrive(gate.slots, waiting, now=now))

    def _apply(self, gate: Gate, actions: list[AdmissionAction]) -> None:
        for action in actions:
            if isinstance(action, Admit):
                work_s = self.rng.gammavariate(4.0, WORK_S[gate.service] / 4.0)
                record_run_time(gate.slots, work_s)
                call_later(self.loop, work_s, partial(self._end, gate, action.call_id))
            elif isinstance(action, Refuse):
                call = self._call_by_id.pop(action.call_id)
                call_later(self.loop, 0.001, partial(self._send, call))

    def _end(self, gate: Gate, call_id: CallId) -> None:
        call = self._call_by_id.pop(call_id)
        self._apply(gate, release(gate.slots, call_id, now=self.loop.now))
        request = call.request
        if request.calls_left:
            request.calls_left -= 1
            self._send(PlacedCall(request, STOCK, is_inner=True, tried=[]))
        elif self._is_counted(request) and self.loop.now < request.arrived_at + TIMEOUT_S:
            self.ends_by_team[request.team.name].whole += 1
            self.ends_by_route[request.kind.route].whole += 1


def total_share(replay: FairReplay, *, without: TeamName | None = None) -> float:
    """Return the served share of the requests of all teams but one."""
    ends = [ends for team, ends in replay.ends_by_team.items() if team != without]
    return sum(e.whole for e in ends) / sum(e.offered for e in ends)


def worst_tenth_share(replay: FairReplay) -> float:
    """Return the mean served share of the tenth of teams that were served worst."""
    shares = sorted(ends.share for ends in replay.ends_by_team.values())
    worst = shares[: max(1, len(shares) // 10)]
    return sum(worst) / len(worst)
