"""The two deployments: services, targets, delays, call classes and their chains."""

import msgspec

from daisywharf._contract import CallClass, Importance
from daisywharf._ids import CallClassName, ServiceName, ZoneName
from daisywharf._virtual._targets import Delays

WORK_AT_DEPTH_1_S = 0.14
DEADLINE_MS = 3_000
RETRIES = 3
BURST_S = 0.25  # burst of a contract, in seconds of its rate
MIN_BURST = 20.0
WITHIN_ZONE_S = 0.0002
CLIENT_S = 0.008


class ServiceSize(msgspec.Struct, frozen=True):
    """The number of targets of one service, and the slots and connections of each."""

    service: ServiceName
    targets: int
    slots: int
    connections: int


class ClassShape(msgspec.Struct, frozen=True):
    """One call class; `part` is its fraction of the usual load, `services` its chain."""

    name: CallClassName
    importance: Importance
    part: float
    services: tuple[ServiceName, ...]
    idempotent: bool = True


class Deployment(msgspec.Struct, frozen=True):
    """One firm's deployment."""

    name: str
    zones: tuple[ZoneName, ...]
    delays: Delays
    sizes: tuple[ServiceSize, ...]
    shapes: tuple[ClassShape, ...]


def _size(name: str, targets: int, slots: int, connections: int) -> ServiceSize:
    return ServiceSize(ServiceName(name), targets, slots, connections)


def _shape(
    name: str, importance: Importance, part: float, chain: str, *, idempotent: bool = True
) -> ClassShape:
    services = tuple(ServiceName(service) for service in chain.split())
    return ClassShape(CallClassName(name), importance, part, services, idempotent)


KARRI_RIDGE = Deployment(
    name="karri-ridge",
    zones=(ZoneName("perth-1"), ZoneName("perth-2"), ZoneName("perth-3")),
    delays=Delays(WITHIN_ZONE_S, 0.0015, CLIENT_S),
    sizes=(
        _size("catalogue", 6, 140, 900),
        _size("orders", 4, 200, 1_300),
        _size("drawings", 3, 270, 1_700),
        _size("stock", 3, 40, 300),
    ),
    shapes=(
        _shape(
            "order", Importance.CRITICAL, 0.2, "orders catalogue stock drawings", idempotent=False
        ),
        _shape("quote", Importance.HIGH, 0.2, "orders drawings stock catalogue"),
        _shape("stock-check", Importance.NORMAL, 0.3, "catalogue orders stock drawings"),
        _shape("browse", Importance.LOW, 0.3, "catalogue drawings stock orders"),
    ),
)

SCHELDEZAND = Deployment(
    name="scheldezand",
    zones=(ZoneName("antwerpen"), ZoneName("gent"), ZoneName("kallo")),
    delays=Delays(WITHIN_ZONE_S, 0.001, CLIENT_S),
    sizes=(
        _size("berthdesk", 4, 120, 800),
        _size("bookhouse", 3, 160, 1_050),
        _size("paperwharf", 3, 160, 1_050),
        _size("lockwatch", 3, 50, 400),
    ),
    shapes=(
        _shape(
            "slot",
            Importance.CRITICAL,
            0.2,
            "berthdesk bookhouse lockwatch paperwharf",
            idempotent=False,
        ),
        _shape(
            "booking",
            Importance.HIGH,
            0.2,
            "bookhouse berthdesk lockwatch paperwharf",
            idempotent=False,
        ),
        _shape("manifest", Importance.NORMAL, 0.3, "paperwharf bookhouse lockwatch berthdesk"),
        _shape("tariff", Importance.LOW, 0.3, "berthdesk paperwharf lockwatch bookhouse"),
    ),
)

DEPLOYMENT_BY_NAME = {deployment.name: deployment for deployment in (KARRI_RIDGE, SCHELDEZAND)}


def chain_of(shape: ClassShape, depth: int) -> tuple[ServiceName, ...]:
    """Return the chain of a class, its services repeated up to the given depth."""
    return tuple(shape.services[index % len(shape.services)] for index in range(depth))


def call_class_of(shape: ClassShape, depth: int, *, rate_per_second: float) -> CallClass:
    """Return the call class that a contract defines for this shape."""
    return CallClass(
        name=shape.name,
        services=tuple(dict.fromkeys(chain_of(shape, depth))),
        importance=shape.importance,
        rate_per_second=rate_per_second,
        burst=max(MIN_BURST, rate_per_second * BURST_S),
        deadline_ms=DEADLINE_MS,
        idempotent=shape.idempotent,
        retries=0 if not shape.idempotent else RETRIES,
    )
