"""The contract of a customer, as processes use it in memory."""

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
    """Define the limits and the importance of one class of a customer's calls.

    `rate_per_second` limits the requests that enter in the whole fleet; `burst` is in requests;
    `retries` is shared by the whole call tree of one request.
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
    """Hold a customer's contract and its version on the platform."""

    customer: CustomerId
    classes_by_name: dict[CallClassName, CallClass]
    version: Version = Version(0)
