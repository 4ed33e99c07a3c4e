"""docs/FIGURES.md and KNOWN-RED.txt match the cases and targets of the benchmarks' code."""

import json

import msgspec
import pytest
from benchmarks import ways
from benchmarks._all_cases import CASES, Limit
from benchmarks._all_report import (
    KNOWN_RED_PATH,
    PAGE_PATH,
    ComparedFigure,
    known_red_lines,
    page_of,
    split_shortfalls,
    stated_rows,
)

ROWS_AT_BOUND = [
    ComparedFigure(case, target, target.bound) for case in CASES for target in case.targets
]


def past_bound(row: ComparedFigure) -> ComparedFigure:
    step = -0.1 if row.target.limit is Limit.AT_LEAST else 0.1
    return msgspec.structs.replace(row, reached=row.target.bound + step)


def test_the_page_states_the_cases_and_targets_of_the_code() -> None:
    assert stated_rows(PAGE_PATH.read_text()) == stated_rows(page_of(ROWS_AT_BOUND))


def test_known_shortfalls_are_lines_of_the_code() -> None:
    assert known_red_lines(KNOWN_RED_PATH.read_text()) <= {row.line for row in ROWS_AT_BOUND}


def test_a_figure_at_its_bound_meets_its_target() -> None:
    verdict = split_shortfalls(ROWS_AT_BOUND, listed=set())
    assert (verdict.failing, verdict.known) == ([], [])


def test_each_figure_past_its_bound_fails() -> None:
    rows = [past_bound(row) for row in ROWS_AT_BOUND]
    failing = split_shortfalls(rows, listed=set()).failing
    assert [row.line for row in rows if not any(row.line in line for line in failing)] == []


def test_only_the_listed_line_passes() -> None:
    rows = [past_bound(row) for row in ROWS_AT_BOUND[:2]]
    verdict = split_shortfalls(rows, listed={rows[0].line})
    assert [rows[0].line in verdict.known[0], rows[1].line in verdict.failing[0]] == [True, True]
    assert len(verdict.failing) == 1


def test_a_listed_line_that_meets_its_target_fails() -> None:
    assert split_shortfalls(ROWS_AT_BOUND[:1], listed={ROWS_AT_BOUND[0].line}).failing != []


def test_each_compared_way_is_still_measured(capsys: pytest.CaptureFixture[str]) -> None:
    assert ways.main(["--exchanges", "20", "--json"]) == 0
    figures = json.loads(capsys.readouterr().out)
    assert len(figures) == 9
    assert all(value > 0 for value in figures.values())
