"""When refused callers are told to come back, so that their returns make no second surge."""

from typing import Final

from daisywharf._context import SUB_ORDERS

RETURN_PART: Final = 0.05
LEAST_RETRY_AFTER_S: Final = 1.0
MOST_RETRY_AFTER_S: Final = 30.0
LEAST_RETURNS_PER_S: Final = 1.0
ATTEMPT_STRIDE: Final = 40_503


class Returns:
    """Hold the time up to which returns are planned already."""

    def __init__(self) -> None:
        self.planned_to = 0.0


def plan_return(
    returns: Returns, *, rate_per_second: float, sub_order: int, attempt: int, now: float
) -> float:
    """Return the seconds after which a refused caller is to come back.

    Returns are planned one after another at a small part of the gate's rate. Beyond the longest
    time they are spread at random over the later half of it.
    """
    place = ((sub_order + attempt * ATTEMPT_STRIDE) % SUB_ORDERS) / SUB_ORDERS
    soonest = now + LEAST_RETRY_AFTER_S
    step_s = 1.0 / max(LEAST_RETURNS_PER_S, rate_per_second * RETURN_PART)
    planned = max(soonest, returns.planned_to)
    if planned - now >= MOST_RETRY_AFTER_S:
        return MOST_RETRY_AFTER_S * (1.0 + place) / 2.0
    returns.planned_to = planned + step_s
    return planned - now + place * LEAST_RETRY_AFTER_S
