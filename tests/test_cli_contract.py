"""The `contract` commands against the stand-in platform."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from builders_cli import run_command, running_daemon, status_answer
from builders_platform import running_standin
from daisywharf._cli.exit_codes import ExitCode
from daisywharf._ids import Version
from daisywharf._objects._faults import Faults
from daisywharf._objects._interface import ObjectKind
from daisywharf._objects._standin import Standin

CONTRACTS_DIRECTORY = Path(__file__).parent.parent / "contracts" / "karri-ridge"
CONTRACT_FILE = CONTRACTS_DIRECTORY / "counter-staff.yaml"


@pytest.fixture
def standin(monkeypatch: pytest.MonkeyPatch) -> Iterator[Standin]:
    with running_standin() as running:
        monkeypatch.setenv("DAISYWHARF_PLATFORM", running.base_url)
        yield running


def _applied_versions(capsys: pytest.CaptureFixture[str]) -> list[int]:
    return [report["applied"]["version"] for report in json.loads(capsys.readouterr().out)]


def _write_edited(directory: Path, capsys: pytest.CaptureFixture[str], old: str, new: str) -> Path:
    capsys.readouterr()
    assert run_command("contract", "get", "counter-staff") == ExitCode.OK
    text = capsys.readouterr().out
    assert old in text
    path = directory / f"{new.rsplit(maxsplit=1)[-1]}.yaml"
    path.write_text(text.replace(old, new))
    return path


def test_an_applied_directory_is_listed_and_has_no_differences(
    standin: Standin, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command("contract", "apply", str(CONTRACTS_DIRECTORY), "--json") == ExitCode.OK
    assert _applied_versions(capsys) == [1, 2, 3, 4]
    assert run_command("contract", "list", "--json") == ExitCode.OK
    listed = json.loads(capsys.readouterr().out)
    assert [one["customer"] for one in listed] == [
        path.stem for path in sorted(CONTRACTS_DIRECTORY.iterdir())
    ]
    assert run_command("contract", "diff", str(CONTRACT_FILE)) == ExitCode.OK
    assert run_command("contract", "apply", str(CONTRACT_FILE)) == ExitCode.OK
    assert "unchanged at version 2" in capsys.readouterr().err


def test_one_faulty_file_among_others_applies_nothing(
    standin: Standin, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = tmp_path / "bad.yaml"
    bad.write_text(
        CONTRACT_FILE.read_text().replace("critical", "vital").replace("burst: 240", "burst: 0")
    )
    assert run_command("contract", "apply", str(CONTRACTS_DIRECTORY), str(bad)) == ExitCode.INVALID
    shown = capsys.readouterr().err.splitlines()
    assert [line.split(": ")[1].split(" is ")[0] for line in shown] == [
        "classes[0].importance",
        "classes[1].burst",
    ]
    assert all(line.startswith(str(bad)) for line in shown)
    assert standin.platform.list(ObjectKind.CONTRACT, timeout_s=1).objects == ()


def test_the_later_of_two_edits_sees_the_earlier_and_can_replace_it(
    standin: Standin, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run_command("contract", "apply", str(CONTRACT_FILE))
    first = _write_edited(tmp_path, capsys, "burst: 120", "burst: 130")
    second = _write_edited(tmp_path, capsys, "burst: 240", "burst: 250")
    assert run_command("contract", "apply", str(first), "--operator", "anna") == ExitCode.OK
    capsys.readouterr()
    assert run_command("contract", "apply", str(second)) == ExitCode.CONFLICT
    shown = capsys.readouterr().err
    assert "they changed place-order.burst: 120 -> 130" in shown
    assert "you change check-stock.burst: 240 -> 250" in shown
    version = shown.split("--if-version ")[1].split()[0]
    assert run_command("contract", "apply", str(second), "--if-version", version) == ExitCode.OK
    capsys.readouterr()
    assert run_command("contract", "history", "counter-staff", "--json") == ExitCode.OK
    edits = json.loads(capsys.readouterr().out)
    assert [len(edit["differences"]) for edit in edits] == [2, 1, 3]
    assert edits[1]["operator"] == "anna"


def test_an_edit_whose_answer_was_lost_is_applied_once(
    standin: Standin, capsys: pytest.CaptureFixture[str]
) -> None:
    standin.platform.set_faults(Faults(lose_write_answers=1))
    assert run_command("contract", "apply", str(CONTRACT_FILE), "--json") == ExitCode.OK
    assert _applied_versions(capsys) == [1]
    changes = standin.platform.watch(ObjectKind.CONTRACT, after=Version(0), timeout_s=1).changes
    assert len(changes) == 1


def test_an_unavailable_platform_is_reported_and_nothing_is_applied(standin: Standin) -> None:
    standin.platform.set_faults(Faults(down=True))
    assert run_command("contract", "apply", str(CONTRACT_FILE)) == ExitCode.UNAVAILABLE
    standin.platform.set_faults(Faults())
    assert run_command("contract", "get", "counter-staff") == ExitCode.NOT_FOUND


def test_a_contract_is_deleted_at_its_version_only_and_kept_in_the_history(
    standin: Standin, capsys: pytest.CaptureFixture[str]
) -> None:
    run_command("contract", "apply", str(CONTRACT_FILE))
    delete = ("contract", "delete", "counter-staff", "--if-version")
    assert run_command(*delete, "9") == ExitCode.CONFLICT
    assert run_command(*delete, "1") == ExitCode.OK
    assert run_command(*delete, "1") == ExitCode.NOT_FOUND
    capsys.readouterr()
    assert run_command("contract", "get", "counter-staff", "--version", "1") == ExitCode.OK
    assert "place-order" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("zones", "code"),
    [
        ([("perth-1", 2, 2, True), ("perth-2", 1, 1, True)], ExitCode.OK),
        ([("perth-1", 2, 2, True), ("perth-2", 1, 0, True)], ExitCode.NOT_IN_FORCE),
        ([("perth-1", 2, 2, True), ("perth-2", 1, 1, False)], ExitCode.NOT_IN_FORCE),
        ([], ExitCode.NOT_IN_FORCE),
    ],
)
def test_apply_waits_until_each_zone_has_confirmed_the_version(
    standin: Standin,
    capsys: pytest.CaptureFixture[str],
    zones: list[tuple[str, int, int, bool]],
    code: ExitCode,
) -> None:
    with running_daemon({"GET /status?customer=counter-staff": status_answer(1, *zones)}) as (
        _,
        url,
    ):
        apply = ("contract", "apply", str(CONTRACT_FILE), "--wait", "0.1", "--daemon", url)
        assert run_command(*apply) == code
    shown = capsys.readouterr().err
    assert ("zone perth-2 can't be reached" in shown) == any(not zone[3] for zone in zones)


def test_a_missing_file_and_an_invalid_option_are_reported(standin: Standin) -> None:
    assert run_command("contract", "check", "none.yaml") == ExitCode.INVALID
    assert (
        run_command("contract", "apply", str(CONTRACTS_DIRECTORY), "--if-version", "1")
        == ExitCode.USAGE
    )
    assert run_command("contract", "apply", str(CONTRACT_FILE), "--wait", "1") == ExitCode.USAGE
