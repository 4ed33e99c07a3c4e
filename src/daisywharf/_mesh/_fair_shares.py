"""Keep the demand of teams as one daemon knows it, and order their requests by it.

Load pattern: see `_overload/_fair_order.py`. The demand of the fleet is used where it is known.
Without it (no reports from other daemons) the own demand takes its place.
"""

import math
from collections.abc import Callable
from typing import Final

from daisywharf._configuration import Team
from daisywharf._contract import Importance
from daisywharf._ids import TeamName, ZoneName
from daisywharf._mesh._counts import MAX_SERIES, OTHER
from daisywharf._overload._fair_order import FairOrder, band_demand, fair_rate, fair_sub_order
from daisywharf._signals._metrics import Metric, Sample, counter

# The order is computed anew after this time, about as often as demands are reported.
REFRESH_PERIOD_S: Final = 0.5
# Time constant of the own demand.
DEMAND_DECAY_S: Final = 3.0
# Decayed counts below this are forgotten, so that teams that send nothing take no memory.
MIN_COUNT: Final = 0.001
# Demand below this, in requests per second, counts as none: the fleet's decays without reaching 0,
# and many teams that have ceased to send would lower the mean demand.
MIN_DEMAND_PER_S: Final = 0.001


class FairShares:
    """Hold a daemon's demand table and the order that follows from it.

    `fleet_demand` returns the fleet's demand by team in requests per second, or an empty dict if it
    isn't known. Counts are decayed numbers of requests that passed all checks before shedding, and
    `counted_s` is the time in which they were counted, decayed alike.
    """

    def __init__(self, *, fleet_demand: Callable[[], dict[TeamName, float]], now: float) -> None:
        self.fleet_demand = fleet_demand
        self.team_by_name: dict[TeamName, Team] = {}
        self.count_by_team: dict[TeamName, float] = {}
        self.route_counts: dict[Importance | None, dict[Importance, float]] = {}
        self.counted_s = 0.0
        self.decayed_at = now
        self.refreshed_at = float("-inf")
        self.order = FairOrder({}, importance_by_team={}, route_demand={})
        self.shed_by_team: dict[str, int] = {}

    def put_in_force(self, teams: tuple[Team, ...] | None) -> None:
        """Use the importances and quotas of these teams from the next request on."""
        self.team_by_name = {team.name: team for team in teams or ()}
        self.refreshed_at = float("-inf")


def order_request(
    shares: FairShares, team: Team, route_importance: Importance, sub_order: int, *, now: float
) -> int:
    """Count a request of a team and return its place in the fair order."""
    shares.count_by_team[team.name] = shares.count_by_team.get(team.name, 0.0) + 1.0
    counts = shares.route_counts.setdefault(team.importance, {})
    counts[route_importance] = counts.get(route_importance, 0.0) + 1.0
    if now - shares.refreshed_at >= REFRESH_PERIOD_S:
        refresh(shares, now=now)
    return fair_sub_order(
        shares.order,
        team.name,
        team_importance=team.importance,
        route_importance=route_importance,
        sub_order=sub_order,
    )


def refresh(shares: FairShares, *, now: float) -> None:
    """Decay the own demand, and compute the order anew from the fleet's or else the own demand."""
    shares.refreshed_at = now
    _decay(shares, now=now)
    demand_by_team = shares.fleet_demand() or own_demand(shares, now=now)
    shares.order = FairOrder(
        {
            name: _within_quota(shares.team_by_name[name], demand)
            for name, demand in demand_by_team.items()
            if name in shares.team_by_name and demand >= MIN_DEMAND_PER_S
        },
        importance_by_team={name: team.importance for name, team in shares.team_by_name.items()},
        route_demand=shares.route_counts,
    )


def own_demand(shares: FairShares, *, now: float) -> dict[TeamName, float]:
    """Return the demand by team at this daemon, in requests per second."""
    counted_s = shares.counted_s + now - shares.decayed_at
    if counted_s <= 0.0:
        return dict(shares.count_by_team)
    return {name: count / counted_s for name, count in shares.count_by_team.items()}


def share_of(
    shares: FairShares, team: Team, route_importance: Importance, *, level: float
) -> tuple[float, float]:
    """Return a team's demand and the rate up to which a level admits each team of its importance.

    Both are in requests per second, on routes of one importance.
    """
    demand = band_demand(
        shares.order,
        team.name,
        team_importance=team.importance,
        route_importance=route_importance,
    )
    rate = fair_rate(
        shares.order,
        team_importance=team.importance,
        route_importance=route_importance,
        level=level,
    )
    return demand, rate


def record_shed(shares: FairShares, team: Team) -> None:
    """Count a request that was shed; teams beyond MAX_SERIES count as OTHER."""
    name: str = team.name
    if name not in shares.shed_by_team and len(shares.shed_by_team) >= MAX_SERIES:
        name = OTHER
    shares.shed_by_team[name] = shares.shed_by_team.get(name, 0) + 1


def fair_share_metrics(shares: FairShares, *, zone: ZoneName) -> list[Metric]:
    """Return the number of shed requests by team; it has no samples if no team is configured."""
    samples = [
        Sample(count, {"team": team, "zone": zone})
        for team, count in sorted(shares.shed_by_team.items())
    ]
    return [
        counter(
            "daisywharf_team_shed_total",
            "Requests of a team that were refused for load at this entry.",
            *samples,
        )
    ]


def _within_quota(team: Team, demand: float) -> float:
    """Limit a demand to the team's quota: what exceeds it is refused before shedding."""
    return min(demand, team.rate_per_s) if team.rate_per_s > 0.0 else demand


def _decay(shares: FairShares, *, now: float) -> None:
    elapsed_s = now - shares.decayed_at
    factor = math.exp(-elapsed_s / DEMAND_DECAY_S)
    shares.counted_s = (shares.counted_s + elapsed_s) * factor
    shares.decayed_at = now
    shares.count_by_team = {
        name: count * factor
        for name, count in shares.count_by_team.items()
        if count * factor >= MIN_COUNT
    }
    for counts in shares.route_counts.values():
        for importance in counts:
            counts[importance] *= factor
