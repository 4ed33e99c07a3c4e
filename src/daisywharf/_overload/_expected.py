"""Expected run times of calls, used to refuse at once the calls that can't finish in time."""

from typing import Final

import msgspec

from daisywharf._ids import CallClassName

# Smoothing weight of one run time.
EXPECTED_WEIGHT: Final = 0.1
# Time in which an expected time halves without new ones: if it refused all calls, none could
# correct it.
EXPECTED_HALF_LIFE_S: Final = 0.5
# Fraction of the expected time that a call is assumed to need at least.
SAFETY_FACTOR: Final = 0.7
MAX_EXPECTED_KEYS: Final = 10_000


class ExpectedKey(msgspec.Struct, frozen=True):
    """Identify the calls of one class at one depth of the call chain."""

    call_class: CallClassName
    depth: int


class ExpectedTime(msgspec.Struct):
    """Hold a smoothed run time, and when it was last updated, both in seconds."""

    seconds: float
    learned_at: float


class ExpectedTimes:
    """Hold the expected run times of the calls at one gate."""

    def __init__(self) -> None:
        self.time_by_key: dict[ExpectedKey, ExpectedTime] = {}


def record_run_time(times: ExpectedTimes, key: ExpectedKey, seconds: float, *, now: float) -> None:
    """Smooth the seconds that a call took into its expected time.

    Beyond `MAX_EXPECTED_KEYS` keys, the times of new ones aren't recorded.
    """
    known = times.time_by_key.get(key)
    if known is None:
        if len(times.time_by_key) < MAX_EXPECTED_KEYS:
            times.time_by_key[key] = ExpectedTime(seconds, now)
        return
    known.seconds += (seconds - known.seconds) * EXPECTED_WEIGHT
    known.learned_at = now


def min_run_time_s(times: ExpectedTimes, key: ExpectedKey, *, now: float) -> float:
    """Return the minimum seconds that a call is expected to need; old estimates decay."""
    known = times.time_by_key.get(key)
    if known is None:
        return 0.0
    halvings: float = (now - known.learned_at) / EXPECTED_HALF_LIFE_S
    decay_factor: float = 0.5**halvings
    return known.seconds * SAFETY_FACTOR * decay_factor
