"""Admit, queue or refuse the calls that arrive at one gate."""

from typing import Final

from daisywharf._context import RequestContext
from daisywharf._errors import ErrorKind
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Enqueue, Refuse
from daisywharf._overload._expected import ExpectedKey, min_run_time_s, record_run_time
from daisywharf._overload._gate import (
    AdmissionState,
    RunningCall,
    has_slot,
    load_of,
    window_for,
)
from daisywharf._overload._level import Level, merge_levels
from daisywharf._overload._queue import (
    WaitingCall,
    WaitingQueue,
    drop,
    oldest_wait_s,
    pop_next,
    pop_worst,
    push,
)
from daisywharf._overload._resend_plan import plan_resend
from daisywharf._overload._shedding import move_level, record_call, record_completion
from daisywharf._overload._window import (
    EntryWindow,
    adjust_window,
    has_headroom,
    record_end,
    record_level_below,
    record_request,
    refuses,
    take_refusals,
)

# Once the oldest call has waited this long, the newest starts first: it has the most time left.
NEWEST_FIRST_WAIT_S: Final = 0.3
# A call that arrives this long after the last tick ticks the gate itself.
TICK_PERIOD_S: Final = 0.01
DRAINING_RETRY_AFTER_S: Final = 0.1
# Maximum waiting calls in one queue, over the limit.
MAX_QUEUE_RATIO: Final = 2.0


def offer(
    state: AdmissionState, call_id: CallId, context: RequestContext, *, now: float
) -> list[AdmissionAction]:
    """Admit, enqueue or refuse an arriving call and return the resulting actions."""
    if state.is_draining:
        return [Refuse(call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S)]
    key = ExpectedKey(context.call_class, context.depth)
    if context.deadline - now <= min_run_time_s(state.expected, key, now=now):
        return [Refuse(call_id, ErrorKind.TOO_LATE, 0.0)]
    sub_order = context.sub_order
    due_actions = _tick_if_due(state, now=now)
    call = WaitingCall(
        call_id,
        context.call_class,
        context.importance,
        sub_order,
        context.depth,
        context.deadline,
        now,
    )
    window = state.window_by_class.get(context.call_class) if context.depth == 0 else None
    if window is not None:
        call.window_service = window.service
        return due_actions + _offer_to_window(state, window, call, now=now)
    record_call(state.shedding, call.importance, sub_order, context.refusals)
    return due_actions + _offer_slot(state, call, None, now=now)


def finish(
    state: AdmissionState,
    call_id: CallId,
    *,
    now: float,
    succeeded: bool,
    below: Level | None = None,
) -> list[AdmissionAction]:
    """Pass a finished call's slot to a waiting one; `below` is the level its own calls returned."""
    running = state.in_flight_by_id.pop(call_id, None)
    running = running or state.suspended_by_id.pop(call_id, None)
    if running is None:
        return []
    _count_completion(state, running)
    run_s = now - running.started_at
    if succeeded:
        record_run_time(state.expected, running.expected_key, run_s, now=now)
    if running.expected_key.depth == 0:
        _record_chain_level(state, running, answer_level(state, now=now, below=below), now=now)
    elif below is not None and below.service in state.window_by_service:
        record_level_below(state.window_by_service[below.service], below, now=now)
    if running.window is not None:
        record_end(running.window, run_s, succeeded=succeeded)
    return _start_waiting(state, now=now)


def suspend(state: AdmissionState, call_id: CallId, *, now: float) -> list[AdmissionAction]:
    """Release the slot of a call while it waits for one of its own calls."""
    running = state.in_flight_by_id.pop(call_id, None)
    if running is None:
        return []
    _count_completion(state, running)
    state.suspended_by_id[call_id] = running
    return _start_waiting(state, now=now)


