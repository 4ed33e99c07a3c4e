"""Compare figures with their targets, and format them as a table and as docs/FIGURES.md."""

from pathlib import Path

import msgspec

from benchmarks._all_cases import CASES, Case, Limit, Target

ROOT = Path(__file__).parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
PAGE_PATH = ROOT / "docs" / "FIGURES.md"
LINE_PREFIX = "benchmarks all: "

PAGE_HEAD = """# Figures

Written by `python -m benchmarks all --write`; don't edit by hand. Each benchmark runs the real
decisions under a virtual clock, so the same seed gives the same figures on any machine. A target
is what the issue or page named with it states, never a figure that a run gave. What falls short is
listed in [KNOWN-RED.txt](../KNOWN-RED.txt); `benchmarks all` fails on any other shortfall, and on a
listed one that now holds.

`priority_inversions` compares new requests with new requests, and refused calls inside an admitted
request with all work. The wider count, of any admission against any refusal within 10 ms at a
gate, is printed by the bench as `priority_inversions_with_calls_below`; it is not 0, and no bound
is set on it here. `goodput_ratio` can exceed 1, since the capacity that it is compared with is an
estimate. `recovery_seconds` of 3 means that it had not recovered when the run ended.

Not compared here: `benchmarks call`, `flat` and `size`, which are timed; 100,000 orders, 600 VMs,
and surges at other depths, which take too long for each change. `worst_customer_loss_ratio` takes a
second run and has its case in the tests, known red. `refusal_delay_ms` is worked out from the event
and the gate's tick, not timed.
"""


class ComparedFigure(msgspec.Struct, frozen=True):
    """One target of a case, with the figure that the run of the case gave."""

    case: Case
    target: Target
    reached: float

    @property
    def holds(self) -> bool:
        """Return whether the figure meets the target."""
        if self.target.limit is Limit.AT_LEAST:
            return self.reached >= self.target.bound
        return self.reached <= self.target.bound

    @property
    def line(self) -> str:
        """Return the line that lists the shortfall in KNOWN-RED.txt; it has no measured figure."""
        return f"{LINE_PREFIX}{self.case.name}: {self.target.figure} {_bound_text(self.target)}"


class Verdict(msgspec.Struct, frozen=True):
    """Lines that fail the run, and shortfalls that KNOWN-RED.txt allows."""

    failing: list[str]
    known: list[str]


def split_shortfalls(rows: list[ComparedFigure], *, listed: set[str]) -> Verdict:
    """Split the shortfalls by whether they are listed; a listed line that holds fails too."""
    shortfall_by_line = {row.line: row for row in rows if not row.holds}
    known = [
        f"{line} (reached {row.reached:g})"
        for line, row in shortfall_by_line.items()
        if line in listed
    ]
    failing = [
        f"falls short: {line} (reached {row.reached:g})"
        for line, row in shortfall_by_line.items()
        if line not in listed
    ]
    failing.extend(
        f"listed in KNOWN-RED.txt, but holds or is not run: {line}"
        for line in sorted(listed - shortfall_by_line.keys())
    )
    return Verdict(failing, known)


def known_red_lines(text: str) -> set[str]:
    """Return the lines of KNOWN-RED.txt that list a shortfall of `benchmarks all`."""
    return {line.strip() for line in text.splitlines() if line.startswith(LINE_PREFIX)}


def page_of(rows: list[ComparedFigure]) -> str:
    """Return the text of docs/FIGURES.md."""
    parts = [PAGE_HEAD]
    for case in CASES:
        parts.append(f"\n## `{case.name}`\n")
        parts.append("| figure | reached | stated target | from | holds |")
        parts.append("| --- | --- | --- | --- | --- |")
        parts.extend(_page_row(row) for row in rows if row.case == case)
    return "\n".join(parts) + "\n"


def stated_rows(page: str) -> list[str]:
    """Return the page's headings and its rows, without the measured figures."""
    rows = []
    for line in page.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("## "):
            rows.append(line)
        elif len(cells) == 5 and cells[0].startswith("`"):
            rows.append(" ".join((cells[0], cells[2], cells[3])))
    return rows


def table_of(rows: list[ComparedFigure]) -> str:
    """Return the figures as plain text."""
    lines = []
    for case in CASES:
        lines.append(case.name)
        for row in rows:
            if row.case == case:
                mark = "holds" if row.holds else "SHORT"
                bound_text = f"{_bound_text(row.target)} ({row.target.source})"
                lines.append(f"  {mark} {row.target.figure:32} {row.reached:<10.6g} {bound_text}")
    return "\n".join(lines)


def _page_row(row: ComparedFigure) -> str:
    target = row.target
    holds = "yes" if row.holds else "**no**"
    cells = (f"`{target.figure}`", f"{row.reached:.6g}", _bound_text(target), target.source, holds)
    return "| " + " | ".join(cells) + " |"


def _bound_text(target: Target) -> str:
    return f"{target.limit.value} {target.bound:g}"
