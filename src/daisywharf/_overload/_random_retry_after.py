"""Choose when a refused caller should resend its request.

Load pattern: a surge in which thousands of callers are refused within a second. Each gets a time
that still lets its answer meet the latency objective, spread so that callers don't resend together,
and long enough that its next attempt is recognized as a return (see `_returns`).
"""

from random import Random
from typing import Final

from daisywharf._overload._returns import MIN_FIRST_FRACTION

# Callers resend after between these fractions of the latency objective, which leaves enough time to
# meet it.
EARLIEST_FRACTION: Final = 0.1
LATEST_FRACTION: Final = 0.45
# Callers observe a retry-after of at most this fraction of their remaining time.
MAX_TIME_LEFT_FRACTION: Final = 0.3
MIN_RETRY_AFTER_S: Final = 0.02
# Fractions of the route's usual time left: how far below the limit of first attempts a return is,
# against rounding to milliseconds, and over how long a time callers are spread at least.
RETURN_MARGIN: Final = 0.02
MIN_SPREAD: Final = 0.15
# While a service's trouble lasts, callers come back in the last part of the time that they observe.
LASTING_FRACTION: Final = 0.8


def random_retry_after_s(*, latency_objective_s: float, time_left_s: float, rng: Random) -> float:
    """Return the seconds after which a refused caller should resend, spread at random."""
    spread = EARLIEST_FRACTION + (LATEST_FRACTION - EARLIEST_FRACTION) * rng.random()
    return max(
        MIN_RETRY_AFTER_S, min(latency_objective_s * spread, time_left_s * MAX_TIME_LEFT_FRACTION)
    )


def return_after_s(
    *,
    latency_objective_s: float,
    time_left_s: float,
    usual_s: float,
    is_lasting: bool,
    rng: Random,
) -> float:
    """Return the seconds after which a refused caller should resend and will be recognized.

    `usual_s` is the time left that first attempts of the route usually have. `is_lasting` means
    that the reason of the refusal will last, so that an early attempt would be refused again.
    """
    latest_s = time_left_s * MAX_TIME_LEFT_FRACTION
    recognized_s = time_left_s - (MIN_FIRST_FRACTION - RETURN_MARGIN) * usual_s
    earliest_s = max(recognized_s, min(EARLIEST_FRACTION * latency_objective_s, latest_s / 2.0))
    if is_lasting:
        earliest_s = max(earliest_s, LASTING_FRACTION * latest_s)
    elif earliest_s < latency_objective_s:
        in_time_s = max(LATEST_FRACTION * latency_objective_s, earliest_s + MIN_SPREAD * usual_s)
        latest_s = min(latest_s, in_time_s)
    earliest_s = min(earliest_s, latest_s)
    return max(MIN_RETRY_AFTER_S, earliest_s + (latest_s - earliest_s) * rng.random())
