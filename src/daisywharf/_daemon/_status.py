"""What a daemon answers to targets and operators."""

import msgspec

from daisywharf._ids import Incarnation, TargetId, VmId, ZoneName


class AnnouncementTaken(msgspec.Struct, frozen=True):
    """Tell a target in how many seconds to announce itself again; 0 once it has left."""

    renew_after_s: float


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
    """Describe one daemon."""

    vm: VmId
    zone: ZoneName
    incarnation: Incarnation
    is_draining: bool
    targets: tuple[TargetId, ...]
    links: LinkStatus
