"""Targets as they announce themselves, and what daemons say of themselves."""

from enum import Enum

import msgspec

from daisywharf._ids import ServiceName, TargetId, VmId, ZoneName
from daisywharf._topology import Address


class Readiness(Enum):
    """Name what a target says of itself, and that it has left."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class TargetAnnouncement(msgspec.Struct, frozen=True, order=False):
    """Hold one announcement of a target; `born_ms` and `sequence` order its announcements."""

    target_id: TargetId
    service: ServiceName
    address: Address
    slots: int
    readiness: Readiness
    cold_s: float
    born_ms: int
    sequence: int


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """Say what a daemon knows of the target beside it."""

    target_id: TargetId
    service: ServiceName
    slots: int
    readiness: Readiness
    born_ms: int
    sequence: int
    cold_s: float = 0.0


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Say what a daemon tells of itself; `started_ms` and `revision` order its records."""

    vm: VmId
    zone: ZoneName
    address: str
    started_ms: int
    revision: int
    is_leaving: bool
    target: TargetRecord | None


def is_newer(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Tell whether a record replaces the one that is known of the same daemon."""
    if known is None:
        return True
    return (record.started_ms, record.revision) > (known.started_ms, known.revision)


def parse_address(text: str) -> Address:
    """Read `host:port`; raise ValueError where it is neither."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not an address such as 10.0.0.5:8080")
    return Address(host, int(port))
