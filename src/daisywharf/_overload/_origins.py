"""Tell the routes of targets' own calls from those of clients' requests.

Load pattern: a VM's clients and its target send to the same address, and nothing in a request says
whose it is, while only clients' requests may be refused for load and earn repeats. Clients send the
same mix on every VM; a target's calls come only from VMs of the services that make them. So a route
is one of calls when VMs of a service that sends plenty of other routes never send it.
"""

from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._ids import ServiceName

HALF_LIFE_S: Final = 6.0
# Requests that a service's VMs would have sent by their share of all, had they any part in it:
# the chance of none is below one in a thousand.
MISSED_TO_TELL: Final = 7.0


class RouteCount(msgspec.Struct, frozen=True, array_like=True):
    """Say how many requests of a route entered at one daemon since its last report."""

    route: RouteName
    requests: int


class Origins:
    """Hold, by route and by the service of the VMs where they entered, faded counts."""

    def __init__(self, *, now: float) -> None:
        self.counts_by_route: dict[RouteName, dict[ServiceName, float]] = {}
        self.called: frozenset[RouteName] = frozenset()
        self.requested: frozenset[RouteName] = frozenset()
        self.faded_at = now


def note_counts(origins: Origins, service: ServiceName, counts: tuple[RouteCount, ...]) -> None:
    """Add what entered at one daemon beside a target of `service`."""
    for count in counts:
        by_service = origins.counts_by_route.setdefault(count.route, {})
        by_service[service] = by_service.get(service, 0.0) + count.requests


def judge_routes(origins: Origins, *, now: float) -> None:
    """Fade the counts and decide anew which routes are those of calls."""
    kept_part = 0.5 ** ((now - origins.faded_at) / HALF_LIFE_S)
    origins.faded_at = now
    for by_service in origins.counts_by_route.values():
        for service in by_service:
            by_service[service] *= kept_part
    called = set(origins.called)
    senders = _client_shares(origins, called)
    for route, by_service in origins.counts_by_route.items():
        missed = _most_missed(by_service, senders)
        if missed >= MISSED_TO_TELL:
            called.add(route)
        elif _is_sent_everywhere(by_service, senders):
            called.discard(route)
    origins.called = frozenset(called)
    senders = _client_shares(origins, called)
    origins.requested = frozenset(
        route
        for route, by_service in origins.counts_by_route.items()
        if route not in called and _is_sent_everywhere(by_service, senders)
    )


def is_call(origins: Origins, route: RouteName) -> bool:
    """Tell whether a route is one of targets' own calls."""
    return route in origins.called


def is_request(origins: Origins, route: RouteName) -> bool:
    """Tell whether a route is known as one of clients' requests."""
    return route in origins.requested


def _client_shares(origins: Origins, called: set[RouteName]) -> dict[ServiceName, float]:
    """Return each service's part of the requests on routes that aren't known as calls."""
    counts: dict[ServiceName, float] = {}
    for route, by_service in origins.counts_by_route.items():
        if route not in called:
            for service, count in by_service.items():
                counts[service] = counts.get(service, 0.0) + count
    total = sum(counts.values())
    return {service: count / total for service, count in counts.items()} if total else {}


def _most_missed(by_service: dict[ServiceName, float], shares: dict[ServiceName, float]) -> float:
    """Return the most requests that a service would have sent by its share and didn't."""
    total = sum(by_service.values())
    return max(
        (total * share for service, share in shares.items() if by_service.get(service, 0.0) < 0.01),
        default=0.0,
    )


def _is_sent_everywhere(
    by_service: dict[ServiceName, float], shares: dict[ServiceName, float]
) -> bool:
    total = sum(by_service.values())
    return (
        bool(shares)
        and all(
            by_service.get(service, 0.0) > 0.01 or total * share < MISSED_TO_TELL
            for service, share in shares.items()
        )
        and total >= MISSED_TO_TELL * 2
    )
