"""The settings of a daemon, read from a YAML file and validated."""

from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Final, Literal

import msgspec
from msgspec import Meta

from daisywharf._errors import ErrorKind
from daisywharf._ids import VmId, ZoneName
from daisywharf._limits import MAX_NAME_CHARS, MAX_SETTINGS_BYTES
from daisywharf._topology import Address, is_ip_address

if TYPE_CHECKING:
    from daisywharf._documents._faults import DocumentPath
    from daisywharf._documents._reader import Problem

MAX_PORT: Final = 65_535
MAX_HTTP_THREADS: Final = 1_024
MAX_PEERS: Final = 256
MAX_KEYS: Final = 16
MAX_ZONES: Final = 64
MAX_TEXT_CHARS: Final = 1_024

NAME_META: Final = Meta(
    min_length=1, max_length=MAX_NAME_CHARS, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z"
)


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Choose the format and the lowest level of the event log."""

    format: Literal["plain", "json"] = "plain"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class TraceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Choose the file for spans, and the fraction (0 to 1) of traces begun here to sample."""

    file: Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_CHARS)]
    ratio: Annotated[float, Meta(ge=0, le=1)] = 1.0


class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a daemon's settings; with port 0 the kernel chooses a port."""

    vm: Annotated[VmId, NAME_META]
    zone: Annotated[ZoneName, NAME_META]
    links: Address
    http: Address
    peers: Annotated[tuple[Address, ...], Meta(max_length=MAX_PEERS)] = ()
    platform: Annotated[str, Meta(pattern="^https?://", max_length=MAX_TEXT_CHARS)] | None = None
    keys: Annotated[
        tuple[Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_CHARS)], ...],
        Meta(max_length=MAX_KEYS),
    ] = ()
    zones: Annotated[tuple[Annotated[ZoneName, NAME_META], ...], Meta(max_length=MAX_ZONES)] = ()
    http_threads: Annotated[int, Meta(ge=1, le=MAX_HTTP_THREADS)] = 16
    log: LogSettings = LogSettings()
    traces: TraceSettings | None = None


def load_settings(path: Path) -> DaemonSettings:
    """Read a settings file; raise `DocumentError` (invalid settings) with all its faults."""
    # Imports YAML, which a process that embeds the library never needs.
    from daisywharf._documents._reader import read_file

    return read_file(
        path,
        DaemonSettings,
        kind=ErrorKind.INVALID_SETTINGS,
        max_bytes=MAX_SETTINGS_BYTES,
        check=_find_address_problems,
        secret_fields=frozenset({"keys"}),
    )


def _find_address_problems(plain: Any) -> "Iterable[Problem]":
    if not isinstance(plain, dict):
        return
    for name in ("links", "http"):
        yield from _problems_of_address((name,), plain.get(name), min_port=0)
    for index, peer in enumerate(plain.get("peers") or ()):
        yield from _problems_of_address(("peers", index), peer, min_port=1)


def _problems_of_address(path: "DocumentPath", plain: Any, *, min_port: int) -> "Iterable[Problem]":
    from daisywharf._documents._reader import Problem

    if not isinstance(plain, dict):
        return
    host = plain.get("host")
    if host is not None and not is_ip_address(host):
        yield Problem((*path, "host"), host, "use an IP address, such as 10.0.0.5")
    port = plain.get("port")
    if port is not None and not min_port <= port <= MAX_PORT:
        yield Problem((*path, "port"), port, f"use a port from {min_port} to {MAX_PORT}")
