"""The schema of contracts in files and on the platform."""

from collections.abc import Iterable
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from daisywharf._contract import CallClass, Contract, Importance
from daisywharf._documents._reader import Problem
from daisywharf._ids import CallClassName, CustomerId, ServiceName, Version
from daisywharf._limits import (
    MAX_BURST,
    MAX_CLASS_SERVICES,
    MAX_CLASSES,
    MAX_DEADLINE_MS,
    MAX_NAME_CHARS,
    MAX_RATE_PER_SECOND,
    MAX_RETRIES,
    MAX_VERSION,
)

Name = Annotated[
    str, Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")
]


class WrittenClass(Struct, frozen=True, forbid_unknown_fields=True):
    """A call class as files and the platform have it; see `CallClass`."""

    name: Name
    services: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MAX_CLASS_SERVICES)]
    importance: Literal["critical", "high", "normal", "low"]
    rate_per_second: Annotated[float, Meta(gt=0, le=MAX_RATE_PER_SECOND)]
    burst: Annotated[float, Meta(ge=1, le=MAX_BURST)]
    deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]
    idempotent: bool
    retries: Annotated[int, Meta(ge=0, le=MAX_RETRIES)] = 0


class WrittenContract(Struct, frozen=True, forbid_unknown_fields=True):
    """A contract as a file has it; `version` is the one that the file is based on, if any."""

    customer: Name
    classes: Annotated[tuple[WrittenClass, ...], Meta(min_length=1, max_length=MAX_CLASSES)]
    version: Annotated[int, Meta(ge=1, le=MAX_VERSION)] | None = None


class Edit(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold who made an edit, and when, in seconds since 1970."""

    operator: Annotated[str, Meta(max_length=MAX_NAME_CHARS)] = ""
    edited_at_s: float = 0.0


class StoredContract(Struct, frozen=True, forbid_unknown_fields=True):
    """A contract as the platform stores it, with the edit that wrote it."""

    customer: Name
    classes: Annotated[tuple[WrittenClass, ...], Meta(min_length=1, max_length=MAX_CLASSES)]
    edit: Edit = Edit()


def contract_of(written: WrittenContract | StoredContract, version: Version) -> Contract:
    """Return a written contract as a `Contract` with a version."""
    classes = [_class_of(written_class) for written_class in written.classes]
    return Contract(
        customer=CustomerId(written.customer),
        classes_by_name={call_class.name: call_class for call_class in classes},
        version=version,
    )


def _class_of(written: WrittenClass) -> CallClass:
    return CallClass(
        name=CallClassName(written.name),
        services=tuple(ServiceName(service) for service in written.services),
        importance=Importance[written.importance.upper()],
        rate_per_second=written.rate_per_second,
        burst=written.burst,
        deadline_ms=written.deadline_ms,
        idempotent=written.idempotent,
        retries=written.retries,
    )


def written_classes(contract: Contract) -> tuple[WrittenClass, ...]:
    """Return a contract's classes in their written form."""
    return tuple(
        WrittenClass(
            name=call_class.name,
            services=call_class.services,
            importance=call_class.importance.name.lower(),  # type: ignore[arg-type]
            rate_per_second=call_class.rate_per_second,
            burst=call_class.burst,
            deadline_ms=call_class.deadline_ms,
            idempotent=call_class.idempotent,
            retries=call_class.retries,
        )
        for call_class in contract.classes_by_name.values()
    )


def duplicate_names(document: Any) -> Iterable[Problem]:
    """Return a problem for each class name, and each service in a class, that occurs again."""
    classes = document.get("classes") if isinstance(document, dict) else None
    seen: set[str] = set()
    for class_index, written in enumerate(classes or ()):
        if not isinstance(written, dict):
            continue
        name = written.get("name")
        if name in seen:
            yield Problem(("classes", class_index, "name"), name, "name each class once")
        if name is not None:
            seen.add(name)
        yield from _duplicate_services(written, class_index)


def _duplicate_services(written: dict[str, Any], class_index: int) -> Iterable[Problem]:
    seen: set[str] = set()
    for service_index, service in enumerate(written.get("services") or ()):
        if service in seen:
            path = ("classes", class_index, "services", service_index)
            yield Problem(path, service, "name each service of a class once")
        seen.add(service)
