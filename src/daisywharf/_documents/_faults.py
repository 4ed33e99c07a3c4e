"""Faults of a hand-written document."""

from collections.abc import Iterable

import msgspec

from daisywharf._errors import ConfigurationError, ErrorKind

MAX_VALUE_CHARS = 60

# One step of a path into a document: a field's name, or an index into a list.
PathStep = str | int
DocumentPath = tuple[PathStep, ...]


class Fault(msgspec.Struct, frozen=True):
    """Hold one fault: its location, the value found there, and how to correct it (`mend`).

    `line` counts from 1, and is 0 for a fault of the whole document.
    """

    file: str
    line: int
    path: str
    value: str
    mend: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path} is {self.value}; {self.mend}"


class DocumentError(ConfigurationError):
    """Report every fault of one or more documents."""

    def __init__(self, kind: ErrorKind, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__(kind, "\n".join(str(fault) for fault in self.faults))


def path_text(path: DocumentPath) -> str:
    """Return a path in the form `classes[0].name`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text or "the document"


def value_text(value: object) -> str:
    """Return a value as one line of at most `MAX_VALUE_CHARS` characters."""
    text = "empty" if value is None else repr(value)
    return text if len(text) <= MAX_VALUE_CHARS else text[: MAX_VALUE_CHARS - 3] + "..."
