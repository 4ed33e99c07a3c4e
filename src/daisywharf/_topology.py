"""What the fleet knows of one target."""

from enum import Enum
from ipaddress import ip_address

import msgspec

from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName


class TargetState(Enum):
    """Name the states in which a target announces itself."""

    COLD = "cold"
    SERVING = "serving"
    DRAINING = "draining"


class GateHost(Enum):
    """Tell which process runs the gate: the target's own, or the daemon of its VM."""

    TARGET = "target"
    DAEMON = "daemon"


class Address(msgspec.Struct, frozen=True, order=True):
    """Name an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def is_ip_number(host: str) -> bool:
    """Tell whether a host is given by its IP number: processes look no names up."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


class Target(msgspec.Struct, frozen=True):
    """Describe a target as it announced itself; `address` and `path_prefix` name its gate."""

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
