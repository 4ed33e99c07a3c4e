"""What one entry knows of each service: its targets and their shedding levels."""

from collections.abc import Iterable
from typing import Final

from daisywharf._contract import Importance
from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._mesh._model import MemberRecord, Readiness, parse_address
from daisywharf._mesh._target_restrictions import RestrictionsByIncarnation, restrictions_of
from daisywharf._overload._chain_chance import MIN_SHARE
from daisywharf._routing._placement import (
    Placement,
    remove_target,
    service_level,
    service_occupied_fraction,
    service_rejected_share,
    set_target,
)
from daisywharf._topology import Target

LEVEL_CACHE_S: Final = 0.02


class Services:
    """Hold the placement of each service, and a short-lived cache of shedding levels."""

    def __init__(self, *, zone: ZoneName) -> None:
        self.zone = zone
        self.ceiling = float(len(Importance))
        self.entries = 1
        self.restrictions = RestrictionsByIncarnation()
        self.placement_by_service: dict[ServiceName, Placement] = {}
        self._target_by_vm: dict[VmId, Target] = {}
        self._service_by_target: dict[TargetId, ServiceName] = {}
        self._levels: dict[ServiceName, float] = {}
        self._levels_at = float("-inf")
        self._rejected_shares: dict[ServiceName, float] = {}
        self._rejected_shares_at = float("-inf")

    def placement_of(self, service: ServiceName) -> Placement:
        """Return the placement of a service; create it on first use."""
        placement = self.placement_by_service.get(service)
        if placement is None:
            placement = self.placement_by_service[service] = Placement(zone=self.zone)
            placement.entries = self.entries
        return placement

    def set_entries(self, entries: int) -> None:
        """Set how many daemons of the zone place calls at the same targets."""
        self.entries = entries
        for placement in self.placement_by_service.values():
            placement.entries = entries

    def level_by_service(self, *, now: float) -> dict[ServiceName, float]:
        """Return the shedding level of each service, recomputed at most every LEVEL_CACHE_S."""
        if now - self._levels_at > LEVEL_CACHE_S:
            self._levels_at = now
            self._levels = {
                service: service_level(placement, ceiling=self.ceiling, now=now)
                for service, placement in self.placement_by_service.items()
            }
            for service, level in self._levels.items():
                if level < self.ceiling:
                    self.placement_by_service[service].shed_at = now
        return self._levels

    def rejected_share_by_service(self, *, now: float) -> dict[ServiceName, float]:
        """Return the rejected share of each service that rejects calls, cached as the levels.

        Shares below `MIN_SHARE` are left out: a full target rejects single calls.
        """
        if now - self._rejected_shares_at > LEVEL_CACHE_S:
            self._rejected_shares_at = now
            share_by_service = {
                service: service_rejected_share(placement, now=now)
                for service, placement in self.placement_by_service.items()
            }
            self._rejected_shares = {
                service: share for service, share in share_by_service.items() if share >= MIN_SHARE
            }
        return self._rejected_shares

    def max_occupied_fraction(self, services: Iterable[ServiceName], *, now: float) -> float:
        """Return the occupied fraction of the fullest of these services."""
        placements = [
            self.placement_by_service[s] for s in services if s in self.placement_by_service
        ]
        return max((service_occupied_fraction(p, now=now) for p in placements), default=0.0)

    def levels_age_s(self, *, now: float) -> float:
        """Return the seconds since the levels were computed."""
        return now - self._levels_at

    def target_of(self, vm: VmId) -> Target | None:
        """Return the target that accepts calls on a VM, or None."""
        return self._target_by_vm.get(vm)

    def service_of(self, target_id: TargetId) -> ServiceName | None:
        """Return the service of a target that accepts calls, or None."""
        return self._service_by_target.get(target_id)

    def record_leaving(self, target: Target) -> None:
        """Send no more calls to a target that announced in an answer that it leaves."""
        restrictions_of(self.restrictions, target.target_id, target.incarnation).is_leaving = True
        remove_target(self.placement_of(target.service), target.target_id)

    def update_target(self, record: MemberRecord, *, is_reachable: bool, now: float) -> None:
        """Add, replace or remove the target that a daemon's record names."""
        known = self._target_by_vm.get(record.vm)
        reported = record.target
        accepts_calls = (
            is_reachable
            and not record.is_leaving
            and reported is not None
            and reported.readiness is Readiness.READY
            and not restrictions_of(
                self.restrictions, reported.target_id, Incarnation(reported.born_ms)
            ).is_leaving
        )
        if known is not None and (
            not accepts_calls or reported is None or known.target_id != reported.target_id
        ):
            remove_target(self.placement_of(known.service), known.target_id)
            del self._target_by_vm[record.vm]
            self._service_by_target.pop(known.target_id, None)
        if accepts_calls and reported is not None:
            target = Target(
                target_id=reported.target_id,
                service=reported.service,
                vm=record.vm,
                zone=record.zone,
                incarnation=Incarnation(reported.born_ms),
                address=parse_address(record.address),
                slots=reported.slots,
                connections=reported.slots,
            )
            self._target_by_vm[record.vm] = target
            self._service_by_target[reported.target_id] = reported.service
            set_target(
                self.placement_of(reported.service),
                record.vm,
                target,
                cold_s=reported.cold_s,
                now=now,
                share=restrictions_of(
                    self.restrictions, reported.target_id, Incarnation(reported.born_ms)
                ).share,
            )
