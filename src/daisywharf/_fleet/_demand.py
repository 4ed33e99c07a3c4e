"""Encode demand compactly: a hash for the call class, a logarithmic step for the rate."""

import math
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Final

from daisywharf._fleet._messages import DemandEntry, RateId
from daisywharf._ids import CallClassName, CustomerId

STEP_RATIO: Final = 1.1
RATE_ID_BYTES: Final = 4

Weights = dict[RateId, float]


@lru_cache(maxsize=65_536)
def rate_id(customer: CustomerId, call_class: CallClassName) -> RateId:
    """Return a 4-byte hash that identifies a customer's call class."""
    name = f"{customer} {call_class}".encode()
    return RateId(int.from_bytes(blake2b(name, digest_size=RATE_ID_BYTES).digest(), "big"))


def entries_of(weights: Weights) -> tuple[DemandEntry, ...]:
    """Encode weights (requests per second), the largest first."""
    ordered = sorted(weights.items(), key=lambda item: -item[1])
    return tuple(DemandEntry(rate, step_of(weight)) for rate, weight in ordered)


def step_of(weight: float) -> int:
    """Return the step of the logarithmic scale nearest to a weight (requests per second)."""
    return round(math.log(max(weight, 1e-6)) / math.log(STEP_RATIO))


@lru_cache(maxsize=1_024)
def weight_of(step: int) -> float:
    """Return the weight of a step, in requests per second."""
    return float(STEP_RATIO**step)


def weights_of(entries: Iterable[DemandEntry]) -> Weights:
    """Decode weights (requests per second)."""
    return {entry.rate_id: weight_of(entry.step) for entry in entries}
