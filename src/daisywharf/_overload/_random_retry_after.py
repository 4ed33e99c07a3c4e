"""Choose when a refused caller should resend its request.

Load pattern: a surge in which thousands of callers are refused within a second. Each gets a time
that still lets its answer meet the latency objective, spread so that callers don't resend together.
"""

from random import Random
from typing import Final

# Callers resend after between these fractions of the latency objective, which leaves enough time to
# meet it.
EARLIEST_FRACTION: Final = 0.1
LATEST_FRACTION: Final = 0.45
# Callers observe a retry-after of at most this fraction of their remaining time.
MAX_TIME_LEFT_FRACTION: Final = 0.3
MIN_RETRY_AFTER_S: Final = 0.02


def random_retry_after_s(*, latency_objective_s: float, time_left_s: float, rng: Random) -> float:
    """Return the seconds after which a refused caller should resend, spread at random."""
    spread = EARLIEST_FRACTION + (LATEST_FRACTION - EARLIEST_FRACTION) * rng.random()
    return max(
        MIN_RETRY_AFTER_S, min(latency_objective_s * spread, time_left_s * MAX_TIME_LEFT_FRACTION)
    )
