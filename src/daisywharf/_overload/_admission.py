"""Admit, queue or refuse the calls that reach one gate."""

from typing import Final

from daisywharf._context import SUB_ORDERS, RequestContext
from daisywharf._errors import ErrorKind
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Enqueue, Refuse
from daisywharf._overload._demand import note_arrival
from daisywharf._overload._expected import ExpectedKey, learn_time, least_time_s
from daisywharf._overload._gate import (
    AdmissionState,
    RunningCall,
    has_slot,
    load_of,
    window_of,
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
from daisywharf._overload._window import (
    MAX_ENTRY_WAIT_S,
    EntryWindow,
    adjust,
    has_room,
    note_end,
    note_load,
    refuses,
)

OVERLOAD_WAIT_S: Final = 0.05
LEAST_RETRY_AFTER_S: Final = 1.0
RETRY_AFTER_SPREAD_S: Final = 2.0
DRAINING_RETRY_AFTER_S: Final = 0.1
ATTEMPT_STRIDE: Final = 40_503


def offer(
    state: AdmissionState, call_id: CallId, context: RequestContext, *, now: float
) -> list[AdmissionAction]:
    """Decide on a call that arrives."""
    if state.is_draining:
        return [Refuse(call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S)]
    key = ExpectedKey(context.call_class, context.depth)
    if context.deadline - now <= least_time_s(state.expected, key, now=now):
        return [Refuse(call_id, ErrorKind.TOO_LATE, 0.0)]
    sub_order = context.sub_order
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
        return _offer_to_window(state, window, call, now=now)
    return _offer_slot(state, call, None, now=now)


def finish(
    state: AdmissionState,
    call_id: CallId,
    *,
    now: float,
    succeeded: bool,
    below: Level | None = None,
) -> list[AdmissionAction]:
    """Give a finished call's slot to one that waits; `below` is the level its own calls heard."""
    running = state.in_flight_by_id.pop(call_id, None)
    running = running or state.suspended_by_id.pop(call_id, None)
    if running is None:
        return []
    residence_s = now - running.started_at
    if succeeded:
        state.completions += 1
        learn_time(state.expected, running.expected_key, residence_s, now=now)
    if running.expected_key.depth == 0:
        _note_path(state, running, answer_level(state, now=now, below=below), now=now)
    if running.window is not None:
        note_end(running.window, residence_s, succeeded=succeeded)
    return _start_waiting(state, now=now)


def suspend(state: AdmissionState, call_id: CallId, *, now: float) -> list[AdmissionAction]:
    """Lend out the slot of a call that waits for a call below it."""
    running = state.in_flight_by_id.pop(call_id, None)
    if running is None:
        return []
    state.suspended_by_id[call_id] = running
    return _start_waiting(state, now=now)


def resume(state: AdmissionState, call_id: CallId, *, now: float) -> None:
    """Let a suspended call go on at once, above the limit if need be: its work is mostly done."""
    running = state.suspended_by_id.pop(call_id, None)
    if running is not None:
        state.in_flight_by_id[call_id] = running


def cancel(state: AdmissionState, call_id: CallId, *, now: float) -> list[AdmissionAction]:
    """Drop a waiting call whose caller gave up; one in flight goes on until `finish`."""
    call = state.waiting_by_id.pop(call_id, None)
    if call is not None:
        _remove(state, call)
    return []


def tick(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    """Refuse waiting calls that can no longer finish in time; call at least every 10 ms."""
    actions: list[AdmissionAction] = []
    for call in list(state.waiting_by_id.values()):
        kind = _reason_to_leave(state, call, now=now)
        if kind is not None:
            _remove(state, call)
            actions.append(_refusal(call, kind))
    for window in state.window_by_service.values():
        adjust(window, now=now)
    actions.extend(_start_waiting(state, now=now))
    return actions


def start_draining(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    """Refuse what waits and what arrives from now on."""
    state.is_draining = True
    calls = list(state.waiting_by_id.values())
    for call in calls:
        _remove(state, call)
    return [Refuse(call.call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S) for call in calls]


def current_level(state: AdmissionState, *, now: float) -> Level:
    """Return the level to send back on answers."""
    return Level(state.level.importance, state.level.sub_order, load_of(state), state.service)


def answer_level(state: AdmissionState, *, now: float, below: Level | None = None) -> Level:
    """Return the level of an answer whose own calls heard the level `below`."""
    return merge_levels(current_level(state, now=now), below)


def _note_path(state: AdmissionState, running: RunningCall, level: Level, *, now: float) -> None:
    window = window_of(state, running.expected_key.call_class, level.service, now=now)
    if window is not None:
        note_load(window, level.load, now=now)


def _offer_to_window(
    state: AdmissionState, window: EntryWindow, call: WaitingCall, *, now: float
) -> list[AdmissionAction]:
    note_arrival(window.demand, call.importance, call.sub_order)
    if refuses(window, call.importance, call.sub_order):
        return [_refusal(call, ErrorKind.SHED)]
    if has_room(window) and not window.queue.size:
        return _offer_slot(state, call, window, now=now)
    return _wait(state, window.queue, call, now=now)


def _offer_slot(
    state: AdmissionState, call: WaitingCall, window: EntryWindow | None, *, now: float
) -> list[AdmissionAction]:
    if has_slot(state) and not state.queue.size:
        _start(state, call, window, now=now)
        return [Admit(call.call_id)]
    return _wait(state, state.queue, call, now=now)


def _start(
    state: AdmissionState, call: WaitingCall, window: EntryWindow | None, *, now: float
) -> None:
    key = ExpectedKey(call.call_class, call.depth)
    state.in_flight_by_id[call.call_id] = RunningCall(now, key, window)
    if window is not None:
        window.in_flight += 1


def _wait(
    state: AdmissionState, queue: WaitingQueue, call: WaitingCall, *, now: float
) -> list[AdmissionAction]:
    push(queue, call)
    state.waiting_by_id[call.call_id] = call
    if queue.size <= state.limit:
        return [Enqueue(call.call_id)]
    worst = pop_worst(queue)
    if worst is None or worst is call:
        state.waiting_by_id.pop(call.call_id)
        return [_refusal(call, ErrorKind.SHED)]
    state.waiting_by_id.pop(worst.call_id)
    return [Enqueue(call.call_id), _refusal(worst, ErrorKind.SHED)]


def _start_waiting(state: AdmissionState, *, now: float) -> list[AdmissionAction]:
    actions: list[AdmissionAction] = []
    while has_slot(state) and state.queue.size:
        newest_first = oldest_wait_s(state.queue, now=now) > OVERLOAD_WAIT_S
        actions.extend(_admit_next(state, state.queue, newest_first=newest_first, now=now))
    for window in state.window_by_service.values():
        while window.queue.size and has_room(window) and has_slot(state):
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
    if call.deadline - now <= least_time_s(state.expected, key, now=now):
        return [_refusal(call, ErrorKind.TOO_LATE)]
    window = _window_of_call(state, call)
    _start(state, call, window, now=now)
    return [Admit(call.call_id)]


def _reason_to_leave(state: AdmissionState, call: WaitingCall, *, now: float) -> ErrorKind | None:
    key = ExpectedKey(call.call_class, call.depth)
    if call.deadline - now <= least_time_s(state.expected, key, now=now):
        return ErrorKind.TOO_LATE
    window = _window_of_call(state, call)
    if window is None or now - call.arrived_at <= MAX_ENTRY_WAIT_S:
        return None
    return ErrorKind.SHED if refuses(window, call.importance, call.sub_order) else None


def _remove(state: AdmissionState, call: WaitingCall) -> None:
    state.waiting_by_id.pop(call.call_id, None)
    drop(call)


def _window_of_call(state: AdmissionState, call: WaitingCall) -> EntryWindow | None:
    if call.window_service is None:
        return None
    return state.window_by_service[call.window_service]


def _refusal(call: WaitingCall, kind: ErrorKind) -> Refuse:
    if kind is ErrorKind.TOO_LATE:
        return Refuse(call.call_id, kind, 0.0)
    return Refuse(call.call_id, kind, retry_after_s(call.sub_order, call.call_id.attempt))


def retry_after_s(sub_order: int, attempt: int) -> float:
    """Return when to come back: spread over some seconds, and another time for each attempt."""
    place = (sub_order + attempt * ATTEMPT_STRIDE) % SUB_ORDERS
    return LEAST_RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * place / SUB_ORDERS


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
    "retry_after_s",
    "start_draining",
    "suspend",
    "tick",
]
