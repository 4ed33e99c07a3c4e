"""Settings of a daemon's data path."""

import msgspec

from daisywharf._ids import ServiceName, VmId, ZoneName
from daisywharf._topology import Address


class MeshBounds(msgspec.Struct, frozen=True):
    """Hold the operators' bounds for the whole system; times in seconds.

    A daemon ends within `grace_s` after it is told to stop. From all daemons together, a service
    gets at most `retry_ratio` retries per first attempt, and `retry_extra` more, within
    `retry_window_s`. In any `quota_window_s`, a team may exceed its quota by the part
    `quota_overrun` and `quota_tolerance` requests more.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    quota_window_s: float = 5.0
    quota_overrun: float = 0.1
    quota_tolerance: float = 20.0


class MeshSettings(msgspec.Struct, frozen=True):
    """Hold one daemon's addresses and bounds.

    `service` is that of the target on its VM, `memory_bytes` the memory that its process may use.
    """

    vm: VmId
    zone: ZoneName
    service: ServiceName
    target_address: Address
    entry_address: Address
    links_address: Address
    ready_address: Address
    announcements_address: Address
    store_address: Address
    seeds: tuple[Address, ...]
    memory_bytes: float
    bounds: MeshBounds
