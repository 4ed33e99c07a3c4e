"""Run requests through a chain of fake targets, with retries and cancellation at each hop."""

from collections.abc import Callable

from daisywharf._context import Refusals, RequestContext
from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind
from daisywharf._ids import TargetId
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Refuse
from daisywharf._overload._level import OPEN_LEVEL, Level, merge_levels
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
from daisywharf._routing._router import CallOutcome, choose, record_outcome, record_start
from daisywharf._virtual._loop import call_later
from daisywharf._virtual._messages import Answer, ChainSend
from daisywharf._virtual._targets import (
    Fakes,
    FakeTarget,
    Message,
    network_delay_s,
    router_for,
    service_time_s,
)

Reply = Callable[[Answer], None]


class ChainCall:
    """Hold one attempt at one hop of a request; times are in seconds.

    Four fields belong to its call to the next service: `child` is the pending attempt, `attempts`
    counts the attempts, `tried_target_ids` are the targets that the next attempt excludes, and
    `level_below` merges the shedding levels of the answers.
    """

    def __init__(
        self,
        send: ChainSend,
        context: RequestContext,
        call_id: CallId,
        target: FakeTarget,
        reply: Reply,
    ) -> None:
        self.send = send
        self.context = context
        self.call_id = call_id
        self.target = target
        self.reply = reply
        self.started_at: float | None = None
        self.is_over = False
        self.is_suspended = False
        self.budget = RetryBudget(context.retries)
        self.level_below: Level | None = None
        self.child: ChainCall | None = None
        self.refusals: Refusals | None = None
        self.attempts = 0
        self.tried_target_ids: frozenset[TargetId] = frozenset()


def new_call(
    fakes: Fakes, send: ChainSend, context: RequestContext, target: FakeTarget, reply: Reply
) -> ChainCall:
    """Create a call with a unique attempt number: a chain may pass the same gate more than once."""
    call_id = CallId(send.request_id, next(fakes.call_numbers))
    return ChainCall(send, context, call_id, target, reply)


def arrive(fakes: Fakes, call: ChainCall) -> None:
    """Offer a call to the gate of its target."""
    if call.is_over:
        return
    if call.context.depth and fakes.failing_fraction > fakes.rng.random():
        call.is_over = True
        call.reply(Answer(ErrorKind.CONNECT_FAILED, OPEN_LEVEL, call.budget.left))
        return
    call.target.call_by_id[call.call_id] = call
    actions = call.target.gate.offer(call.call_id, call.context, now=fakes.loop.now)
    apply_actions(fakes, call.target, actions)


def apply_actions(fakes: Fakes, target: FakeTarget, actions: list[AdmissionAction]) -> None:
    """Carry out the decisions of a gate: start or refuse calls."""
    for action in actions:
        call = target.call_by_id.get(action.call_id)
        if not isinstance(call, ChainCall):
            continue
        fakes.observe(target, action, call)
        if isinstance(action, Admit):
            call.refusals = action.refusals or call.context.refusals
            _start(fakes, call)
        elif isinstance(action, Refuse):
            _end(fakes, call, action.kind, action.retry_after_s)


def cancel_call(fakes: Fakes, call: ChainCall) -> None:
    """Cancel an abandoned call and the calls below it."""
    if call.is_over:
        return
    call.is_over = True
    if call.child is not None:
        _cancel_child(fakes, call, call.child)
    if call.target.call_by_id.pop(call.call_id, None) is None:
        return
    actions = call.target.gate.cancel(call.call_id, now=fakes.loop.now)
    if call.started_at is not None:
        actions = actions + _release(fakes, call, succeeded=False)
    apply_actions(fakes, call.target, actions)


def _start(fakes: Fakes, call: ChainCall) -> None:
    call.started_at = fakes.loop.now
    service_s = service_time_s(fakes, call.target.target.service)
    call_later(fakes.loop, service_s, lambda: _handle_work_done(fakes, call))


def _handle_work_done(fakes: Fakes, call: ChainCall) -> None:
    if call.is_over:
        return
    if call.context.depth + 1 >= len(call.send.chain):
        _end(fakes, call, None, 0.0)
        return
    fakes.first_calls += 1
    call.send.target_s += fakes.loop.now - (call.started_at or 0.0)
    call.started_at = fakes.loop.now
    if fakes.rules.suspends:
        actions = call.target.gate.suspend(call.call_id, now=fakes.loop.now)
        call.is_suspended = True
        apply_actions(fakes, call.target, actions)
    _call_next(fakes, call)


def _call_next(fakes: Fakes, call: ChainCall) -> None:
    now = fakes.loop.now
    service = call.send.chain[call.context.depth + 1]
    if fakes.rules.checks_deadline and call.context.deadline <= now:
        _end(fakes, call, ErrorKind.TOO_LATE, 0.0)
        return
    router = router_for(fakes, call.target, service)
    chosen = choose(
        router,
        now=now,
        rng=fakes.rng,
        excluded=call.tried_target_ids,
        is_idempotent=call.context.idempotent,
    )
    if chosen is None:
        _end(fakes, call, ErrorKind.NO_TARGET, 0.0)
        return
    record_start(router, chosen.target_id, now=now)
    call.attempts += 1
    call.tried_target_ids |= {chosen.target_id}
    _send_child(fakes, call, fakes.target_by_id[chosen.target_id])


