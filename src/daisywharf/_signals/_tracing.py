"""Create spans with OpenTelemetry; only a process that configures tracing imports this module."""

import threading
import time
from collections.abc import Callable
from contextvars import ContextVar, Token
from typing import Final

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from daisywharf._signals._spans import (
    MS_PER_S,
    AttributeValue,
    SpanRole,
    SpanStart,
    tracing,
)

MAX_QUEUED_SPANS: Final = 4_096
MAX_BATCH_SPANS: Final = 512
BATCH_PERIOD_MS: Final = 500
STOP_TIMEOUT_S: Final = 2.0
TRACEPARENT: Final = "traceparent"

_SPAN_KIND_BY_ROLE: Final = {
    SpanRole.ENTRY: SpanKind.SERVER,
    SpanRole.ATTEMPT: SpanKind.CLIENT,
    SpanRole.GATE: SpanKind.SERVER,
}
_PROPAGATOR: Final = TraceContextTextMapPropagator()
_current: ContextVar["SdkSpan | None"] = ContextVar("daisywharf_span", default=None)


class SdkSpan:
    """Hold an open SDK span, and restore the enclosing span as the current one at its end."""

    def __init__(self, span: Span) -> None:
        self.span = span
        context = span.get_span_context()
        self.traceparent = (
            f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
        )
        self._started_at = time.monotonic()
        self._token: Token[SdkSpan | None] = _current.set(self)

    def set(self, attributes: dict[str, AttributeValue]) -> None:
        """Add attributes."""
        self.span.set_attributes(attributes)

    def record_admitted(self) -> None:
        """Set the time since the start as the time spent waiting for a slot."""
        waited_ms = round((time.monotonic() - self._started_at) * MS_PER_S, 3)
        self.span.set_attribute("daisywharf.queue_wait_ms", waited_ms)

    def end(self) -> None:
        """End the span and make the enclosing one current."""
        _current.reset(self._token)
        self.span.end()


def start_tracing(
    exporter: SpanExporter, *, process: str, ratio: float = 1.0
) -> Callable[[], None]:
    """Open spans from now on; return a function that exports the rest and stops.

    `ratio` (0 to 1) is the fraction of new traces that is sampled; a caller's sampling decision
    takes precedence.
    """
    provider = TracerProvider(
        resource=Resource({"service.name": process}),
        sampler=ParentBasedTraceIdRatio(ratio),
        shutdown_on_exit=False,
    )
    # Spans that exceed a slow exporter's queue are dropped; calls never wait for the exporter.
    processor = BatchSpanProcessor(
        exporter,
        max_queue_size=MAX_QUEUED_SPANS,
        max_export_batch_size=MAX_BATCH_SPANS,
        schedule_delay_millis=BATCH_PERIOD_MS,
    )
    provider.add_span_processor(processor)
    tracer = provider.get_tracer("daisywharf")

    def open_span(start: SpanStart) -> SdkSpan:
        carrier = {} if start.traceparent is None else {TRACEPARENT: start.traceparent}
        span = tracer.start_span(
            f"{start.role.value} {start.attributes['daisywharf.service']}",
            _PROPAGATOR.extract(carrier, Context()),
            _SPAN_KIND_BY_ROLE[start.role],
            {"daisywharf.role": start.role.value, **start.attributes},
        )
        return SdkSpan(span)

    tracing.current = _current.get
    tracing.open = open_span

    def stop() -> None:
        if tracing.open is open_span:
            tracing.open = None
        # The SDK waits long for a hanging exporter, which would delay the end of the process.
        stopping = threading.Thread(target=provider.shutdown, name="stop-traces", daemon=True)
        stopping.start()
        stopping.join(timeout=STOP_TIMEOUT_S)

    return stop
