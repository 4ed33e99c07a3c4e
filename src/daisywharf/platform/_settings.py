"""Decode the settings file that the platform places on each VM."""

from pathlib import Path
from typing import Any, Final

import yaml

from daisywharf._errors import ConfigurationError, ErrorKind
from daisywharf._ids import ServiceName, VmId, ZoneName
from daisywharf._mesh._model import parse_address
from daisywharf._mesh._settings import MeshBounds, MeshSettings
from daisywharf._topology import Address

SETTINGS_VARIABLE: Final = "DAISYWHARF_SETTINGS"
DEFAULT_GRACE_S: Final = 6.0  # the `gracePeriodS` of every site file
DEFAULT_RETRY_RATIO: Final = 0.2  # retries per first attempt
DEFAULT_RETRY_WINDOW_S: Final = 10.0
DEFAULT_RETRY_EXTRA: Final = 0.0  # retries per window
DEFAULT_QUOTA_WINDOW_S: Final = 5.0
DEFAULT_QUOTA_OVERRUN: Final = 0.1  # part of the quota
DEFAULT_QUOTA_TOLERANCE: Final = 20.0  # requests per window
DEFAULT_MEMORY_MB: Final = 200.0  # the smallest of any VM in the site files
BYTES_PER_MB: Final = 1_000_000.0


def read_settings(path: Path) -> MeshSettings:
    """Read a settings file; raise `ConfigurationError` that lists each fault in it."""
    try:
        document = yaml.load(
            path.read_bytes(), Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        )
    except (OSError, yaml.YAMLError, UnicodeDecodeError) as error:
        raise ConfigurationError(ErrorKind.INVALID_SETTINGS, f"{path}: {error}") from error
    return decode_settings(document)


def decode_settings(document: Any) -> MeshSettings:
    """Decode settings; raise `ConfigurationError` that lists each fault in them."""
    faults: list[str] = []
    root = _Table(document, faults)
    own, network = root.table("self"), root.table("network")
    listen = network.table("listenAddresses")
    store = root.table("platform").table("platform")
    settings = MeshSettings(
        vm=VmId(own.string("nodeName")),
        zone=ZoneName(own.string("zone")),
        service=ServiceName(own.string("service")),
        target_address=own.address("applicationAddress"),
        # `outbound` accepts what leaves this VM: its clients' requests and its target's calls.
        entry_address=listen.address("outbound"),
        links_address=listen.address("inbound"),
        ready_address=listen.address("ready"),
        announcements_address=listen.address("controlPlane"),
        store_address=store.address("address"),
        # Control addresses of other daemons, of which only the hosts are used.
        seeds=tuple(
            a for a in (_parse_seed(s) for s in network.items("seedNodes")) if a is not None
        ),
        memory_bytes=_parse_memory_mb(own) * BYTES_PER_MB,
        bounds=_parse_bounds(root.table("terms").table("bounds")),
    )
    if faults:
        raise ConfigurationError(ErrorKind.INVALID_SETTINGS, "; ".join(faults))
    return settings


def _parse_memory_mb(own: "_Table") -> float:
    if "limits" not in own.content:
        return DEFAULT_MEMORY_MB
    return own.table("limits").number("memoryMb", DEFAULT_MEMORY_MB)


def _parse_bounds(table: "_Table") -> MeshBounds:
    return MeshBounds(
        grace_s=table.number("gracePeriodS", DEFAULT_GRACE_S),
        retry_ratio=table.number("retryBudgetRatio", DEFAULT_RETRY_RATIO),
        retry_window_s=table.number("budgetWindowS", DEFAULT_RETRY_WINDOW_S),
        retry_extra=table.number("retryBudgetExtra", DEFAULT_RETRY_EXTRA),
        quota_window_s=table.number("quotaWindowS", DEFAULT_QUOTA_WINDOW_S),
        quota_overrun=table.number("quotaOverrun", DEFAULT_QUOTA_OVERRUN),
        quota_tolerance=table.number("quotaTolerance", DEFAULT_QUOTA_TOLERANCE),
    )


def _parse_seed(value: Any) -> Address | None:
    try:
        return parse_address(str(value))
    except ValueError:
        return None


class _Table:
    """Read fields of one table of the document, and collect faults in a list shared by all."""

    def __init__(self, content: Any, faults: list[str], path: str = "") -> None:
        self.content = content if isinstance(content, dict) else {}
        self.faults = faults
        self.path = path
        if not isinstance(content, dict):
            faults.append(
                f"{path.rstrip('.') or 'the file'} is {content!r}; write a table of settings"
            )

    def table(self, name: str) -> "_Table":
        return _Table(self.content.get(name), self.faults, f"{self.path}{name}.")

    def items(self, name: str) -> list[Any]:
        value = self.content.get(name) or []
        return value if isinstance(value, list) else []

    def string(self, name: str) -> str:
        value = self.content.get(name)
        if not isinstance(value, str) or not value:
            self.faults.append(f"{self.path}{name} is {value!r}; write a non-empty string")
            return ""
        return value

    def number(self, name: str, default: float) -> float:
        value = self.content.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.faults.append(f"{self.path}{name} is {value!r}; write a number")
            return default
        return float(value)

    def address(self, name: str) -> Address:
        value = self.content.get(name)
        try:
            return parse_address(str(value))
        except ValueError:
            self.faults.append(
                f"{self.path}{name} is {value!r}; write an address such as 10.0.0.5:8080"
            )
            return Address("", 0)
