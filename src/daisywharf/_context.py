"""The context of a request, passed along its call chain, and the names of public headers."""

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
    """Count the requests that an entry shed, indexed by importance.

    `importance` and `sub_order` are the shedding level from which it refused them.
    """

    counts: tuple[int, ...]
    importance: int
    sub_order: int


class RequestContext(msgspec.Struct, frozen=True):
    """Describe one call of a request; `deadline` is in seconds on this process's clock.

    `retries` is what is left of the budget of the request's call tree, `depth` the number of hops
    from the entry, and `refusals` count what the entry shed since it last admitted a request.
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
        """Return the request's shedding order within its importance, the same at every hop."""
        return sub_order_of(self.request_id)


def sub_order_of(request_id: RequestId) -> int:
    """Hash a request id to a number below `SUB_ORDERS`; the larger number is refused first."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest)
