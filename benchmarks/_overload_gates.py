"""The gates of the three policies, and the rules of their callers."""

from collections import deque
from collections.abc import Callable

from daisywharf._context import RequestContext
from daisywharf._errors import ErrorKind
from daisywharf._ids import ServiceName
from daisywharf._overload._actions import AdmissionAction, Admit, CallId, Enqueue, Refuse
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._virtual._messages import CallerRules, Gate
from daisywharf._virtual._real_gate import RealGate

HOP_TIMEOUT_S = 1.0
STATIC_LIMIT_FRACTION = 0.9  # of the slots, as is the queue
STATIC_QUEUE_FRACTION = 0.5
STATIC_RETRY_AFTER_S = 1.0


class FixedGate:
    """Runs calls in the order of arrival, with a fixed limit and a bounded queue."""

    def __init__(self, limit: float, max_queue_length: float) -> None:
        self.limit = limit
        self.max_queue_length = max_queue_length
        self.running: set[CallId] = set()
        self.waiting: deque[CallId] = deque()
        self.cancelled: set[CallId] = set()

    def offer(
        self, call_id: CallId, context: RequestContext, *, now: float
    ) -> list[AdmissionAction]:
        """Admit, queue or shed a call that arrives."""
        if len(self.running) < self.limit:
            self.running.add(call_id)
            return [Admit(call_id)]
        if len(self.waiting) >= self.max_queue_length:
            return [Refuse(call_id, ErrorKind.SHED, STATIC_RETRY_AFTER_S)]
        self.waiting.append(call_id)
        return [Enqueue(call_id)]

    def finish(
        self, call_id: CallId, *, now: float, succeeded: bool, below: Level | None
    ) -> list[AdmissionAction]:
        """Give the slot to the call that waited longest."""
        return self.suspend(call_id, now=now)

    def resume(self, call_id: CallId, *, now: float) -> None:
        """Do nothing: a resumed call continues without a slot."""

    def suspend(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Give the slot to the call that waited longest."""
        self.running.discard(call_id)
        while self.waiting and len(self.running) < self.limit:
            next_id = self.waiting.popleft()
            if next_id in self.cancelled:
                self.cancelled.discard(next_id)
                continue
            self.running.add(next_id)
            return [Admit(next_id)]
        return []

    def cancel(self, call_id: CallId, *, now: float) -> list[AdmissionAction]:
        """Drop a waiting call."""
        if call_id not in self.running:
            self.cancelled.add(call_id)
        return []

    def tick(self, *, now: float) -> list[AdmissionAction]:
        """Do nothing."""
        return []

    def level(self, *, now: float, below: Level | None) -> Level:
        """Return an open level."""
        return OPEN_LEVEL


def _naive_gate(slots: int, _service: ServiceName) -> Gate:
    return FixedGate(slots, float("inf"))


def _static_gate(slots: int, _service: ServiceName) -> Gate:
    return FixedGate(slots * STATIC_LIMIT_FRACTION, slots * STATIC_QUEUE_FRACTION)


GATE_FACTORY_BY_POLICY: dict[str, Callable[[int, ServiceName], Gate]] = {
    "daisywharf": RealGate,
    "naive": _naive_gate,
    "static": _static_gate,
}

RULES_BY_POLICY = {
    "daisywharf": CallerRules(
        has_tree_budget=True,
        has_retry_ratio=True,
        cancels=True,
        checks_deadline=True,
        marks_failure_below=True,
        limits_rates=True,
    ),
    "naive": CallerRules(retries_per_hop=2, hop_timeout_s=HOP_TIMEOUT_S),
    "static": CallerRules(retries_per_hop=2, hop_timeout_s=HOP_TIMEOUT_S, has_retry_ratio=True),
}
