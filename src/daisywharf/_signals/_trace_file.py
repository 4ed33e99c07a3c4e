"""Write spans to a size-limited file of JSON lines."""

import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import msgspec
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

from daisywharf._signals._spans import MS_PER_S, SpanRecord, SpanRole
from daisywharf._signals._tracing import start_tracing

MAX_FILE_BYTES: Final = 64_000_000
ROTATED_SUFFIX: Final = ".1"
NS_PER_S: Final = 1e9

_ENCODER: Final = msgspec.json.Encoder()


def start_trace_file(path: str, *, process: str, ratio: float = 1.0) -> Callable[[], None]:
    """Write spans to a file from now on; return a function that flushes them and stops.

    `ratio` (0 to 1) is the fraction of new traces that is sampled.
    """
    return start_tracing(TraceFile(Path(path)), process=process, ratio=ratio)


class TraceFile(SpanExporter):
    """Append spans to a file; a full file is rotated and replaces the previously rotated one."""

    def __init__(self, path: Path, *, max_bytes: int = MAX_FILE_BYTES) -> None:
        self.path = path
        self.max_bytes = max_bytes
        self.lost_spans = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write a batch; spans that can't be written are counted in `lost_spans` and dropped."""
        lines = b"".join(_ENCODER.encode(span_record(span)) + b"\n" for span in spans)
        try:
            self._append(lines)
        except OSError:
            self.lost_spans += len(spans)
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Do nothing: the file is open only while a batch is being written."""

    def _append(self, lines: bytes) -> None:
        with self.path.open("ab", buffering=0) as file:
            offset = file.tell()
            written = file.write(lines)
            if written != len(lines):
                # A truncated line would corrupt the next one.
                os.ftruncate(file.fileno(), offset)
                raise OSError(f"only {written} of {len(lines)} bytes were written")
        if offset + len(lines) >= self.max_bytes:
            self.path.replace(self.path.with_name(self.path.name + ROTATED_SUFFIX))


def span_record(span: ReadableSpan) -> SpanRecord:
    """Return the record of an SDK span."""
    attributes = dict(span.attributes or {})
    role = SpanRole(attributes.pop("daisywharf.role"))
    started_ns, ended_ns = span.start_time or 0, span.end_time or 0
    context = span.get_span_context()
    assert context is not None
    return SpanRecord(
        trace_id=f"{context.trace_id:032x}",
        span_id=f"{context.span_id:016x}",
        name=span.name,
        role=role,
        start_unix_ns=started_ns,
        duration_ms=round((ended_ns - started_ns) / NS_PER_S * MS_PER_S, 3),
        parent_span_id=None if span.parent is None else f"{span.parent.span_id:016x}",
        process=str(span.resource.attributes["service.name"]),
        attributes={
            name: value
            for name, value in attributes.items()
            if isinstance(value, str | int | float | bool)
        },
    )


def read_trace_file(path: Path) -> list[SpanRecord]:
    """Return the spans of a file; raise `msgspec.MsgspecError` at a line that isn't a span."""
    decoder = msgspec.json.Decoder(SpanRecord)
    return [decoder.decode(line) for line in path.read_bytes().splitlines() if line]
