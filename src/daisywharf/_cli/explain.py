"""Tell what became of a request, from the log lines of several daemons."""

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path

from daisywharf._cli.exit_codes import ExitCode
from daisywharf._signals._read_log import LogLine, parse_line, read_lines


def main(arguments: list[str]) -> int:
    """Print a request's story; return the exit code for "not found" where no line names it."""
    parser = argparse.ArgumentParser(prog="daisywharf explain", description=__doc__)
    parser.add_argument("request", help="the id in the caller's complaint")
    parser.add_argument("files", nargs="*", type=Path, help="logs of daemons; else standard input")
    options = parser.parse_args(arguments)
    request_lines = find_request_lines(options.request, read_lines(options.files))
    if not request_lines:
        print(
            f"no line names {options.request!r}: the id is wrong, the logs are of another time, or"
            " its lines were left out for their number (see left_out in lines of that time)",
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    first_time = request_lines[0].time
    for line in request_lines:
        vm = line.fields.get("vm", "?")
        print(f"{line.time - first_time:8.3f} s  {vm}  {line.number} {line.message}")
    return ExitCode.OK


def find_request_lines(request: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that name a request, in the order of time."""
    request_lines = []
    for line in lines:
        if request not in line:
            continue
        parsed = parse_line(line)
        if parsed is not None and parsed.fields.get("request") == request:
            request_lines.append(parsed)
    return sorted(request_lines, key=lambda found: found.time)
