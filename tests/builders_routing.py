"""Build targets and routers, and run calls against them under virtual time."""

from collections import Counter
from collections.abc import Callable
from random import Random

from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._routing._router import (
    CallOutcome,
    RouterState,
    choose,
    record_outcome,
    record_start,
    update_targets,
)
from daisywharf._topology import Address, Target, TargetState

STOCK = ServiceName("stock")
CALL_PERIOD_S = 0.01

Answering = Callable[[Target, float], tuple[CallOutcome, float]]


def zone_name(number: int) -> ZoneName:
    return ZoneName(f"zone-{number}")


def build_target(
    number: int,
    *,
    zones: int = 3,
    incarnation: int = 1,
    connections: int = 900,
    state: TargetState = TargetState.SERVING,
) -> Target:
    return Target(
        target_id=TargetId(f"stock-{number}"),
        service=STOCK,
        vm=VmId(f"vm-{number}"),
        zone=zone_name(number % zones),
        incarnation=Incarnation(incarnation),
        address=Address("127.0.0.1", 8000 + number),
        slots=140,
        connections=connections,
        state=state,
    )


def build_targets(count: int, *, zones: int = 3) -> list[Target]:
    return [build_target(number, zones=zones) for number in range(count)]


def build_router(targets: list[Target], *, caller: str = "vm-a", now: float = 0.0) -> RouterState:
    state = RouterState(service=STOCK, zone=zone_name(0), caller=caller)
    update_targets(state, targets, now=now)
    return state


def answer_well(_target: Target, _now: float) -> tuple[CallOutcome, float]:
    return CallOutcome.SUCCEEDED, 0.01


def run_calls(
    state: RouterState, answering: Answering, *, calls: int, start: float, seed: int = 1
) -> Counter[TargetId]:
    """Make calls one after another and count them by target."""
    rng = Random(seed)
    count_by_target: Counter[TargetId] = Counter()
    for index in range(calls):
        now = start + index * CALL_PERIOD_S
        target = choose(state, now=now, rng=rng)
        assert target is not None
        record_start(state, target.target_id, now=now)
        outcome, latency_s = answering(target, now)
        record_outcome(state, target.target_id, outcome, latency_s=latency_s, now=now + latency_s)
        count_by_target[target.target_id] += 1
    return count_by_target
