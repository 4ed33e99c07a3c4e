"""Turn the logs of daemons into an HTML page with plots."""

import argparse
import sys
from pathlib import Path

from daisywharf._cli.exit_codes import ExitCode, code_for
from daisywharf._errors import DaisywharfError
from daisywharf._reports._page import render_page
from daisywharf._reports._report_data import read_report_data
from daisywharf._signals._read_log import read_lines


def main(arguments: list[str]) -> int:
    """Write the page; return the exit code for "not found" if no line counts requests."""
    parser = argparse.ArgumentParser(
        prog="daisywharf report",
        description=__doc__,
        epilog="Example: daisywharf report vm-*.log --output tuesday.html",
    )
    parser.add_argument("files", nargs="*", type=Path, help="logs of daemons; default: stdin")
    parser.add_argument("--output", type=Path, default=Path("report.html"), metavar="FILE.html")
    options = parser.parse_args(arguments)
    data = read_report_data(read_lines(options.files))
    if not data.ends:
        print(
            "no line counts requests (event 710); pass the logs of running daemons",
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    try:
        page = render_page(data)
    except DaisywharfError as error:
        print(error, file=sys.stderr)
        return int(code_for(error.kind))
    options.output.write_text(page)
    print(f"{options.output}: {len(data.ends)} counts, {len(data.incidents)} other events")
    return ExitCode.OK
