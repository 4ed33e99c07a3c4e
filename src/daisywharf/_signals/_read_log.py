"""Parse the log lines of daemons."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec


class LogLine(msgspec.Struct, frozen=True):
    """Hold one logged event; `time` is in seconds since 1970."""

    time: float
    number: int
    event: str
    message: str
    fields: dict[str, Any]


def parse_line(line: str) -> LogLine | None:
    """Parse a line, ignoring a log collector's prefix; return None if it isn't an event."""
    start = line.find("{")
    try:
        return msgspec.json.decode(line[start:].encode(), type=LogLine) if start >= 0 else None
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def read_lines(files: list[Path]) -> Iterator[str]:
    """Yield all lines of files, or of standard input if none is given."""
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(errors="replace") as file:
            yield from file
