"""Wait until a contract version is in force, reporting the progress in each zone."""

import time
from collections.abc import Callable
from typing import Final

import msgspec

from daisywharf._cli.daemon_client import DaemonView
from daisywharf._daemon._in_force import ZoneCount
from daisywharf._errors import RequestError
from daisywharf._ids import CustomerId, Version, ZoneName

POLL_PERIOD_S: Final = 0.5


class Progress(msgspec.Struct, frozen=True):
    """Hold the progress of a version by zone; `zones` is empty until the daemon has the version."""

    customer: CustomerId
    version: Version
    zones: tuple[ZoneCount, ...]
    is_in_force: bool
    unreachable: tuple[ZoneName, ...]

    def __str__(self) -> str:
        if not self.zones:
            return f"{self.customer} version {self.version}: not heard of yet"
        zones = ", ".join(_format_zone(zone) for zone in self.zones)
        return f"{self.customer} version {self.version}: {zones}"


def progress_of(view: DaemonView | None, customer: CustomerId, version: Version) -> Progress:
    """Return the progress of a version, or of a later one, from a daemon's status."""
    zones: tuple[ZoneCount, ...] = ()
    for contract in () if view is None else view.in_force:
        if contract.customer == customer and contract.version >= version:
            zones = contract.zones
    return Progress(
        customer=customer,
        version=version,
        zones=zones,
        is_in_force=bool(zones) and all(_is_fully_confirmed(zone) for zone in zones),
        unreachable=tuple(zone.zone for zone in zones if not zone.is_reachable),
    )


def wait_until_in_force(
    read_view: Callable[[], DaemonView],
    customer: CustomerId,
    version: Version,
    *,
    wait_s: float,
    tell: Callable[[str], None],
    clock: Callable[[], float] = time.monotonic,
    pause: Callable[[float], None] = time.sleep,
) -> Progress:
    """Poll a daemon until the version is in force in all zones or `wait_s` seconds have passed.

    `tell` gets a line for each change of the progress and for each failed poll.
    """
    deadline = clock() + wait_s
    last_reported = ""
    while True:
        progress = progress_of(_view_or_none(read_view, tell), customer, version)
        if str(progress) != last_reported:
            last_reported = str(progress)
            tell(last_reported)
        if progress.is_in_force or clock() >= deadline:
            return progress
        pause(POLL_PERIOD_S)


def _view_or_none(
    read_view: Callable[[], DaemonView], tell: Callable[[str], None]
) -> DaemonView | None:
    try:
        return read_view()
    except RequestError as error:
        tell(str(error))
        return None


def _is_fully_confirmed(zone: ZoneCount) -> bool:
    return zone.is_reachable and zone.confirmed >= zone.daemons


def _format_zone(zone: ZoneCount) -> str:
    if not zone.is_reachable:
        return f"{zone.zone} can't be reached"
    return f"{zone.zone} {zone.confirmed} of {zone.daemons}"
