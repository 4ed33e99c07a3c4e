"""Show what happened to a request, from the logs of several daemons."""

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path

from daisywharf._cli.exit_codes import ExitCode
from daisywharf._signals._read_log import LogLine, parse_line, read_lines


def main(arguments: list[str]) -> int:
    """Print a request's log lines; return the exit code for "not found" if there are none."""
    parser = argparse.ArgumentParser(prog="daisywharf explain", description=__doc__)
    parser.add_argument("request", help="the request id, as the caller reported it")
    parser.add_argument("files", nargs="*", type=Path, help="logs of daemons; default: stdin")
    options = parser.parse_args(arguments)
    request_lines = find_request_lines(options.request, read_lines(options.files))
    if not request_lines:
        print(
            f"no line has request {options.request!r}: check the id and the time of the logs, and"
            " see left_out in lines of that time, which counts the lines dropped by the rate limit",
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    first_time = request_lines[0].time
    for line in request_lines:
        vm = line.fields.get("vm", "?")
        print(f"{line.time - first_time:8.3f} s  {vm}  {line.number} {line.message}")
    return ExitCode.OK


def find_request_lines(request: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines of a request, ordered by time."""
    request_lines = []
    for line in lines:
        if request not in line:
            continue
        parsed = parse_line(line)
        if parsed is not None and parsed.fields.get("request") == request:
            request_lines.append(parsed)
    return sorted(request_lines, key=lambda found: found.time)
