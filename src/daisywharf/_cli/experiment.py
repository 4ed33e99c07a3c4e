"""Run a load pattern through the real decision code on a virtual clock."""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

import msgspec

from daisywharf._cli.exit_codes import ExitCode, code_for
from daisywharf._errors import ConfigurationError, DaisywharfError, ErrorKind
from daisywharf._experiments._all import EXPERIMENT_BY_NAME
from daisywharf._experiments._model import Experiment, ExperimentResult
from daisywharf._experiments._plot import plot_result


def main(arguments: list[str]) -> int:
    """Run one experiment and print its samples over time."""
    options = _parser().parse_args(arguments)
    experiment = EXPERIMENT_BY_NAME[options.name]
    try:
        settings = read_settings(experiment, options.set)
        result = experiment.play(settings, options.seed)
        if options.plot is not None:
            plot_result(result, options.plot, title=f"{options.name}, seed {options.seed}")
    except DaisywharfError as error:
        print(error, file=sys.stderr)
        return int(code_for(error.kind))
    if options.json:
        print(json.dumps(msgspec.to_builtins(result), indent=1))
    else:
        _print_result(result)
    return int(ExitCode.OK)


def read_settings(experiment: Experiment, given: list[str]) -> Any:
    """Return an experiment's settings, its defaults overridden by `name=value` texts.

    Raise `ConfigurationError` (invalid settings) for an unknown name or a value of another type.
    """
    values: dict[str, Any] = {}
    for assignment in given:
        name, _, value = assignment.partition("=")
        # msgspec converts texts to numbers, but not yes and no to booleans.
        values[name] = {"yes": True, "no": False}.get(value, value)
    try:
        return msgspec.convert(values, experiment.settings, strict=False)
    except msgspec.ValidationError as error:
        setting_names = ", ".join(experiment.settings.__struct_fields__)
        message = f"{' '.join(given)}: {error}; settings are {setting_names}"
        raise ConfigurationError(ErrorKind.INVALID_SETTINGS, message) from error


def _parser() -> argparse.ArgumentParser:
    names = "; ".join(f"{name}: {e.load_pattern}" for name, e in EXPERIMENT_BY_NAME.items())
    parser = argparse.ArgumentParser(
        prog="daisywharf experiment",
        description=f"{__doc__} {names}.",
        epilog="Example: daisywharf experiment surge --set slots=60 --plot surge.png",
    )
    parser.add_argument("name", choices=EXPERIMENT_BY_NAME)
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="NAME=VALUE",
        help="override a default setting; may be repeated",
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the random generator")
    parser.add_argument("--plot", type=Path, metavar="FILE.png", help="write a plot over time")
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def _print_result(played: ExperimentResult) -> None:
    columns = list(played.samples[0].value_by_column)
    print("  ".join(["seconds", *columns]))
    for sample in played.samples:
        cells = [f"{sample.at_s:7.1f}"]
        cells += [f"{sample.value_by_column[name]:{len(name)}g}" for name in columns]
        print("  ".join(cells))
    for name, value in played.sum_by_name.items():
        print(f"{name}: {value:g}")
