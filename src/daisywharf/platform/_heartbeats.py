"""Decode the heartbeats and deregistrations by which a target announces its state."""

import re
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import ServiceName, TargetId
from daisywharf._limits import MAX_SLOTS
from daisywharf._mesh._model import (
    Readiness,
    TargetAnnouncement,
    TargetDeparture,
    parse_address,
)

# Paths of a target's announcements; the group is the target's id.
HEARTBEAT_PATH: Final = re.compile(r"/-/instances/([^/]+)/heartbeat\Z")
DEREGISTER_PATH: Final = re.compile(r"/-/instances/([^/]+)/deregister\Z")
# A target announces that it has left by a deregistration, which has no `state`.
READINESS_BY_STATE: Final = {"ready": Readiness.READY, "draining": Readiness.DRAINING}
MS_PER_S: Final = 1000.0


class HeartbeatBody(msgspec.Struct):
    """Hold the body of a heartbeat.

    `born` orders the target's incarnations, in milliseconds since the Unix epoch. The target counts
    as cold for `cold_remaining_ms`.
    """

    service: str
    address: str
    slots: int
    state: str
    sequence: int
    cold_remaining_ms: float = msgspec.field(name="coldRemainingMs", default=0)
    born: int = 0


class DeregistrationBody(msgspec.Struct):
    """Hold the body of a deregistration, which may be empty."""

    sequence: int | None = None
    born: int | None = None


_heartbeat_decoder: Final = msgspec.json.Decoder(HeartbeatBody)
_deregistration_decoder: Final = msgspec.json.Decoder(DeregistrationBody)


def read_heartbeat(target_id: str, body: bytes) -> TargetAnnouncement:
    """Decode a heartbeat; raise `RequestError` (bad request) if it is invalid."""
    try:
        heartbeat = _heartbeat_decoder.decode(body)
        readiness = READINESS_BY_STATE[heartbeat.state]
        address = parse_address(heartbeat.address)
        if not 0 < heartbeat.slots <= MAX_SLOTS:
            raise ValueError(f"slots is {heartbeat.slots}; use 1 to {MAX_SLOTS}")
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError, ValueError) as error:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"heartbeat of {target_id} can't be read: {error}"
        ) from error
    return TargetAnnouncement(
        target_id=TargetId(target_id),
        service=ServiceName(heartbeat.service),
        address=address,
        slots=heartbeat.slots,
        readiness=readiness,
        cold_s=heartbeat.cold_remaining_ms / MS_PER_S,
        born_ms=heartbeat.born,
        sequence=heartbeat.sequence,
    )


def read_deregistration(target_id: str, body: bytes) -> TargetDeparture:
    """Decode a deregistration; raise `RequestError` (bad request) if it is malformed."""
    try:
        message = _deregistration_decoder.decode(body or b"{}")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"deregistration of {target_id} can't be read: {error}"
        ) from error
    return TargetDeparture(TargetId(target_id), born_ms=message.born, sequence=message.sequence)


def acknowledgement() -> bytes:
    """Return the JSON body of an answer that acknowledges an announcement."""
    return b"{}"


def error_body(message: str) -> bytes:
    """Return the JSON body of an answer that refuses an announcement."""
    return msgspec.json.encode({"error": message})


def match_target_id(path: str, pattern: re.Pattern[str]) -> str | None:
    """Return the target's id from a path, or None if the path doesn't match `pattern`."""
    match = pattern.match(path)
    return match.group(1) if match else None
