"""Decode the operator's configuration from the platform's store."""

import math
import re
from collections.abc import Callable
from typing import Any, Final

from daisywharf._configuration import (
    ClientLimits,
    Configuration,
    KeyDigest,
    Route,
    RouteName,
    SplitPart,
    Team,
)
from daisywharf._contract import Importance
from daisywharf._errors import ConfigurationError, ErrorKind
from daisywharf._ids import ServiceName, TeamName, Version
from daisywharf._limits import MAX_NAME_CHARS
from daisywharf._mesh._team_keys import digest_key
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

IDEMPOTENT_KINDS: Final = frozenset({"idempotent", "download"})
KNOWN_KINDS: Final = IDEMPOTENT_KINDS | {"non_idempotent"}
RESOURCE_KINDS: Final = ("routes", "services", "tenants", "limits")
DEFAULT_TIMEOUT_MS: Final = 30_000  # a route without one is bounded by its client's deadline
DEFAULT_ATTEMPTS: Final = 1
MS_PER_S: Final = 1000.0
MAX_COUNT: Final = 2**63 - 1  # the largest integer that any MessagePack decoder accepts
# RFC 9110, section 5.5: what a header's value may be, apart from the whitespace around it.
_HEADER_VALUE: Final = re.compile(rb"[!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?")
# Raised for a field that is missing, of the wrong type, or out of bounds.
UNREADABLE: Final = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


# Gets an entry's kind and name, and why the entry or a part of it can't be read.
OnUnreadable = Callable[[str, str], None]


def log_unreadable(entry: str, error: str) -> None:
    """Log an entry that can't be read."""
    log_event(Event.ENTRY_UNREADABLE, entry=entry, error=error)


def read_configuration(
    document: Any, *, on_unreadable: OnUnreadable = log_unreadable
) -> Configuration:
    """Decode a configuration; raise `ConfigurationError` if it has no version or no resources.

    A resource that can't be read is skipped and passed to `on_unreadable`. If it is the only team,
    requests still need a key: an unreadable entry must not open a route to everybody.
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
    teams: list[Team] = []
    has_teams = False
    for entry in entries:
        kind = entry.get("resourceKind") if isinstance(entry, dict) else None
        has_teams = has_teams or kind == "tenants"
        try:
            name, content = _split_entry(entry)
            if kind == "routes":
                routes.append(_parse_route(name, content))
            elif kind == "services":
                connections_by_service[ServiceName(name)] = _parse_count(content["maxConnections"])
            elif kind == "tenants":
                teams.append(_parse_team(name, content, on_unreadable=on_unreadable))
            elif kind == "limits":
                limits = _parse_limits(content)
        except UNREADABLE as error:
            on_unreadable(_describe(entry), repr(error))
    return Configuration(
        Version(version),
        tuple(routes),
        limits,
        connections_by_service,
        tuple(teams) if has_teams else None,
    )


def entries_of_unknown_kind(document: Any) -> list[str]:
    """Return the kinds and names of the resources that `read_configuration` ignores."""
    entries = document["resources"]
    return [
        _describe(entry)
        for entry in entries
        if isinstance(entry, dict) and entry.get("resourceKind") not in RESOURCE_KINDS
    ]


def _split_entry(entry: Any) -> tuple[str, dict[str, Any]]:
    metadata = entry.get("metadata") or {}
    return str(metadata.get("name", "")), entry["specification"]


def _describe(entry: Any) -> str:
    """Return an entry's kind and name; the rest may contain keys and isn't logged."""
    if not isinstance(entry, dict):
        return f"of type {type(entry).__name__}"
    metadata = entry.get("metadata")
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return f"{entry.get('resourceKind')!r} {name!r}"


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
        max_attempts=max(1, _parse_count(content.get("maxAttempts", DEFAULT_ATTEMPTS))),
        timeout_s=_parse_seconds(content.get("timeoutMs", DEFAULT_TIMEOUT_MS)),
        # In `targetLatencyMs`, "target" is a latency objective, not a target that runs calls.
        aim_s=_parse_seconds(content.get("targetLatencyMs", DEFAULT_TIMEOUT_MS)),
        importance=_importance_of(priority),
        is_public=content.get("public") is True,
    )


def _importance_of(priority: int) -> Importance:
    return Importance(min(max(priority, 0), Importance.LOW))


def _parse_team(name: str, content: dict[str, Any], *, on_unreadable: OnUnreadable) -> Team:
    if not 0 < len(name) <= MAX_NAME_CHARS or not (name.isascii() and name.isprintable()):
        raise ValueError(f"its name isn't 1 to {MAX_NAME_CHARS} printable ASCII characters")
    if name != name.strip():
        # Targets drop the spaces, so the requests would look like another team's.
        raise ValueError("its name begins or ends with a space")
    priority = content.get("priority")
    return Team(
        name=TeamName(name),
        key_digests=_parse_keys(name, content.get("apiKeys"), on_unreadable=on_unreadable),
        importance=None if priority is None else _importance_of(int(priority)),
        rate_per_s=_parse_quota(content, "ratePerS"),
        burst=_parse_quota(content, "burst"),
    )


def _parse_keys(team: str, keys: Any, *, on_unreadable: OnUnreadable) -> tuple[KeyDigest, ...]:
    """Return the digests of a team's keys, without those that no request can carry."""
    if keys is None:
        return ()
    if not isinstance(keys, list):
        raise TypeError(f"apiKeys is a {type(keys).__name__}; write a list of keys")
    usable = [encoded for key in keys if (encoded := _encode_key(key)) is not None]
    if len(usable) < len(keys):
        error = f"{len(keys) - len(usable)} of its {len(keys)} keys can't be sent in a header"
        on_unreadable(f"'tenants' {team!r}", error)
    return tuple(dict.fromkeys(digest_key(key) for key in usable))


def _encode_key(key: Any) -> bytes | None:
    """Return a key's bytes, or None if it can't be the value of a header."""
    if not isinstance(key, str):
        return None
    try:
        encoded = key.encode()
    except UnicodeEncodeError:  # its message would show the key
        return None
    return encoded if _HEADER_VALUE.fullmatch(encoded) else None


def _parse_quota(content: dict[str, Any], field: str) -> float:
    value = float(content.get(field) or 0.0)
    if not math.isfinite(value) or value < 0.0:
        raise ValueError(f"{field} is {value}; write a number of requests, 0 or more")
    return value


def _parse_count(value: Any) -> int:
    count = int(value)
    if abs(count) > MAX_COUNT:
        raise ValueError(f"a number of {len(str(count))} digits is out of range")
    return count


def _parse_seconds(milliseconds: Any) -> float:
    value = float(milliseconds)
    if not math.isfinite(value):
        raise ValueError(f"{value} is no time in milliseconds")
    return value / MS_PER_S


def _parse_parts(content: dict[str, Any]) -> tuple[SplitPart, ...]:
    split = content.get("trafficSplit")
    if split:
        return tuple(SplitPart(ServiceName(p["service"]), float(p["weight"])) for p in split)
    return (SplitPart(ServiceName(content["service"]), 1.0),)


def _parse_limits(content: dict[str, Any]) -> ClientLimits:
    return ClientLimits(
        header_bytes=_parse_count(content["maxHeaderBytes"]),
        body_bytes=_parse_count(content["maxBodyBytes"]),
        header_timeout_s=_parse_seconds(content["headerTimeoutMs"]),
        idle_timeout_s=_parse_seconds(content["idleTimeoutMs"]),
    )
