"""Compare two contracts field by field."""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from daisywharf._contracts._schema import WrittenClass

ABSENT = "absent"


class Difference(msgspec.Struct, frozen=True):
    """Hold the values of a field such as `place-order.burst` before and after an edit.

    For a class that was added or removed, `path` is the name of the class.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.path}: {self.before} -> {self.after}"


def differences(
    before: Iterable[WrittenClass], after: Iterable[WrittenClass]
) -> tuple[Difference, ...]:
    """Return the changes that turn the first classes into the second, sorted by class name."""
    old_by_name = {written.name: written for written in before}
    new_by_name = {written.name: written for written in after}
    found: list[Difference] = []
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        old = _fields_of(old_by_name.get(name))
        new = _fields_of(new_by_name.get(name))
        found.extend(_class_differences(name, old, new))
    return tuple(found)


def _class_differences(
    name: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterable[Difference]:
    if not old or not new:
        yield Difference(name, _summary(old), _summary(new))
        return
    for field, before in old.items():
        if new[field] != before:
            yield Difference(f"{name}.{field}", _format_value(before), _format_value(new[field]))


def _fields_of(written: WrittenClass | None) -> Mapping[str, Any]:
    return {} if written is None else msgspec.structs.asdict(written)


def _summary(fields: Mapping[str, Any]) -> str:
    return ", ".join(f"{field} {_format_value(value)}" for field, value in fields.items()) or ABSENT


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(value)}]"
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, float) else str(value)
