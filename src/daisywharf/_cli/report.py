"""Turn the log lines of daemons into a page with plots, for people who look rather than read."""

import argparse
import sys
from pathlib import Path

from daisywharf._cli.exit_codes import ExitCode, code_for
from daisywharf._errors import DaisywharfError
from daisywharf._reports._day import read_report_data
from daisywharf._reports._page import render_page
from daisywharf._signals._read_log import read_lines


def main(arguments: list[str]) -> int:
    """Write the page; return the exit code for "not found" where no line counts requests."""
    parser = argparse.ArgumentParser(
        prog="daisywharf report",
        description=__doc__,
        epilog="Example: daisywharf report vm-*.log --output tuesday.html",
    )
    parser.add_argument("files", nargs="*", type=Path, help="logs of daemons; else standard input")
    parser.add_argument("--output", type=Path, default=Path("report.html"), metavar="FILE.html")
    given = parser.parse_args(arguments)
    day = read_report_data(read_lines(given.files))
    if not day.ends:
        print(
            "no line counts requests (event 710): the logs hold no running daemon's lines",
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    try:
        page = render_page(day)
    except DaisywharfError as error:
        print(error, file=sys.stderr)
        return int(code_for(error.kind))
    given.output.write_text(page)
    print(f"{given.output}: {len(day.ends)} counts, {len(day.incidents)} other events")
    return ExitCode.OK
