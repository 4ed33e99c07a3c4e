"""Settings of a daemon, read from YAML and checked."""

from pathlib import Path
from typing import Any

import msgspec

from daisywharf._errors import ConfigurationError, ErrorKind
from daisywharf._ids import VmId, ZoneName
from daisywharf._limits import MAX_SETTINGS_BYTES
from daisywharf._topology import Address


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say how events are written."""

    format: str = "plain"
    level: str = "INFO"


class TraceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say where spans go: a file of JSON lines."""

    file: str


class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold one daemon's settings; a port of 0 lets the kernel choose."""

    vm: VmId
    zone: ZoneName
    links: Address
    http: Address
    peers: tuple[Address, ...] = ()
    platform: str | None = None
    keys: tuple[str, ...] = ()
    http_threads: int = 16
    log: LogSettings = LogSettings()
    traces: TraceSettings | None = None


def load_settings(path: Path) -> DaemonSettings:
    """Read a settings file; raise `ConfigurationError` (invalid settings) naming the fault."""
    import yaml

    if path.stat().st_size > MAX_SETTINGS_BYTES:
        raise _invalid(path, f"the file is over {MAX_SETTINGS_BYTES} bytes")
    try:
        document: Any = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(document, DaemonSettings)
    except (yaml.YAMLError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise _invalid(path, str(error)) from error


def _invalid(path: Path, fault: str) -> ConfigurationError:
    return ConfigurationError(ErrorKind.INVALID_SETTINGS, f"{path}: {fault}")
