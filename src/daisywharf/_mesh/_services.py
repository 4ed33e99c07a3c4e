"""What one entry knows of each service: where its targets are and what level they ask for."""

from typing import Final

from daisywharf._contract import Importance
from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._mesh._model import MemberRecord, Readiness, parse_address
from daisywharf._mesh._said import SaidByTargets, said_by
from daisywharf._routing._placement import Placement, remove_target, service_level, set_target
from daisywharf._topology import Target

LEVEL_LIFETIME_S: Final = 0.02


class Services:
    """Hold the placement of each service, and the levels worked out a moment ago."""

    def __init__(self, *, zone: ZoneName) -> None:
        self.zone = zone
        self.ceiling = float(len(Importance))
        self.entries = 1
        self.said = SaidByTargets()
        self.placement_by_service: dict[ServiceName, Placement] = {}
        self._target_by_vm: dict[VmId, Target] = {}
        self._service_by_target: dict[TargetId, ServiceName] = {}
        self._levels: dict[ServiceName, float] = {}
        self._levels_at = float("-inf")

    def placement_of(self, service: ServiceName) -> Placement:
        """Return the placement of a service."""
        placement = self.placement_by_service.get(service)
        if placement is None:
            placement = self.placement_by_service[service] = Placement(zone=self.zone)
            placement.entries = self.entries
        return placement

    def set_entries(self, entries: int) -> None:
        """Take how many daemons of the zone place calls at the same targets."""
        self.entries = entries
        for placement in self.placement_by_service.values():
            placement.entries = entries

    def level_by_service(self, *, now: float) -> dict[ServiceName, float]:
        """Return the shedding level of each service."""
        if now - self._levels_at > LEVEL_LIFETIME_S:
            self._levels_at = now
            self._levels = {
                service: service_level(placement, ceiling=self.ceiling, now=now)
                for service, placement in self.placement_by_service.items()
            }
        return self._levels

    def levels_age_s(self, *, now: float) -> float:
        """Return the seconds since the levels were worked out."""
        return now - self._levels_at

    def target_of(self, vm: VmId) -> Target | None:
        """Return the target that takes calls on a VM."""
        return self._target_by_vm.get(vm)

    def service_of(self, target_id: TargetId) -> ServiceName | None:
        """Return the service of a target that takes calls."""
        return self._service_by_target.get(target_id)

    def note_leaving(self, target: Target) -> None:
        """Take from an answer that a target leaves: it gets nothing more from here."""
        said_by(self.said, target.target_id, target.incarnation).is_leaving = True
        remove_target(self.placement_of(target.service), target.target_id)

    def follow(self, record: MemberRecord, *, is_reachable: bool, now: float) -> None:
        """Take in what a daemon says of the target beside it."""
        known = self._target_by_vm.get(record.vm)
        said = record.target
        takes_calls = (
            is_reachable
            and not record.is_leaving
            and said is not None
            and said.readiness is Readiness.READY
            and not said_by(self.said, said.target_id, Incarnation(said.born_ms)).is_leaving
        )
        if known is not None and (
            not takes_calls or said is None or known.target_id != said.target_id
        ):
            remove_target(self.placement_of(known.service), known.target_id)
            del self._target_by_vm[record.vm]
            self._service_by_target.pop(known.target_id, None)
        if takes_calls and said is not None:
            target = Target(
                target_id=said.target_id,
                service=said.service,
                vm=record.vm,
                zone=record.zone,
                incarnation=Incarnation(said.born_ms),
                address=parse_address(record.address),
                slots=said.slots,
                connections=said.slots,
            )
            self._target_by_vm[record.vm] = target
            self._service_by_target[said.target_id] = said.service
            set_target(
                self.placement_of(said.service),
                record.vm,
                target,
                cold_s=said.cold_s,
                now=now,
                share=said_by(self.said, said.target_id, Incarnation(said.born_ms)).share,
            )
