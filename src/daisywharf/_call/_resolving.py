"""Find out over a new connection how a call under a ticket ended."""

import time
from secrets import token_hex
from typing import Final

from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._parties import CallerState
from daisywharf._call._transport import RESOLVE_PATH
from daisywharf._context import ERROR_KIND, TICKET
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import IdempotencyKey
from daisywharf._outcomes._ticket import Ticket
from daisywharf._topology import Target

TICKET_GRACE_S: Final = 60.0
RESOLVE_PERIOD_S: Final = 0.05


def new_ticket(request: CallRequest, target: Target, *, now: float) -> Ticket:
    """Name the one incarnation that may run this call, until some time past its deadline."""
    key = request.context.key or IdempotencyKey(token_hex(12))
    seconds_left = request.context.deadline - now + TICKET_GRACE_S
    return Ticket(key, target.target_id, target.incarnation, seconds_left)


def resolve_outcome(
    state: CallerState, target: Target, request: CallRequest, ticket: Ticket, cause: RequestError
) -> CallReply:
    """Ask the ticket's gate until it knows, or until the deadline; never run elsewhere.

    Raise `RequestError`: ticket burnt (it was not run and never will be), or outcome unknown.
    """
    asking = CallRequest(request.service, "POST", RESOLVE_PATH, request.context)
    headers = {TICKET: ticket.to_header()}
    now = state.clock()
    while now < request.context.deadline:
        try:
            reply = state.send(target, asking, extra_headers=headers, now=now)
        except RequestError:
            reply = None
        if reply is not None and reply.headers.get(ERROR_KIND) != ErrorKind.STILL_RUNNING.value:
            return reply
        time.sleep(RESOLVE_PERIOD_S)
        now = state.clock()
    message = f"order {ticket.key} at {target.target_id}: outcome unknown after {cause}; look it up"
    raise RequestError(ErrorKind.OUTCOME_UNKNOWN, message) from cause
