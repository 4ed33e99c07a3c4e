"""Send one request of a trace from its entry: route, retry within the budget, meet the deadline."""

from collections.abc import Callable
from functools import partial
from typing import Final

from daisywharf._context import RequestContext
from daisywharf._contract import CallClass
from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind
from daisywharf._ids import (
    CustomerId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._overload._level import OPEN_LEVEL
from daisywharf._replay._trace import CallLine
from daisywharf._routing._kinds import outcome_of
from daisywharf._routing._retries import (
    RetryBudget,
    RetryRatioKey,
    earn_retry,
    lend,
    spend_earned_retry,
    spend_retry,
    take_back,
)
from daisywharf._routing._router import choose, record_outcome, record_start
from daisywharf._topology import Address, Target
from daisywharf._virtual._chain import ChainCall, arrive, cancel_call, new_call
from daisywharf._virtual._loop import call_later
from daisywharf._virtual._messages import Answer, ChainSend
from daisywharf._virtual._real_gate import RealGate
from daisywharf._virtual._targets import Fakes, FakeTarget, Message, network_delay_s, router_for

MS_PER_S: Final = 1_000.0

OnEnd = Callable[[ErrorKind | None, int], None]


class PendingRequest:
    """Hold a request without an answer; `on_end` gets the error kind or None, and the retries.

    `call` is the pending attempt.
    """

    def __init__(self, entry: FakeTarget, send: ChainSend, retries: int, on_end: OnEnd) -> None:
        self.entry = entry
        self.send = send
        self.budget = RetryBudget(retries)
        self.on_end = on_end
        self.tried_target_ids: frozenset[TargetId] = frozenset()
        self.call: ChainCall | None = None
        self.attempt_started_at = 0.0


def make_entry(zone: ZoneName) -> FakeTarget:
    """Create the entry of a zone, which calls targets and runs no calls itself."""
    name = f"entry@{zone}"
    target = Target(
        target_id=TargetId(name),
        service=ServiceName(name),
        vm=VmId(name),
        zone=zone,
        incarnation=Incarnation(1),
        address=Address("127.0.0.1", 0),
        slots=1,
        connections=1,
    )
    return FakeTarget(target, RealGate(1, target.service))


def send_request(
    fakes: Fakes,
    entry: FakeTarget,
    line: CallLine,
    call_class: CallClass,
    *,
    retries: int,
    on_end: OnEnd,
) -> None:
    """Send an admitted request; it ends at its deadline at the latest."""
    now = fakes.loop.now
    time_left_s = call_class.deadline_ms / MS_PER_S - 2 * fakes.delays.client_s
    send = ChainSend(
        request_id=RequestId(line.request),
        customer=CustomerId(line.customer),
        call_class=call_class,
        chain=tuple(ServiceName(service) for service in line.chain),
        zone=ZoneName(line.zone),
        sent_at=now,
        deadline=now + time_left_s,
    )
    request = PendingRequest(entry, send, retries, on_end)
    call_later(fakes.loop, time_left_s, partial(_time_out, fakes, request))
    _attempt(fakes, request)


def _attempt(fakes: Fakes, request: PendingRequest) -> None:
    send = request.send
    now = fakes.loop.now
    if send.deadline <= now:
        _end(request, ErrorKind.TOO_LATE)
        return
    router = router_for(fakes, request.entry, send.chain[0])
    chosen = choose(
        router,
        now=now,
        rng=fakes.rng,
        excluded=request.tried_target_ids,
        is_idempotent=send.call_class.idempotent,
    )
    if chosen is None:
        _end(request, ErrorKind.NO_TARGET)
        return
    record_start(router, chosen.target_id, now=now)
    request.tried_target_ids |= {chosen.target_id}
    request.attempt_started_at = now
    _send_call(fakes, request, fakes.target_by_id[chosen.target_id])


def _send_call(fakes: Fakes, request: PendingRequest, target: FakeTarget) -> None:
    send = request.send
    lent = lend(request.budget)
    delay_s = network_delay_s(fakes, send.zone, target.target.zone)

    def on_answer(answer: Answer) -> None:
        deliver = partial(_handle_answer, fakes, request, call, answer)
        # A lost answer is fetched again, so it arrives when its loss is noticed.
        fakes.send_message(fakes, Message(request.entry, target, delay_s, deliver, lost=deliver))

    def on_lost() -> None:
        call.is_over = True
        not_run = Answer(ErrorKind.CONNECT_FAILED, OPEN_LEVEL, lent)
        _handle_answer(fakes, request, call, not_run)

    call = new_call(fakes, send, _context_of(send, lent), target, on_answer)
    request.call = call
    deliver = partial(arrive, fakes, call)
    fakes.send_message(fakes, Message(request.entry, target, delay_s, deliver, lost=on_lost))


def _context_of(send: ChainSend, retries: int) -> RequestContext:
    call_class = send.call_class
    return RequestContext(
        request_id=send.request_id,
        customer=send.customer,
        call_class=call_class.name,
        importance=call_class.importance,
        deadline=send.deadline,
        retries=retries,
        idempotent=call_class.idempotent,
    )


def _handle_answer(fakes: Fakes, request: PendingRequest, call: ChainCall, answer: Answer) -> None:
    if request.call is not call:
        return
    request.call = None
    _record_outcome(fakes, request, call, answer.kind)
    take_back(request.budget, lent=call.context.retries, unspent=answer.unspent)
    if answer.kind is None:
        earn_retry(request.entry.retry_ratio, _retry_ratio_key(request))
        _end(request, None)
    elif _try_spend_retry(request, answer.kind):
        request.send.retries += 1
        _attempt(fakes, request)
    else:
        _end(request, answer.kind)


def _try_spend_retry(request: PendingRequest, kind: ErrorKind) -> bool:
    if not ANSWERS_BY_KIND[kind].retryable or request.budget.left <= 0:
        return False
    is_in_ratio = spend_earned_retry(request.entry.retry_ratio, _retry_ratio_key(request))
    return is_in_ratio and spend_retry(request.budget)


def _retry_ratio_key(request: PendingRequest) -> RetryRatioKey:
    return RetryRatioKey(request.send.customer, request.send.chain[0])


def _record_outcome(
    fakes: Fakes, request: PendingRequest, call: ChainCall, kind: ErrorKind | None
) -> None:
    now = fakes.loop.now
    router = router_for(fakes, request.entry, request.send.chain[0])
    record_outcome(
        router,
        call.target.target.target_id,
        outcome_of(kind),
        latency_s=now - request.attempt_started_at,
        now=now,
    )


def _time_out(fakes: Fakes, request: PendingRequest) -> None:
    if request.send.is_over:
        return
    call = request.call
    request.call = None
    _end(request, ErrorKind.TIMED_OUT)
    if call is not None:
        _record_outcome(fakes, request, call, ErrorKind.TIMED_OUT)
        delay_s = network_delay_s(fakes, request.send.zone, call.target.target.zone)
        call_later(fakes.loop, delay_s, partial(cancel_call, fakes, call))


def _end(request: PendingRequest, kind: ErrorKind | None) -> None:
    if not request.send.is_over:
        request.send.is_over = True
        request.on_end(kind, request.send.retries)
