"""The metadata that an attempt sends to a gate and the gate sends back, each in one header."""

from secrets import token_hex
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta

from daisywharf._context import SUB_ORDERS, Refusals, RequestContext
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
)
from daisywharf._limits import (
    MAX_DEADLINE_MS,
    MAX_DEPTH,
    MAX_HEADER_VALUE_CHARS,
    MAX_HOP_CHARS,
    MAX_REFUSALS,
    MAX_RETRIES,
)
from daisywharf._outcomes._pause import deadline_on_arrival
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._level import MAX_LOAD, OPEN_LEVEL, Level
from daisywharf._topology import Target

HOP: Final = "Daisywharf-Hop"
HOP_ANSWER: Final = "Daisywharf-Hop-Answer"
HOP_ENVIRON_KEY: Final = "HTTP_DAISYWHARF_HOP"
MS_PER_S: Final = 1_000.0

Name = Annotated[str, Meta(min_length=1, max_length=MAX_HEADER_VALUE_CHARS)]
# The time left is negative if the deadline has passed in transit; the gate refuses such a call.
TimeLeftMs = Annotated[float, Meta(ge=-MAX_DEADLINE_MS, le=MAX_DEADLINE_MS)]


class WireTicket(msgspec.Struct, frozen=True, array_like=True):
    """Carry a ticket's key and its expiry, in seconds since 1970."""

    key: Name
    expires_at: Annotated[float, Meta(ge=0.0)]


class WireRefusals(msgspec.Struct, frozen=True, array_like=True):
    """Carry the counts, by importance, of requests shed by the entry, and its shedding level."""

    counts: Annotated[
        tuple[Annotated[int, Meta(ge=0, le=MAX_REFUSALS)], ...], Meta(max_length=len(Importance))
    ]
    importance: Annotated[int, Meta(ge=0, le=len(Importance))]
    sub_order: Annotated[int, Meta(ge=0, le=SUB_ORDERS)]


class WireLevel(msgspec.Struct, frozen=True, array_like=True):
    """Carry a gate's shedding level back to the caller."""

    importance: Annotated[int, Meta(ge=0, le=len(Importance))]
    sub_order: Annotated[int, Meta(ge=0, le=SUB_ORDERS)]
    load: Annotated[float, Meta(ge=0.0, le=MAX_LOAD)]
    service: Annotated[str, Meta(max_length=MAX_HEADER_VALUE_CHARS)]


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Carry an attempt's id, the target incarnation it is addressed to, and its context.

    `sent_at` is in seconds since 1970.
    """

    call_id: Name
    target_id: Name
    incarnation: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    request_id: Name
    customer: Name
    call_class: Name
    importance: Importance
    time_left_ms: TimeLeftMs
    retries: Annotated[int, Meta(ge=0, le=MAX_RETRIES)]
    depth: Annotated[int, Meta(ge=0, le=MAX_DEPTH)]
    ticket: WireTicket | None = None
    traceparent: Annotated[str, Meta(max_length=MAX_HEADER_VALUE_CHARS)] | None = None
    refusals: WireRefusals | None = None
    sent_at: Annotated[float, Meta(ge=0.0)] = 0.0


class HopAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Carry back the attempt's id, its unspent retries, and the gate's shedding level."""

    call_id: str
    incarnation: int
    retries_unspent: int
    level: WireLevel | None = None


def hop_to(
    target: Target,
    context: RequestContext,
    *,
    retries: int,
    ticket: Ticket | None,
    now: float,
    wall_now: float,
) -> Hop:
    """Return the hop of an attempt; the deadline is sent as the time left at `wall_now`.

    `now` is in seconds of the caller's clock, `wall_now` in seconds since 1970.
    """
    return Hop(
        call_id=token_hex(8),
        target_id=target.target_id,
        incarnation=target.incarnation,
        request_id=context.request_id,
        customer=context.customer,
        call_class=context.call_class,
        importance=context.importance,
        time_left_ms=round((context.deadline - now) * MS_PER_S, 1),
        retries=retries,
        depth=context.depth,
        ticket=None if ticket is None else WireTicket(ticket.key, ticket.expires_at),
        traceparent=context.traceparent,
        refusals=_wire_refusals(context.refusals),
        sent_at=round(wall_now, 3),
    )


