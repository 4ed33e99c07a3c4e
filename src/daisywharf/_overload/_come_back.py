"""Tell a refused caller when to come back.

Load pattern: a surge in which thousands are refused within a second. Each is told a moment at which
an answer can still be of full use to it, spread so that the refused don't return together.
"""

from random import Random
from typing import Final

# Parts of the latency objective at whose spread a caller returns: enough of it is left to be met.
EARLIEST_PART: Final = 0.1
LATEST_PART: Final = 0.45
# Callers keep to a time of at most this part of what they have left.
MOST_OF_TIME_LEFT: Final = 0.3
LEAST_S: Final = 0.02


def come_back_s(*, aim_s: float, time_left_s: float, rng: Random) -> float:
    """Return the seconds after which a refused caller is to come back."""
    spread = EARLIEST_PART + (LATEST_PART - EARLIEST_PART) * rng.random()
    return max(LEAST_S, min(aim_s * spread, time_left_s * MOST_OF_TIME_LEFT))
