"""The replay command: recorded traces, expected outcomes, invalid files, and the plot."""

import json
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest
from benchmarks.trace import Case, record

from builders_replay import build_calls, build_trace, encode_trace
from daisywharf._cli.replay import main
from daisywharf._replay._trace import CallLine, read_trace

TRACES = Path(__file__).parent / "traces"
RECORDED = sorted(path.stem for path in TRACES.glob("*.jsonl"))


@pytest.fixture
def trace_file(tmp_path: Path) -> Path:
    path = tmp_path / "trace.jsonl"
    path.write_bytes(encode_trace(build_trace(build_calls(50))))
    return path


def write_outcomes(directory: Path, **expectation: object) -> Path:
    path = directory / "outcomes.json"
    path.write_text(json.dumps({"expect": [expectation]}))
    return path


def test_both_deployments_have_a_trace_of_each_case() -> None:
    assert len(RECORDED) == 2 * len(Case)


@pytest.mark.parametrize("name", RECORDED)
def test_a_recorded_trace_has_its_expected_outcomes(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    outcomes = TRACES / f"{name}-outcomes.json"
    code = main([str(TRACES / f"{name}.jsonl"), "--expect", str(outcomes)])
    assert (code, [line for line in capsys.readouterr().out.splitlines() if "differs" in line]) == (
        0,
        [],
    )


def test_a_recorded_trace_is_what_the_bench_writes() -> None:
    trace = read_trace(TRACES / "karri-ridge-surge.jsonl")
    lines = record("karri-ridge", Case.SURGE, seed=1)
    assert list(trace.calls) == [line for line in lines if isinstance(line, CallLine)]


def test_an_unmet_expectation_is_reported_with_an_exit_code(
    trace_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    outcomes = write_outcomes(tmp_path, outcome="whole", most_part=0.5)
    assert main([str(trace_file), "--expect", str(outcomes), "--json"]) == 9
    report = json.loads(capsys.readouterr().out)
    assert report["differences"] == [
        "* * whole from 0 s until inf s: 1.0000 of the calls, at most 0.5 stated"
    ]


def test_an_expectation_without_matching_calls_is_a_difference(
    trace_file: Path, tmp_path: Path
) -> None:
    outcomes = write_outcomes(tmp_path, outcome="whole", customer="nobody")
    assert main([str(trace_file), "--expect", str(outcomes)]) == 9


def test_an_unknown_outcome_is_reported(
    trace_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    outcomes = write_outcomes(tmp_path, outcome="fine")
    assert main([str(trace_file), "--expect", str(outcomes)]) == 3
    assert "'fine'" in capsys.readouterr().err


def test_invalid_lines_are_reported_by_number(
    trace_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    lines = trace_file.read_bytes().splitlines()
    lines[1] = b'{"record":"service","service":"orders","work_ms":-1}'
    lines[3] = b"{"
    trace_file.write_bytes(b"\n".join(lines))
    assert main([str(trace_file)]) == 3
    faults = capsys.readouterr().err.splitlines()
    assert [fault.split(":")[1] for fault in faults] == ["2", "4"]


def test_a_service_without_targets_is_reported(
    trace_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    remaining = [
        line for line in trace_file.read_bytes().splitlines() if b'"target":"stock' not in line
    ]
    trace_file.write_bytes(b"\n".join(remaining))
    assert main([str(trace_file)]) == 3
    assert "targets of service stock" in capsys.readouterr().err


def test_a_plot_without_its_library_says_what_to_install(
    trace_file: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    assert main([str(trace_file), "--plot", "plot.png"]) == 3
    assert "daisywharf[plot]" in capsys.readouterr().err


class FakeAxes:
    """Record the plotted values."""

    def __init__(self) -> None:
        self.values_by_label: dict[str, list[float]] = {}

    def plot(self, _seconds: list[int], values: list[float], *, label: str) -> None:
        self.values_by_label[label] = values

    def __getattr__(self, _name: str) -> Any:
        return lambda *_arguments: None


class FakeFigure:
    """Replace the figure of the plotting library."""

    created: list["FakeFigure"] = []

    def __init__(self, **_settings: object) -> None:
        self.axes: list[FakeAxes] = []
        FakeFigure.created.append(self)

    def subplots(self, rows: int, _columns: int, *, sharex: bool) -> list[FakeAxes]:
        assert sharex
        self.axes = [FakeAxes() for _ in range(rows)]
        return self.axes

    def savefig(self, path: Path) -> None:
        path.write_bytes(b"png")


def test_a_plot_shows_offered_whole_refused_and_latency(
    trace_file: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    module = ModuleType("matplotlib.figure")
    module.Figure = FakeFigure  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, "matplotlib", ModuleType("matplotlib"))
    monkeypatch.setitem(sys.modules, "matplotlib.figure", module)
    assert main([str(trace_file), "--plot", str(tmp_path / "plot.png")]) == 0
    calls, refused, latency = FakeFigure.created[-1].axes
    assert sum(calls.values_by_label["offered"]) == 50
    assert sum(calls.values_by_label["whole and in time"]) == 50
    assert list(refused.values_by_label) == ["order"]
    assert latency.values_by_label["p99"][0] >= latency.values_by_label["p50"][0] > 0
