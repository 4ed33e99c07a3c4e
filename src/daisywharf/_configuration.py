"""The operator's configuration in force: routes, their parts, and what clients may send."""

from typing import NewType

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import ServiceName, Version

RouteName = NewType("RouteName", str)


class SplitPart(msgspec.Struct, frozen=True):
    """Name a service that a route leads to and its weight among the route's parts."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Describe a route; times are in seconds."""

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
    """Bound what a client may send (bytes), and how long it may take or stay idle (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """Hold one version of the operator's configuration in full."""

    version: Version
    routes: tuple[Route, ...]
    limits: ClientLimits
    connections_by_service: dict[ServiceName, int]
