"""Mint idempotency keys for callers, and look up orders for operators."""

import time
from enum import Enum
from random import SystemRandom
from secrets import token_hex
from typing import Final

import msgspec

from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallRequest, error_in
from daisywharf._call._hop import hop_to
from daisywharf._call._keyed import ticket_under_secrets
from daisywharf._call._snapshot import Snapshot
from daisywharf._call._transport import LOOK_UP_PATH, send_on_new_connection
from daisywharf._context import RequestContext
from daisywharf._contract import Importance
from daisywharf._daemon._claims import read_claim
from daisywharf._errors import ErrorKind, PlatformError, RequestError
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
)
from daisywharf._objects._interface import Platform
from daisywharf._outcomes._keys import KeyBinding, is_minted, mint_key, scoped_key
from daisywharf._outcomes._ticket import KEY_LIFETIME_S, Ticket
from daisywharf._topology import Target

LOOK_UP_TIMEOUT_S: Final = 2.0
_RANDOM: Final = SystemRandom()


class MintedKey(msgspec.Struct, frozen=True):
    """Give a caller a key that is valid for `lifetime_s` seconds."""

    key: IdempotencyKey
    lifetime_s: float


class OrderState(Enum):
    """The known state of an order.

    NEVER_CLAIMED: its key was never claimed for a target. TARGET_GONE: the incarnation that may
    have run it has ended, or its ticket has expired. NOT_ANSWERED: that incarnation's gate did
    not answer.
    """

    NEVER_CLAIMED = "never-claimed"
    NOT_RUN_YET = "not-run-yet"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    TARGET_GONE = "target-gone"
    NOT_ANSWERED = "not-answered"


class OrderReport(msgspec.Struct, frozen=True):
    """Describe what is known of an order, and the target that may have run it.

    `status` and `body` are its answer, once it is done.
    """

    key: IdempotencyKey
    customer: CustomerId
    state: OrderState
    target_id: TargetId | None = None
    incarnation: Incarnation | None = None
    status: int | None = None
    body: str | None = None


def mint_key_for(
    caller: Caller, customer: CustomerId, call_class: CallClassName, service: ServiceName
) -> MintedKey:
    """Mint a key that names the target that will run its order; raise `RequestError`."""
    target = caller.target_for_key(customer, call_class, service)
    key = mint_key(
        KeyBinding(customer, target.target_id, target.incarnation),
        secret=caller.secrets[0],
        now=time.time(),
        rng=_RANDOM,
    )
    return MintedKey(key, KEY_LIFETIME_S)


def look_up_order(
    snapshot: Snapshot,
    platform: Platform,
    secrets: tuple[bytes, ...],
    customer: CustomerId,
    key: IdempotencyKey,
) -> OrderReport:
    """Query the gate that a key names about its order.

    Raise `RequestError` (claim unavailable) if the platform can't be reached to find that gate.
    """
    ticket = _ticket_of(platform, secrets, customer, key)
    if ticket is None:
        return OrderReport(key, customer, OrderState.NEVER_CLAIMED)
    target = _find_target(snapshot, ticket)
    if target is None:
        return _report(key, customer, ticket, OrderState.TARGET_GONE)
    return _query_gate(target, ticket, customer, key)


def _ticket_of(
    platform: Platform, secrets: tuple[bytes, ...], customer: CustomerId, key: IdempotencyKey
) -> Ticket | None:
    if is_minted(key):
        return ticket_under_secrets(key, customer=customer, secrets=secrets)
    name = scoped_key(customer, key)
    try:
        claim = read_claim(platform, name)
    except PlatformError as error:
        message = f"the claim of key {key!r} can't be read: {error}; try again later"
        raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, message) from error
    if claim is None:
        return None
    body = claim.body
    return Ticket(name, body.target_id, body.incarnation, body.expires_at)


def _find_target(snapshot: Snapshot, ticket: Ticket) -> Target | None:
    for targets in snapshot.targets_by_service.values():
        for target in targets:
            if (target.target_id, target.incarnation) == (ticket.target_id, ticket.incarnation):
                return target
    return None


def _query_gate(
    target: Target, ticket: Ticket, customer: CustomerId, key: IdempotencyKey
) -> OrderReport:
    now = time.monotonic()
    context = RequestContext(
        request_id=RequestId(token_hex(12)),
        customer=customer,
        call_class=CallClassName("order-look-up"),
        importance=Importance.LOW,
        deadline=now + LOOK_UP_TIMEOUT_S,
        retries=0,
        idempotent=False,
    )
    request = CallRequest(target.service, "POST", LOOK_UP_PATH, context)
    hop = hop_to(target, context, retries=0, ticket=ticket, now=now, wall_now=time.time())
    try:
        reply = send_on_new_connection(target, request, hop)
    except RequestError:
        return _report(key, customer, ticket, OrderState.NOT_ANSWERED)
    error = error_in(reply)
    if error is not None and error.kind in _STATE_BY_KIND:
        return _report(key, customer, ticket, _STATE_BY_KIND[error.kind])
    return OrderReport(
        key=key,
        customer=customer,
        state=OrderState.DONE,
        target_id=ticket.target_id,
        incarnation=ticket.incarnation,
        status=reply.status,
        body=reply.body.decode(errors="replace"),
    )


def _report(
    key: IdempotencyKey, customer: CustomerId, ticket: Ticket, state: OrderState
) -> OrderReport:
    return OrderReport(key, customer, state, ticket.target_id, ticket.incarnation)


_STATE_BY_KIND: Final = {
    ErrorKind.ORDER_NOT_KNOWN: OrderState.NOT_RUN_YET,
    ErrorKind.STILL_RUNNING: OrderState.RUNNING,
    ErrorKind.TICKET_BURNT: OrderState.REFUSED,
    ErrorKind.TICKET_EXPIRED: OrderState.TARGET_GONE,
    ErrorKind.WRONG_INCARNATION: OrderState.TARGET_GONE,
}
