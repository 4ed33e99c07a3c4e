"""The `replay` command: replay a recorded trace and compare it with expected outcomes."""

import argparse
import json
import sys
from pathlib import Path

import msgspec

from daisywharf._cli.exit_codes import ExitCode, code_for
from daisywharf._contracts import load_contract_file
from daisywharf._errors import DaisywharfError
from daisywharf._replay._expected import find_differences, read_outcomes
from daisywharf._replay._outcomes import GroupSummary, summarize
from daisywharf._replay._plot import plot_replay
from daisywharf._replay._run import replay_trace
from daisywharf._replay._spans import read_spans, replace_calls
from daisywharf._replay._trace import check_trace, read_trace


class ReplayReport(msgspec.Struct, frozen=True):
    """Hold the output of `--json`; `ran_twice` counts non-idempotent calls that ran again."""

    groups: list[GroupSummary]
    ran_twice: int
    differences: list[str]


def main(arguments: list[str]) -> int:
    """Replay a trace; exit with 9 if an expected outcome did not occur."""
    options = _parser().parse_args(arguments)
    try:
        report = _replay(options)
    except DaisywharfError as error:
        print(error, file=sys.stderr)
        return int(code_for(error.kind))
    if options.json:
        print(json.dumps(msgspec.to_builtins(report), indent=1))
    else:
        _print_report(report)
    return int(ExitCode.DIFFERS if report.differences else ExitCode.OK)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="daisywharf replay",
        description="Run a recorded trace through the real decision code on a virtual clock.",
        epilog="Example: daisywharf replay tuesday.jsonl --contract builders.yaml",
    )
    parser.add_argument("trace", type=Path, help="trace, in the format of docs/operating/replay.md")
    parser.add_argument(
        "--contract",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="contract that replaces the recorded one of its customer; may be repeated",
    )
    parser.add_argument(
        "--spans",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="span file with calls that replace the trace's; may be repeated",
    )
    parser.add_argument("--expect", type=Path, metavar="OUTCOMES", help="expected outcomes (JSON)")
    parser.add_argument("--plot", type=Path, metavar="FILE.png", help="write a plot over time")
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def _replay(options: argparse.Namespace) -> ReplayReport:
    contracts = [load_contract_file(path) for path in options.contract]
    expected = None if options.expect is None else read_outcomes(options.expect)
    trace = read_trace(options.trace)
    if options.spans:
        trace = replace_calls(trace, read_spans(options.spans))
        check_trace(options.trace, trace)
    result = replay_trace(trace, contracts)
    if options.plot is not None:
        plot_replay(result, options.plot)
    return ReplayReport(
        groups=summarize(result.ends),
        ran_twice=result.ran_twice,
        differences=[] if expected is None else find_differences(expected, result),
    )


def _print_report(report: ReplayReport) -> None:
    for group in report.groups:
        refused = ", ".join(f"{count} {kind}" for kind, count in group.refused_by_kind.items())
        print(
            f"{group.customer} {group.call_class}: {group.whole} of {group.offered} whole,"
            f" p50 {group.p50_ms:.1f} ms, p99 {group.p99_ms:.1f} ms;"
            f" refused: {refused or 'none'}; {group.retries} retries, {group.resends} re-sends"
        )
    print(f"non-idempotent calls that ran again: {report.ran_twice}")
    for difference in report.differences:
        print(f"differs: {difference}")
