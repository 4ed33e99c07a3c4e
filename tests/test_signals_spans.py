"""Spans: one per hop in a single tree, bounded in number, and no imports while tracing is off."""

import os
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

from builders_signals import CALLER_TRACEPARENT, Chain, chain_of
from daisywharf import ErrorKind, RequestError
from daisywharf._call._hop import Hop
from daisywharf._signals import _tracing
from daisywharf._signals._spans import SpanRecord, SpanRole, tracing
from daisywharf._signals._trace_file import TraceFile, read_trace_file, start_trace_file
from daisywharf._signals._traceparent import valid_traceparent

WHOLE_CHAIN = [
    (SpanRole.ENTRY, "orders"),
    (SpanRole.ATTEMPT, "orders"),
    (SpanRole.GATE, "orders"),
    (SpanRole.ATTEMPT, "stock"),
    (SpanRole.GATE, "stock"),
]


@pytest.fixture
def read_spans(tmp_path: Path) -> Iterator[Callable[[], list[SpanRecord]]]:
    """Write spans to a file; yield a function that stops tracing and returns them."""
    stop = start_trace_file(str(tmp_path / "spans.jsonl"), process="vm-1")

    def read() -> list[SpanRecord]:
        stop()
        return read_trace_file(tmp_path / "spans.jsonl")

    yield read
    stop()


def test_each_hop_has_a_span_in_one_tree(read_spans: Callable[[], list[SpanRecord]]) -> None:
    Chain("orders", "stock").enter()
    spans = read_spans()
    assert len({span.trace_id for span in spans}) == 1
    assert chain_of(spans) == WHOLE_CHAIN


def test_a_callers_trace_is_continued(read_spans: Callable[[], list[SpanRecord]]) -> None:
    Chain("orders").enter(CALLER_TRACEPARENT)
    spans = read_spans()
    assert {span.trace_id for span in spans} == {CALLER_TRACEPARENT[3:35]}
    (entry,) = (span for span in spans if span.role is SpanRole.ENTRY)
    assert entry.parent_span_id == CALLER_TRACEPARENT[36:52]


def test_a_gates_span_describes_its_call(read_spans: Callable[[], list[SpanRecord]]) -> None:
    Chain("orders", "stock").enter()
    (gate,) = (span for span in read_spans() if span.name == "gate stock")
    attributes = gate.attributes
    assert attributes["daisywharf.customer"] == "counter"
    assert attributes["daisywharf.call_class"] == "orders"
    assert attributes["daisywharf.importance"] == "critical"
    assert attributes["daisywharf.target"] == "stock-1"
    # The entry has depth 0, orders has 1.
    assert attributes["daisywharf.depth"] == 2
    assert 0 < float(attributes["daisywharf.time_left_ms"]) <= 3_000
    assert 0 <= float(attributes["daisywharf.queue_wait_ms"]) <= gate.duration_ms
    assert attributes["http.response.status_code"] == 200


def test_a_refusal_shows_its_kind_on_each_attempt(
    read_spans: Callable[[], list[SpanRecord]],
) -> None:
    chain = Chain("orders")
    chain.gates[0].drain()
    with pytest.raises(RequestError):
        chain.enter()
    error_by_role = {
        span.role: (span.attributes["error.type"], span.attributes["daisywharf.ran"])
        for span in read_spans()
    }
    assert error_by_role[SpanRole.GATE] == (ErrorKind.DRAINING.value, "no")
    assert error_by_role[SpanRole.ATTEMPT] == (ErrorKind.DRAINING.value, "no")
    assert error_by_role[SpanRole.ENTRY] == (ErrorKind.NO_TARGET.value, "no")


def test_a_refusal_by_the_contract_has_an_entry_span(
    read_spans: Callable[[], list[SpanRecord]],
) -> None:
    with pytest.raises(RequestError):
        Chain("orders").caller.enter("orders", customer="stranger", call_class="orders")
    (entry,) = read_spans()
    assert entry.attributes["daisywharf.customer"] == "stranger"
    assert entry.attributes["error.type"] == ErrorKind.UNKNOWN_CUSTOMER.value


