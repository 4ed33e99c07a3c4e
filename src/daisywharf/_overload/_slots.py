"""Give a target's slots to calls: the gate is the only way to its target, so it sees them all.

Load pattern: more calls than slots for seconds on end, while work in flight elsewhere depends on
some of them. Calls wait here by importance and not in the target's own queue by arrival, and only
as long as an answer can still be of use.
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

# Part of the announced slots that is used: a target slows down when it is nearly full. Of 18 or 19
# slots, one stays free.
USED_FRACTION: Final = 0.95
# Waiting calls over the limit; more could not start before their callers give up.
MAX_QUEUE_RATIO: Final = 1.0
# From this wait of the oldest call on, the newest starts first: it has most time left.
NEWEST_FIRST_WAIT_S: Final = 0.3
DRAINING_RETRY_AFTER_S: Final = 0.1
# Weight of one more run in the time that calls run, and that time before any has ended.
RUN_WEIGHT: Final = 0.1
INITIAL_RUN_S: Final = 0.1


class SlotGate:
    """Hold the calls that run and wait at one target."""

    def __init__(self, *, slots: int) -> None:
        self.limit = usable_slots(slots)
        self.running: set[CallId] = set()
        self.waiting_by_id: dict[CallId, WaitingCall] = {}
        self.queue = WaitingQueue()
        self.is_closed = False
        self.rate = StartRate()
        self.run_s = INITIAL_RUN_S


def usable_slots(slots: int) -> int:
    """Return how many of a target's slots are used at once."""
    return max(1, int(slots * USED_FRACTION))


def capacity(gate: SlotGate) -> float:
    """Return how many calls run at once at a full gate: its slots, or what its rate fills."""
    if not gate.rate.is_limited:
        return float(gate.limit)
    return min(float(gate.limit), max(1.0, limit_or_infinity(gate.rate) * gate.run_s))


def load_ratio(gate: SlotGate) -> float:
    """Return the calls that run and wait, over the gate's room."""
    return (len(gate.running) + gate.queue.size) / capacity(gate)


def record_run(gate: SlotGate, seconds: float) -> None:
    """Learn how long a call ran."""
    gate.run_s += (seconds - gate.run_s) * RUN_WEIGHT


def arrive(gate: SlotGate, call: WaitingCall, *, now: float) -> list[AdmissionAction]:
    """Decide on a call; its `deadline` is the latest time at which it may start."""
    if gate.is_closed:
        return [Refuse(call.call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S)]
    if now >= call.deadline:
        return [Refuse(call.call_id, ErrorKind.TOO_LATE, 0.0)]
    if not gate.queue.size and _may_start(gate, now=now):
        return [_start(gate, call)]
    if gate.rate.is_limited and now + _queued_start_delay_s(gate, call, now=now) > call.deadline:
        # Its wait is known beforehand: it is better off elsewhere, at once.
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
    """Give the slot of a call that ended to one that waits."""
    gate.running.discard(call_id)
    return start_waiting(gate, now=now)


def withdraw(gate: SlotGate, call_id: CallId) -> None:
    """Drop a waiting call that its caller gave up."""
    call = gate.waiting_by_id.pop(call_id, None)
    if call is not None:
        drop(call)


def expire(gate: SlotGate, *, now: float) -> list[AdmissionAction]:
    """Refuse waiting calls that may no longer start."""
    late = [call for call in gate.waiting_by_id.values() if now >= call.deadline]
    for call in late:
        withdraw(gate, call.call_id)
    return [Refuse(call.call_id, ErrorKind.TOO_LATE, 0.0) for call in late]


def close_gate(gate: SlotGate) -> list[AdmissionAction]:
    """Refuse what waits and what arrives from now on; what runs goes on."""
    gate.is_closed = True
    waiting = list(gate.waiting_by_id)
    for call_id in waiting:
        withdraw(gate, call_id)
    return [Refuse(call_id, ErrorKind.DRAINING, DRAINING_RETRY_AFTER_S) for call_id in waiting]


def change_slots(gate: SlotGate, slots: int, *, now: float) -> list[AdmissionAction]:
    """Follow an announcement of more or fewer slots."""
    gate.limit = usable_slots(slots)
    return start_waiting(gate, now=now)


def next_start_delay_s(gate: SlotGate, *, now: float) -> float | None:
    """Return the seconds until a waiting call may start by its target's rate, or none."""
    has_slot = len(gate.running) < gate.limit
    return start_delay_s(gate.rate, now=now) if has_slot and gate.queue.size else None


def _queued_start_delay_s(gate: SlotGate, call: WaitingCall, *, now: float) -> float:
    """Return the seconds until a call's turn, behind what waits and is no less important."""
    ahead = sum(waiting.importance <= call.importance for waiting in gate.waiting_by_id.values())
    return start_delay_s(gate.rate, now=now) + ahead / gate.rate.bucket.rate_per_second


def _may_start(gate: SlotGate, *, now: float) -> bool:
    return len(gate.running) < gate.limit and not start_delay_s(gate.rate, now=now)


def _start(gate: SlotGate, call: WaitingCall) -> Admit:
    gate.running.add(call.call_id)
    record_start(gate.rate)
    return Admit(call.call_id)


def start_waiting(gate: SlotGate, *, now: float) -> list[AdmissionAction]:
    """Start waiting calls for which there is a slot and whose turn it is."""
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
