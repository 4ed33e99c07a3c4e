"""Check a new request against its contract at an entry, and create its context."""

import threading
from secrets import token_hex
from typing import Final

import msgspec

from daisywharf._call._demand import DemandCounter
from daisywharf._call._snapshot import Snapshot, call_class_of, share_in
from daisywharf._context import RequestContext
from daisywharf._contract import CallClass
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CallClassName, CustomerId, IdempotencyKey, RequestId, ServiceName
from daisywharf._overload._rates import BucketKey, RateState, take_token
from daisywharf._routing._resends import RESEND_WINDOW_S, ResendState, record_send

MS_PER_S: Final = 1_000.0
# Shares follow demand within seconds, so a longer wait would outlast the shortage behind it.
MAX_RATE_WAIT_S: Final = 5.0
# A contract that has just taken effect receives its shares within this time.
NO_SHARE_WAIT_S: Final = 1.0
# An entry with a small share, or none yet, still accepts a few requests at once.
MIN_BURST: Final = 4.0


class NewRequest(msgspec.Struct, frozen=True):
    """Hold what an external caller states about its request."""

    service: ServiceName
    customer: CustomerId
    call_class: CallClassName
    key: IdempotencyKey | None
    traceparent: str | None


class EntryState:
    """Hold an entry's token buckets, resend counts and demand counts."""

    def __init__(self) -> None:
        self.rates = RateState()
        self.resends = ResendState()
        self.demand = DemandCounter()
        self.lock = threading.Lock()


def admit_request(
    entry: EntryState, snapshot: Snapshot, new: NewRequest, *, now: float
) -> RequestContext:
    """Return the context of a request that its contract admits; `now` is in seconds.

    Raise `RequestError`: unknown customer, not in contract, rate exceeded, retries spent.
    """
    call_class = call_class_of(snapshot, new.customer, new.call_class, new.service)
    _take_token(entry, snapshot, new, call_class, now=now)
    request_id = RequestId(token_hex(12))
    return RequestContext(
        request_id=request_id,
        customer=new.customer,
        call_class=new.call_class,
        importance=call_class.importance,
        deadline=now + call_class.deadline_ms / MS_PER_S,
        retries=_retries_left(entry, new, request_id, call_class, now=now),
        idempotent=call_class.idempotent,
        key=new.key,
        traceparent=new.traceparent,
    )


def _take_token(
    entry: EntryState, snapshot: Snapshot, new: NewRequest, call_class: CallClass, *, now: float
) -> None:
    bucket = BucketKey(new.customer, new.call_class)
    entry.demand.count(bucket)
    share = share_in(snapshot, new.customer, new.call_class)
    with entry.lock:
        wait_s = take_token(
            entry.rates,
            bucket,
            rate_per_second=call_class.rate_per_second * share,
            burst=max(call_class.burst * share, min(call_class.burst, MIN_BURST)),
            now=now,
        )
    if wait_s <= 0:
        return
    message = (
        f"customer {new.customer!r} exceeds {call_class.rate_per_second:g} requests/s "
        f"of class {new.call_class!r}, of which {share:.1%} may enter here; send fewer"
    )
    max_wait_s = MAX_RATE_WAIT_S if share > 0.0 else NO_SHARE_WAIT_S
    raise RequestError(ErrorKind.RATE_EXCEEDED, message, retry_after_s=min(wait_s, max_wait_s))


def _retries_left(
    entry: EntryState,
    new: NewRequest,
    request_id: RequestId,
    call_class: CallClass,
    *,
    now: float,
) -> int:
    if new.key is None:
        return call_class.retries
    with entry.lock:
        send = record_send(
            entry.resends,
            new.customer,
            request_id,
            retries=call_class.retries,
            now=now,
            key=new.key,
        )
    # A resent order returns its first answer and runs only once, so it is never refused here.
    if send.is_within_budget or not call_class.idempotent:
        return send.retries_left
    message = (
        f"request {new.key!r} was sent {send.resends + 1} times; the contract of "
        f"{new.customer!r} allows {call_class.retries} retries in total"
    )
    raise RequestError(ErrorKind.RETRIES_SPENT, message, retry_after_s=RESEND_WINDOW_S)
