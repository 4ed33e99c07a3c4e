"""Plan when refused callers resend, so that their resends cause no second surge."""

from typing import Final

from daisywharf._context import SUB_ORDERS

# Resends are planned at this fraction of the gate's rate.
RESEND_FRACTION: Final = 0.05
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 30.0
MIN_RESENDS_PER_S: Final = 1.0
# The number of sub-orders over the golden ratio: spreads the attempts of one request evenly.
ATTEMPT_STRIDE: Final = 40_503


class ResendPlan:
    """Hold the time, in seconds of the gate's clock, up to which resends are already planned."""

    def __init__(self) -> None:
        self.planned_until = 0.0


def plan_resend(
    plan: ResendPlan, *, rate_per_second: float, sub_order: int, attempt: int, now: float
) -> float:
    """Return the seconds after which a refused caller should resend.

    Resends are planned one after another at a small fraction of the gate's rate. Once they are
    planned up to `MAX_RETRY_AFTER_S`, they are spread over the later half of that time by the
    request's sub-order and the attempt.
    """
    spread = ((sub_order + attempt * ATTEMPT_STRIDE) % SUB_ORDERS) / SUB_ORDERS
    soonest = now + MIN_RETRY_AFTER_S
    step_s = 1.0 / max(MIN_RESENDS_PER_S, rate_per_second * RESEND_FRACTION)
    planned = max(soonest, plan.planned_until)
    if planned - now >= MAX_RETRY_AFTER_S:
        return MAX_RETRY_AFTER_S * (1.0 + spread) / 2.0
    plan.planned_until = planned + step_s
    return planned - now + spread * MIN_RETRY_AFTER_S
