"""Classify routes as carrying targets' own calls or clients' requests.

Load pattern: a VM's clients and its target send to the same address, and nothing in a request
identifies its sender, while only clients' requests may be refused for load and earn retries.
Clients send the same mix on every VM; a target's calls come only from VMs of the services that make
them. So a route carries calls if the VMs of a service that sends many requests on other routes
never send it.
"""

from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._ids import ServiceName

# Time in which the counts halve.
HALF_LIFE_S: Final = 6.0
# Requests expected from a service's VMs by their share of all requests; if that many are expected
# of clients, the probability that none arrives is below one in a thousand.
MIN_MISSED_REQUESTS: Final = 7.0


class RouteCount(msgspec.Struct, frozen=True, array_like=True):
    """Report how many requests of a route entered at one daemon since its last report."""

    route: RouteName
    requests: int


class Origins:
    """Hold decayed request counts by route and by the service of the VMs where they entered.

    `call_routes` are known to carry targets' own calls, `request_routes` clients' requests; a route
    that is in neither isn't classified yet.
    """

    def __init__(self, *, now: float) -> None:
        self.requests_by_route: dict[RouteName, dict[ServiceName, float]] = {}
        self.call_routes: frozenset[RouteName] = frozenset()
        self.request_routes: frozenset[RouteName] = frozenset()
        self.decayed_at = now


def record_counts(origins: Origins, service: ServiceName, counts: tuple[RouteCount, ...]) -> None:
    """Add the requests that entered at one daemon on the VM of a target of `service`."""
    for count in counts:
        by_service = origins.requests_by_route.setdefault(count.route, {})
        by_service[service] = by_service.get(service, 0.0) + count.requests


def classify_routes(origins: Origins, *, now: float) -> None:
    """Decay the counts and reclassify which routes carry calls and which carry requests."""
    decay_factor = 0.5 ** ((now - origins.decayed_at) / HALF_LIFE_S)
    origins.decayed_at = now
    for by_service in origins.requests_by_route.values():
        for service in by_service:
            by_service[service] *= decay_factor
    call_routes = set(origins.call_routes)
    share_by_service = _client_shares(origins, call_routes)
    for route, by_service in origins.requests_by_route.items():
        missed = _max_missed(by_service, share_by_service)
        if missed >= MIN_MISSED_REQUESTS:
            call_routes.add(route)
        elif _is_sent_everywhere(by_service, share_by_service):
            call_routes.discard(route)
    origins.call_routes = frozenset(call_routes)
    share_by_service = _client_shares(origins, call_routes)
    origins.request_routes = frozenset(
        route
        for route, by_service in origins.requests_by_route.items()
        if route not in call_routes and _is_sent_everywhere(by_service, share_by_service)
    )


def is_call(origins: Origins, route: RouteName) -> bool:
    """Return whether a route carries targets' own calls."""
    return route in origins.call_routes


def is_request(origins: Origins, route: RouteName) -> bool:
    """Return whether a route is known to carry clients' requests."""
    return route in origins.request_routes


def _client_shares(origins: Origins, call_routes: set[RouteName]) -> dict[ServiceName, float]:
    """Return each service's share of the requests on routes not classified as calls."""
    counts: dict[ServiceName, float] = {}
    for route, by_service in origins.requests_by_route.items():
        if route not in call_routes:
            for service, count in by_service.items():
                counts[service] = counts.get(service, 0.0) + count
    total = sum(counts.values())
    return {service: count / total for service, count in counts.items()} if total else {}


def _max_missed(
    by_service: dict[ServiceName, float], share_by_service: dict[ServiceName, float]
) -> float:
    """Return the largest number of requests expected of a service that sent none."""
    total = sum(by_service.values())
    return max(
        (
            total * share
            for service, share in share_by_service.items()
            if by_service.get(service, 0.0) < 0.01
        ),
        default=0.0,
    )


def _is_sent_everywhere(
    by_service: dict[ServiceName, float], share_by_service: dict[ServiceName, float]
) -> bool:
    total = sum(by_service.values())
    return (
        bool(share_by_service)
        and all(
            by_service.get(service, 0.0) > 0.01 or total * share < MIN_MISSED_REQUESTS
            for service, share in share_by_service.items()
        )
        and total >= MIN_MISSED_REQUESTS * 2
    )
