"""Decode the operator's configuration from the platform's store."""

from typing import Any, Final

from daisywharf._configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteName,
    SplitPart,
)
from daisywharf._contract import Importance
from daisywharf._errors import ConfigurationError, ErrorKind
from daisywharf._ids import ServiceName, Version
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

IDEMPOTENT_KINDS: Final = frozenset({"idempotent", "download"})
KNOWN_KINDS: Final = IDEMPOTENT_KINDS | {"non_idempotent"}
DEFAULT_TIMEOUT_MS: Final = 30_000  # a route without one is bounded by its client's deadline
DEFAULT_ATTEMPTS: Final = 1
MS_PER_S: Final = 1000.0
# Raised for a field that is missing, of the wrong type, or out of bounds.
UNREADABLE: Final = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def read_configuration(document: Any) -> Configuration:
    """Decode a configuration; raise `ConfigurationError` if it has no version or no resources.

    A resource that can't be read is skipped and logged.
    """
    version = document.get("version") if isinstance(document, dict) else None
    entries = document.get("resources") if isinstance(document, dict) else None
    if not isinstance(version, int) or isinstance(version, bool) or not isinstance(entries, list):
        raise ConfigurationError(
            ErrorKind.INVALID_CONTRACT,
            f"configuration has version {version!r}; write an integer version and a resources list",
        )
    routes: list[Route] = []
    limits = ClientLimits()
    connections_by_service: dict[ServiceName, int] = {}
    for entry in entries:
        try:
            kind, name, content = _split_entry(entry)
            if kind == "routes":
                routes.append(_parse_route(name, content))
            elif kind == "services":
                connections_by_service[ServiceName(name)] = int(content["maxConnections"])
            elif kind == "limits":
                limits = _parse_limits(content)
        except UNREADABLE as error:
            log_event(Event.ENTRY_UNREADABLE, entry=repr(entry), error=repr(error))
    return Configuration(Version(version), tuple(routes), limits, connections_by_service)


def _split_entry(entry: Any) -> tuple[str, str, dict[str, Any]]:
    metadata = entry.get("metadata") or {}
    return entry["resourceKind"], str(metadata.get("name", "")), entry["specification"]


def _parse_route(name: str, content: dict[str, Any]) -> Route:
    kind = content["kind"]
    if kind not in KNOWN_KINDS:
        raise ValueError(f"unknown kind {kind!r}; use one of {sorted(KNOWN_KINDS)}")
    priority = int(content.get("priority", Importance.NORMAL))
    return Route(
        name=RouteName(name),
        host=str(content["host"]),
        path_prefix=str(content["pathPrefix"]),
        parts=_parse_parts(content),
        is_idempotent=kind in IDEMPOTENT_KINDS,
        max_attempts=max(1, int(content.get("maxAttempts", DEFAULT_ATTEMPTS))),
        timeout_s=float(content.get("timeoutMs", DEFAULT_TIMEOUT_MS)) / MS_PER_S,
        # In `targetLatencyMs`, "target" is a latency objective, not a target that runs calls.
        aim_s=float(content.get("targetLatencyMs", DEFAULT_TIMEOUT_MS)) / MS_PER_S,
        importance=Importance(min(max(priority, 0), Importance.LOW)),
    )


def _parse_parts(content: dict[str, Any]) -> tuple[SplitPart, ...]:
    split = content.get("trafficSplit")
    if split:
        return tuple(SplitPart(ServiceName(p["service"]), float(p["weight"])) for p in split)
    return (SplitPart(ServiceName(content["service"]), 1.0),)


def _parse_limits(content: dict[str, Any]) -> ClientLimits:
    return ClientLimits(
        header_bytes=int(content["maxHeaderBytes"]),
        body_bytes=int(content["maxBodyBytes"]),
        header_timeout_s=float(content["headerTimeoutMs"]) / MS_PER_S,
        idle_timeout_s=float(content["idleTimeoutMs"]) / MS_PER_S,
    )
