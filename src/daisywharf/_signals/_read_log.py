"""Read the log lines of daemons back."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec


class LogLine(msgspec.Struct, frozen=True):
    """Hold one event as a daemon wrote it; `time` is in seconds since 1970."""

    time: float
    number: int
    event: str
    message: str
    fields: dict[str, Any]


def parse_line(line: str) -> LogLine | None:
    """Read a line, whatever a collector wrote before it; return none where it isn't an event."""
    start = line.find("{")
    try:
        return msgspec.json.decode(line[start:].encode(), type=LogLine) if start >= 0 else None
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def read_lines(files: list[Path]) -> Iterator[str]:
    """Read all lines of files, or of standard input where none is given."""
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(errors="replace") as file:
            yield from file
