"""The context that a request carries down its whole call chain, and outside headers' names."""

import hashlib
from typing import Final

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import CallClassName, CustomerId, IdempotencyKey, RequestId

CUSTOMER: Final = "Daisywharf-Customer"
CALL_CLASS: Final = "Daisywharf-Class"
ERROR_KIND: Final = "Daisywharf-Error"
RAN: Final = "Daisywharf-Ran"
IDEMPOTENCY_KEY: Final = "Idempotency-Key"
TRACEPARENT: Final = "traceparent"

SUB_ORDERS: Final = 65_536


class Refusals(msgspec.Struct, frozen=True):
    """Count, by importance, the requests that an entry refused for load, and from which level."""

    counts: tuple[int, ...]
    importance: int
    sub_order: int


class RequestContext(msgspec.Struct, frozen=True):
    """Describe one call of a request; `deadline` is in seconds of the holder's own clock.

    `refusals` are those of the entry since the last request that it let in.
    """

    request_id: RequestId
    customer: CustomerId
    call_class: CallClassName
    importance: Importance
    deadline: float
    retries: int
    idempotent: bool = True
    depth: int = 0
    key: IdempotencyKey | None = None
    traceparent: str | None = None
    refusals: Refusals | None = None

    @property
    def sub_order(self) -> int:
        """Return the request's place within its importance, the same at every hop."""
        return sub_order_of(self.request_id)


def sub_order_of(request_id: RequestId) -> int:
    """Hash a request id to 0 up to `SUB_ORDERS`; the larger value is refused first."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest)
