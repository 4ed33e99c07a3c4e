"""Claim caller-chosen idempotency keys on the platform."""

import time
from secrets import token_hex
from typing import Final

import msgspec

from daisywharf._call._exchange import CallRequest
from daisywharf._call._keyed import ClaimKey
from daisywharf._errors import ErrorKind, PlatformError, RequestError
from daisywharf._ids import EditId, IdempotencyKey
from daisywharf._objects._interface import ObjectKind, Platform
from daisywharf._outcomes._claim import (
    Claim,
    ClaimAction,
    ClaimCreated,
    ClaimDeadlinePassed,
    ClaimEvent,
    ClaimExists,
    ClaimOutcomeUnknown,
    ClaimRead,
    ClaimStarted,
    ClaimState,
    CreateClaim,
    PlatformDown,
    ReadClaim,
    RefuseClaim,
    SendUnderClaim,
    claim_from,
    claim_step,
)
from daisywharf._outcomes._keys import scoped_key
from daisywharf._topology import Target

CLAIM_TIMEOUT_S: Final = 2.0
RETRY_AFTER_S: Final = 5.0


def make_key_claimer(platform: Platform) -> ClaimKey:
    """Return a function that claims the key of an order for a target on a platform.

    It raises `RequestError` if the claim is refused; the order must not be sent then.
    """

    def claim_key(request: CallRequest, target: Target) -> SendUnderClaim:
        state = ClaimState(
            scoped_key(request.context.customer, request.context.key or IdempotencyKey("")),
            target_id=target.target_id,
            incarnation=target.incarnation,
            edit_id=EditId(token_hex(12)),
            now=time.time(),
        )
        action = _step(state, ClaimStarted())
        while isinstance(action, CreateClaim | ReadClaim):
            time_left_s = request.context.deadline - time.monotonic()
            action = _step(state, _run_action(platform, action, time_left_s))
        if isinstance(action, RefuseClaim):
            raise _refusal(request, action.kind)
        return action

    return claim_key


def read_claim(platform: Platform, name: IdempotencyKey) -> Claim | None:
    """Return the claim of a key, or None if there is none; raise `PlatformError`."""
    try:
        return claim_from(platform.get(ObjectKind.CLAIM, name, timeout_s=CLAIM_TIMEOUT_S))
    except PlatformError as error:
        if error.kind is ErrorKind.PLATFORM_GONE:
            return None
        raise


def _step(state: ClaimState, event: ClaimEvent) -> ClaimAction:
    (action,) = claim_step(state, event, now=time.time())
    return action


def _run_action(
    platform: Platform, action: CreateClaim | ReadClaim, time_left_s: float
) -> ClaimEvent:
    if time_left_s <= 0:
        return ClaimDeadlinePassed()
    timeout_s = min(time_left_s, CLAIM_TIMEOUT_S)
    try:
        if isinstance(action, ReadClaim):
            return ClaimRead(read_claim(platform, action.name))
        return _create(platform, action, timeout_s)
    except PlatformError as error:
        return _error_event(error)


def _create(platform: Platform, action: CreateClaim, timeout_s: float) -> ClaimEvent:
    body = msgspec.json.encode(action.body)
    platform.create(
        ObjectKind.CLAIM, action.name, body, edit_id=action.edit_id, timeout_s=timeout_s
    )
    return ClaimCreated()


def _error_event(error: PlatformError) -> ClaimEvent:
    if error.kind is ErrorKind.PLATFORM_CONFLICT:
        return ClaimExists()
    if error.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN:
        return ClaimOutcomeUnknown()
    return PlatformDown()


def _refusal(request: CallRequest, kind: ErrorKind) -> RequestError:
    message = (
        f"key {request.context.key!r} was not claimed ({kind.value}), so nothing was sent; "
        "resend it with the same key, or request a key with POST /keys"
    )
    return RequestError(kind, message, retry_after_s=RETRY_AFTER_S)
