"""Tickets, each of which names the only target incarnation that may run a non-idempotent call."""

from enum import Enum
from random import Random
from typing import Final

import msgspec

from daisywharf._ids import IdempotencyKey, Incarnation, TargetId

# The difference between the wall clocks of any two processes.
MAX_CLOCK_SKEW_S: Final = 2.0
TICKET_GRACE_S: Final = 10.0
KEY_LIFETIME_S: Final = 600.0
MAX_TICKET_LIFETIME_S: Final = 3_600.0
KEY_RANDOM_BITS: Final = 128
CALLER_KEY_PREFIX: Final = "k."


class TicketKind(Enum):
    """Distinguish a ticket known only to its entry from one for a key that a caller can resend."""

    SINGLE_USE = "single-use"
    CALLER_KEY = "caller-key"


class Ticket(msgspec.Struct, frozen=True):
    """Hold a key, the incarnation that may run it, and when it expires.

    `expires_at` is in seconds since 1970. A remaining time would not shrink while a message or a
    process is delayed, so a late copy could outlive the gate's record of the first run.
    """

    key: IdempotencyKey
    target_id: TargetId
    incarnation: Incarnation
    expires_at: float

    @property
    def kind(self) -> TicketKind:
        """Return who can send this ticket again."""
        is_caller_key = self.key.startswith(CALLER_KEY_PREFIX)
        return TicketKind.CALLER_KEY if is_caller_key else TicketKind.SINGLE_USE


def mint_ticket(
    target_id: TargetId, incarnation: Incarnation, *, deadline: float, rng: Random
) -> Ticket:
    """Mint a single-use ticket for one call; `deadline` is in seconds since 1970."""
    key = IdempotencyKey(f"{rng.getrandbits(KEY_RANDOM_BITS):032x}")
    expires_at = deadline + 2 * MAX_CLOCK_SKEW_S + TICKET_GRACE_S
    return Ticket(key, target_id, incarnation, round(expires_at, 3))
