"""Decide which daemons of a zone watch the store for new configurations and inform the others."""

from typing import Final

import msgspec

from daisywharf._ids import VmId

# Two, so that one is left if the other dies or loses its connection to the store unnoticed.
WATCHERS_PER_ZONE: Final = 2
# Reports arrive once a second; a watcher that missed two doesn't count.
REPORT_LIFETIME_S: Final = 2.2


class WatchReport(msgspec.Struct, frozen=True):
    """Hold whether a daemon of the zone watches successfully, and when it reported that."""

    is_watching: bool
    heard_at: float


def watchers_before(own: VmId, report_by_vm: dict[VmId, WatchReport], *, now: float) -> int:
    """Return how many daemons that sort before this one watch successfully.

    This daemon watches if there are fewer than `WATCHERS_PER_ZONE`.
    """
    return sum(
        vm < own and report.is_watching and now - report.heard_at < REPORT_LIFETIME_S
        for vm, report in report_by_vm.items()
    )
