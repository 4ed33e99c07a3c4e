"""Choose among one service's targets by the outcomes of earlier calls."""

from collections.abc import Iterable
from enum import Enum
from random import Random

from daisywharf._ids import ServiceName, TargetId, ZoneName
from daisywharf._topology import Target, TargetState


class CallOutcome(Enum):
    """Name what a caller saw of one call to a target."""

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"


class RouterState:
    """Hold what one caller knows of one service's targets."""

    def __init__(self, *, service: ServiceName, zone: ZoneName, caller: str) -> None:
        self.service = service
        self.zone = zone
        self.caller = caller
        self.target_by_id: dict[TargetId, Target] = {}
        self.in_flight_by_id: dict[TargetId, int] = {}


def update_targets(state: RouterState, targets: Iterable[Target], *, now: float) -> None:
    """Take the service's targets that the fleet knows now, of every zone."""
    state.target_by_id = {target.target_id: target for target in targets}


def choose(
    state: RouterState, *, now: float, rng: Random, excluded: frozenset[TargetId] = frozenset()
) -> Target | None:
    """Choose a target, or none where no target may be called."""
    usable = [
        target
        for target in state.target_by_id.values()
        if target.target_id not in excluded and target.state is not TargetState.DRAINING
    ]
    if not usable:
        return None
    own = [target for target in usable if target.zone == state.zone] or usable
    two = rng.sample(own, min(2, len(own)))
    return min(two, key=lambda target: state.in_flight_by_id.get(target.target_id, 0))


def record_start(state: RouterState, target_id: TargetId, *, now: float) -> None:
    """Count a call that leaves for a target."""
    state.in_flight_by_id[target_id] = state.in_flight_by_id.get(target_id, 0) + 1


def record_outcome(
    state: RouterState,
    target_id: TargetId,
    outcome: CallOutcome,
    *,
    latency_s: float,
    now: float,
) -> None:
    """Learn from a call that ended."""
    state.in_flight_by_id[target_id] = max(0, state.in_flight_by_id.get(target_id, 0) - 1)
