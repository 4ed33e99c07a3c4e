"""Calls read from span files."""

from pathlib import Path

import msgspec
import pytest

from builders_replay import build_trace, encode_trace
from daisywharf._cli.replay import main
from daisywharf._replay._spans import read_spans, replace_calls
from daisywharf._signals._spans import SpanRecord, SpanRole

SECOND_NS = 1_000_000_000


def build_span(
    role: SpanRole, trace_id: str, at_s: float, *, service: str, depth: int | None = None
) -> SpanRecord:
    attributes: dict[str, str | int | float | bool] = {
        "daisywharf.customer": "builders",
        "daisywharf.call_class": "order",
        "daisywharf.service": service,
        "daisywharf.request_id": f"request-{trace_id}",
    }
    if depth is not None:
        attributes["daisywharf.depth"] = depth
    return SpanRecord(
        trace_id=trace_id,
        span_id=f"{trace_id}-{role.value}-{service}-{at_s}",
        name=service,
        role=role,
        start_unix_ns=1_700_000_000 * SECOND_NS + int(at_s * SECOND_NS),
        duration_ms=1.0,
        process="stock-2" if role is SpanRole.ENTRY else "",
        attributes=attributes,
    )


def request_spans(trace_id: str, at_s: float) -> list[SpanRecord]:
    return [
        build_span(SpanRole.GATE, trace_id, at_s + 0.03, service="stock", depth=1),
        build_span(SpanRole.GATE, trace_id, at_s + 0.01, service="orders", depth=0),
        build_span(SpanRole.GATE, trace_id, at_s + 0.02, service="orders", depth=0),
        build_span(SpanRole.ATTEMPT, trace_id, at_s, service="orders"),
        build_span(SpanRole.ENTRY, trace_id, at_s, service="orders"),
    ]


def write_spans(path: Path, spans: list[SpanRecord]) -> Path:
    path.write_bytes(b"".join(msgspec.json.encode(span) + b"\n" for span in spans))
    return path


def test_entries_become_calls_with_the_chain_of_their_gates(tmp_path: Path) -> None:
    path = write_spans(tmp_path / "s.jsonl", request_spans("b", 5.5) + request_spans("a", 4.0))
    calls = replace_calls(build_trace([]), read_spans([path])).calls
    assert [(call.request, call.at_s) for call in calls] == [("request-a", 0.0), ("request-b", 1.5)]
    assert {call.chain for call in calls} == {("orders", "stock")}
    assert {call.zone for call in calls} == {"zone-2"}


def test_the_chain_of_a_call_without_gates_is_the_service_that_it_called() -> None:
    entry = build_span(SpanRole.ENTRY, "a", 0.0, service="orders")
    assert replace_calls(build_trace([]), [entry]).calls[0].chain == ("orders",)


def test_the_command_replays_span_files(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    trace = tmp_path / "fleet.jsonl"
    trace.write_bytes(encode_trace(build_trace([])))
    spans = write_spans(tmp_path / "s.jsonl", request_spans("a", 0.0) + request_spans("b", 1.0))
    assert main([str(trace), "--spans", str(spans)]) == 0
    assert "builders order: 2 of 2 whole" in capsys.readouterr().out


def test_an_unknown_service_and_an_invalid_span_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    trace = tmp_path / "fleet.jsonl"
    trace.write_bytes(encode_trace(build_trace([])))
    unknown = [build_span(SpanRole.ENTRY, "a", 0.0, service="catalogue")]
    spans = write_spans(tmp_path / "s.jsonl", unknown)
    assert main([str(trace), "--spans", str(spans)]) == 3
    assert "catalogue" in capsys.readouterr().err
    spans.write_bytes(b"{}\n")
    assert main([str(trace), "--spans", str(spans)]) == 3
    assert "s.jsonl:1" in capsys.readouterr().err
