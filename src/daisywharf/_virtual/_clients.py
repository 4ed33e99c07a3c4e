"""Fake clients outside the fleet: they send requests, time out and resend."""

from collections.abc import Callable
from random import Random

import msgspec

from daisywharf._context import RequestContext
from daisywharf._contract import CallClass
from daisywharf._errors import ErrorKind
from daisywharf._ids import CustomerId, RequestId, ServiceName, ZoneName
from daisywharf._overload._level import OPEN_LEVEL
from daisywharf._overload._rates import BucketKey, take_token
from daisywharf._virtual._chain import ChainCall, arrive, cancel_call, new_call
from daisywharf._virtual._loop import call_later
from daisywharf._virtual._messages import Answer, ChainSend
from daisywharf._virtual._targets import Fakes, entries_in

BACKOFF_S = 0.05  # mean delay of a resend without Retry-After


class ClientRules(msgspec.Struct, frozen=True):
    """Set the maximum resends per request, and the fraction of clients that heed Retry-After."""

    retries: int
    heed_part: float


class ClientRequest(msgspec.Struct):
    """Hold one request of a client and the number of its sends; times are in seconds.

    `heeds` tells whether the client waits as long as Retry-After asks before it resends.
    """

    request_id: RequestId
    customer: CustomerId
    call_class: CallClass
    chain: tuple[ServiceName, ...]
    zone: ZoneName
    first_sent_at: float
    heeds: bool
    sends: int = 0
    answered_at: float | None = None


class SendResult(msgspec.Struct, frozen=True):
    """Report the end of one send as its client sees it; `kind` is None for a complete answer."""

    send: ChainSend
    request: ClientRequest
    kind: ErrorKind | None
    ended_at: float


class Clients:
    """Hold the rules of all clients; `report` receives the result of each send."""

    def __init__(
        self, fakes: Fakes, rules: ClientRules, rng: Random, report: Callable[[SendResult], None]
    ) -> None:
        self.fakes = fakes
        self.rules = rules
        self.rng = rng
        self.report = report


def send_request(clients: Clients, request: ClientRequest) -> None:
    """Send a request for the first time, or resend it."""
    fakes = clients.fakes
    now = fakes.loop.now
    request.sends += 1
    call_class = request.call_class
    deadline = now + call_class.deadline_ms / 1_000.0
    send = ChainSend(
        request.request_id,
        request.customer,
        call_class,
        request.chain,
        request.zone,
        now,
        deadline,
    )
    context = RequestContext(
        request_id=request.request_id,
        customer=request.customer,
        call_class=call_class.name,
        importance=call_class.importance,
        deadline=deadline - fakes.delays.client_s,
        retries=call_class.retries,
        idempotent=call_class.idempotent,
    )
    target = clients.rng.choice(entries_in(fakes, request.chain[0], request.zone))

    def on_answer(answer: Answer) -> None:
        call_later(
            fakes.loop,
            fakes.delays.client_s,
            lambda: _handle_answer(clients, request, send, answer),
        )

    call = new_call(fakes, send, context, target, on_answer)
    call_later(fakes.loop, fakes.delays.client_s, lambda: _offer_within_rate(fakes, call))
    call_later(fakes.loop, deadline - now, lambda: _handle_timeout(clients, request, send, call))


def _offer_within_rate(fakes: Fakes, call: ChainCall) -> None:
    """Apply the rate of the contract as if entries shared it without delay, then offer the call."""
    call_class = call.send.call_class
    if fakes.rules.limits_rates:
        wait_s = take_token(
            fakes.rates,
            BucketKey(call.context.customer, call_class.name),
            rate_per_second=call_class.rate_per_second,
            burst=call_class.burst,
            now=fakes.loop.now,
        )
        if wait_s > 0.0:
            call.is_over = True
            call.reply(Answer(ErrorKind.RATE_EXCEEDED, OPEN_LEVEL, 0, wait_s))
            return
    arrive(fakes, call)


def _handle_answer(
    clients: Clients, request: ClientRequest, send: ChainSend, answer: Answer
) -> None:
    if send.is_over:
        return
    send.is_over = True
    now = clients.fakes.loop.now
    if answer.kind is None and request.answered_at is None:
        request.answered_at = now
    clients.report(SendResult(send, request, answer.kind, now))
    if answer.kind is not None:
        _resend(clients, request, answer.retry_after_s)


def _handle_timeout(
    clients: Clients, request: ClientRequest, send: ChainSend, call: ChainCall
) -> None:
    if send.is_over:
        return
    send.is_over = True
    fakes = clients.fakes
    clients.report(SendResult(send, request, ErrorKind.TIMED_OUT, fakes.loop.now))
    if fakes.rules.cancels:
        call_later(fakes.loop, fakes.delays.client_s, lambda: cancel_call(fakes, call))
    _resend(clients, request, 0.0)


def _resend(clients: Clients, request: ClientRequest, retry_after_s: float) -> None:
    if request.sends > clients.rules.retries:
        return
    if retry_after_s > 0.0 and request.heeds:
        delay_s = retry_after_s
    else:
        delay_s = BACKOFF_S * clients.rng.uniform(0.5, 1.5)
    call_later(clients.fakes.loop, delay_s, lambda: send_request(clients, request))