def resume(state: AdmissionState, call_id: CallId, *, now: float) -> None:
    """Resume a suspended call at once, even above the limit: most of its work is done."""
    running = state.suspended_by_id.pop(call_id, None)
    if running is not None:
        state.in_flight_by_id[call_id] = running


def cancel(state: AdmissionState, call_id: CallId, *, now: float) -> list[AdmissionAction]:
    """Drop an abandoned waiting call; a call in flight keeps its slot until `finish`."""
    call = state.waiting_by_id.pop(call_id, None)
    if call is not None:
        _remove(state, call)
    return []


def tick(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    """Update levels and windows, and refuse waiting calls that can't finish in time.

    Call it at least every 10 ms.
    """
    actions: list[AdmissionAction] = []
    state.ticked_at = now
    move_level(
        state.shedding,
        load=load_of(state),
        running=len(state.in_flight_by_id),
        limit=state.limit,
        now=now,
    )
    for window in state.window_by_service.values():
        adjust_window(window, now=now)
    for call in list(state.waiting_by_id.values()):
        kind = _removal_kind(state, call, now=now)
        if kind is not None:
            _remove(state, call)
            _count_window_refusal(state, call)
            actions.append(_refusal(state, call, kind, now=now))
    actions.extend(_start_waiting(state, now=now))
    return actions


def start_draining(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    """Refuse all waiting calls and all calls that arrive from now on."""
    state.is_draining = True
    calls = list(state.waiting_by_id.values())
    for call in calls:
        _remove(state, call)
    return [Refuse(call.call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S) for call in calls]


def current_level(state: AdmissionState, *, now: float) -> Level:
    """Return this gate's own shedding level, to be sent with its answers."""
    level = state.shedding.track.level
    return Level(level.importance, level.sub_order, load_of(state), state.service)


def answer_level(state: AdmissionState, *, now: float, below: Level | None = None) -> Level:
    """Return the level to send with an answer whose own calls returned the level `below`."""
    return merge_levels(current_level(state, now=now), below)


def _record_chain_level(
    state: AdmissionState, running: RunningCall, level: Level, *, now: float
) -> None:
    window = window_for(state, running.expected_key.call_class, level, now=now)
    if window is not None:
        record_level_below(window, level, now=now)


def _offer_to_window(
    state: AdmissionState, window: EntryWindow, call: WaitingCall, *, now: float
) -> list[AdmissionAction]:
    is_refused = refuses(window, call.importance, call.sub_order)
    record_request(window, call.importance, call.sub_order, is_refused=is_refused)
    if is_refused:
        return [_refusal(state, call, ErrorKind.SHED, now=now)]
    if has_headroom(window) and not window.queue.size:
        return _offer_slot(state, call, window, now=now)
    return _enqueue(state, window.queue, call, now=now)


def _offer_slot(
    state: AdmissionState, call: WaitingCall, window: EntryWindow | None, *, now: float
) -> list[AdmissionAction]:
    if has_slot(state) and not state.queue.size:
        return [_start(state, call, window, now=now)]
    return _enqueue(state, state.queue, call, now=now)


def _start(
    state: AdmissionState, call: WaitingCall, window: EntryWindow | None, *, now: float
) -> Admit:
    key = ExpectedKey(call.call_class, call.depth)
    state.in_flight_by_id[call.call_id] = RunningCall(now, key, window)
    if window is None:
        return Admit(call.call_id)
    window.in_flight += 1
    refusals = take_refusals(window)
    # The entry's own level is set from the same demand as the levels downstream.
    record_call(state.shedding, call.importance, call.sub_order, refusals)
    return Admit(call.call_id, refusals)


def _enqueue(
    state: AdmissionState, queue: WaitingQueue, call: WaitingCall, *, now: float
) -> list[AdmissionAction]:
    """Enqueue a call, and refuse the worst waiting one if the queue is too long then."""
    push(queue, call)
    state.waiting_by_id[call.call_id] = call
    if queue.size <= state.limit * MAX_QUEUE_RATIO:
        return [Enqueue(call.call_id)]
    worst = pop_worst(queue)
    if worst is None or worst is call:
        state.waiting_by_id.pop(call.call_id)
        _count_window_refusal(state, call)
        return [_refusal(state, call, ErrorKind.SHED, now=now)]
    state.waiting_by_id.pop(worst.call_id)
    _count_window_refusal(state, worst)
    return [Enqueue(call.call_id), _refusal(state, worst, ErrorKind.SHED, now=now)]


def _start_waiting(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    actions: list[AdmissionAction] = []
    while has_slot(state) and state.queue.size:
        newest_first = oldest_wait_s(state.queue, now=now) > NEWEST_FIRST_WAIT_S
        actions.extend(_admit_next(state, state.queue, newest_first=newest_first, now=now))
    for window in state.window_by_service.values():
        while window.queue.size and has_headroom(window) and has_slot(state):
            actions.extend(_admit_next(state, window.queue, newest_first=False, now=now))
    return actions


def _admit_next(
    state: AdmissionState, queue: WaitingQueue, *, newest_first: bool, now: float
) -> list[AdmissionAction]:
    call = pop_next(queue, newest_first=newest_first)
    if call is None:
        return []
    del state.waiting_by_id[call.call_id]
    key = ExpectedKey(call.call_class, call.depth)
    if call.deadline - now <= min_run_time_s(state.expected, key, now=now):
        return [_refusal(state, call, ErrorKind.TOO_LATE, now=now)]
    window = _window_of_call(state, call)
    return [_start(state, call, window, now=now)]


def _removal_kind(state: AdmissionState, call: WaitingCall, *, now: float) -> ErrorKind | None:
    """Return why a waiting call must be refused now, or None if it may keep waiting."""
    key = ExpectedKey(call.call_class, call.depth)
    if call.deadline - now <= min_run_time_s(state.expected, key, now=now):
        return ErrorKind.TOO_LATE
    window = _window_of_call(state, call)
    if window is None:
        return None
    return ErrorKind.SHED if refuses(window, call.importance, call.sub_order) else None


def _remove(state: AdmissionState, call: WaitingCall) -> None:
    state.waiting_by_id.pop(call.call_id, None)
    drop(call)


def _window_of_call(state: AdmissionState, call: WaitingCall) -> EntryWindow | None:
    if call.window_service is None:
        return None
    return state.window_by_service[call.window_service]


def _count_window_refusal(state: AdmissionState, call: WaitingCall) -> None:
    window = _window_of_call(state, call)
    if window is not None:
        window.refused[call.importance] += 1


def _tick_if_due(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    return tick(state, now=now) if now - state.ticked_at >= TICK_PERIOD_S else []


def _count_completion(state: AdmissionState, running: RunningCall) -> None:
    if not running.is_counted:
        running.is_counted = True
        record_completion(state.shedding)


def _refusal(state: AdmissionState, call: WaitingCall, kind: ErrorKind, *, now: float) -> Refuse:
    if kind is ErrorKind.TOO_LATE:
        return Refuse(call.call_id, kind, 0.0)
    # An entry plans the resends of requests, so it uses the rate of its window: the gate's own rate
    # counts calls of all depths.
    window = _window_of_call(state, call)
    rate = state.shedding if window is None else window
    retry_after_s = plan_resend(
        state.resend_plan,
        rate_per_second=rate.completions_per_second,
        sub_order=call.sub_order,
        attempt=call.call_id.attempt,
        now=now,
    )
    return Refuse(call.call_id, kind, retry_after_s)


__all__ = [
    "AdmissionAction",
    "AdmissionState",
    "Admit",
    "CallId",
    "Enqueue",
    "Refuse",
    "answer_level",
    "cancel",
    "current_level",
    "finish",
    "offer",
    "resume",
    "start_draining",
    "suspend",
    "tick",
]
