"""What a daemon answers to targets and operators."""

from enum import Enum

import msgspec

from daisywharf._daemon._in_force import ContractInForce
from daisywharf._fleet._state import FleetStatus
from daisywharf._ids import Incarnation, TargetId, VmId, ZoneName


class AnnouncementAccepted(msgspec.Struct, frozen=True):
    """Tell a target in how many seconds to announce itself again; 0 once it has left.

    `is_drained` tells that an operator wants the target to take no new work.
    """

    renew_after_s: float
    is_drained: bool = False


class HealthState(Enum):
    """Name what a daemon's entry does: wait for its shares, serve, or refuse."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class Health(msgspec.Struct, frozen=True):
    """Tell whether requests may enter here."""

    status: HealthState


class DrainAccepted(msgspec.Struct, frozen=True):
    """Tell that a target's drain travels to its VM."""

    target_id: TargetId


class LinkStatus(msgspec.Struct, frozen=True):
    """Count what the links carried since the start, in frames and bytes."""

    frames_in: int
    frames_out: int
    bytes_in: int
    bytes_out: int
    refused_peers: int
    bad_frames: int
    silent_links: int


class DaemonStatus(msgspec.Struct, frozen=True):
    """Describe one daemon; `is_confirmed` tells whether its contracts are known to be current."""

    vm: VmId
    zone: ZoneName
    incarnation: Incarnation
    is_draining: bool
    is_confirmed: bool
    in_force: tuple[ContractInForce, ...]
    target_count: int
    snapshot_sequence: int
    links: LinkStatus
    fleet: FleetStatus
