"""Split a route's requests among its parts by weight, deterministic but for a random start."""

from random import Random

from daisywharf._configuration import Route, RouteName, SplitPart
from daisywharf._ids import ServiceName


class SplitState:
    """Hold each route's current parts, and the fraction of a request that each part is owed."""

    def __init__(self) -> None:
        self.owed_by_route: dict[RouteName, dict[ServiceName, float]] = {}
        self.parts_by_route: dict[RouteName, tuple[SplitPart, ...]] = {}


def next_part(state: SplitState, route: Route, *, rng: Random) -> ServiceName:
    """Return the service of the part that gets a route's next request.

    A part without weight gets requests only if no part has any.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    if state.parts_by_route.get(route.name) != route.parts:
        state.parts_by_route[route.name] = route.parts
        weighted = [part for part in route.parts if part.weight > 0] or route.parts
        # If all daemons began with the same part, the fleet's total split would be skewed.
        state.owed_by_route[route.name] = {part.service: rng.random() for part in weighted}
    owed = state.owed_by_route[route.name]
    total = sum(part.weight for part in route.parts)
    for part in route.parts:
        if part.service in owed:
            owed[part.service] += part.weight / total if total > 0 else 1.0 / len(route.parts)
    chosen = max(owed, key=lambda service: owed[service])
    owed[chosen] -= 1.0
    return chosen
