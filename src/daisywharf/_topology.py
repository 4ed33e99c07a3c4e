"""Targets, their states, and network addresses."""

from enum import Enum
from ipaddress import ip_address

import msgspec

from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName


class TargetState(Enum):
    """The state that a target announces."""

    COLD = "cold"
    SERVING = "serving"
    DRAINING = "draining"


class GateHost(Enum):
    """The process that runs a target's gate: the target's own, or the daemon of its VM."""

    TARGET = "target"
    DAEMON = "daemon"


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def is_ip_address(host: str) -> bool:
    """Return whether a host is an IP address; host names are not resolved."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


class Target(msgspec.Struct, frozen=True):
    """Describe a target as it announced itself; its gate serves at `address` and `path_prefix`."""

    target_id: TargetId
    service: ServiceName
    vm: VmId
    zone: ZoneName
    incarnation: Incarnation
    address: Address
    slots: int
    connections: int
    state: TargetState = TargetState.SERVING
    gate: GateHost = GateHost.TARGET
    path_prefix: str = ""
