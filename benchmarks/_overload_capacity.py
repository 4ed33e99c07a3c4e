"""Requests per second of each class that fit the capacity, the most important first."""

import math

import msgspec

from benchmarks._overload_world import WORK_AT_DEPTH_1_S, ClassShape, Deployment, chain_of
from daisywharf._ids import CallClassName, ServiceName


class Demand(msgspec.Struct, frozen=True):
    """Slot-seconds that one request of a class takes at each service."""

    shape: ClassShape
    slot_s_by_service: dict[ServiceName, float]


class Allowed(msgspec.Struct, frozen=True):
    """Requests per second that fit, by class, and whether all critical requests fit."""

    rate_by_class: dict[CallClassName, float]
    important_fits: bool


def service_seconds(deployment: Deployment, depth: int) -> dict[ServiceName, float]:
    """Return each service's mean work per call in seconds; it is shorter in deeper chains."""
    return {size.service: WORK_AT_DEPTH_1_S / math.sqrt(depth) for size in deployment.sizes}


def demands_of(
    deployment: Deployment,
    depth: int,
    slow_factor_by_service: dict[ServiceName, float],
    *,
    holds: bool,
) -> list[Demand]:
    """Return each class's demand; with `holds`, a call keeps its slot while it waits below."""
    work_s_by_service = service_seconds(deployment, depth)
    hop_s = _mean_hop_s(deployment)
    demands = []
    for shape in deployment.shapes:
        slot_s: dict[ServiceName, float] = {}
        occupied_s = -2.0 * hop_s
        for service in reversed(chain_of(shape, depth)):
            work_s = work_s_by_service[service] * slow_factor_by_service.get(service, 1.0)
            occupied_s += work_s + 2.0 * hop_s
            slot_s[service] = slot_s.get(service, 0.0) + (occupied_s if holds else work_s)
        demands.append(Demand(shape, slot_s))
    return demands


def usual_capacity(deployment: Deployment, demands: list[Demand]) -> float:
    """Return the requests per second of the usual mix at which the first service saturates."""
    rates = []
    for service, slots in _slots_by_service(deployment).items():
        slot_s_per_request = sum(
            demand.shape.part * demand.slot_s_by_service.get(service, 0.0) for demand in demands
        )
        if slot_s_per_request > 0.0:
            rates.append(slots / slot_s_per_request)
    return min(rates)


def allowed_rates(
    deployment: Deployment, demands: list[Demand], offered: dict[CallClassName, float]
) -> Allowed:
    """Return the offered requests per second that fit, filled from the most important class."""
    free_slots_by_service = _slots_by_service(deployment)
    rate_by_class: dict[CallClassName, float] = {}
    important_fits = True
    for demand in sorted(demands, key=lambda demand: demand.shape.importance):
        name = demand.shape.name
        max_rate = min(
            free_slots_by_service[service] / slot_s
            for service, slot_s in demand.slot_s_by_service.items()
        )
        rate_by_class[name] = max(0.0, min(offered[name], max_rate))
        if demand.shape.importance == 0:
            important_fits = important_fits and rate_by_class[name] >= offered[name]
        for service, slot_s in demand.slot_s_by_service.items():
            free_slots_by_service[service] -= slot_s * rate_by_class[name]
    return Allowed(rate_by_class, important_fits)


def _slots_by_service(deployment: Deployment) -> dict[ServiceName, float]:
    return {size.service: float(size.targets * size.slots) for size in deployment.sizes}


def _mean_hop_s(deployment: Deployment) -> float:
    zones = len(deployment.zones)
    delays = deployment.delays
    return (delays.within_zone_s + (zones - 1) * delays.between_zones_s) / zones
