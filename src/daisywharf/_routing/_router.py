"""Choose among one service's targets from the outcomes of earlier calls."""

from collections.abc import Iterable, Mapping
from enum import Enum
from random import Random
from typing import Final

from daisywharf._ids import ServiceName, TargetId, ZoneName
from daisywharf._routing._ejection import is_probe_due, record_answer, record_failure, record_probe
from daisywharf._routing._record import (
    TargetRecord,
    cost,
    learn_min_latency,
    learn_outcome,
    slow_start_fraction,
    start_slowly,
)
from daisywharf._routing._spill import (
    SpillState,
    record_zone_outcome,
    reset_spill,
    spill_fraction,
    typical_latency_s,
)
from daisywharf._routing._subset import pick_subset
from daisywharf._topology import Target, TargetState

ALWAYS_WARM: Final = float("-inf")
# Probes per call that may probe.
PROBE_FRACTION: Final = 0.01
NON_IDEMPOTENT_PROBE_DELAY_S: Final = 20.0


class CallOutcome(Enum):
    """Classify how one call to a target ended; a cancelled call says little about the target."""

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class RouterState:
    """Hold one caller's records of one service's targets; use it from one thread at a time.

    `subset` is the targets that this caller may call, `own_zone` and `other_zones` its parts.
    `probe_credit` is the part of a probe that calls have earned. Outcomes of calls that started
    before `ignore_started_before` aren't learned from.
    """

    def __init__(self, *, service: ServiceName, zone: ZoneName, caller: str) -> None:
        self.service = service
        self.zone = zone
        self.caller = caller
        self.target_by_id: dict[TargetId, Target] = {}
        self.callers_by_zone: dict[ZoneName, int] = {}
        self.record_by_id: dict[TargetId, TargetRecord] = {}
        self.own_zone: tuple[TargetRecord, ...] = ()
        self.other_zones: tuple[TargetRecord, ...] = ()
        self.subset: tuple[TargetRecord, ...] = ()
        self.spill = SpillState()
        self.probe_credit = 0.0
        self.ignore_started_before = float("-inf")


def update_targets(
    state: RouterState,
    targets: Iterable[Target],
    *,
    now: float,
    callers_by_zone: Mapping[ZoneName, int] | None = None,
) -> None:
    """Replace the service's known targets, in all zones.

    `callers_by_zone` counts the callers of the whole fleet; the size of the subset depends on it.
    """
    target_by_id = {target.target_id: target for target in targets}
    callers = dict(callers_by_zone or {})
    if target_by_id == state.target_by_id and callers == state.callers_by_zone:
        return
    is_first = not state.target_by_id
    state.target_by_id = target_by_id
    state.callers_by_zone = callers
    _refresh_subset(state, is_first=is_first, now=now)


def _refresh_subset(state: RouterState, *, is_first: bool, now: float) -> None:
    callable_targets = [
        target for target in state.target_by_id.values() if target.state is not TargetState.DRAINING
    ]
    subset = pick_subset(
        callable_targets,
        caller=state.caller,
        zone=state.zone,
        callers_by_zone=state.callers_by_zone,
    )
    in_flight_by_id = {
        target_id: record for target_id, record in state.record_by_id.items() if record.in_flight
    }
    state.own_zone = tuple(_record(state, t, is_first, now) for t in subset.own_zone)
    state.other_zones = tuple(_record(state, t, is_first, now) for t in subset.other_zones)
    state.subset = state.own_zone + state.other_zones
    # The record of a target outside the subset is dropped when its last call ends.
    state.record_by_id = in_flight_by_id | {
        record.target.target_id: record for record in state.subset
    }


def _record(state: RouterState, target: Target, is_first: bool, now: float) -> TargetRecord:
    """Return the record of this incarnation of a target, or a new one.

    `is_first` is whether the targets are the first that this caller knows.
    """
    known = state.record_by_id.get(target.target_id)
    if known is not None and known.target.incarnation == target.incarnation:
        known.target = target
        return known
    record = TargetRecord(target, is_own_zone=target.zone == state.zone, warm_at=ALWAYS_WARM)
    # A caller that has just started recognises a new target only by its state.
    if not is_first or target.state is TargetState.COLD:
        start_slowly(record, now=now)
    if known is not None:
        record.in_flight = known.in_flight
    return record


def choose(
    state: RouterState,
    *,
    now: float,
    rng: Random,
    excluded: frozenset[TargetId] = frozenset(),
    is_idempotent: bool = True,
) -> Target | None:
    """Choose a target, or return None if no target may be called.

    A call that is not idempotent probes an ejected target only if no other call has done so for
    `NON_IDEMPOTENT_PROBE_DELAY_S`; a retry, which has `excluded` targets, never does.
    """
    delay_s = 0.0 if is_idempotent else NON_IDEMPOTENT_PROBE_DELAY_S
    probed = None if excluded else _due_probe(state, now - delay_s)
    if probed is not None:
        return probed.target
    chosen = _choose_target(state, excluded, now, rng)
    return None if chosen is None else chosen.target


