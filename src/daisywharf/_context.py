"""The context that a request carries down its whole call chain, and its headers."""

import hashlib
from collections.abc import Mapping
from typing import Final

import msgspec

from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CallClassName, CustomerId, IdempotencyKey, RequestId
from daisywharf._limits import MAX_DEADLINE_MS, MAX_DEPTH, MAX_HEADER_VALUE_CHARS, MAX_RETRIES

REQUEST_ID: Final = "Daisywharf-Request-Id"
CUSTOMER: Final = "Daisywharf-Customer"
CALL_CLASS: Final = "Daisywharf-Class"
IMPORTANCE: Final = "Daisywharf-Importance"
TIME_LEFT_MS: Final = "Daisywharf-Time-Left-Ms"
RETRIES: Final = "Daisywharf-Retries"
RETRIES_UNSPENT: Final = "Daisywharf-Retries-Unspent"
DEPTH: Final = "Daisywharf-Depth"
IDEMPOTENT: Final = "Daisywharf-Idempotent"
TICKET: Final = "Daisywharf-Ticket"
LEVEL: Final = "Daisywharf-Level"
ERROR_KIND: Final = "Daisywharf-Error"
RAN: Final = "Daisywharf-Ran"
IDEMPOTENCY_KEY: Final = "Idempotency-Key"
TRACEPARENT: Final = "traceparent"

SUB_ORDERS: Final = 65_536
MS_PER_S: Final = 1_000.0


class RequestContext(msgspec.Struct, frozen=True):
    """Describe one call of a request; `deadline` is in seconds of the holder's own clock."""

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

    @property
    def sub_order(self) -> int:
        """Return the request's place within its importance, the same at every hop."""
        return sub_order_of(self.request_id)


def sub_order_of(request_id: RequestId) -> int:
    """Hash a request id to 0 up to `SUB_ORDERS`; the larger value is refused first."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest)


def headers_from(context: RequestContext, *, now: float) -> dict[str, str]:
    """Write the context as headers, with the deadline as time left."""
    headers = {
        REQUEST_ID: context.request_id,
        CUSTOMER: context.customer,
        CALL_CLASS: context.call_class,
        IMPORTANCE: str(int(context.importance)),
        TIME_LEFT_MS: f"{(context.deadline - now) * MS_PER_S:.1f}",
        RETRIES: str(context.retries),
        IDEMPOTENT: "1" if context.idempotent else "0",
        DEPTH: str(context.depth),
    }
    if context.key is not None:
        headers[IDEMPOTENCY_KEY] = context.key
    if context.traceparent is not None:
        headers[TRACEPARENT] = context.traceparent
    return headers


def context_from(headers: Mapping[str, str], *, now: float) -> RequestContext:
    """Read a context from headers; raise `RequestError` (bad request) that names the header."""
    key = _optional(headers, IDEMPOTENCY_KEY)
    return RequestContext(
        request_id=RequestId(_required(headers, REQUEST_ID)),
        customer=CustomerId(_required(headers, CUSTOMER)),
        call_class=CallClassName(_required(headers, CALL_CLASS)),
        importance=Importance(int(_number(headers, IMPORTANCE, max(Importance)))),
        deadline=now + _number(headers, TIME_LEFT_MS, MAX_DEADLINE_MS) / MS_PER_S,
        retries=int(_number(headers, RETRIES, MAX_RETRIES)),
        idempotent=_optional(headers, IDEMPOTENT) != "0",
        depth=int(_number(headers, DEPTH, MAX_DEPTH)),
        key=None if key is None else IdempotencyKey(key),
        traceparent=_optional(headers, TRACEPARENT),
    )


def _optional(headers: Mapping[str, str], name: str) -> str | None:
    value = headers.get(name)
    if value is not None and len(value) > MAX_HEADER_VALUE_CHARS:
        message = f"header {name} has {len(value)} characters; at most {MAX_HEADER_VALUE_CHARS}"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    return value


def _required(headers: Mapping[str, str], name: str) -> str:
    value = _optional(headers, name)
    if not value:
        raise RequestError(ErrorKind.BAD_REQUEST, f"header {name} is missing; send it")
    return value


def _number(headers: Mapping[str, str], name: str, most: float) -> float:
    text = _required(headers, name)
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    # A deadline that passed on the way is negative, and is for the gate to refuse.
    least = -float(MAX_DEADLINE_MS) if name == TIME_LEFT_MS else 0.0
    if least <= value <= most:
        return value
    message = f"header {name} is {text!r}; send a number from {least:g} to {most:g}"
    raise RequestError(ErrorKind.BAD_REQUEST, message)
