"""Open a span for each hop; while tracing is off, this costs one comparison."""

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

import msgspec

from daisywharf._call._exchange import CallReply, error_in
from daisywharf._context import RequestContext
from daisywharf._errors import RequestError

MS_PER_S: Final = 1_000.0

AttributeValue = str | int | float | bool


class SpanRole(Enum):
    """The hops of a request that have a span."""

    ENTRY = "entry"
    ATTEMPT = "attempt"
    GATE = "gate"


class SpanStart(msgspec.Struct, frozen=True):
    """Hold the data with which a span is opened."""

    role: SpanRole
    traceparent: str | None
    attributes: dict[str, AttributeValue]


class SpanRecord(msgspec.Struct, frozen=True):
    """Hold one span in the form of a line of the trace file."""

    trace_id: str
    span_id: str
    name: str
    role: SpanRole
    start_unix_ns: int
    duration_ms: float
    parent_span_id: str | None = None
    process: str = ""
    attributes: dict[str, AttributeValue] = {}


class OpenSpan(Protocol):
    """A span that is open on this thread."""

    traceparent: str

    def set(self, attributes: dict[str, AttributeValue]) -> None:
        """Add attributes."""

    def record_admitted(self) -> None:
        """Set the time since the start as the time spent waiting for a slot."""

    def end(self) -> None:
        """End the span."""


class Tracing:
    """Hold the functions that open a span and return the current one; `open` is None when off."""

    def __init__(self) -> None:
        self.open: Callable[[SpanStart], OpenSpan] | None = None
        self.current: Callable[[], OpenSpan | None] = lambda: None


tracing: Final = Tracing()


def in_span(
    role: SpanRole,
    run: Callable[[str | None], CallReply],
    *,
    traceparent: str | None,
    service: str,
    customer: str,
    call_class: str,
    target: str = "",
) -> CallReply:
    """Run a hop within a span and return its reply; `run` gets the span's `traceparent`."""
    if tracing.open is None:
        return run(traceparent)
    attributes: dict[str, AttributeValue] = {
        "daisywharf.service": service,
        "daisywharf.customer": customer,
        "daisywharf.call_class": call_class,
    }
    if target:
        attributes["daisywharf.target"] = target
    span = tracing.open(SpanStart(role, traceparent, attributes))
    try:
        reply = run(span.traceparent)
        span.set(_reply_attributes(reply))
        return reply
    except RequestError as error:
        span.set(_error_attributes(error))
        raise
    except BaseException as error:
        span.set({"error.type": type(error).__name__})
        raise
    finally:
        span.end()


def describe_span(context: RequestContext, *, retries: int, now: float) -> None:
    """Add a call's context to the current span; `retries` is what is left of its retry budget."""
    span = tracing.current() if tracing.open is not None else None
    if span is None:
        return
    span.set(
        {
            "daisywharf.request_id": context.request_id,
            "daisywharf.importance": context.importance.name.lower(),
            "daisywharf.idempotent": context.idempotent,
            "daisywharf.depth": context.depth,
            "daisywharf.retries": retries,
            "daisywharf.time_left_ms": round((context.deadline - now) * MS_PER_S, 3),
        }
    )


def record_admitted() -> None:
    """Record in the current span that its call has got a slot."""
    span = tracing.current() if tracing.open is not None else None
    if span is not None:
        span.record_admitted()


def _reply_attributes(reply: CallReply) -> dict[str, AttributeValue]:
    error = error_in(reply)
    attributes: dict[str, AttributeValue] = {"http.response.status_code": reply.status}
    return attributes if error is None else attributes | _error_attributes(error)


def _error_attributes(error: RequestError) -> dict[str, AttributeValue]:
    return {"error.type": error.kind.value, "daisywharf.ran": error.answer.ran.value}
