"""The JSON lines of a trace: a fleet, its contracts, the calls by arrival, and faults."""

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta

from daisywharf._contracts._schema import Name, WrittenContract
from daisywharf._documents._faults import DocumentError, Fault
from daisywharf._errors import ErrorKind
from daisywharf._limits import MAX_CONNECTIONS, MAX_DEPTH, MAX_SLOTS

TRACE_FORMAT: Final = 1
MAX_TRACE_BYTES: Final = 512 * 1024 * 1024
MAX_FAULTS: Final = 100
MAX_ERROR_CHARS: Final = 200

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Milliseconds = Annotated[float, Meta(ge=0, le=3_600_000)]


class Line(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="record", kw_only=True
):
    """Base of all lines of a trace; `record` names the type of the line."""


class TraceHead(Line, tag="trace", frozen=True):
    """Start a trace: its format, the seed for what was not recorded, and one-way delays in ms."""

    format: Literal[1]
    seed: int
    within_zone_ms: Milliseconds
    between_zones_ms: Milliseconds
    client_ms: Milliseconds


class ServiceLine(Line, tag="service", frozen=True):
    """State the mean time in ms of one call at a service, without the calls it makes."""

    service: Name
    work_ms: Milliseconds


class TargetLine(Line, tag="target", frozen=True):
    """Describe one target."""

    target: Name
    service: Name
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Meta(ge=1, le=MAX_CONNECTIONS)]


class ContractLine(Line, tag="contract", frozen=True):
    """Record a contract and when it came into force, in seconds of the trace."""

    at_s: Seconds
    contract: WrittenContract


class CallLine(Line, tag="call", frozen=True):
    """Record a request on arrival; a repeated request id is a resend by the caller.

    `chain` names the services that the request passes, starting with the one the caller called.
    """

    at_s: Seconds
    request: Annotated[str, Meta(min_length=1, max_length=128)]
    customer: Name
    call_class: Name = msgspec.field(name="class")
    zone: Name
    chain: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MAX_DEPTH - 1)]


class SlowLine(Line, tag="slow", frozen=True):
    """Record that calls at a service took `factor` times as long between two times, in seconds."""

    at_s: Seconds
    until_s: Seconds
    service: Name
    factor: Annotated[float, Meta(gt=0, le=1_000)]


class SilentLine(Line, tag="silent", frozen=True):
    """Record that all links open to a target at `at_s` went silent; later connections work."""

    at_s: Seconds
    target: Name


class OutageLine(Line, tag="platform-outage", frozen=True):
    """Record a platform outage; its effect shows in when the contract lines come into force."""

    at_s: Seconds
    until_s: Seconds


TraceLine = (
    TraceHead
    | ServiceLine
    | TargetLine
    | ContractLine
    | CallLine
    | SlowLine
    | SilentLine
    | OutageLine
)


class Trace(msgspec.Struct, frozen=True):
    """Hold a complete trace, grouped by type of line."""

    head: TraceHead
    services: tuple[ServiceLine, ...]
    targets: tuple[TargetLine, ...]
    contracts: tuple[ContractLine, ...]
    calls: tuple[CallLine, ...]
    slowings: tuple[SlowLine, ...]
    silences: tuple[SilentLine, ...]
    outages: tuple[OutageLine, ...]


def read_trace(path: Path) -> Trace:
    """Read a trace; raise `DocumentError` (bad request, or too large) listing each invalid line."""
    try:
        if path.stat().st_size > MAX_TRACE_BYTES:
            remedy = f"shorten it to at most {MAX_TRACE_BYTES} bytes"
            raise DocumentError(
                ErrorKind.TOO_LARGE, [Fault(str(path), 0, "the file", "too large", remedy)]
            )
        with path.open("rb") as file:
            lines = _decode_lines(path, file)
    except OSError as error:
        fault = Fault(
            str(path), 0, "the file", "unreadable", f"{error.strerror}: pass a readable file"
        )
        raise DocumentError(ErrorKind.BAD_REQUEST, [fault]) from error
    return _group_lines(path, lines)


def _decode_lines(path: Path, texts: Iterable[bytes]) -> list[TraceLine]:
    decoder = msgspec.json.Decoder(TraceLine)
    lines: list[TraceLine] = []
    faults: list[Fault] = []
    for line_number, text in enumerate(texts, start=1):
        if not text.strip():
            continue
        try:
            lines.append(decoder.decode(text))
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            value = repr(text[:60])
            remedy = f"see docs/operating/replay.md: {str(error)[:MAX_ERROR_CHARS]}"
            faults.append(Fault(str(path), line_number, "the line", value, remedy))
        if len(faults) >= MAX_FAULTS:
            break
    if faults:
        raise DocumentError(ErrorKind.BAD_REQUEST, faults)
    return lines


def _group_lines(path: Path, lines: list[TraceLine]) -> Trace:
    heads = [line for line in lines if isinstance(line, TraceHead)]
    targets = tuple(line for line in lines if isinstance(line, TargetLine))
    services = tuple(line for line in lines if isinstance(line, ServiceLine))
    calls = tuple(line for line in lines if isinstance(line, CallLine))
    faults = [
        Fault(str(path), 0, *problem) for problem in _find_problems(heads, services, targets, calls)
    ]
    if faults:
        raise DocumentError(ErrorKind.BAD_REQUEST, faults)
    return Trace(
        head=heads[0],
        services=services,
        targets=targets,
        contracts=tuple(line for line in lines if isinstance(line, ContractLine)),
        calls=calls,
        slowings=tuple(line for line in lines if isinstance(line, SlowLine)),
        silences=tuple(line for line in lines if isinstance(line, SilentLine)),
        outages=tuple(line for line in lines if isinstance(line, OutageLine)),
    )


def check_trace(path: Path, trace: Trace) -> None:
    """Raise `DocumentError` (bad request) if calls name services that the trace does not define."""
    problems = _find_problems([trace.head], trace.services, trace.targets, trace.calls)
    faults = [Fault(str(path), 0, *problem) for problem in problems]
    if faults:
        raise DocumentError(ErrorKind.BAD_REQUEST, faults)


def _find_problems(
    heads: list[TraceHead],
    services: tuple[ServiceLine, ...],
    targets: tuple[TargetLine, ...],
    calls: tuple[CallLine, ...],
) -> Iterable[tuple[str, str, str]]:
    if len(heads) != 1:
        yield "trace lines", str(len(heads)), "write one, as the first line"
    services_with_work = {line.service for line in services}
    services_with_targets = {line.service for line in targets}
    referenced = services_with_targets | {service for call in calls for service in call.chain}
    for service in sorted(referenced - services_with_work):
        yield f"work of service {service}", "missing", "write a service line for it"
    for service in sorted(referenced - services_with_targets):
        yield f"targets of service {service}", "none", "write a target line for it"
