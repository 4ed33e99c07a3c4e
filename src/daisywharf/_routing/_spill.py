"""Move calls to other zones according to the headroom that outcomes show."""

import math
from typing import Final

from daisywharf._routing._record import TargetRecord

# Changes of the fraction of calls sent to other zones: up by a bad outcome in the own zone (down by
# one in another zone), up by an answer while the own zone is slow (times its slowness), and down by
# any other answer in the own zone.
STEP_UP: Final = 0.1
SLOW_STEP_UP: Final = 0.005
STEP_DOWN: Final = 0.003
# Time constant with which that fraction decays.
SPILL_DECAY_S: Final = 10.0
MAX_SPILL_FRACTION: Final = 0.998
# A few calls always go to other zones, so that their latency is known.
EXPLORATION_FRACTION: Final = 0.01
# Smoothing weight of one outcome in a zone's record.
ZONE_OUTCOME_WEIGHT: Final = 0.05
# A zone's record expires this long after its last outcome.
ZONE_LIFETIME_S: Final = 20.0
# The own zone is slow if its latency exceeds the others' by this factor and margin.
SLOW_FACTOR: Final = 2.0
SLOW_MARGIN_S: Final = 0.005


class ZoneRecord:
    """Hold the smoothed latency and fraction of bad outcomes of the own zone or of all others."""

    def __init__(self) -> None:
        self.bad_fraction = 0.0
        self.latency_s: float | None = None
        self.learned_at = float("-inf")


class SpillState:
    """Hold the fraction of calls sent to other zones, and both sides' records."""

    def __init__(self) -> None:
        self.fraction = 0.0
        self.changed_at = 0.0
        self.own = ZoneRecord()
        self.others = ZoneRecord()


def spill_fraction(state: SpillState, *, now: float) -> float:
    """Return the fraction of calls to send to other zones now."""
    return max(EXPLORATION_FRACTION, _decayed_fraction(state, now))


def record_zone_outcome(
    state: SpillState,
    record: TargetRecord,
    *,
    is_answered: bool,
    latency_s: float,
    now: float,
) -> None:
    """Record an outcome and move calls away from the side that refuses, fails or is much slower."""
    side = state.own if record.is_own_zone else state.others
    _learn(side, is_answered=is_answered, latency_s=latency_s, now=now)
    step = _outcome_step(state, is_own_zone=record.is_own_zone, is_bad=not is_answered)
    if record.is_own_zone and is_answered and _is_own_zone_slow(state, now):
        step = _slow_zone_step(state)
    state.fraction = min(MAX_SPILL_FRACTION, max(0.0, _decayed_fraction(state, now) + step))
    state.changed_at = now


def reset_spill(state: SpillState) -> None:
    """Return to the own zone and forget all latencies."""
    state.fraction = 0.0
    state.own = ZoneRecord()
    state.others = ZoneRecord()


def typical_latency_s(state: SpillState) -> float:
    """Return the latency, in seconds, to assume for a target without a record."""
    known = state.own.latency_s
    return (state.others.latency_s or 0.0) if known is None else known


def _decayed_fraction(state: SpillState, now: float) -> float:
    return state.fraction * math.exp(-max(0.0, now - state.changed_at) / SPILL_DECAY_S)


def _outcome_step(state: SpillState, *, is_own_zone: bool, is_bad: bool) -> float:
    """Return the change of the spilled fraction for an outcome."""
    if is_own_zone:
        return STEP_UP if is_bad else -STEP_DOWN
    # A bad outcome in another zone brings calls back only if the own zone does no worse.
    is_own_zone_better = state.own.bad_fraction <= state.others.bad_fraction
    return -STEP_UP if is_bad and is_own_zone_better else 0.0


def _slow_zone_step(state: SpillState) -> float:
    """Return the change of the spilled fraction for an answer of the slow own zone."""
    # All callers observe the same slowness, with a delay; small steps keep them from moving
    # together.
    own, others = state.own.latency_s, state.others.latency_s
    if own is None or others is None:
        return 0.0
    slowness = own / max(SLOW_FACTOR * others, SLOW_MARGIN_S)
    return min(STEP_UP, SLOW_STEP_UP * slowness)


def _learn(side: ZoneRecord, *, is_answered: bool, latency_s: float, now: float) -> None:
    if now - side.learned_at > ZONE_LIFETIME_S:
        side.latency_s = None
        side.bad_fraction = 0.0
    side.learned_at = now
    side.bad_fraction += ZONE_OUTCOME_WEIGHT * ((0.0 if is_answered else 1.0) - side.bad_fraction)
    if is_answered:
        known = latency_s if side.latency_s is None else side.latency_s
        side.latency_s = known + ZONE_OUTCOME_WEIGHT * (latency_s - known)


def _is_own_zone_slow(state: SpillState, now: float) -> bool:
    own, others = state.own.latency_s, state.others.latency_s
    if own is None or others is None or now - state.others.learned_at > ZONE_LIFETIME_S:
        return False
    return own > SLOW_FACTOR * others + SLOW_MARGIN_S
