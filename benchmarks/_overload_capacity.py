"""What capacity allows: requests a second of each class, the most important first."""

import math

import msgspec

from benchmarks._overload_world import WORK_AT_DEPTH_1_S, ClassShape, Deployment, chain_of
from daisywharf._ids import CallClassName, ServiceName


class Demand(msgspec.Struct, frozen=True):
    """State the slot-seconds that one request of a class takes at each service."""

    shape: ClassShape
    slot_s_by_service: dict[ServiceName, float]


class Allowed(msgspec.Struct, frozen=True):
    """State the rates that fit, by class, and whether all important work fits."""

    rate_by_class: dict[CallClassName, float]
    important_fits: bool


def service_seconds(deployment: Deployment, depth: int) -> dict[ServiceName, float]:
    """Return the mean time of one call at each service; hops of a deeper chain are shorter."""
    return {size.service: WORK_AT_DEPTH_1_S / math.sqrt(depth) for size in deployment.sizes}


def demands_of(
    deployment: Deployment, depth: int, slowing_by_service: dict[ServiceName, float], *, holds: bool
) -> list[Demand]:
    """Return each class's demand; `holds` tells that slots stay taken by calls that wait below."""
    work_s_by_service = service_seconds(deployment, depth)
    hop_s = _mean_hop_s(deployment)
    demands = []
    for shape in deployment.shapes:
        slot_s: dict[ServiceName, float] = {}
        occupied_s = -2.0 * hop_s
        for service in reversed(chain_of(shape, depth)):
            work_s = work_s_by_service[service] * slowing_by_service.get(service, 1.0)
            occupied_s += work_s + 2.0 * hop_s
            slot_s[service] = slot_s.get(service, 0.0) + (occupied_s if holds else work_s)
        demands.append(Demand(shape, slot_s))
    return demands


def usual_capacity(deployment: Deployment, demands: list[Demand]) -> float:
    """Return the requests a second, in the usual mix, that fill the first service."""
    rates = []
    for service, slots in _slots(deployment).items():
        needed = sum(
            demand.shape.part * demand.slot_s_by_service.get(service, 0.0) for demand in demands
        )
        if needed > 0.0:
            rates.append(slots / needed)
    return min(rates)


def allowed_rates(
    deployment: Deployment, demands: list[Demand], offered: dict[CallClassName, float]
) -> Allowed:
    """Fill the services with the offered classes, the most important first."""
    free_slots_by_service = _slots(deployment)
    rate_by_class: dict[CallClassName, float] = {}
    important_fits = True
    for demand in sorted(demands, key=lambda demand: demand.shape.importance):
        name = demand.shape.name
        fits = min(
            free_slots_by_service[service] / need
            for service, need in demand.slot_s_by_service.items()
        )
        rate_by_class[name] = max(0.0, min(offered[name], fits))
        if demand.shape.importance == 0:
            important_fits = important_fits and rate_by_class[name] >= offered[name]
        for service, need in demand.slot_s_by_service.items():
            free_slots_by_service[service] -= need * rate_by_class[name]
    return Allowed(rate_by_class, important_fits)


def _slots(deployment: Deployment) -> dict[ServiceName, float]:
    return {size.service: float(size.targets * size.slots) for size in deployment.sizes}


def _mean_hop_s(deployment: Deployment) -> float:
    zones = len(deployment.zones)
    delays = deployment.delays
    return (delays.within_zone_s + (zones - 1) * delays.between_zones_s) / zones
