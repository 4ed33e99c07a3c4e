"""The operator's configuration: routes, their traffic split, and the limits on clients."""

from typing import NewType

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import ServiceName, Version

RouteName = NewType("RouteName", str)


class SplitPart(msgspec.Struct, frozen=True):
    """Hold the weight of a service in the traffic split of a route.

    The service gets its weight divided by the sum of the weights of all parts of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Map a host and a path prefix to services; times are in seconds.

    `max_attempts` counts the first attempt; `aim_s` is the latency objective.
    """

    name: RouteName
    host: str
    path_prefix: str
    parts: tuple[SplitPart, ...]
    is_idempotent: bool
    max_attempts: int
    timeout_s: float
    aim_s: float
    importance: Importance


class ClientLimits(msgspec.Struct, frozen=True):
    """Limit a client's header and body (bytes), and its header and idle times (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """Hold one complete version of the operator's configuration."""

    version: Version
    routes: tuple[Route, ...]
    limits: ClientLimits
    connections_by_service: dict[ServiceName, int]
