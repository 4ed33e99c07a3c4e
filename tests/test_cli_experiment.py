"""`daisywharf experiment`: load patterns simulated with the production decision code."""

import json
import sys
from pathlib import Path

import pytest

from daisywharf._cli.app import run
from daisywharf._cli.exit_codes import ExitCode
from daisywharf._experiments._all import EXPERIMENT_BY_NAME

ONE_SECOND = ["--set", "lasts_s=1"]


@pytest.mark.parametrize("name", sorted(EXPERIMENT_BY_NAME))
def test_each_experiment_prints_a_row_for_each_half_second(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["experiment", name, *ONE_SECOND]) == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith("seconds")
    assert [line.split()[0] for line in lines[1:3]] == ["0.5", "1.0"]


def test_the_same_seed_gives_the_same_figures_and_another_seed_others(
    capsys: pytest.CaptureFixture[str],
) -> None:
    printed = []
    for seed in ("3", "3", "4"):
        run(["experiment", "placement", *ONE_SECOND, "--json", "--seed", seed])
        printed.append(json.loads(capsys.readouterr().out))
    assert printed[0] == printed[1]
    assert printed[0] != printed[2]


def test_a_setting_changes_the_simulation(capsys: pytest.CaptureFixture[str]) -> None:
    thrown_away = {}
    for follows in ("yes", "no"):
        run(["experiment", "surge", "--json", "--set", f"follows_level={follows}"])
        result = json.loads(capsys.readouterr().out)
        thrown_away[follows] = result["sum_by_name"]["normal thrown away"]
    assert thrown_away["no"] > 20 * thrown_away["yes"]


@pytest.mark.parametrize("text", ["slotz=3", "slots=many", "slots"])
def test_an_invalid_setting_is_reported_with_the_valid_names(
    text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["experiment", "surge", "--set", text]) == ExitCode.INVALID
    error = capsys.readouterr().err
    assert text in error
    assert "settings are slots, work_ms" in error


def test_a_plot_without_its_library_says_what_to_install(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    plot = tmp_path / "plot.png"
    assert run(["experiment", "surge", *ONE_SECOND, "--plot", str(plot)]) == ExitCode.INVALID
    assert "daisywharf[plot]" in capsys.readouterr().err
    assert not plot.exists()
