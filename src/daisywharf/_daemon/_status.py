"""The answers of a daemon to targets and operators."""

from enum import Enum

import msgspec

from daisywharf._daemon._in_force import ContractInForce
from daisywharf._fleet._state import FleetStatus
from daisywharf._ids import Incarnation, TargetId, VmId, ZoneName


class AnnouncementAccepted(msgspec.Struct, frozen=True):
    """Give a target the seconds until its next announcement; 0 once it has left.

    `is_drained` means that an operator drained the target, so it must refuse new work.
    """

    renew_after_s: float
    is_drained: bool = False


class HealthState(Enum):
    """Whether a daemon's entry waits for its shares, serves, or refuses requests."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class Health(msgspec.Struct, frozen=True):
    """State whether requests may enter through this daemon."""

    status: HealthState


class DrainAccepted(msgspec.Struct, frozen=True):
    """Confirm that a target's drain is being sent to its VM."""

    target_id: TargetId


class LinkStatus(msgspec.Struct, frozen=True):
    """Count the frames and bytes on the links since the start, and what failed on them."""

    frames_in: int
    frames_out: int
    bytes_in: int
    bytes_out: int
    refused_peers: int
    bad_frames: int
    silent_links: int


class DaemonStatus(msgspec.Struct, frozen=True):
    """Describe a daemon; `is_confirmed` means that its contracts are known to be current."""

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
