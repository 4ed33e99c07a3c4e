"""Describe the values that a type accepts, and check scalars against it."""

import math
import re
from typing import Any

from msgspec import inspect


def expected_text(info: inspect.Type) -> str:
    """Return a description of the values that a type accepts, for error messages."""
    match info:
        case inspect.UnionType():
            return " or ".join(expected_text(variant) for variant in info.types)
        case inspect.LiteralType() | inspect.EnumType():
            return f"one of: {', '.join(str(choice) for choice in _choices(info))}"
        case inspect.ListType() | inspect.VarTupleType():
            return f"a list{_length_text(info)}"
        case inspect.StructType() | inspect.DictType():
            return "fields and their values"
    return _scalar_text(info)


def _scalar_text(info: inspect.Type) -> str:
    match info:
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return f"a whole number{_range_text(info)}"
        case inspect.FloatType():
            return f"a number{_range_text(info)}"
        case inspect.StrType():
            return f"a text{_length_text(info)}{_pattern_text(info)}"
    return "nothing"


def fits(value: Any, info: inspect.Type) -> bool:
    """Return whether a scalar is valid for a type; False for a type that accepts no scalars."""
    match info:
        case inspect.UnionType():
            return any(fits(value, variant) for variant in info.types)
        case inspect.LiteralType() | inspect.EnumType():
            return value in _choices(info)
        case inspect.NoneType():
            return value is None
        case inspect.BoolType():
            return isinstance(value, bool)
        case inspect.StrType():
            return (
                isinstance(value, str)
                and _has_valid_text_length(value, info)
                and _matches(value, info)
            )
        case inspect.IntType():
            return _is_number(value, int) and _is_in_range(value, info)
        case inspect.FloatType():
            return _is_number(value, int | float) and _is_in_range(value, info)
    return False


def _choices(info: inspect.LiteralType | inspect.EnumType) -> list[Any]:
    if isinstance(info, inspect.LiteralType):
        return list(info.values)
    return [member.value for member in info.cls]


def _is_number(value: Any, number_type: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, number_type):
        return False
    return math.isfinite(value)


def has_valid_length(size: int, info: inspect.ListType | inspect.VarTupleType) -> bool:
    """Return whether a list's length is within its type's bounds."""
    return (
        (info.min_length or 0) <= size <= (math.inf if info.max_length is None else info.max_length)
    )


def _is_in_range(value: float, info: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (info.ge is None or value >= info.ge)
        and (info.gt is None or value > info.gt)
        and (info.le is None or value <= info.le)
        and (info.lt is None or value < info.lt)
    )


def _has_valid_text_length(value: str, info: inspect.StrType) -> bool:
    return (info.min_length or 0) <= len(value) <= (info.max_length or math.inf)


def _matches(value: str, info: inspect.StrType) -> bool:
    return info.pattern is None or re.search(info.pattern, value) is not None


def _range_text(info: inspect.IntType | inspect.FloatType) -> str:
    bound_texts = [
        f" {preposition} {bound:,}".replace(",", "_")
        for preposition, bound in (
            ("from", info.ge),
            ("above", info.gt),
            ("up to" if info.ge is None else "to", info.le),
            ("below", info.lt),
        )
        if bound is not None
    ]
    return "".join(bound_texts)


def _length_text(info: inspect.StrType | inspect.ListType | inspect.VarTupleType) -> str:
    if info.max_length is None:
        return "" if not info.min_length else f" of at least {info.min_length}"
    return f" of {info.min_length or 0} to {info.max_length}"


def _pattern_text(info: inspect.StrType) -> str:
    return "" if info.pattern is None else f" that matches {info.pattern}"
