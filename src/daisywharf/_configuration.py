"""The operator's configuration: routes, traffic splits, teams, and the limits on clients."""

from typing import NewType

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import ServiceName, TeamName, Version

RouteName = NewType("RouteName", str)
# Identifies a team's key without disclosing it; see `digest_key`.
KeyDigest = NewType("KeyDigest", bytes)


class SplitPart(msgspec.Struct, frozen=True):
    """Hold the weight of a service in the traffic split of a route.

    The service gets its weight divided by the sum of the weights of all parts of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Map a host and a path prefix to services; times are in seconds.

    `max_attempts` counts the first attempt; `aim_s` is the latency objective. If teams are
    configured, requests on a route that isn't public need a team's key.
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
    is_public: bool = False


class Team(msgspec.Struct, frozen=True):
    """Define a team of callers: its keys, its importance and its quota.

    `importance` is None if the importance of a request depends on its route alone. The quota holds
    for all daemons together: `rate_per_s` requests per second, and `burst` requests at once after a
    quiet time. A rate of 0 means no limit.
    """

    name: TeamName
    key_digests: tuple[KeyDigest, ...] = ()
    importance: Importance | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class ClientLimits(msgspec.Struct, frozen=True):
    """Limit a client's header and body (bytes), and its header and idle times (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """Hold one complete version of the operator's configuration.

    `teams` is None if the configuration has no teams; then no request needs a key.
    """

    version: Version
    routes: tuple[Route, ...]
    limits: ClientLimits
    connections_by_service: dict[ServiceName, int]
    teams: tuple[Team, ...] | None = None