def _due_probe(state: RouterState, due_at: float) -> TargetRecord | None:
    """Return an ejected target whose probe was due at `due_at`, if a probe may be sent now."""
    # A probe is a real call that is likely to fail, so probes are a small fraction of all calls.
    state.probe_credit = min(1.0, state.probe_credit + PROBE_FRACTION)
    if state.probe_credit < 1.0:
        return None
    for record in state.subset:
        if is_probe_due(record, now=due_at):
            state.probe_credit = 0.0
            return record
    return None


def _choose_target(
    state: RouterState, excluded: frozenset[TargetId], now: float, rng: Random
) -> TargetRecord | None:
    """Choose the zone and a target in it, or return None if all targets are excluded."""
    is_spilled = bool(state.other_zones) and rng.random() < spill_fraction(state.spill, now=now)
    first, second = state.own_zone, state.other_zones
    if is_spilled:
        first, second = second, first
    candidates = _usable(first, excluded) or _usable(second, excluded)
    if not candidates:
        # All others are ejected: an ejected target is better than none.
        candidates = [r for r in state.subset if r.target.target_id not in excluded]
    return _choose_of_two(state, candidates, now, rng) if candidates else None


def _usable(records: tuple[TargetRecord, ...], excluded: frozenset[TargetId]) -> list[TargetRecord]:
    return [r for r in records if not r.is_ejected and r.target.target_id not in excluded]


def _choose_of_two(
    state: RouterState, candidates: list[TargetRecord], now: float, rng: Random
) -> TargetRecord:
    """Return the cheaper one of two random candidates; one in its slow start may be passed over."""
    first = candidates.pop(int(rng.random() * len(candidates)))
    if not candidates:
        return first
    second = candidates[int(rng.random() * len(candidates))]
    if not _passes_slow_start(first, now, rng):
        return second
    if not _passes_slow_start(second, now, rng):
        return first
    typical_s = typical_latency_s(state.spill)
    first_cost = cost(first, typical_latency_s=typical_s, now=now)
    return first if first_cost <= cost(second, typical_latency_s=typical_s, now=now) else second


def _passes_slow_start(record: TargetRecord, now: float, rng: Random) -> bool:
    """Return whether a target may get this call; during its slow start, a random fraction may."""
    return now >= record.warm_at or rng.random() < slow_start_fraction(record, now)


def record_start(state: RouterState, target_id: TargetId, *, now: float) -> None:
    """Count a call that is sent to a target."""
    record = state.record_by_id.get(target_id)
    if record is None:
        target = state.target_by_id.get(target_id)
        if target is None:
            return
        record = _record(state, target, is_first=True, now=now)
        state.record_by_id[target_id] = record
    record.in_flight += 1
    if record.is_ejected:
        record_probe(record, now=now)


def record_outcome(
    state: RouterState,
    target_id: TargetId,
    outcome: CallOutcome,
    *,
    latency_s: float,
    now: float,
) -> None:
    """Record the outcome of a call that took `latency_s` seconds."""
    record = state.record_by_id.get(target_id)
    if record is None:
        return
    record.in_flight = max(0, record.in_flight - 1)
    if now - latency_s >= state.ignore_started_before:
        _learn(state, record, outcome, latency_s, now)
    if record.in_flight == 0 and record not in state.subset:
        del state.record_by_id[target_id]


def _learn(
    state: RouterState, record: TargetRecord, outcome: CallOutcome, latency_s: float, now: float
) -> None:
    if outcome is CallOutcome.CANCELLED:
        learn_min_latency(record, latency_s=latency_s, now=now)
        return
    is_answered = outcome is CallOutcome.SUCCEEDED
    is_refused = outcome is CallOutcome.REFUSED
    is_failed = not is_answered and not is_refused
    # Refusals and broken connections are quick, so their times aren't latencies of answers.
    has_latency = is_answered or outcome is CallOutcome.TIMED_OUT
    learn_outcome(
        record,
        failed=float(is_failed),
        refused=float(is_refused),
        latency_s=latency_s if has_latency else None,
        now=now,
    )
    record_zone_outcome(state.spill, record, is_answered=is_answered, latency_s=latency_s, now=now)
    if is_failed:
        record_failure(record, state.subset, now=now)
    else:
        record_answer(record, now=now)


def record_pause(state: RouterState, *, now: float) -> None:
    """Discard what was learned before a pause of the process, and calls that spanned it."""
    state.ignore_started_before = now
    reset_spill(state.spill)
    for record in state.record_by_id.values():
        record.learned_at = float("-inf")
        record.failures_in_a_row = 0
        record.probe_at = min(record.probe_at, now)