def level_in(answer: HopAnswer) -> Level:
    """Return the shedding level that a gate sent back; open if it sent none."""
    level = answer.level
    if level is None:
        return OPEN_LEVEL
    return Level(level.importance, level.sub_order, level.load, ServiceName(level.service))


def wire_level(level: Level) -> WireLevel | None:
    """Return a level as it is sent; None for the open level, which an idle gate has."""
    if level == OPEN_LEVEL:
        return None
    load = round(min(level.load, MAX_LOAD), 3)
    return WireLevel(level.importance, level.sub_order, load, level.service)


def _wire_refusals(refusals: Refusals | None) -> WireRefusals | None:
    if refusals is None:
        return None
    counts = tuple(min(count, MAX_REFUSALS) for count in refusals.counts)
    return WireRefusals(counts, refusals.importance, refusals.sub_order)


def _refusals_in(refusals: WireRefusals | None) -> Refusals | None:
    return (
        None
        if refusals is None
        else Refusals(refusals.counts, refusals.importance, refusals.sub_order)
    )


def context_in(hop: Hop, *, now: float, wall_now: float) -> RequestContext:
    """Return the context of an attempt, with its deadline on the reader's clock."""
    return RequestContext(
        request_id=RequestId(hop.request_id),
        customer=CustomerId(hop.customer),
        call_class=CallClassName(hop.call_class),
        importance=hop.importance,
        deadline=deadline_on_arrival(
            hop.time_left_ms / MS_PER_S, sent_at=hop.sent_at, wall_now=wall_now, now=now
        ),
        retries=hop.retries,
        idempotent=hop.ticket is None,
        depth=hop.depth,
        traceparent=hop.traceparent,
        refusals=_refusals_in(hop.refusals),
    )


def ticket_in(hop: Hop) -> Ticket | None:
    """Return the ticket under which a non-idempotent call may run; None for other calls."""
    if hop.ticket is None:
        return None
    return Ticket(
        IdempotencyKey(hop.ticket.key),
        TargetId(hop.target_id),
        Incarnation(hop.incarnation),
        hop.ticket.expires_at,
    )


_ENCODER = msgspec.json.Encoder()
_HOP_DECODER = msgspec.json.Decoder(Hop)
_ANSWER_DECODER = msgspec.json.Decoder(HopAnswer)


def to_header(message: Hop | HopAnswer) -> str:
    """Encode a hop or its answer as a header value."""
    return _ENCODER.encode(message).decode("latin-1")


def hop_from_header(text: str | None) -> Hop:
    """Decode a hop; raise `RequestError` (bad request) that shows the malformed value."""
    hop: Hop = _decoded(text, _HOP_DECODER, HOP)
    return hop


def answer_from_header(text: str | None) -> HopAnswer:
    """Decode a hop's answer; raise `RequestError` (bad request) that shows the malformed value."""
    answer: HopAnswer = _decoded(text, _ANSWER_DECODER, HOP_ANSWER)
    return answer


def _decoded(text: str | None, decoder: msgspec.json.Decoder[Any], header: str) -> Any:
    if not text:
        message = f"header {header} is missing; calls reach a gate through daisywharf's callers"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    if len(text) > MAX_HOP_CHARS:
        message = f"header {header} has {len(text)} characters; send at most {MAX_HOP_CHARS}"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    try:
        return decoder.decode(text.encode("latin-1"))
    except (msgspec.MsgspecError, UnicodeError) as error:
        message = f"header {header} is {text[:120]!r}: {error}"
        raise RequestError(ErrorKind.BAD_REQUEST, message) from error
