"""Announcements of targets, and the records that daemons publish."""

import re
from enum import Enum
from typing import Final

import msgspec

from daisywharf._ids import ServiceName, TargetId, VmId, ZoneName
from daisywharf._limits import MAX_COLD_S, MAX_EXACT_INT, MAX_NAME_CHARS, MAX_SLOTS
from daisywharf._topology import Address

MAX_PORT: Final = 65_535
# Characters of an invalid value that are shown in a message.
MAX_SHOWN_CHARS: Final = 80
# Labels of over 63 characters can't be resolved, and the attempt raises ValueError.
_ADDRESS: Final = re.compile(
    r"(?P<host>\[[0-9A-Fa-f:.]+\]|(?:[A-Za-z0-9_-]{1,63}\.){0,32}[A-Za-z0-9_-]{1,63}):"
    r"(?P<port>[0-9]{1,5})\Z"
)


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
    match = _ADDRESS.match(text)
    port = int(match["port"]) if match is not None else 0
    if match is None or not 0 < port <= MAX_PORT:
        raise ValueError(
            f"{text[:MAX_SHOWN_CHARS]!r} is not an address: use host:port, such as 10.0.0.5:8080"
        )
    return Address(match["host"], port)


def check_member(record: MemberRecord) -> None:
    """Check the values of a record from outside; raise ValueError for one that can't be used."""
    parse_address(record.address)
    _check_name("vm", record.vm)
    _check_name("zone", record.zone)
    _check_range("started_ms", record.started_ms, at_most=MAX_EXACT_INT)
    _check_range("revision", record.revision, at_most=MAX_EXACT_INT)
    if record.target is not None:
        _check_name("target_id", record.target.target_id)
        _check_name("service", record.target.service)
        _check_range("slots", record.target.slots, at_most=MAX_SLOTS)
        _check_range("born_ms", record.target.born_ms, at_most=MAX_EXACT_INT)
        _check_range("sequence", record.target.sequence, at_most=MAX_EXACT_INT)
        _check_range("cold_s", record.target.cold_s, at_most=MAX_COLD_S)


def _check_name(field: str, name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
        raise ValueError(
            f"{field} is {name[:MAX_SHOWN_CHARS]!r}; use 1 to {MAX_NAME_CHARS} printable characters"
        )


def _check_range(field: str, value: float, *, at_most: float) -> None:
    if not 0 <= value <= at_most:
        raise ValueError(f"{field} is out of range; use 0 to {at_most}")
