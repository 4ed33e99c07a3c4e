"""`daisywharf explain`: the log lines of a request from several daemons."""

from pathlib import Path

import msgspec
import pytest

from daisywharf._cli.app import run
from daisywharf._cli.exit_codes import ExitCode


def _line(time: float, vm: str, number: int, message: str, request: str) -> str:
    event = {
        "time": time,
        "number": number,
        "event": "e",
        "level": "INFO",
        "message": message,
        "fields": {"vm": vm, "request": request},
    }
    return msgspec.json.encode(event).decode() + "\n"


def test_the_lines_of_a_request_are_ordered_by_time_across_logs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entry, gate = tmp_path / "entry.log", tmp_path / "gate.log"
    entry.write_text(
        _line(10.5, "vm-1", 703, "failed", "a1")
        + "noise\n"
        + _line(10.1, "vm-1", 704, "again", "a1")
    )
    # A log collector may prefix each line.
    gate.write_text("  10.3 vm-2 " + _line(10.3, "vm-2", 707, "cut", "a1"))
    assert run(["explain", "a1", str(entry), str(gate)]) == ExitCode.OK
    shown = capsys.readouterr().out.splitlines()
    assert [line.split()[-1] for line in shown] == ["again", "cut", "failed"]
    assert "vm-2" in shown[1]


def test_an_id_with_the_same_prefix_is_another_request(tmp_path: Path) -> None:
    log = tmp_path / "x.log"
    log.write_text(_line(1.0, "vm-1", 703, "failed", "a1b2"))
    assert run(["explain", "a1", str(log)]) == ExitCode.NOT_FOUND


def test_an_unknown_id_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log = tmp_path / "x.log"
    log.write_text("")
    assert run(["explain", "zz", str(log)]) == ExitCode.NOT_FOUND
    assert "'zz'" in capsys.readouterr().err
