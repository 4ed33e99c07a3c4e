"""Bind a caller's own key to one target incarnation by a claim on the platform.

A call under such a key leaves its entry only after the entry has seen the claim. The claim names
the one incarnation that may run the key, whose gate runs it once, so two zones that can't see each
other can't both run it. Where the platform can't be reached, the call is refused.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import EditId, IdempotencyKey, Incarnation, TargetId
from daisywharf._objects._interface import PlatformObject
from daisywharf._outcomes._keys import CLAIM_RETENTION_S
from daisywharf._outcomes._ticket import CLOCK_BOUND_S, KEY_LIFETIME_S, Ticket

MAX_CLAIM_READS: Final = 4


class ClaimBody(msgspec.Struct, frozen=True):
    """Hold what a claim says; `expires_at` is in seconds since 1970."""

    target_id: TargetId
    incarnation: Incarnation
    expires_at: float


class Claim(msgspec.Struct, frozen=True):
    """Hold a claim as the platform has it; `edit_id` tells who wrote it."""

    body: ClaimBody
    edit_id: EditId


class ClaimStarted(msgspec.Struct, frozen=True):
    """Start: the call waits for its claim."""


class ClaimCreated(msgspec.Struct, frozen=True):
    """Report that the platform accepted the claim."""


class ClaimExists(msgspec.Struct, frozen=True):
    """Report that the claim existed already (conflict)."""


class ClaimRead(msgspec.Struct, frozen=True):
    """Report what was read: a claim, or that there is none."""

    claim: Claim | None


class ClaimOutcomeUnknown(msgspec.Struct, frozen=True):
    """Report a create whose answer was lost."""


class PlatformDown(msgspec.Struct, frozen=True):
    """Report a create or a read that the platform did not answer."""


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
    """Read the claim by its name."""

    name: IdempotencyKey


class SendUnderClaim(msgspec.Struct, frozen=True):
    """Send the call to the ticket's incarnation, to no other.

    `is_first_use` tells that this entry wrote the claim, so that no copy was sent before.
    """

    ticket: Ticket
    is_first_use: bool


class RefuseClaim(msgspec.Struct, frozen=True):
    """Refuse this attempt, which sent nothing; an earlier one under the key may have run."""

    kind: ErrorKind


ClaimAction = CreateClaim | ReadClaim | SendUnderClaim | RefuseClaim


class ClaimPhase(Enum):
    """Name what the machine waits for."""

    NEW = "new"
    CREATING = "creating"
    READING = "reading"
    DECIDED = "decided"


class ClaimState:
    """Hold one attempt's way to its claim; `name` is the key as `scoped_key` gives it."""

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
    """Decide what to do next; `now` is in seconds since 1970."""
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


def lapsed_claims(claims: Iterable[PlatformObject], *, now: float) -> list[PlatformObject]:
    """Return the claims that may be deleted: no gate and no caller can still use their key."""
    return [claim for claim in claims if _is_lapsed(claim, now=now)]


def claim_from(stored: PlatformObject) -> Claim:
    """Read a claim as the platform holds it; raise `msgspec.ValidationError` on a wrong body."""
    return Claim(msgspec.json.decode(stored.body, type=ClaimBody), stored.edit_id)


def _is_lapsed(stored: PlatformObject, *, now: float) -> bool:
    created_at = claim_from(stored).body.expires_at - KEY_LIFETIME_S
    return now > created_at + CLAIM_RETENTION_S + CLOCK_BOUND_S


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
        # A create on its way may still arrive. Making the same edit again is harmless: whichever
        # lands first, the claim that a later read finds is the one that counts.
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
