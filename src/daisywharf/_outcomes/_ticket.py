"""The ticket that names the one target incarnation that may run a non-idempotent call."""

import msgspec

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import IdempotencyKey, Incarnation, TargetId


class Ticket(msgspec.Struct, frozen=True):
    """Name a key, the incarnation that may run it, and the seconds until it expires."""

    key: IdempotencyKey
    target_id: TargetId
    incarnation: Incarnation
    seconds_left: float

    def to_header(self) -> str:
        """Write the ticket as a header value."""
        return f"{self.target_id};{self.incarnation};{self.seconds_left:.3f};{self.key}"


def ticket_from_header(text: str) -> Ticket:
    """Read a ticket; raise `RequestError` (bad request) on a malformed one."""
    try:
        target_id, incarnation, seconds_left, key = text.split(";", 3)
        return Ticket(
            IdempotencyKey(key),
            TargetId(target_id),
            Incarnation(int(incarnation)),
            float(seconds_left),
        )
    except ValueError as error:
        message = f"ticket {text[:80]!r} is malformed; send target;incarnation;seconds;key"
        raise RequestError(ErrorKind.BAD_REQUEST, message) from error
