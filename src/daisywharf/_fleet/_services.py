"""Group known targets by service, and detect when the view of the fleet may have changed."""

import msgspec

from daisywharf._fleet._messages import Scope, ServiceSummary
from daisywharf._fleet._model import FleetState
from daisywharf._fleet._shares import all_zones
from daisywharf._fleet._target_records import target_of, targets_in_summary
from daisywharf._ids import ServiceName, ZoneName
from daisywharf._topology import Target, TargetState


class ViewVersion(msgspec.Struct, frozen=True):
    """Identify a view of the fleet, so that a change is found without comparing the records."""

    versions: tuple[int, ...]


def view_version(state: FleetState) -> ViewVersion:
    """Return a version that changes with each stored record other than demand."""
    return ViewVersion(tuple(state.store_by_scope[scope].view_version for scope in Scope))


def targets_by_service(state: FleetState) -> dict[ServiceName, tuple[Target, ...]]:
    """Return all targets that aren't draining: this zone's, and those in other zones' summaries."""
    by_service: dict[ServiceName, list[Target]] = {}
    for record in state.member_records():
        for target in record.targets:
            by_service.setdefault(target.service, []).append(target_of(target, record.member))
    for summary in state.store_by_scope[Scope.SUMMARIES].record_by_key.values():
        if isinstance(summary, ServiceSummary) and summary.zone != state.me.zone:
            by_service.setdefault(summary.service, []).extend(targets_in_summary(summary))
    return {
        service: tuple(target for target in targets if target.state is not TargetState.DRAINING)
        for service, targets in by_service.items()
    }


def daemons_by_zone(state: FleetState) -> dict[ZoneName, int]:
    """Return the number of daemons of each zone; other zones are assumed as large as this one."""
    own = len(state.member_records())
    return {zone: own for zone in all_zones(state)}