def _send_child(fakes: Fakes, call: ChainCall, target: FakeTarget) -> None:
    sent_at = fakes.loop.now
    delay_s = network_delay_s(fakes, call.target.target.zone, target.target.zone)
    lent = lend(call.budget) if fakes.rules.has_tree_budget else 0
    context = _child_context(call, lent)

    def on_answer(answer: Answer) -> None:
        def deliver() -> None:
            _handle_child_answer(fakes, call, child, answer, sent_at)

        # A lost answer is fetched again, so it arrives when its loss is noticed.
        fakes.send_message(fakes, Message(call.target, target, delay_s, deliver, lost=deliver))

    def on_lost() -> None:
        child.is_over = True
        not_run = Answer(ErrorKind.CONNECT_FAILED, OPEN_LEVEL, lent)
        _handle_child_answer(fakes, call, child, not_run, sent_at)

    child = new_call(fakes, call.send, context, target, on_answer)
    call.child = child
    request = Message(call.target, target, delay_s, lambda: arrive(fakes, child), lost=on_lost)
    fakes.send_message(fakes, request)
    timeout_s = fakes.rules.hop_timeout_s
    if timeout_s is not None:
        late = Answer(ErrorKind.TIMED_OUT, OPEN_LEVEL)
        call_later(
            fakes.loop, timeout_s, lambda: _handle_child_answer(fakes, call, child, late, sent_at)
        )


def _child_context(call: ChainCall, retries: int) -> RequestContext:
    context = call.context
    return RequestContext(
        request_id=context.request_id,
        customer=context.customer,
        call_class=context.call_class,
        importance=context.importance,
        deadline=context.deadline,
        retries=retries,
        idempotent=context.idempotent,
        depth=context.depth + 1,
        refusals=call.refusals,
    )


def _handle_child_answer(
    fakes: Fakes, call: ChainCall, child: ChainCall, answer: Answer, sent_at: float
) -> None:
    if call.child is not child:
        return
    call.child = None
    now = fakes.loop.now
    service = child.target.target.service
    router = router_for(fakes, call.target, service)
    outcome = _target_outcome(answer)
    target_id = child.target.target.target_id
    record_outcome(router, target_id, outcome, latency_s=now - sent_at, now=now)
    if call.is_over:
        return
    take_back(call.budget, lent=child.context.retries, unspent=answer.unspent)
    call.level_below = merge_levels(answer.level, call.level_below)
    if answer.kind is None:
        earn_retry(call.target.retry_ratio, RetryRatioKey(call.context.customer, service))
        _end(fakes, call, None, 0.0)
    elif _try_spend_retry(fakes, call, answer):
        fakes.retried_calls += 1
        call.send.retries += 1
        _call_next(fakes, call)
    else:
        _end(fakes, call, answer.kind, answer.retry_after_s)


def _target_outcome(answer: Answer) -> CallOutcome:
    # A failure below a target does not count against the target itself.
    if answer.kind is not None and answer.ran:
        return CallOutcome.CANCELLED
    return outcome_of(answer.kind)


def _try_spend_retry(fakes: Fakes, call: ChainCall, answer: Answer) -> bool:
    rules = fakes.rules
    key = RetryRatioKey(call.context.customer, call.send.chain[call.context.depth + 1])
    has_run_below = rules.marks_failure_below and answer.ran
    if rules.has_tree_budget:
        is_retryable = answer.kind is not None and ANSWERS_BY_KIND[answer.kind].retryable
        may_retry = is_retryable and not has_run_below and call.budget.left > 0
        return (
            may_retry
            and spend_earned_retry(call.target.retry_ratio, key)
            and spend_retry(call.budget)
        )
    if call.attempts > rules.retries_per_hop:
        return False
    call.tried_target_ids = frozenset()
    return not rules.has_retry_ratio or spend_earned_retry(call.target.retry_ratio, key)


def _end(fakes: Fakes, call: ChainCall, kind: ErrorKind | None, retry_after_s: float) -> None:
    if call.is_over:
        return
    call.is_over = True
    call.target.call_by_id.pop(call.call_id, None)
    now = fakes.loop.now
    ran = call.started_at is not None
    # A call that did not run has no slot to release.
    actions = [] if call.started_at is None else _release(fakes, call, succeeded=kind is None)
    level = call.target.gate.level(now=now, below=call.level_below)
    if kind is not None and call.started_at is not None and fakes.rules.marks_failure_below:
        kind = kind if call.context.idempotent else ErrorKind.TARGET_FAILED
    call.reply(Answer(kind, level, call.budget.left, retry_after_s, ran))
    apply_actions(fakes, call.target, actions)


def _release(fakes: Fakes, call: ChainCall, *, succeeded: bool) -> list[AdmissionAction]:
    now = fakes.loop.now
    if not call.is_suspended:
        call.send.target_s += now - (call.started_at or now)
    gate = call.target.gate
    return gate.finish(call.call_id, now=now, succeeded=succeeded, below=call.level_below)


def _cancel_child(fakes: Fakes, call: ChainCall, child: ChainCall) -> None:
    call.child = None
    now = fakes.loop.now
    router = router_for(fakes, call.target, child.target.target.service)
    target_id = child.target.target.target_id
    record_outcome(router, target_id, CallOutcome.CANCELLED, latency_s=0.0, now=now)
    delay_s = network_delay_s(fakes, call.target.target.zone, child.target.target.zone)
    call_later(fakes.loop, delay_s, lambda: cancel_call(fakes, child))
