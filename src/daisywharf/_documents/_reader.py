"""Read a YAML document into a typed value, and collect all faults in it."""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec
import yaml
from msgspec import inspect

from daisywharf._documents._expected import expected_text, fits, has_valid_length
from daisywharf._documents._faults import (
    DocumentError,
    DocumentPath,
    Fault,
    path_text,
    value_text,
)
from daisywharf._errors import ErrorKind

MAX_FAULTS: Final = 100
HIDDEN_VALUE: Final = "not shown"

DocumentT = TypeVar("DocumentT")
# Values as YAML has them (dict, list, scalar), without the faulty ones.
PlainValue = Any


class Problem(msgspec.Struct, frozen=True):
    """Hold a fault that a document type's own check found.

    `mend` describes how to correct it.
    """

    path: DocumentPath
    value: object
    mend: str


Check = Callable[[PlainValue], Iterable[Problem]]


def no_check(_value: PlainValue) -> Iterable[Problem]:
    """Return no problems; only the types are checked."""
    return ()


def read_file(
    path: Path,
    document_type: type[DocumentT],
    *,
    kind: ErrorKind,
    max_bytes: int,
    check: Check = no_check,
    secret_fields: frozenset[str] = frozenset(),
) -> DocumentT:
    """Return the typed content of a file; raise `DocumentError` of `kind` with all its faults.

    Faults don't show the values of `secret_fields`.
    """
    try:
        with path.open("rb") as file:
            content = file.read(max_bytes + 1)
    except OSError as error:
        fault = Fault(
            str(path), 0, "the file", "unreadable", f"{error.strerror}: use a readable file"
        )
        raise DocumentError(kind, [fault]) from error
    return read_document(
        content,
        document_type,
        file_name=str(path),
        kind=kind,
        max_bytes=max_bytes,
        check=check,
        secret_fields=secret_fields,
    )


def read_document(
    content: bytes,
    document_type: type[DocumentT],
    *,
    file_name: str,
    kind: ErrorKind,
    max_bytes: int,
    check: Check = no_check,
    secret_fields: frozenset[str] = frozenset(),
) -> DocumentT:
    """Return the typed value of a document; raise `DocumentError` of `kind` with all its faults.

    Faults don't show the values of `secret_fields`.
    """
    if len(content) > max_bytes:
        correction = f"write at most {max_bytes} bytes"
        fault = Fault(file_name, 0, "the document", f"{len(content)} bytes or more", correction)
        raise DocumentError(kind, [fault])
    walker = _DocumentWalker(file_name, secret_fields)
    try:
        node = yaml.compose(content, Loader=_AliasFreeLoader)
        plain = walker.read(node, inspect.type_info(document_type), ())
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(kind, [_syntax_fault(file_name, error)]) from error
    for problem in check(plain):
        walker.add_fault(problem.path, value_text(problem.value), problem.mend)
    if walker.faults:
        raise DocumentError(kind, sorted(walker.faults, key=lambda fault: fault.line)[:MAX_FAULTS])
    return msgspec.convert(plain, document_type)


class _AliasFreeLoader(yaml.SafeLoader):
    """Reject aliases: a short document of nested aliases can expand without limit."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Compose a node; raise `yaml.MarkedYAMLError` at an alias."""
        if self.check_event(yaml.events.AliasEvent):
            mark = self.peek_event().start_mark  # type: ignore[no-untyped-call]
            raise yaml.MarkedYAMLError(problem="an alias; write the value out", problem_mark=mark)
        return super().compose_node(parent, index)


