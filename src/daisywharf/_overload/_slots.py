"""Assign a target's slots to calls. All calls to a target pass its gate, so it sees them all.

Load pattern: more calls than slots for several seconds, while work in flight elsewhere depends on
some of them. Calls wait here, ordered by importance, instead of in the target's own queue, ordered
by arrival, and only as long as their answer can still be used.
"""

from typing import Final

from daisywharf._errors import ErrorKind
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Enqueue, Refuse
from daisywharf._overload._queue import (
    WaitingCall,
    WaitingQueue,
    drop,
    oldest_wait_s,
    pop_next,
    pop_worst,
    push,
)
from daisywharf._overload._start_rate import (
    StartRate,
    limit_or_infinity,
    max_waiting,
    record_start,
    start_delay_s,
)

# Fraction of the announced slots that is used: a target slows down when nearly full. Of 18 or 19
# slots, one stays free.
USED_FRACTION: Final = 0.95
# Maximum waiting calls over the limit; further ones could not start before they are abandoned.
MAX_QUEUE_RATIO: Final = 1.0
# Once the oldest call has waited this long, the newest starts first: it has the most time left.
NEWEST_FIRST_WAIT_S: Final = 0.3
DRAINING_RETRY_AFTER_S: Final = 0.1
# Smoothing weight of one run in the mean run time, and its value before any run has ended.
RUN_WEIGHT: Final = 0.1
INITIAL_RUN_S: Final = 0.1


class SlotGate:
    """Hold the running and waiting calls of one target; `run_s` is the mean run time in seconds."""

    def __init__(self, *, slots: int) -> None:
        self.limit = usable_slots(slots)
        self.running: set[CallId] = set()
        self.waiting_by_id: dict[CallId, WaitingCall] = {}
        self.queue = WaitingQueue()
        self.is_closed = False
        self.rate = StartRate()
        self.run_s = INITIAL_RUN_S


def usable_slots(slots: int) -> int:
    """Return how many of a target's announced slots are used at once."""
    return max(1, int(slots * USED_FRACTION))


def capacity(gate: SlotGate) -> float:
    """Return how many calls run at once at a full gate, limited by its slots or its start rate."""
    if not gate.rate.is_limited:
        return float(gate.limit)
    return min(float(gate.limit), max(1.0, limit_or_infinity(gate.rate) * gate.run_s))


def load_ratio(gate: SlotGate) -> float:
    """Return the running and waiting calls over the gate's capacity."""
    return (len(gate.running) + gate.queue.size) / capacity(gate)


def record_run_time(gate: SlotGate, seconds: float) -> None:
    """Smooth a call's run time into the mean."""
    gate.run_s += (seconds - gate.run_s) * RUN_WEIGHT


def arrive(gate: SlotGate, call: WaitingCall, *, now: float) -> list[AdmissionAction]:
    """Admit, enqueue or refuse a call; its `deadline` is the latest time at which it may start."""
    if gate.is_closed:
        return [Refuse(call.call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S)]
    if now >= call.deadline:
        return [Refuse(call.call_id, ErrorKind.TOO_LATE, 0.0)]
    if not gate.queue.size and _may_start(gate, now=now):
        return [_start(gate, call)]
    if gate.rate.is_limited and now + _queued_start_delay_s(gate, call, now=now) > call.deadline:
        # The rate already shows that it would wait too long: refuse now, so it can go elsewhere.
        return [Refuse(call.call_id, ErrorKind.SHED, 0.0)]
    push(gate.queue, call)
    gate.waiting_by_id[call.call_id] = call
    if gate.queue.size <= min(gate.limit * MAX_QUEUE_RATIO, max_waiting(gate.rate)):
        return [Enqueue(call.call_id)]
    worst = pop_worst(gate.queue)
    if worst is None:
        return [Enqueue(call.call_id)]
    del gate.waiting_by_id[worst.call_id]
    return [Refuse(worst.call_id, ErrorKind.SHED, 0.0)]


def release(gate: SlotGate, call_id: CallId, *, now: float) -> list[AdmissionAction]:
    """Release the slot of a call that ended and start waiting calls."""
    gate.running.discard(call_id)
    return start_waiting(gate, now=now)


def withdraw(gate: SlotGate, call_id: CallId) -> None:
    """Drop a waiting call that its caller abandoned."""
    call = gate.waiting_by_id.pop(call_id, None)
    if call is not None:
        drop(call)


def expire(gate: SlotGate, *, now: float) -> list[AdmissionAction]:
    """Refuse waiting calls whose latest start time has passed."""
    late = [call for call in gate.waiting_by_id.values() if now >= call.deadline]
    for call in late:
        withdraw(gate, call.call_id)
    return [Refuse(call.call_id, ErrorKind.TOO_LATE, 0.0) for call in late]


def close_gate(gate: SlotGate) -> list[AdmissionAction]:
    """Refuse all waiting calls and all later arrivals; running calls continue."""
    gate.is_closed = True
    waiting = list(gate.waiting_by_id)
    for call_id in waiting:
        withdraw(gate, call_id)
    return [Refuse(call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S) for call_id in waiting]


def change_slots(gate: SlotGate, slots: int, *, now: float) -> list[AdmissionAction]:
    """Apply a newly announced number of slots and start waiting calls that now fit."""
    gate.limit = usable_slots(slots)
    return start_waiting(gate, now=now)


def next_start_delay_s(gate: SlotGate, *, now: float) -> float | None:
    """Return the seconds until the start rate allows the next waiting call to start.

    Return None if no call waits or no slot is free.
    """
    has_slot = len(gate.running) < gate.limit
    return start_delay_s(gate.rate, now=now) if has_slot and gate.queue.size else None


def _queued_start_delay_s(gate: SlotGate, call: WaitingCall, *, now: float) -> float:
    """Return the seconds until a call may start after the waiting calls that go before it.

    Those are the waiting calls of the same or higher importance.
    """
    ahead = sum(waiting.importance <= call.importance for waiting in gate.waiting_by_id.values())
    return start_delay_s(gate.rate, now=now) + ahead / gate.rate.bucket.rate_per_second


def _may_start(gate: SlotGate, *, now: float) -> bool:
    return len(gate.running) < gate.limit and not start_delay_s(gate.rate, now=now)


def _start(gate: SlotGate, call: WaitingCall) -> Admit:
    gate.running.add(call.call_id)
    record_start(gate.rate)
    return Admit(call.call_id)


def start_waiting(gate: SlotGate, *, now: float) -> list[AdmissionAction]:
    """Start waiting calls while slots are free and the start rate allows it."""
    actions: list[AdmissionAction] = []
    while gate.queue.size and _may_start(gate, now=now):
        newest_first = oldest_wait_s(gate.queue, now=now) > NEWEST_FIRST_WAIT_S
        call = pop_next(gate.queue, newest_first=newest_first)
        if call is None:
            break
        del gate.waiting_by_id[call.call_id]
        if now >= call.deadline:
            actions.append(Refuse(call.call_id, ErrorKind.TOO_LATE, 0.0))
        else:
            actions.append(_start(gate, call))
    return actions
