"""The frames of a link between two daemons.

Daemons of two versions run side by side during an upgrade. So a new field may only be added at the
end of its frame, with a default, and a daemon ignores a frame of a kind that it doesn't know.
"""

from collections.abc import Callable
from typing import Any, Final, get_args

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import ServiceName, VmId
from daisywharf._mesh._model import MemberRecord
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._origins import RouteCount
from daisywharf._overload._team_usage import UsageReport

LENGTH_BYTES: Final = 4
UNKNOWN_MS: Final = -1


class GateLoad(msgspec.Struct, frozen=True, array_like=True):
    """Report a gate's load: its running and waiting calls, its limit, and its shedding level.

    An entry refuses a request whose importance and sub-order are at or above `level`.
    `limit_per_s` is the number of calls a second that the target accepts: negative if the target
    names no limit, None before the target's first answer, when this isn't known. `rejected_share`
    is the share of the calls started at the target that it rejected as not run.
    """

    running: int
    waiting: int
    limit: int
    level: float
    limit_per_s: float | None = None
    rejected_share: float = 0


class Call(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask a gate to run a call; `head` holds the request line and the forwarded headers.

    The gate may let the call wait for `max_wait_ms`. `limit_per_s` is the target's limit as the
    entry knows it, for a gate that has just started. `has_team` tells that `sub_order` is the place
    of a team's request in the fair order.
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
    has_team: bool = False


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Cancel a call: its client has disconnected, or its deadline has passed."""

    call_id: int


class Answered(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Carry a target's complete answer, unchanged; `headers` are those to forward.

    `is_leaving` is true if the answer says that the target is about to leave.
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
    """Report why a call got no answer; `has_begun` is true if the target may have run it."""

    call_id: int
    kind: ErrorKind
    has_begun: bool
    load: GateLoad | None


CallResult = Answered | Unanswered
OnCallResult = Callable[[CallResult], None]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Open a link with the sender's record and configuration version.

    A receiver that knows more members than `known_members` answers with all their records.
    """

    member: MemberRecord
    known_members: int
    version: int


class Members(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Send records of members: those that changed, or all of them in answer to `Hello`."""

    records: tuple[MemberRecord, ...]


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Report what changes from second to second: version in force, store contact, and load.

    `confirmed_age_ms` is the time since the store was known to have nothing newer than the version
    in force, in milliseconds; negative if unknown. `store_era` is the highest era of the store that
    the sender knows, 0 if none.
    """

    version: int
    is_watching: bool
    load: GateLoad | None
    confirmed_age_ms: int = UNKNOWN_MS
    store_era: int = 0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Relay the load that a target's gate reported `age_ms` milliseconds ago."""

    target_id: str
    load: GateLoad
    age_ms: int


class ZoneLoads(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Send the sender's status to its zone, with loads of gates in other zones to relay there."""

    status: StatusUpdate
    loads: tuple[TargetLoad, ...]


class RelayLoad(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Send the sender's status to a daemon of another zone, which relays the load to its zone."""

    status: StatusUpdate


class Report(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Report a daemon's status, the calls that runs of its target make, and its requests.

    It is sent periodically. `calls_below` holds the number of calls per run, by the run's route;
    `entered` counts the requests that entered at the daemon, by route.
    """

    status: StatusUpdate
    calls_below: tuple[CallsBelow, ...]
    service: ServiceName
    entered: tuple[RouteCount, ...]


class ConfigurationCopy(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Send a version of the configuration, encoded by `encode_configuration`.

    `lists_teams` is false if the copy was made by a release that doesn't know teams, which may have
    left them out, and also if it is passed on by a later release.
    """

    version: int
    body: bytes
    lists_teams: bool = False


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Ask a daemon that reported a newer version of the configuration for a copy of it."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Ask the peer for a pong, which shows that the link is alive."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answer a ping, or another frame for which there is no specific answer."""


class RetryDeposit(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Deposit the retry credits that a daemon has earned, by service, in its zone's pool.

    It is sent to the daemon that owns the pool.
    """

    credits: dict[ServiceName, float]


class RetryRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Ask the owner of the zone's pool for a retry; `visits` holds its calls by service."""

    number: int
    visits: dict[ServiceName, float]


class RetryDecision(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Answer the `RetryRequest` of the same number."""

    number: int
    is_allowed: bool


class RelayedUsage(msgspec.Struct, frozen=True, array_like=True):
    """Relay the report of a daemon of another zone."""

    vm: VmId
    report: UsageReport


class TeamReport(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Report what teams have requested and spent at the sender, and relay such reports to its zone.

    A receiver of another zone relays the report to its own zone. It isn't answered.
    """

    report: UsageReport
    relayed: tuple[RelayedUsage, ...] = ()


class RewriteRecord(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Ask a daemon to write its record again, because the store has lost it."""


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
    | TeamReport
)

KNOWN_TAGS: Final = frozenset(kind.__struct_config__.tag for kind in get_args(Frame))
# A body of this size or more is encoded in place, without another copy. For a short one, that takes
# longer than copying it.
MIN_IN_PLACE_BYTES: Final = 16_384
# Enough for an array's head, a kind's tag and a call id in MessagePack.
PEEKED_BYTES: Final = 16
_PEEKED_KINDS: Final[dict[Any, type[Call | Answered]]] = {
    kind.__struct_config__.tag: kind for kind in (Call, Answered)
}
_ARRAY_16: Final = 0xDC
# The sizes of unsigned integers by their first byte; smaller integers are their first byte.
_INT_SIZES: Final = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes | bytearray:
    """Encode a frame, prefixed with its length."""
    if not isinstance(frame, Call | Answered) or len(frame.body) < MIN_IN_PLACE_BYTES:
        body = _encoder.encode(frame)
        return len(body).to_bytes(LENGTH_BYTES, "big") + body
    encoded = bytearray(LENGTH_BYTES)
    _encoder.encode_into(frame, encoded, LENGTH_BYTES)
    encoded[:LENGTH_BYTES] = (len(encoded) - LENGTH_BYTES).to_bytes(LENGTH_BYTES, "big")
    return encoded


def peek_call_id(start: bytes | bytearray | memoryview) -> tuple[type[Call | Answered], int] | None:
    """Return the kind and the call id of a call or an answer from the first bytes of its frame.

    Returns None for another kind. `start` holds `PEEKED_BYTES` of the frame without its length.
    """
    place = 3 if start[0] == _ARRAY_16 else 1
    kind = _PEEKED_KINDS.get(start[place])
    size = _INT_SIZES.get(start[place + 1], 0)
    if kind is None:
        return None
    if not size:
        return kind, start[place + 1]
    return kind, int.from_bytes(start[place + 2 : place + 2 + size], "big")


def decode_frame(body: bytes | bytearray | memoryview) -> Frame:
    """Decode a frame without its length prefix; raise `msgspec.DecodeError` if it is malformed.

    Raises RecursionError if it is nested too deeply.
    """
    return _decoder.decode(body)


def is_unknown_kind(body: bytes | memoryview) -> bool:
    """Return whether a frame that can't be decoded is of a kind that only newer daemons know."""
    try:
        content = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return False
    return (
        isinstance(content, list)
        and bool(content)
        and isinstance(content[0], int)
        and content[0] not in KNOWN_TAGS
    )
