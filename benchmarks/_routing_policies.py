"""The router under test, and the simpler ways that it is compared with."""

from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec

from benchmarks._fake_service import SERVICE, Reply
from daisywharf._ids import TargetId, ZoneName
from daisywharf._routing._router import (
    CallOutcome,
    RouterState,
    choose,
    record_outcome,
    record_start,
    update_targets,
)
from daisywharf._topology import Target


class Policy(msgspec.Struct, frozen=True):
    """Hold one caller's way of choosing targets."""

    update: Callable[[list[Target], float], None]
    start: Callable[[float], TargetId]
    end: Callable[[Reply, float], None]


def daisywharf_policy(zone: ZoneName, caller: str, rng: Random) -> Policy:
    """Use the real router."""
    state = RouterState(service=SERVICE, zone=zone, caller=caller)

    def update(targets: list[Target], now: float) -> None:
        update_targets(state, targets, now=now)

    def start(now: float) -> TargetId:
        target = choose(state, now=now, rng=rng)
        assert target is not None
        record_start(state, target.target_id, now=now)
        return target.target_id

    def end(reply: Reply, now: float) -> None:
        record_outcome(state, reply.target_id, reply.outcome, latency_s=reply.latency_s, now=now)

    return Policy(update, start, end)


def without_ejection(zone: ZoneName, caller: str, rng: Random) -> Policy:
    """Use the real router, with failures shown to it as refusals, which eject nothing."""
    real = daisywharf_policy(zone, caller, rng)

    def end(reply: Reply, now: float) -> None:
        is_failure = reply.outcome in (CallOutcome.FAILED, CallOutcome.TIMED_OUT)
        outcome = CallOutcome.REFUSED if is_failure else reply.outcome
        real.end(Reply(reply.target_id, outcome, reply.latency_s), now)

    return Policy(real.update, real.start, end)


def without_slow_start(zone: ZoneName, caller: str, rng: Random) -> Policy:
    """Use the real router, with restarts hidden from it."""
    real = daisywharf_policy(zone, caller, rng)
    has_targets = False

    def update(targets: list[Target], now: float) -> None:
        nonlocal has_targets
        if not has_targets:
            real.update(targets, now)
        has_targets = True

    return Policy(update, real.start, real.end)


def without_zones(_zone: ZoneName, caller: str, rng: Random) -> Policy:
    """Use the real router, with all targets shown to it as of one other zone."""
    return daisywharf_policy(ZoneName("no-zone"), caller, rng)


def random_policy(_zone: ZoneName, _caller: str, rng: Random) -> Policy:
    """Choose any target."""
    target_ids: list[TargetId] = []

    def update(targets: list[Target], _now: float) -> None:
        target_ids[:] = [target.target_id for target in targets]

    return Policy(update, lambda _now: rng.choice(target_ids), lambda _reply, _now: None)


def least_in_flight(_zone: ZoneName, _caller: str, rng: Random) -> Policy:
    """Choose the target with the fewest of this caller's calls in flight, of all."""
    in_flight_by_id: Counter[TargetId] = Counter()

    def update(targets: list[Target], _now: float) -> None:
        for target in targets:
            in_flight_by_id.setdefault(target.target_id, 0)

    def start(_now: float) -> TargetId:
        fewest = min(in_flight_by_id.values())
        target_id = rng.choice([t for t, count in in_flight_by_id.items() if count == fewest])
        in_flight_by_id[target_id] += 1
        return target_id

    def end(reply: Reply, _now: float) -> None:
        in_flight_by_id[reply.target_id] -= 1

    return Policy(update, start, end)


POLICY_BY_NAME: dict[str, Callable[[ZoneName, str, Random], Policy]] = {
    "daisywharf": daisywharf_policy,
    "without_ejection": without_ejection,
    "without_slow_start": without_slow_start,
    "without_zones": without_zones,
    "random": random_policy,
    "least_in_flight": least_in_flight,
}
