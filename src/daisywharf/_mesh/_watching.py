"""Decide which daemons of a zone watch the configuration; the others hear of it from them."""

from typing import Final

import msgspec

from daisywharf._ids import VmId

# One that dies, or loses the store without knowing it, leaves another.
WATCHERS_PER_ZONE: Final = 2
# Reports come once a second; a watcher that missed two is not counted on.
REPORT_LIFETIME_S: Final = 2.2


class WatchReport(msgspec.Struct, frozen=True):
    """Hold whether a daemon of the zone watches with success, and when it said so."""

    is_watching: bool
    heard_at: float


def watchers_before(own: VmId, report_by_vm: dict[VmId, WatchReport], *, now: float) -> int:
    """Return how many daemons that come before this one in the order watch with success.

    This one watches where they are fewer than `WATCHERS_PER_ZONE`.
    """
    return sum(
        vm < own and report.is_watching and now - report.heard_at < REPORT_LIFETIME_S
        for vm, report in report_by_vm.items()
    )
