"""Order the requests of teams so that one threshold admits every team up to the same rate.

Load pattern: many teams share a fleet that is too small for them, and one of them asks for several
times its usual amount. Ordered by a hash alone, every team loses the same part of its requests.
Here a team loses only what exceeds the rate that all teams of its importance can have (max-min
fairness), so a hot team costs small teams nothing.
"""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from itertools import accumulate
from typing import Final

from daisywharf._context import SUB_ORDERS
from daisywharf._contract import Importance
from daisywharf._ids import TeamName

# A team counts with at least this fraction of the mean demand of the teams of its importance, also
# if it isn't in the table yet. A demand of nearly zero would let a team that starts to send at a
# high rate pass all others until its demand is known.
MIN_DEMAND_FRACTION: Final = 0.05
# Demand that stands for a group of teams none of which has any: its sub-orders are then uniform.
PLACEHOLDER_DEMAND: Final = 1.0

# Demand on routes by their importance, for each importance of the teams that make it; the key None
# stands for teams whose requests have the importance of their routes.
RouteDemand = Mapping[Importance | None, Mapping[Importance, float]]


class Band:
    """Hold the demands of teams in requests that are equal in both importances.

    `start` is the demand of the group that precedes the band, `ends` the teams' demands in
    ascending order, and `sums` the sum of the demands before each of them, and of all.
    """

    def __init__(self, demands: Sequence[float], *, start: float) -> None:
        self.start = start
        self.ends = sorted(demands)
        self.sums = list(accumulate(self.ends, initial=0.0))
        count = len(self.ends)
        self.preceding = [
            total + end * (count - index)
            for index, (end, total) in enumerate(zip(self.ends, self.sums, strict=False))
        ]

    @property
    def total(self) -> float:
        """Return the demand of all teams in the band."""
        return self.sums[-1]


class FairOrder:
    """Order requests by the demand of their teams, separately for each importance.

    `demand_by_team` is in requests per second. `importance_by_team` tells the importance of a team
    that has one; other teams' requests have the importance of their routes.
    """

    def __init__(
        self,
        demand_by_team: Mapping[TeamName, float],
        *,
        importance_by_team: Mapping[TeamName, Importance | None],
        route_demand: RouteDemand,
    ) -> None:
        demands_by_importance: dict[Importance | None, dict[TeamName, float]] = {}
        for team, demand in demand_by_team.items():
            if demand > 0.0:
                importance = importance_by_team.get(team)
                demands_by_importance.setdefault(importance, {})[team] = demand
        self.min_demand_by_importance: dict[Importance | None, float] = {}
        self.demand_by_team: dict[TeamName, float] = {}
        for importance, demands in demands_by_importance.items():
            least = MIN_DEMAND_FRACTION * sum(demands.values()) / len(demands)
            self.min_demand_by_importance[importance] = least
            for team, demand in demands.items():
                demands[team] = self.demand_by_team[team] = max(demand, least)
        self.shares_by_importance: dict[Importance | None, dict[Importance, float]] = {
            importance: _shares(route_demand.get(importance, {}))
            for importance in (None, *Importance)
        }
        self.bands_by_importance: dict[Importance, dict[Importance, Band]] = {}
        for importance in Importance:
            self.bands_by_importance[importance] = self._bands(
                importance,
                own=sorted(demands_by_importance.get(importance, {}).values()),
                without_importance=sorted(demands_by_importance.get(None, {}).values()),
                route_demand=route_demand,
            )

    def _bands(
        self,
        importance: Importance,
        *,
        own: list[float],
        without_importance: list[float],
        route_demand: RouteDemand,
    ) -> dict[Importance, Band]:
        has_requests = sum(route_demand.get(importance, {}).values()) > 0.0
        has_requests_without_importance = route_demand.get(None, {}).get(importance, 0.0) > 0.0
        shares = self.shares_by_importance[importance]
        share_without = self.shares_by_importance[None][importance]
        if not own and not (without_importance and share_without):
            if has_requests_without_importance:
                without_importance = [PLACEHOLDER_DEMAND]
            if has_requests or not has_requests_without_importance:
                own = [PLACEHOLDER_DEMAND]
        bands: dict[Importance, Band] = {}
        start = 0.0
        for route_importance in Importance:
            share = shares[route_importance]
            demands = [demand * share for demand in own] if share else []
            if route_importance is importance and share_without:
                demands += [demand * share_without for demand in without_importance]
            band = bands[route_importance] = Band(demands, start=start)
            start += band.total
        return bands


def fair_sub_order(
    order: FairOrder,
    team: TeamName,
    *,
    team_importance: Importance | None,
    route_importance: Importance,
    sub_order: int,
) -> int:
    """Return the part of the demand that precedes a request, as a number below `SUB_ORDERS`.

    `sub_order` is the hash of the request's id. It decides where in its team's demand the request
    lies, so that the request keeps its place at every attempt.
    """
    bands = order.bands_by_importance[_importance(team_importance, route_importance)]
    band = bands[route_importance]
    demand = band_demand(
        order, team, team_importance=team_importance, route_importance=route_importance
    )
    preceding = band.start + _preceding(band, (sub_order + 0.5) / SUB_ORDERS * demand)
    return min(SUB_ORDERS - 1, int(preceding / _total(bands) * SUB_ORDERS))


def band_demand(
    order: FairOrder,
    team: TeamName,
    *,
    team_importance: Importance | None,
    route_importance: Importance,
) -> float:
    """Return a team's demand on routes of one importance, in requests per second."""
    demand = order.demand_by_team.get(team)
    if demand is None:
        demand = order.min_demand_by_importance.get(team_importance, PLACEHOLDER_DEMAND)
    return demand * order.shares_by_importance[team_importance][route_importance]


def fair_rate(
    order: FairOrder,
    *,
    team_importance: Importance | None,
    route_importance: Importance,
    level: float,
) -> float:
    """Return up to which rate a level admits a team's requests on routes of one importance.

    The rate is in requests per second. A level that refuses none of them gives the largest demand
    of a team.
    """
    importance = _importance(team_importance, route_importance)
    bands = order.bands_by_importance[importance]
    band = bands[route_importance]
    preceding = min(1.0, level - importance) * _total(bands) - band.start
    if preceding <= 0.0 or not band.ends:
        return 0.0
    index = bisect_left(band.preceding, preceding)
    if index == len(band.ends):
        return band.ends[-1]
    return (preceding - band.sums[index]) / (len(band.ends) - index)


def _importance(team_importance: Importance | None, route_importance: Importance) -> Importance:
    return route_importance if team_importance is None else team_importance


def _preceding(band: Band, rate: float) -> float:
    """Return the demand in a band that is admitted where every team may have up to a rate."""
    index = bisect_left(band.ends, rate)
    return band.sums[index] + rate * (len(band.ends) - index)


def _total(bands: Mapping[Importance, Band]) -> float:
    last = bands[Importance.LOW]
    return last.start + last.total


def _shares(demand_by_importance: Mapping[Importance, float]) -> dict[Importance, float]:
    """Return the share of each importance in a demand; equal ones if there is no demand."""
    total = sum(demand_by_importance.values())
    if total <= 0.0:
        return {importance: 1.0 / len(Importance) for importance in Importance}
    return {
        importance: demand_by_importance.get(importance, 0.0) / total for importance in Importance
    }
