"""Tell what became of a request, from the log lines of several daemons."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from daisywharf._cli.exit_codes import ExitCode


class LogLine(msgspec.Struct, frozen=True):
    """Hold one event as a daemon wrote it; `time` is in seconds since 1970."""

    time: float
    number: int
    event: str
    message: str
    fields: dict[str, Any]


def main(arguments: list[str]) -> int:
    """Print a request's story; return the exit code for "not found" where no line names it."""
    parser = argparse.ArgumentParser(prog="daisywharf explain", description=__doc__)
    parser.add_argument("request", help="the id in the caller's complaint")
    parser.add_argument("files", nargs="*", type=Path, help="logs of daemons; else standard input")
    given = parser.parse_args(arguments)
    story = story_of(given.request, _lines(given.files))
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
        found = read_line(line)
        if found is not None and found.fields.get("request") == request:
            story.append(found)
    return sorted(story, key=lambda found: found.time)


def read_line(line: str) -> LogLine | None:
    """Read a line, whatever a collector wrote before it; return none where it isn't an event."""
    start = line.find("{")
    try:
        return msgspec.json.decode(line[start:].encode(), type=LogLine) if start >= 0 else None
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def _lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(errors="replace") as file:
            yield from file
