"""The commands that query a daemon, and the start of the command line."""

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

from builders_cli import run_command, running_daemon, status_answer
from daisywharf import ErrorKind
from daisywharf._cli.exit_codes import ExitCode, code_for
from daisywharf._cli.operators import app

PAGE = Path(__file__).parent.parent / "docs" / "operating" / "commands.md"
TARGET = {
    "target_id": "orders-1",
    "service": "orders",
    "vm": "vm-1",
    "zone": "perth-1",
    "incarnation": 1,
    "address": {"host": "10.0.0.5", "port": 8000},
    "slots": 200,
    "connections": 1300,
}


def test_status_shows_versions_by_zone(capsys: pytest.CaptureFixture[str]) -> None:
    zones = (("perth-1", 2, 2, True), ("perth-2", 3, 1, True), ("perth-3", 3, 0, False))
    answers = {"GET /status?customer=counter-staff": status_answer(5, *zones)}
    with running_daemon(answers) as (_, url):
        status = ("status", "--daemon", url, "--customer", "counter-staff")
        assert run_command(*status) == ExitCode.OK
    shown = capsys.readouterr().out
    assert "vm-1 in perth-1" in shown
    assert re.search(r"counter-staff +5 +perth-2 +1 of 3", shown)
    assert re.search(r"perth-3 +can't be reached", shown)


def test_targets_are_listed_by_service(capsys: pytest.CaptureFixture[str]) -> None:
    other = TARGET | {"target_id": "stock-1", "service": "stock"}
    with running_daemon({"GET /targets": [other, TARGET]}) as (_, url):
        target_list = ("target", "list", "--daemon", url)
        assert run_command(*target_list) == ExitCode.OK
        assert "10.0.0.5:8000" in capsys.readouterr().out
        assert run_command(*target_list, "--service", "stock", "--json") == ExitCode.OK
    assert [one["target_id"] for one in json.loads(capsys.readouterr().out)] == ["stock-1"]


def test_drain_and_order_name_their_object_in_the_path() -> None:
    order_request = "GET /orders/a%2Fb%3F?customer=counter%20staff"
    answers = {"POST /targets/orders-1/drain": {}, order_request: {"state": "done"}}
    order = ("order", "a/b?", "--customer", "counter staff")
    with running_daemon(answers) as (fake, url):
        assert run_command("target", "drain", "orders-1", "--daemon", url) == ExitCode.OK
        assert run_command(*order, "--daemon", url) == ExitCode.OK
        assert run_command("target", "drain", "none", "--daemon", url) == ExitCode.NOT_FOUND
    assert fake.requests[:2] == list(answers)


@pytest.mark.parametrize("answer", [b"", b"[]", b"\xff", b'{"vm": 1, "zone": "z"}'])
def test_an_unreadable_answer_is_reported(
    answer: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    with running_daemon({"GET /status": answer}) as (_, url):
        assert run_command("status", "--daemon", url) == ExitCode.FAILED
    assert "can't be read" in capsys.readouterr().err


def test_no_daemon_at_the_address_is_unavailable() -> None:
    assert run_command("status", "--daemon", "http://127.0.0.1:1") == ExitCode.UNAVAILABLE


def test_settings_are_checked(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "daemon.yaml"
    address = "{host: 127.0.0.1, port: 0}"
    path.write_text(f"vm: a\nzone: b\nlinks: {address}\nhttp: {address}\nkeys: [secret-key]\n")
    assert run_command("settings", "check", str(path), "--json") == ExitCode.OK
    shown = capsys.readouterr().out
    assert json.loads(shown)["vm"] == "a"
    assert "secret-key" not in shown
    path.write_text("vm: a b\n")
    assert run_command("settings", "check", str(path)) == ExitCode.INVALID
    assert len(capsys.readouterr().err.splitlines()) == 4


def test_each_command_has_an_example_and_is_on_the_operators_page() -> None:
    import typer

    root = typer.main.get_command(app)
    page = PAGE.read_text()
    for group in ("contract", "target", "settings"):
        for name, command in root.commands[group].commands.items():  # type: ignore[attr-defined]
            assert command.epilog.startswith(f"Example: daisywharf {group} {name} "), name
            assert f"`{group} {name}" in page


def test_each_exit_code_is_on_the_operators_page() -> None:
    page = PAGE.read_text()
    for code in ExitCode:
        assert re.search(rf"^\| {code.value} \|", page, re.MULTILINE), code


def test_each_kind_of_error_has_an_exit_code_that_is_no_success() -> None:
    assert all(code_for(kind) is not ExitCode.OK for kind in ErrorKind)


def test_the_daemon_s_command_imports_no_typer() -> None:
    code = (
        "import sys; from daisywharf._cli.app import run\n"
        "try: run(['daemon', '--help'])\n"
        "except SystemExit: pass\n"
        "import daisywharf._daemon._daemon\n"
        "print([name for name in ('typer', 'rich', 'pydantic') if name in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert completed.stdout.strip().endswith("[]")
