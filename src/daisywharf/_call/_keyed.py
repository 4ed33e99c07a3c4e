"""Run a call under a caller-supplied or minted key at the only incarnation that may run it."""

import hashlib
from collections.abc import Callable, Sequence
from typing import Final

from daisywharf._call._attempts import attempt_once
from daisywharf._call._caller_state import CallerState, choose_target
from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._scope import Scope
from daisywharf._call._snapshot import Snapshot
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CustomerId, IdempotencyKey, ServiceName
from daisywharf._outcomes._claim import SendUnderClaim
from daisywharf._outcomes._keys import is_minted, ticket_of_minted_key
from daisywharf._outcomes._ticket import Ticket
from daisywharf._topology import Target

RETRY_AFTER_S: Final = 2.0

ClaimKey = Callable[[CallRequest, Target], SendUnderClaim]
"""Claim a caller-supplied key for a target, or raise `RequestError` (claim unavailable)."""


def refuse_claims(request: CallRequest, target: Target) -> SendUnderClaim:
    """Refuse a caller-supplied key in a process that can't claim it."""
    message = (
        f"key {request.context.key!r} can't be claimed from this process; enter through the "
        "VM's daemon, or ask it for a key by POST /keys"
    )
    raise RequestError(ErrorKind.CLAIM_UNAVAILABLE, message)


def call_under_key(
    state: CallerState,
    scope: Scope,
    request: CallRequest,
    *,
    key: IdempotencyKey,
    claim_key: ClaimKey,
    secrets: tuple[bytes, ...],
) -> CallReply:
    """Return the answer of the key's only run, also to a resend; raise `RequestError`."""
    if is_minted(key):
        ticket = ticket_under_secrets(key, customer=request.context.customer, secrets=secrets)
        permit = SendUnderClaim(ticket, is_first_use=False)
    else:
        permit = claim_key(request, any_target(state, request.service))
    target = _named_target(state.holder.current, request, permit)
    return attempt_once(state, scope, request, target, permit)


def ticket_under_secrets(
    key: IdempotencyKey, *, customer: CustomerId, secrets: tuple[bytes, ...]
) -> Ticket:
    """Return a minted key's ticket by any of the fleet's secrets.

    Raise `RequestError` (bad request) if the key was minted under none of them.
    """
    for secret in secrets[:-1]:
        try:
            return ticket_of_minted_key(key, customer=customer, secret=secret)
        except RequestError:
            # While the fleet's keys are rotated, some were minted under another secret.
            continue
    return ticket_of_minted_key(key, customer=customer, secret=secrets[-1] if secrets else b"")


def secrets_of(keys: Sequence[str]) -> tuple[bytes, ...]:
    """Derive the secrets of minted keys from the shared keys of the links."""
    return tuple(hashlib.sha256(b"minted-keys:" + key.encode()).digest() for key in keys or ("",))


def any_target(state: CallerState, service: ServiceName) -> Target:
    """Choose a target without recording a call to it; raise `RequestError` (no target)."""
    target = choose_target(state, service, frozenset(), now=state.clock(), is_call=False)
    if target is not None:
        return target
    message = f"service {service!r} has no target that may be called"
    raise RequestError(ErrorKind.NO_TARGET, message, retry_after_s=RETRY_AFTER_S)


def _named_target(snapshot: Snapshot, request: CallRequest, permit: SendUnderClaim) -> Target:
    for target in snapshot.targets_by_service.get(request.service, ()):
        if _is_named(target, permit.ticket):
            return target
    if permit.is_first_use:
        message = f"target {permit.ticket.target_id!r} left before the order was sent"
        raise RequestError(ErrorKind.NO_TARGET, message, retry_after_s=RETRY_AFTER_S)
    message = (
        f"order {request.context.key!r} may have run at {permit.ticket.target_id!r} of "
        f"incarnation {permit.ticket.incarnation}, which is not known here; look it up later"
    )
    raise RequestError(ErrorKind.OUTCOME_UNKNOWN, message, retry_after_s=RETRY_AFTER_S)


def _is_named(target: Target, ticket: Ticket) -> bool:
    return (target.target_id, target.incarnation) == (ticket.target_id, ticket.incarnation)
