"""Bind a caller-supplied key to one target incarnation by a claim stored on the platform.

An entry sends a call under such a key only after it has seen the claim. The claim names the only
incarnation that may run the key, and that incarnation's gate runs it once, so two partitioned
zones can't both run it. While the platform is unreachable, the call is refused.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import EditId, IdempotencyKey, Incarnation, TargetId
from daisywharf._objects._interface import PlatformObject
from daisywharf._outcomes._keys import CLAIM_RETENTION_S
from daisywharf._outcomes._ticket import KEY_LIFETIME_S, MAX_CLOCK_SKEW_S, Ticket

MAX_CLAIM_READS: Final = 4


class ClaimBody(msgspec.Struct, frozen=True):
    """Hold the stored body of a claim; `expires_at` is in seconds since 1970."""

    target_id: TargetId
    incarnation: Incarnation
    expires_at: float


class Claim(msgspec.Struct, frozen=True):
    """Hold a claim as stored on the platform; `edit_id` identifies the attempt that wrote it."""

    body: ClaimBody
    edit_id: EditId


class ClaimStarted(msgspec.Struct, frozen=True):
    """Report that the call needs its claim; this starts the state machine."""


class ClaimCreated(msgspec.Struct, frozen=True):
    """Report that the platform accepted the claim."""


class ClaimExists(msgspec.Struct, frozen=True):
    """Report that a claim under this name existed already (conflict)."""


class ClaimRead(msgspec.Struct, frozen=True):
    """Report the claim that was read, or None if there is no claim."""

    claim: Claim | None


class ClaimOutcomeUnknown(msgspec.Struct, frozen=True):
    """Report that the answer to a create was lost."""


class PlatformDown(msgspec.Struct, frozen=True):
    """Report that the platform did not answer a create or a read."""


class ClaimDeadlinePassed(msgspec.Struct, frozen=True):
    """Report that the call's deadline passed."""


ClaimEvent = (
    ClaimStarted
    | ClaimCreated
    | ClaimExists
    | ClaimRead
    | ClaimOutcomeUnknown
    | PlatformDown
    | ClaimDeadlinePassed
)


class CreateClaim(msgspec.Struct, frozen=True):
    """Create the claim under the key's name; it must not exist yet."""

    name: IdempotencyKey
    body: ClaimBody
    edit_id: EditId


class ReadClaim(msgspec.Struct, frozen=True):
    """Read the claim stored under the key's name."""

    name: IdempotencyKey


class SendUnderClaim(msgspec.Struct, frozen=True):
    """Send the call to the ticket's incarnation and to no other.

    `is_first_use` means that this attempt wrote the claim, so no copy was sent before.
    """

    ticket: Ticket
    is_first_use: bool


class RefuseClaim(msgspec.Struct, frozen=True):
    """Refuse this attempt, which sent nothing; an earlier attempt under the key may have run."""

    kind: ErrorKind


ClaimAction = CreateClaim | ReadClaim | SendUnderClaim | RefuseClaim


class ClaimPhase(Enum):
    """Name the phases of claiming a key."""

    NEW = "new"
    CREATING = "creating"
    READING = "reading"
    DECIDED = "decided"


class ClaimState:
    """Hold the claim state of one attempt; `name` is the key as returned by `scoped_key`.

    `now` is in seconds since 1970.
    """

    def __init__(
        self,
        name: IdempotencyKey,
        *,
        target_id: TargetId,
        incarnation: Incarnation,
        edit_id: EditId,
        now: float,
    ) -> None:
        self.name = name
        self.body = ClaimBody(target_id, incarnation, now + KEY_LIFETIME_S)
        self.edit_id = edit_id
        self.phase = ClaimPhase.NEW
        self.reads = 0


def claim_step(state: ClaimState, event: ClaimEvent, *, now: float) -> list[ClaimAction]:
    """Return the actions that follow an event; `now` is in seconds since 1970."""
    if state.phase is ClaimPhase.DECIDED:
        return []
    if isinstance(event, ClaimDeadlinePassed):
        return _refuse(state, ErrorKind.TOO_LATE)
    if state.phase is ClaimPhase.NEW:
        return _create(state) if isinstance(event, ClaimStarted) else []
    if isinstance(event, PlatformDown):
        return _refuse(state, ErrorKind.CLAIM_UNAVAILABLE)
    if state.phase is ClaimPhase.CREATING:
        return _after_create(state, event, now=now)
    return _after_read(state, event, now=now)


def deletable_claims(claims: Iterable[PlatformObject], *, now: float) -> list[PlatformObject]:
    """Return the claims whose key no gate and no caller can still use; they may be deleted.

    `now` is in seconds since 1970. Raise `msgspec.ValidationError` for a malformed body.
    """
    return [claim for claim in claims if _is_deletable(claim, now=now)]


def claim_from(stored: PlatformObject) -> Claim:
    """Decode a claim stored on the platform; raise `msgspec.ValidationError` if malformed."""
    return Claim(msgspec.json.decode(stored.body, type=ClaimBody), stored.edit_id)


def _is_deletable(stored: PlatformObject, *, now: float) -> bool:
    created_at = claim_from(stored).body.expires_at - KEY_LIFETIME_S
    return now > created_at + CLAIM_RETENTION_S + MAX_CLOCK_SKEW_S


def _create(state: ClaimState) -> list[ClaimAction]:
    state.phase = ClaimPhase.CREATING
    return [CreateClaim(state.name, state.body, state.edit_id)]


def _after_create(state: ClaimState, event: ClaimEvent, *, now: float) -> list[ClaimAction]:
    if isinstance(event, ClaimCreated):
        return _send(state, Claim(state.body, state.edit_id), now=now)
    if not isinstance(event, ClaimExists | ClaimOutcomeUnknown):
        return []
    if state.reads >= MAX_CLAIM_READS:
        return _refuse(state, ErrorKind.CLAIM_UNAVAILABLE)
    state.reads += 1
    state.phase = ClaimPhase.READING
    return [ReadClaim(state.name)]


def _after_read(state: ClaimState, event: ClaimEvent, *, now: float) -> list[ClaimAction]:
    if not isinstance(event, ClaimRead):
        return []
    if event.claim is None:
        # A create in transit may still arrive. Sending the same edit again is harmless: whichever
        # arrives first, the claim found by a later read is the valid one.
        return _create(state)
    return _send(state, event.claim, now=now)


def _send(state: ClaimState, claim: Claim, *, now: float) -> list[ClaimAction]:
    if claim.body.expires_at <= now:
        return _refuse(state, ErrorKind.TICKET_EXPIRED)
    state.phase = ClaimPhase.DECIDED
    body = claim.body
    ticket = Ticket(state.name, body.target_id, body.incarnation, body.expires_at)
    return [SendUnderClaim(ticket, is_first_use=claim.edit_id == state.edit_id)]


def _refuse(state: ClaimState, kind: ErrorKind) -> list[ClaimAction]:
    state.phase = ClaimPhase.DECIDED
    return [RefuseClaim(kind)]
