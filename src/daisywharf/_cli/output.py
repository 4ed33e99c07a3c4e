"""Output of commands, as text for people or as JSON for scripts."""

from collections.abc import Iterable
from typing import Any

import msgspec
import typer


def print_json(value: Any) -> None:
    """Print a typed value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(header: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> None:
    """Print rows in columns, each as wide as its widest cell."""
    lines = [header, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())


def print_progress(text: str) -> None:
    """Print a progress line to standard error, apart from the command's output."""
    typer.echo(text, err=True)
