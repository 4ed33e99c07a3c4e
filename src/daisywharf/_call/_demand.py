"""Count entering requests, so that a customer's rate can be divided among entries by demand."""

import threading

import msgspec

from daisywharf._ids import CallClassName, CustomerId
from daisywharf._overload._rates import BucketKey


class Demand(msgspec.Struct, frozen=True):
    """Hold the number of requests of one call class since the last report, admitted or not."""

    customer: CustomerId
    call_class: CallClassName
    requests: int


class DemandCounter:
    """Count requests per call class since the last report; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests_by_key: dict[BucketKey, int] = {}

    def count(self, key: BucketKey) -> None:
        """Count one request."""
        with self._lock:
            self._requests_by_key[key] = self._requests_by_key.get(key, 0) + 1

    def read_and_reset(self) -> tuple[Demand, ...]:
        """Return the counts and reset them."""
        with self._lock:
            counted, self._requests_by_key = self._requests_by_key, {}
        return tuple(
            Demand(key.customer, key.call_class, requests) for key, requests in counted.items()
        )
