"""The targets of an experiment, as one entry sees them."""

from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._routing._placement import Placement, set_target
from daisywharf._topology import Address, Target

SERVICE = ServiceName("deep")


def build_placement(*, entry: int, targets: int, slots: int, zones: int) -> Placement:
    """Build the initial placement state of an entry; entries and targets rotate through zones."""
    placement = Placement(zone=ZoneName(f"z{entry % zones}"))
    for number in range(targets):
        target = Target(
            target_id=TargetId(str(number)),
            service=SERVICE,
            vm=VmId(f"vm-{number}"),
            zone=ZoneName(f"z{number % zones}"),
            incarnation=Incarnation(1),
            address=Address("10.0.0.1", 80),
            slots=slots,
            connections=slots,
        )
        set_target(placement, target.vm, target, cold_s=0.0, now=0.0)
    return placement