def test_a_trace_that_its_caller_doesnt_sample_is_not_written(
    read_spans: Callable[[], list[SpanRecord]], tmp_path: Path
) -> None:
    Chain("orders").enter(CALLER_TRACEPARENT[:-1] + "0")
    Chain("orders").enter(CALLER_TRACEPARENT)
    assert len(read_spans()) == 3


def test_without_traces_a_callers_header_still_reaches_the_gate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen: list[Hop] = []
    chain = Chain("orders")
    send = chain.caller._state.send
    monkeypatch.setattr(
        chain.caller._state, "send", lambda *args: (seen.append(args[2]), send(*args))[1]
    )
    chain.enter(CALLER_TRACEPARENT)
    chain.enter("hostile\r\n" + "a" * 10_000)
    assert [hop.traceparent for hop in seen] == [CALLER_TRACEPARENT, None]


def test_without_traces_nothing_of_opentelemetry_is_imported() -> None:
    code = (
        "import sys, daisywharf._daemon._daemon, daisywharf._embedded._target\n"
        "print([name for name in sys.modules if name.startswith('opentelemetry')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert completed.stdout == "[]\n"


@pytest.mark.parametrize(
    "text",
    [
        "",
        CALLER_TRACEPARENT.upper(),
        CALLER_TRACEPARENT[:-1],
        CALLER_TRACEPARENT + "-00",
        "ff" + CALLER_TRACEPARENT[2:],
        "00-" + "0" * 32 + CALLER_TRACEPARENT[35:],
        CALLER_TRACEPARENT + "\n",
        "01" + CALLER_TRACEPARENT[2:] + "-\x1b",
        "01" + CALLER_TRACEPARENT[2:] + "-" + "a" * 1_000,
    ],
)
def test_a_malformed_traceparent_is_dropped(text: str) -> None:
    assert valid_traceparent(text) is None


def test_a_later_version_of_traceparent_may_add_parts() -> None:
    later = "01" + CALLER_TRACEPARENT[2:] + "-more"
    assert valid_traceparent(later) == later


def test_a_full_disk_loses_spans_and_no_calls() -> None:
    stop = start_trace_file("/dev/full", process="vm-1")
    assert Chain("orders").enter().status == 200
    stop()


def test_spans_that_can_t_be_written_are_counted(tmp_path: Path) -> None:
    exporter = TraceFile(tmp_path / "no-such-directory" / "spans.jsonl")
    stop = _tracing.start_tracing(exporter, process="vm-1")
    Chain("orders").enter()
    stop()
    assert exporter.lost_spans == 3


def test_a_file_that_nobody_reads_delays_neither_calls_nor_the_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_tracing, "STOP_TIMEOUT_S", 0.05)
    os.mkfifo(tmp_path / "fifo")
    stop = start_trace_file(str(tmp_path / "fifo"), process="vm-1")
    assert Chain("orders").enter().status == 200
    stop()
    assert tracing.open is None


class _HangingExporter(SpanExporter):
    def __init__(self) -> None:
        self.released = threading.Event()
        self.exported_count = 0

    def export(self, spans: object) -> SpanExportResult:
        assert isinstance(spans, list)
        self.exported_count += len(spans)
        self.released.wait()
        return SpanExportResult.SUCCESS


def test_spans_that_wait_for_a_slow_file_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_tracing, "MAX_QUEUED_SPANS", 20)
    monkeypatch.setattr(_tracing, "MAX_BATCH_SPANS", 10)
    exporter = _HangingExporter()
    stop = _tracing.start_tracing(exporter, process="vm-1")
    chain = Chain("orders")
    for _ in range(100):
        chain.enter()
    exporter.released.set()
    stop()
    assert 0 < exporter.exported_count <= 20 + 10 * 2


def test_a_full_file_is_rotated(tmp_path: Path) -> None:
    exporter = TraceFile(tmp_path / "spans.jsonl", max_bytes=1)
    stop = _tracing.start_tracing(exporter, process="vm-1")
    Chain("orders").enter()
    stop()
    assert len(read_trace_file(tmp_path / "spans.jsonl.1")) == 3
    assert not (tmp_path / "spans.jsonl").exists()
