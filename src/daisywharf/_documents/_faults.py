"""The faults of a document that a person wrote."""

from collections.abc import Iterable

import msgspec

from daisywharf._errors import ConfigurationError, ErrorKind

MAX_VALUE_CHARS = 60

# One step into a document: a field's name, or a place in a list.
PathStep = str | int
DocumentPath = tuple[PathStep, ...]


class Fault(msgspec.Struct, frozen=True):
    """Show one fault: where it stands, the value there, and the mend."""

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
    """Write a path as `classes[0].name`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text or "the document"


def value_text(value: object) -> str:
    """Show a value on one line, cut where it is long."""
    text = "empty" if value is None else repr(value)
    return text if len(text) <= MAX_VALUE_CHARS else text[: MAX_VALUE_CHARS - 3] + "..."
