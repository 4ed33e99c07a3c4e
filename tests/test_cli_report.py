"""`daisywharf report`: a page with plots from daemons' log lines."""

import json
import sys
from pathlib import Path
from typing import Any

import pytest

from daisywharf._cli.app import run
from daisywharf._cli.exit_codes import ExitCode
from daisywharf._mesh._counts import OutcomeTotals, add_outcome
from daisywharf._reports._report_data import read_report_data
from daisywharf._signals._events import Event, format_message


def _line(event: Event, time: float, **fields: Any) -> str:
    fields = {"vm": "vm-1", "zone": "perth-a", **fields}
    line = {
        "time": time,
        "number": event.value.number,
        "event": event.label,
        "message": format_message(event, fields),
        "fields": fields,
    }
    return json.dumps(line)


def _counted(time: float, **counts: int) -> str:
    counts_by_outcome = {"served": 0, "refused": 0, "failed": 0, "given_up": 0, **counts}
    return _line(
        Event.REQUESTS_COUNTED,
        time,
        route="r-1",
        service="stock",
        period_s=2.0,
        **counts_by_outcome,
    )


LINES = [
    _counted(102.0, served=90, refused=10),
    _line(Event.DAEMON_STOPPING, 101.0, in_flight=3),
    _line(
        Event.GATE_COUNTED,
        102.0,
        target="t-1",
        service="stock",
        running=5,
        waiting=2,
        limit=9,
        level=1.5,
    ),
    _line(Event.REQUEST_SHED, 101.5, request="a1"),
    "a line of another program",
]


def test_report_data_is_read_from_lines_in_any_order() -> None:
    report = read_report_data(LINES)
    assert [(e.at_s, e.zone, e.route, e.served, e.refused) for e in report.ends] == [
        (1.0, "perth-a", "r-1", 90, 10)
    ]
    assert [(g.service, g.waiting, g.level) for g in report.gates] == [("stock", 2, 1.5)]
    # Events of single requests aren't incidents: summary lines count them.
    assert [line.number for line in report.incidents] == [Event.DAEMON_STOPPING.value.number]


def test_lines_of_a_clock_that_was_never_set_are_left_out_and_counted(tmp_path: Path) -> None:
    # With such lines the report spanned decades, and its plots took all of the machine's memory.
    now = 1_796_000_000.0
    log, page = tmp_path / "day.log", tmp_path / "day.html"
    lines = [_counted(now + second, served=5) for second in range(4)]
    lines += [_counted(86_400.0 * 365 * 2, served=1), _counted(now + 3_600.0, served=2)]
    log.write_text("\n".join(lines))
    assert run(["report", str(log), "--output", str(page)]) == ExitCode.OK
    report = read_report_data(lines)
    assert (len(report.ends), report.left_out) == (5, 1)
    assert "1 lines are left out" in page.read_text()


def test_outcomes_are_counted_as_a_caller_sees_them() -> None:
    ends = OutcomeTotals()
    for outcome in ("2xx", "4xx", "5xx", "timed-out", "outcome-unknown", "cancelled", "shed"):
        add_outcome(ends, outcome, 1)
    assert ends == OutcomeTotals(served=2, refused=1, failed=3, given_up=1)


def test_the_page_contains_totals_plots_and_incidents(tmp_path: Path) -> None:
    log, page = tmp_path / "day.log", tmp_path / "day.html"
    log.write_text("\n".join(LINES))
    assert run(["report", str(log), "--output", str(page)]) == ExitCode.OK
    text = page.read_text()
    assert "<td>zone perth-a</td><td>90</td><td>10</td><td>0</td><td>0</td><td>0.9000</td>" in text
    assert "daemon of vm-1 stops, 3 calls in flight" in text
    assert text.count("<svg") == 1


def test_a_page_without_the_plotting_library_says_what_to_install(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    log = tmp_path / "day.log"
    log.write_text("\n".join(LINES))
    assert run(["report", str(log), "--output", str(tmp_path / "x.html")]) == ExitCode.INVALID
    assert "daisywharf[plot]" in capsys.readouterr().err


def test_logs_without_counts_are_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "day.log"
    log.write_text("nothing\n")
    assert run(["report", str(log)]) == ExitCode.NOT_FOUND
    assert "event 710" in capsys.readouterr().err
