"""The contract of one customer, as every process holds it."""

from enum import IntEnum

import msgspec

from daisywharf._ids import CallClassName, CustomerId, ServiceName, Version


class Importance(IntEnum):
    """Order call classes for shedding: the larger value is refused first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class CallClass(msgspec.Struct, frozen=True):
    """State what a customer may ask in one class of calls, and how much it matters.

    `rate_per_second` is the sum over the whole fleet of requests that enter; `burst` is in
    requests; `retries` is for the whole tree of one request.
    """

    name: CallClassName
    services: tuple[ServiceName, ...]
    importance: Importance
    rate_per_second: float
    burst: float
    deadline_ms: int
    idempotent: bool
    retries: int = 0


class Contract(msgspec.Struct, frozen=True):
    """Hold one customer's contract at one version of the platform."""

    customer: CustomerId
    classes_by_name: dict[CallClassName, CallClass]
    version: Version = Version(0)
