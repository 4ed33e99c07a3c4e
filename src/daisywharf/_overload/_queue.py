"""A queue of waiting calls: most important first, and newest first under overload."""

from collections import deque
from collections.abc import Iterator

import msgspec

from daisywharf._contract import Importance
from daisywharf._ids import CallClassName, ServiceName
from daisywharf._overload._actions import CallId


class WaitingCall(msgspec.Struct):
    """Hold a waiting call; times are in seconds of the gate's clock.

    `has_team` tells that `sub_order` is the place of a team's request in the fair order.
    """

    call_id: CallId
    call_class: CallClassName
    importance: Importance
    sub_order: int
    depth: int
    deadline: float
    arrived_at: float
    window_service: ServiceName | None = None
    queue: "WaitingQueue | None" = None
    has_team: bool = False


class WaitingQueue:
    """Hold waiting calls by importance, oldest first; removed calls are discarded lazily."""

    def __init__(self) -> None:
        self.calls_by_importance: list[deque[WaitingCall]] = [deque() for _ in Importance]
        self.size = 0

    def __iter__(self) -> Iterator[WaitingCall]:
        for calls in self.calls_by_importance:
            yield from (call for call in calls if call.queue is self)


def push(queue: WaitingQueue, call: WaitingCall) -> None:
    """Add a call."""
    call.queue = queue
    queue.calls_by_importance[call.importance].append(call)
    queue.size += 1


def pop_next(queue: WaitingQueue, *, newest_first: bool) -> WaitingCall | None:
    """Remove and return the most important call; among equals, the newest or the oldest."""
    for calls in queue.calls_by_importance:
        while calls:
            call = calls.pop() if newest_first else calls.popleft()
            if call.queue is queue:
                return _detach(queue, call)
    return None


def pop_worst(queue: WaitingQueue) -> WaitingCall | None:
    """Remove and return the least important call; among equals, the one that waited longest.

    If that is a team's call, the team's call with the largest sub-order of the same importance
    takes its place. Calls without a team aren't compared by sub-order: those of running requests
    would lose against requests that were admitted because their sub-orders are small.
    """
    for calls in reversed(queue.calls_by_importance):
        while calls and calls[0].queue is not queue:
            calls.popleft()
        if not calls:
            continue
        if not calls[0].has_team:
            return _detach(queue, calls.popleft())
        waiting = (call for call in calls if call.has_team and call.queue is queue)
        return _detach(queue, max(waiting, key=lambda call: call.sub_order))
    return None


def drop(call: WaitingCall) -> None:
    """Remove a call from its queue, if it is in one."""
    if call.queue is not None:
        _detach(call.queue, call)


def oldest_wait_s(queue: WaitingQueue, *, now: float) -> float:
    """Return the seconds that the oldest call has waited, or 0 if the queue is empty."""
    oldest = now
    for calls in queue.calls_by_importance:
        while calls and calls[0].queue is not queue:
            calls.popleft()
        if calls:
            oldest = min(oldest, calls[0].arrived_at)
    return now - oldest


def _detach(queue: WaitingQueue, call: WaitingCall) -> WaitingCall:
    call.queue = None
    queue.size -= 1
    return call
