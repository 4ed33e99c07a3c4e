"""What targets said of themselves in answers that came through this daemon.

It binds whatever becomes of the link to the target's VM, of that VM's daemon and of the store.
"""

from typing import Final

from daisywharf._ids import Incarnation, TargetId, VmId
from daisywharf._mesh._model import TargetRecord
from daisywharf._routing._rate_share import RateShare

# Three times the VMs that the users plan for; what was said longest ago is dropped beyond it.
MOST_KEPT: Final = 9_000


class Said:
    """Hold what one incarnation of a target said."""

    def __init__(self, target_id: TargetId, incarnation: Incarnation) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.share = RateShare()


class SaidByTargets:
    """Hold what the newest target on each VM said."""

    def __init__(self) -> None:
        self.said_by_vm: dict[VmId, Said] = {}


def said_on(kept: SaidByTargets, vm: VmId, target: TargetRecord) -> Said:
    """Return what a VM's target said; another incarnation has said nothing yet."""
    said = kept.said_by_vm.get(vm)
    born = Incarnation(target.born_ms)
    if said is None or (said.target_id, said.incarnation) != (target.target_id, born):
        kept.said_by_vm.pop(vm, None)
        said = kept.said_by_vm[vm] = Said(target.target_id, born)
        if len(kept.said_by_vm) > MOST_KEPT:
            del kept.said_by_vm[next(iter(kept.said_by_vm))]
    return said
