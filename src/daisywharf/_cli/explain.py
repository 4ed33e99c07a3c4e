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
    given = parser.parse_args(arguments)
    story = story_of(given.request, read_lines(given.files))
    if not story:
        print(
            f"no line names {given.request!r}: the id is wrong, the logs are of another time, or"
            " its lines were left out for their number (see left_out in lines of that time)",
            file=sys.stderr,
        )
        return ExitCode.NOT_FOUND
    first = story[0].time
    for line in story:
        vm = line.fields.get("vm", "?")
        print(f"{line.time - first:8.3f} s  {vm}  {line.number} {line.message}")
    return ExitCode.OK


def story_of(request: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that name a request, in the order of time."""
    story = []
    for line in lines:
        if request not in line:
            continue
        found = parse_line(line)
        if found is not None and found.fields.get("request") == request:
            story.append(found)
    return sorted(story, key=lambda found: found.time)
