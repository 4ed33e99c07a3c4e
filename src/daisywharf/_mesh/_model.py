"""Announcements of targets, and the records that daemons publish."""

from enum import Enum

import msgspec

from daisywharf._ids import ServiceName, TargetId, VmId, ZoneName
from daisywharf._topology import Address


class Readiness(Enum):
    """Name the state that a target announced."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class TargetAnnouncement(msgspec.Struct, frozen=True, order=False):
    """Hold one announcement of a target.

    `born_ms`, in milliseconds since the Unix epoch, orders the target's incarnations; `sequence`
    orders the announcements of one. The target still counts as cold for `cold_s` seconds.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    slots: int
    readiness: Readiness
    cold_s: float
    born_ms: int
    sequence: int


class TargetDeparture(msgspec.Struct, frozen=True):
    """Hold a target's message that it has left; what the message doesn't give is None."""

    target_id: TargetId
    born_ms: int | None
    sequence: int | None


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a daemon knows of its local target."""

    target_id: TargetId
    service: ServiceName
    slots: int
    readiness: Readiness
    born_ms: int
    sequence: int
    cold_s: float = 0.0


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold the record that a daemon publishes; `started_ms` and `revision` order its records."""

    vm: VmId
    zone: ZoneName
    address: str
    started_ms: int
    revision: int
    is_leaving: bool
    target: TargetRecord | None


def is_newer(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Return whether a record replaces the known one of the same daemon."""
    if known is None:
        return True
    return (record.started_ms, record.revision) > (known.started_ms, known.revision)


def parse_address(text: str) -> Address:
    """Parse `host:port`; raise ValueError if the text has another form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not an address: use host:port, such as 10.0.0.5:8080")
    return Address(host, int(port))
