"""A caller's smoothed record of one target's outcomes, and its decay."""

from typing import Final

from daisywharf._topology import Target

# Smoothing weights of one call in the latency and in the failed and refused fractions.
LATENCY_WEIGHT: Final = 0.2
OUTCOME_WEIGHT: Final = 0.2
# A target that was not called for this long is treated as an average one.
RECORD_LIFETIME_S: Final = 15.0
# A new or readmitted target's share of calls rises for this long, from this fraction.
SLOW_START_S: Final = 10.0
MIN_SLOW_START_FRACTION: Final = 0.05
# A target that answers none of its calls is charged (1 + this) times its latency.
FAILURE_COST_FACTOR: Final = 20.0
# Keeps the cost of an instant answer above 0, so that calls in flight and failures still count.
MIN_LATENCY_S: Final = 0.000_1


class TargetRecord:
    """Hold one target's outcomes; `failed_fraction` and `refused_fraction` are smoothed, 0 to 1.

    Times are in seconds of the caller's clock: `warm_at` is when the slow start ends, `probe_at`
    the earliest time of the next probe of an ejected target. `ejections` counts those since it
    last answered after its slow start.
    """

    def __init__(self, target: Target, *, is_own_zone: bool, warm_at: float) -> None:
        self.target = target
        self.is_own_zone = is_own_zone
        self.warm_at = warm_at
        self.in_flight = 0
        self.latency_s: float | None = None
        self.failed_fraction = 0.0
        self.refused_fraction = 0.0
        self.learned_at = float("-inf")
        self.failures_in_a_row = 0
        self.ejections = 0
        self.is_ejected = False
        self.is_probing = False
        self.probe_at = 0.0


def freshness(record: TargetRecord, now: float) -> float:
    """Return the weight of the record by its age, from 1 (new) down to 0 (expired)."""
    return max(0.0, 1.0 - (now - record.learned_at) / RECORD_LIFETIME_S)


def learn_outcome(
    record: TargetRecord, *, failed: float, refused: float, latency_s: float | None, now: float
) -> None:
    """Smooth one outcome into the record; a latency of None leaves the latency unchanged."""
    fresh = freshness(record, now)
    record.failed_fraction = _smooth(record.failed_fraction * fresh, failed, OUTCOME_WEIGHT)
    record.refused_fraction = _smooth(record.refused_fraction * fresh, refused, OUTCOME_WEIGHT)
    if latency_s is not None:
        known = record.latency_s if fresh > 0 else None
        record.latency_s = _smooth(known, latency_s, LATENCY_WEIGHT)
    record.learned_at = now


def learn_min_latency(record: TargetRecord, *, latency_s: float, now: float) -> None:
    """Raise the latency by an abandoned call, whose answer would have taken at least that long."""
    fresh = freshness(record, now)
    if record.latency_s is not None and latency_s > record.latency_s and fresh > 0:
        record.latency_s = _smooth(record.latency_s, latency_s, LATENCY_WEIGHT)
        record.learned_at = now


def _smooth(known: float | None, value: float, weight: float) -> float:
    return value if known is None else known + weight * (value - known)


def cost(record: TargetRecord, *, typical_latency_s: float, now: float) -> float:
    """Return the expected seconds of one more call, from past outcomes and the calls in flight."""
    fresh = freshness(record, now)
    latency_s = typical_latency_s
    if record.latency_s is not None:
        latency_s += (record.latency_s - typical_latency_s) * fresh
    unanswered = (record.failed_fraction + record.refused_fraction) * fresh
    calls = record.in_flight + 1
    return max(latency_s, MIN_LATENCY_S) * calls * (1.0 + FAILURE_COST_FACTOR * unanswered)


def slow_start_fraction(record: TargetRecord, now: float) -> float:
    """Return the fraction of its usual calls that a target gets now, 0 to 1."""
    if now >= record.warm_at:
        return 1.0
    return max(MIN_SLOW_START_FRACTION, 1.0 - (record.warm_at - now) / SLOW_START_S)


def start_slowly(record: TargetRecord, *, now: float) -> None:
    """Give the target a small share that rises over `SLOW_START_S`."""
    record.warm_at = now + SLOW_START_S
