"""Tell a refused caller when to come back.

Load pattern: a surge in which thousands are refused within a second. Each is told a moment at which
an answer can still be of full use to it, spread so that the refused don't return together.
"""

from random import Random
from typing import Final

# Parts of the latency objective at whose spread a caller returns: enough of it is left to be met.
EARLIEST_FRACTION: Final = 0.1
LATEST_FRACTION: Final = 0.45
# Callers keep to a time of at most this part of what they have left.
MAX_TIME_LEFT_FRACTION: Final = 0.3
MIN_RETRY_AFTER_S: Final = 0.02


def random_retry_after_s(*, latency_objective_s: float, time_left_s: float, rng: Random) -> float:
    """Return the seconds after which a refused caller is to come back."""
    spread = EARLIEST_FRACTION + (LATEST_FRACTION - EARLIEST_FRACTION) * rng.random()
    return max(
        MIN_RETRY_AFTER_S, min(latency_objective_s * spread, time_left_s * MAX_TIME_LEFT_FRACTION)
    )
