"""Decode the heartbeats and deregistrations by which a target announces its state."""

import re
from typing import Annotated, Final

import msgspec

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import ServiceName, TargetId
from daisywharf._limits import MAX_COLD_S, MAX_EXACT_INT, MAX_NAME_CHARS, MAX_SLOTS
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


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INT)]


class HeartbeatBody(msgspec.Struct):
    """Hold the body of a heartbeat.

    `born` orders the target's incarnations, in milliseconds since the Unix epoch. The target counts
    as cold for `cold_remaining_ms`.
    """

    service: Name
    address: str
    # Not used, but required: a heartbeat that lacks a field of the protocol is refused.
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S * MS_PER_S)] = (
        msgspec.field(name="coldRemainingMs")
    )
    sequence: Count
    born: Count = 0


class DeregistrationBody(msgspec.Struct):
    """Hold the body of a deregistration, which may be empty."""

    sequence: Count | None = None
    born: Count | None = None


# Raised for a body that isn't valid JSON, is nested too deeply, or has a field that can't be used.
INVALID_BODY: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    KeyError,
    ValueError,
    RecursionError,
)
_heartbeat_decoder: Final = msgspec.json.Decoder(HeartbeatBody)
_deregistration_decoder: Final = msgspec.json.Decoder(DeregistrationBody)


def read_heartbeat(target_id: str, body: bytes) -> TargetAnnouncement:
    """Decode a heartbeat; raise `RequestError` (bad request) if it is invalid."""
    try:
        heartbeat = _heartbeat_decoder.decode(body)
        readiness = READINESS_BY_STATE[heartbeat.state]
        address = parse_address(heartbeat.address)
    except INVALID_BODY as error:
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
    except INVALID_BODY as error:
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
