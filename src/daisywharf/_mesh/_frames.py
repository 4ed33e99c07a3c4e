"""The frames that travel on a link between two daemons.

Daemons of two versions work side by side while they are replaced. So a field is only added at the
end of its frame, with a default, and a frame of a kind that a daemon doesn't know is left out.
"""

from collections.abc import Callable
from typing import Final, get_args

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import ServiceName
from daisywharf._mesh._model import MemberRecord
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._origins import RouteCount

LENGTH_BYTES: Final = 4
UNKNOWN_MS: Final = -1


class GateLoad(msgspec.Struct, frozen=True, array_like=True):
    """Announce a gate's load: calls running and waiting, its limit, and its shedding level.

    A request whose importance and sub-order lie at or above `level` is refused at its entry. The
    target takes `most_per_s` calls a second; below 0 it names no limit, and before its first answer
    none of this is known.
    """

    running: int
    waiting: int
    limit: int
    level: float
    limit_per_s: float | None = None


class Call(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask a gate to run a call; `head` holds the request line and the headers passed on.

    `most_per_s` is the limit that the entry knows of, for a gate that has just started.
    """

    call_id: int
    target_id: str
    request_id: str
    caller_service: str
    route: str
    time_left_ms: int
    max_wait_ms: int
    importance: int
    sub_order: int
    is_idempotent: bool
    head: bytes
    body: bytes
    limit_per_s: float | None = None


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Give a call up: its client has gone, or its time has run out."""

    call_id: int


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carry a target's whole answer as it came; `headers` are those to pass on.

    `is_leaving` tells that the target says in it that it leaves.
    """

    call_id: int
    status: int
    reason: bytes
    headers: bytes
    body: bytes
    is_signed: bool
    is_not_run: bool
    load: GateLoad
    is_leaving: bool = False


class Unanswered(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Say why a call got no answer; `has_begun` tells whether the target may have run it."""

    call_id: int
    kind: ErrorKind
    has_begun: bool
    load: GateLoad | None


CallResult = Answered | Unanswered
OnCallResult = Callable[[CallResult], None]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Open a link: who opens it, how many members it knows, its configuration's version."""

    member: MemberRecord
    known_members: int
    version: int


class Members(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Pass on records of members that changed."""

    records: tuple[MemberRecord, ...]


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Say what changes from second to second: version in force, store contact, and load.

    The store had nothing newer than the version `confirmed_ms` before; negative where not known.
    """

    version: int
    is_watching: bool
    load: GateLoad | None
    confirmed_age_ms: int = UNKNOWN_MS


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Pass on the load that the gate of a target announced some time ago."""

    target_id: str
    load: GateLoad
    age_ms: int


class ZoneLoads(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Tell the own zone the sender's news, and loads that gates of other zones gave to pass on."""

    status: StatusUpdate
    loads: tuple[TargetLoad, ...]


class RelayLoad(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Tell a daemon of another zone the sender's news, for it to tell its zone the load."""

    status: StatusUpdate


class Report(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Report, now and then, a daemon's news, and what runs and enters there."""

    status: StatusUpdate
    calls_below: tuple[CallsBelow, ...]
    service: ServiceName
    entered: tuple[RouteCount, ...]


class ConfigurationCopy(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Pass a version of the configuration on, encoded as `encode_configuration` does."""

    version: int
    body: bytes


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Ask who has said that it has a newer version for that version."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Ask the other end for a sign of life."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Give a sign of life."""


class RetryDeposit(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Pool what a daemon earned of repeats, by service, with the keeper of its zone's pool."""

    credits: dict[ServiceName, float]


class RetryRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Ask the keeper of the zone's pool for a repeat that visits services so often."""

    number: int
    visits: dict[ServiceName, float]


class RetryDecision(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Say whether the pool bears the repeat that was asked for."""

    number: int
    is_allowed: bool


class RewriteRecord(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Tell a daemon that the store has lost its record."""


Frame = (
    Call
    | Cancel
    | Answered
    | Unanswered
    | Hello
    | Members
    | Report
    | StatusUpdate
    | ZoneLoads
    | RelayLoad
    | ConfigurationCopy
    | ConfigurationRequest
    | Ping
    | Pong
    | RewriteRecord
    | RetryDeposit
    | RetryRequest
    | RetryDecision
)

KNOWN_TAGS: Final = frozenset(kind.__struct_config__.tag for kind in get_args(Frame))
_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame behind its length."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_frame(body: bytes | memoryview) -> Frame:
    """Decode a frame without its length; raise `msgspec.DecodeError` where it can't be read."""
    return _decoder.decode(body)


def is_unknown_kind(body: bytes) -> bool:
    """Tell whether a frame that can't be read is of a kind that only newer daemons know."""
    try:
        content = msgspec.msgpack.decode(body)
    except msgspec.DecodeError:
        return False
    return (
        isinstance(content, list)
        and bool(content)
        and isinstance(content[0], int)
        and content[0] not in KNOWN_TAGS
    )
