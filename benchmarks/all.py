"""Run the fixed cases of the deterministic benchmarks and compare them with their targets."""

import argparse
import contextlib
import importlib
import io
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any, Final

from benchmarks._all_cases import CASES, Case
from benchmarks._all_report import (
    KNOWN_RED_PATH,
    PAGE_PATH,
    ComparedFigure,
    known_red_lines,
    page_of,
    split_shortfalls,
    table_of,
)

# Cases can run in parallel: each has its own virtual clock, so its figures don't change.
MAX_CONCURRENT_CASES: Final = 4


def run_case(case: Case) -> list[ComparedFigure]:
    """Run one case through its benchmark's `main` and compare its figures with their targets."""
    module = importlib.import_module(f"benchmarks.{case.bench}")
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        module.main([*case.arguments, "--json"])
    report = json.loads(printed.getvalue())
    return [
        ComparedFigure(case, target, _figure_in(report, target.figure)) for target in case.targets
    ]


def _figure_in(report: Any, dotted_name: str) -> float:
    value = report
    for part in dotted_name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    # A list, such as `shortfalls`, counts as its length.
    return float(len(value) if isinstance(value, list) else value)


def main(arguments: list[str]) -> int:
    """Run all cases; return 1 where a figure falls short that KNOWN-RED.txt does not list."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks all", description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--write", action="store_true", help="write docs/FIGURES.md")
    options = parser.parse_args(arguments)
    with ProcessPoolExecutor(MAX_CONCURRENT_CASES, mp_context=get_context("spawn")) as pool:
        rows = [row for case_rows in pool.map(run_case, CASES) for row in case_rows]
    listed = known_red_lines(KNOWN_RED_PATH.read_text()) if KNOWN_RED_PATH.exists() else set()
    verdict = split_shortfalls(rows, listed=listed)
    if options.write:
        PAGE_PATH.write_text(page_of(rows))
    print(_json_of(rows) if options.json else table_of(rows))
    for line in verdict.known:
        print(f"KNOWN-RED.txt: {line}", file=sys.stderr)
    for line in verdict.failing:
        print(line, file=sys.stderr)
    return 1 if verdict.failing else 0


def _json_of(rows: list[ComparedFigure]) -> str:
    entries = [
        {
            "case": row.case.name,
            "figure": row.target.figure,
            "reached": row.reached,
            "limit": row.target.limit.value,
            "target": row.target.bound,
            "source": row.target.source,
            "holds": row.holds,
        }
        for row in rows
    ]
    return json.dumps(entries, indent=1)
