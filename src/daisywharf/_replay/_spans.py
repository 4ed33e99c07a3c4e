"""Read calls from the span files that daisywharf writes."""

import hashlib
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec

from daisywharf._documents._faults import DocumentError, Fault
from daisywharf._errors import ErrorKind
from daisywharf._replay._trace import CallLine, Trace
from daisywharf._signals._spans import SpanRecord, SpanRole

CUSTOMER: Final = "daisywharf.customer"
CALL_CLASS: Final = "daisywharf.call_class"
SERVICE: Final = "daisywharf.service"
REQUEST_ID: Final = "daisywharf.request_id"
DEPTH: Final = "daisywharf.depth"
NS_PER_S: Final = 1e9
MAX_FAULTS: Final = 100


def read_spans(paths: Iterable[Path]) -> list[SpanRecord]:
    """Read span files; raise `DocumentError` (bad request) listing each invalid line."""
    decoder = msgspec.json.Decoder(SpanRecord)
    spans: list[SpanRecord] = []
    faults: list[Fault] = []
    for path in paths:
        try:
            lines = path.read_bytes().splitlines()
        except OSError as error:
            remedy = f"{error.strerror}: pass a readable file"
            raise DocumentError(
                ErrorKind.BAD_REQUEST, [Fault(str(path), 0, "the file", "unreadable", remedy)]
            ) from error
        for line_number, line in enumerate(lines, start=1):
            try:
                spans.append(decoder.decode(line))
            except (msgspec.DecodeError, ValueError) as error:
                remedy = f"see docs/operating/traces.md: {error}"
                faults.append(Fault(str(path), line_number, "the span", repr(line[:60]), remedy))
    if faults:
        raise DocumentError(ErrorKind.BAD_REQUEST, faults[:MAX_FAULTS])
    return spans


def replace_calls(trace: Trace, spans: list[SpanRecord]) -> Trace:
    """Return the trace with its calls replaced by the requests that the spans recorded.

    The chain of a call lists the services of its gate spans by depth. Time starts at the first
    entry span.
    """
    entries = [span for span in spans if span.role is SpanRole.ENTRY]
    start_ns = min((span.start_unix_ns for span in entries), default=0)
    gates_by_trace: dict[str, list[SpanRecord]] = {}
    for span in spans:
        if span.role is SpanRole.GATE:
            gates_by_trace.setdefault(span.trace_id, []).append(span)
    zones = sorted({target.zone for target in trace.targets})
    calls = [
        CallLine(
            at_s=(entry.start_unix_ns - start_ns) / NS_PER_S,
            request=_text_attribute(entry, REQUEST_ID) or entry.trace_id,
            customer=_text_attribute(entry, CUSTOMER),
            call_class=_text_attribute(entry, CALL_CLASS),
            zone=_zone_of(trace, entry.process, zones),
            chain=_chain_of(entry, gates_by_trace.get(entry.trace_id, [])),
        )
        for entry in entries
    ]
    calls.sort(key=lambda call: (call.at_s, call.request))
    return msgspec.structs.replace(trace, calls=tuple(calls))


def _chain_of(entry: SpanRecord, gates: list[SpanRecord]) -> tuple[str, ...]:
    # Several attempts at one depth are retries at the same service: the first one is enough.
    service_by_depth: dict[int, str] = {}
    for gate in sorted(gates, key=lambda span: span.start_unix_ns):
        depth = gate.attributes.get(DEPTH)
        if isinstance(depth, int):
            service_by_depth.setdefault(depth, _text_attribute(gate, SERVICE))
    chain = tuple(service for _, service in sorted(service_by_depth.items()))
    # A request that was refused at its entry has no gate span.
    return chain or (_text_attribute(entry, SERVICE),)


def _zone_of(trace: Trace, process: str, zones: list[str]) -> str:
    for target in trace.targets:
        if target.target == process:
            return target.zone
    # Spans carry no zone: the hash of its name assigns any other entry process to one of the zones.
    digest = hashlib.blake2b(process.encode(), digest_size=4).digest()
    return zones[int.from_bytes(digest) % len(zones)]


def _text_attribute(span: SpanRecord, name: str) -> str:
    return str(span.attributes.get(name, ""))