class _DocumentWalker:
    """Convert nodes to plain values, and record the faults found and the line of each path."""

    def __init__(self, file_name: str, secret_fields: frozenset[str]) -> None:
        self.secret_fields = secret_fields
        self.file_name = file_name
        self.faults: list[Fault] = []
        self.line_by_path: dict[DocumentPath, int] = {(): 1}

    def add_fault(self, path: DocumentPath, shown: str, correction: str) -> None:
        """Add a fault at the line of its path, or of the nearest enclosing path that has a line."""
        located_path = path
        while located_path not in self.line_by_path:
            located_path = located_path[:-1]
        line = self.line_by_path[located_path]
        shown = HIDDEN_VALUE if self.secret_fields.intersection(path) else shown
        self.faults.append(Fault(self.file_name, line, path_text(path), shown, correction))

    def read(self, node: yaml.Node | None, info: inspect.Type, path: DocumentPath) -> PlainValue:
        """Return a node's plain value without faulty parts, or `_FAULTY` if it is faulty itself."""
        if node is None:
            self.add_fault(path, "empty", f"write {expected_text(info)}")
            return None
        self.line_by_path[path] = node.start_mark.line + 1
        variant = _matching_variant(node, info)
        if isinstance(node, yaml.MappingNode) and isinstance(variant, inspect.StructType):
            return self._read_struct(node, variant, path)
        if isinstance(node, yaml.MappingNode) and isinstance(variant, inspect.DictType):
            return self._read_dict(node, variant, path)
        if isinstance(node, yaml.SequenceNode) and isinstance(
            variant, inspect.ListType | inspect.VarTupleType
        ):
            return self._read_list(node, variant, path)
        return self._read_scalar(node, variant, path)

    def _read_struct(
        self, node: yaml.MappingNode, info: inspect.StructType, path: DocumentPath
    ) -> PlainValue:
        field_by_name = {field.encode_name: field for field in info.fields}
        plain: dict[str, PlainValue] = {}
        seen: set[str] = set()
        for name, value in self._unique_entries(node, path):
            seen.add(name)
            if name in field_by_name:
                plain[name] = self.read(value, field_by_name[name].type, (*path, name))
                continue
            names = ", ".join(sorted(field_by_name))
            self.line_by_path[(*path, name)] = value.start_mark.line + 1
            self.add_fault((*path, name), "unknown", f"use one of: {names}")
        for name, field in field_by_name.items():
            if field.required and name not in seen:
                correction = f"write {name}: {expected_text(field.type)}"
                self.add_fault((*path, name), "missing", correction)
        return {name: value for name, value in plain.items() if value is not _FAULTY}

    def _read_dict(
        self, node: yaml.MappingNode, info: inspect.DictType, path: DocumentPath
    ) -> PlainValue:
        values = {
            name: self.read(value, info.value_type, (*path, name))
            for name, value in self._unique_entries(node, path)
        }
        return {name: value for name, value in values.items() if value is not _FAULTY}

    def _unique_entries(
        self, node: yaml.MappingNode, path: DocumentPath
    ) -> Iterable[tuple[str, yaml.Node]]:
        """Yield the names and value nodes of a mapping; add a fault for each repeated name."""
        seen: set[str] = set()
        for key, value in node.value:
            name = key.value if isinstance(key, yaml.ScalarNode) else "(no name)"
            if name in seen:
                self.line_by_path[(*path, name)] = key.start_mark.line + 1
                self.add_fault((*path, name), "written twice", "write it once")
                continue
            seen.add(name)
            yield name, value

    def _read_list(
        self,
        node: yaml.SequenceNode,
        info: inspect.ListType | inspect.VarTupleType,
        path: DocumentPath,
    ) -> PlainValue:
        if not has_valid_length(len(node.value), info):
            self.add_fault(path, f"a list of {len(node.value)}", f"write {expected_text(info)}")
            return _FAULTY
        # A faulty item becomes None rather than being removed, so later items keep their index.
        items = [
            self.read(item, info.item_type, (*path, index)) for index, item in enumerate(node.value)
        ]
        return [None if item is _FAULTY else item for item in items]

    def _read_scalar(self, node: yaml.Node, info: inspect.Type, path: DocumentPath) -> PlainValue:
        value = _scalar_value(node)
        if value is not _FAULTY and fits(value, info):
            return value
        written = node.value if value is _FAULTY else value
        shown = _NODE_NAMES.get(type(node)) or value_text(written)
        self.add_fault(path, shown, f"write {expected_text(info)}")
        return _FAULTY


# Returned in place of a value that is invalid; None is a valid value.
_FAULTY: Final = object()
_NODE_NAMES: Final[dict[type[yaml.Node], str]] = {
    yaml.MappingNode: "fields and values",
    yaml.SequenceNode: "a list",
}


def _matching_variant(node: yaml.Node, info: inspect.Type) -> inspect.Type:
    """Return the variant of a union that can hold a mapping or a list; else the type itself."""
    if not isinstance(info, inspect.UnionType) or isinstance(node, yaml.ScalarNode):
        return info
    expected_types = (
        (inspect.StructType, inspect.DictType)
        if isinstance(node, yaml.MappingNode)
        else (inspect.ListType, inspect.VarTupleType)
    )
    return next((variant for variant in info.types if isinstance(variant, expected_types)), info)


def _scalar_value(node: yaml.Node) -> PlainValue:
    """Return a scalar's value, or `_FAULTY`; the caller adds the fault."""
    if not isinstance(node, yaml.ScalarNode):
        return _FAULTY
    try:
        return yaml.constructor.SafeConstructor().construct_object(node)
    except (yaml.YAMLError, ValueError, OverflowError):
        return _FAULTY


def _syntax_fault(file_name: str, error: Exception) -> Fault:
    mark = getattr(error, "problem_mark", None)
    line = 0 if mark is None else mark.line + 1
    problem = getattr(error, "problem", None) or str(error) or type(error).__name__
    return Fault(file_name, line, "the document", "not readable as YAML", f"fix: {problem}")
