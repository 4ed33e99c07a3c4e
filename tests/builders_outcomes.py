"""Builders of orders, gates and a network that loses, duplicates and reorders messages."""

from collections import Counter
from random import Random

import msgspec

from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind, Ran
from daisywharf._ids import IdempotencyKey, Incarnation, RequestId, TargetId
from daisywharf._outcomes import _call_events, _once, _resolution
from daisywharf._outcomes._call_events import CallPlan
from daisywharf._outcomes._once import OnceRecords, RefuseRun, RepeatAnswer, RunNow, StoredAnswer
from daisywharf._outcomes._resolution import ResolutionState
from daisywharf._outcomes._ticket import Ticket, mint_ticket

TARGETS = (TargetId("orders-1"), TargetId("orders-2"))
START = 1_800_000_000.0
DEADLINE_S = 2.0
MAX_ATTEMPTS = 3


def answer_of(order: int) -> StoredAnswer:
    """Build the only correct answer to an order."""
    return StoredAnswer(200, (), f"answer to order {order}".encode())


def ticket(key: str = "a", *, expires_in: float = 10.0, incarnation: int = 1) -> Ticket:
    """Build a ticket for the first target; `expires_in` is in seconds from `START`."""
    return Ticket(IdempotencyKey(key), TARGETS[0], Incarnation(incarnation), START + expires_in)


class Gate:
    """Hold one target's gate: its clock offset, its records and its running calls."""

    def __init__(self, target_id: TargetId, incarnation: int, *, max_bytes: int) -> None:
        self.clock_offset = 0.0
        self.max_bytes = max_bytes
        self.running: list[Message] = []
        self.records = OnceRecords(
            target_id=target_id, incarnation=Incarnation(incarnation), max_bytes=max_bytes
        )


class Attempt(msgspec.Struct, eq=False):
    """Hold one attempt of an order."""

    order: int
    state: ResolutionState
    ticket: Ticket


class Message(msgspec.Struct, eq=False):
    """Hold a call or a resolve in transit to a gate incarnation."""

    attempt: Attempt
    is_resolve: bool


class Reply(msgspec.Struct, eq=False):
    """Hold a gate's reply in transit to an attempt."""

    attempt: Attempt
    event: _call_events.CallEvent


class OrderWorld:
    """Hold orders, gates and messages; messages are never removed, so each can arrive again."""

    def __init__(self, *, max_bytes: int = 4_194_304) -> None:
        self.now = START
        self.rng = Random(1)
        self.gate_by_id = {name: Gate(name, 1, max_bytes=max_bytes) for name in TARGETS}
        self.attempts: list[Attempt] = []
        self.messages: list[Message] = []
        self.replies: list[Reply] = []
        self.runs_by_order: Counter[int] = Counter()
        self.ends_by_order: Counter[int] = Counter()
        self.not_run: set[int] = set()
        self.keyed: set[int] = set()
        self.delivered: list[tuple[int, StoredAnswer]] = []

    def place(self, order: int) -> None:
        """Send an order's next attempt to the target selected by the order's number."""
        tries = sum(attempt.order == order for attempt in self.attempts)
        target_id = TARGETS[(order + tries) % len(TARGETS)]
        incarnation = self.gate_by_id[target_id].records.incarnation
        minted = mint_ticket(target_id, incarnation, deadline=self.now + DEADLINE_S, rng=self.rng)
        if order in self.keyed:
            minted = msgspec.structs.replace(minted, key=IdempotencyKey(f"k.{order}"))
        plan = CallPlan(RequestId(f"r{order}"), target_id, incarnation, minted)
        attempt = Attempt(order, ResolutionState(plan), minted)
        self.attempts.append(attempt)
        self.event(attempt, _call_events.CallSent())
        self.messages.append(Message(attempt, is_resolve=False))

    def event(self, attempt: Attempt, event: _call_events.CallEvent) -> None:
        """Apply an event to an attempt and carry out the actions that follow."""
        for action in _resolution.resolution_step(attempt.state, event):
            self._act(attempt, action)

    def _act(self, attempt: Attempt, action: _call_events.CallAction) -> None:
        match action:
            case _call_events.Resolve():
                self.messages.append(Message(attempt, is_resolve=True))
            case _call_events.SendAgain():
                self.messages.append(Message(attempt, is_resolve=False))
            case _call_events.Deliver(answer):
                self.delivered.append((attempt.order, answer))
                self.ends_by_order[attempt.order] += 1
            case _call_events.Fail(kind):
                self._fail(attempt.order, kind)
            case _call_events.RetryElsewhere(otherwise):
                tries = sum(other.order == attempt.order for other in self.attempts)
                if tries < MAX_ATTEMPTS:
                    self.place(attempt.order)
                else:
                    self._fail(attempt.order, otherwise)

    def _fail(self, order: int, kind: ErrorKind) -> None:
        self.ends_by_order[order] += 1
        if ANSWERS_BY_KIND[kind].ran is Ran.NO:
            self.not_run.add(order)

    def arrive(self, message: Message, *, is_shed: bool = False) -> None:
        """Deliver a message to its target's gate, whichever incarnation runs there now."""
        gate = self.gate_by_id[message.attempt.ticket.target_id]
        now = self.now + gate.clock_offset
        decide = _once.resolve if message.is_resolve else _once.begin
        decision = decide(gate.records, message.attempt.ticket, now=now)
        if isinstance(decision, RunNow) and not message.is_resolve:
            if is_shed:
                _once.burn(gate.records, message.attempt.ticket.key, now=now)
                decision = RefuseRun(ErrorKind.SHED)
            else:
                self.runs_by_order[message.attempt.order] += 1
                gate.running.append(message)
                return
        self._reply(message, decision, gate)

    def finish(self, gate: Gate) -> None:
        """End the run that the gate started first."""
        message = gate.running.pop(0)
        answer = answer_of(message.attempt.order)
        now = self.now + gate.clock_offset
        _once.complete(gate.records, message.attempt.ticket.key, answer, now=now)
        self._reply(message, RepeatAnswer(answer), gate)

    def restart(self, gate: Gate) -> None:
        """Replace a gate by its next incarnation, which has no records."""
        name, incarnation = gate.records.target_id, gate.records.incarnation
        self.gate_by_id[name] = Gate(name, incarnation + 1, max_bytes=gate.max_bytes)

    def check(self) -> None:
        """Check the guarantees on all orders so far."""
        assert all(runs <= 1 for runs in self.runs_by_order.values()), "ran twice"
        false_refusals = [order for order in self.not_run if self.runs_by_order[order]]
        assert not false_refusals, "ran and said not run"
        assert all(answer == answer_of(order) for order, answer in self.delivered), "wrong answer"
        assert all(ends <= 1 for ends in self.ends_by_order.values()), "ended twice"
        for gate in self.gate_by_id.values():
            assert gate.records.kept_bytes <= gate.max_bytes, "too many bytes kept"

    def pass_time(self, seconds: float) -> None:
        """Advance the time and tick the gates."""
        self.now += seconds
        for gate in self.gate_by_id.values():
            _once.tick(gate.records, now=self.now + gate.clock_offset)

    def settle(self) -> None:
        """End every run, and deliver every message and reply once, in order."""
        for message in self.messages:
            self.arrive(message)
            self.finish_all()
        for reply in self.replies:
            self.event(reply.attempt, reply.event)

    def finish_all(self) -> None:
        """End every run."""
        for gate in self.gate_by_id.values():
            while gate.running:
                self.finish(gate)

    def _reply(self, message: Message, decision: _once.OnceDecision, gate: Gate) -> None:
        attempt = message.attempt
        request_id, records = attempt.state.plan.request_id, gate.records
        event: _call_events.CallEvent
        if message.is_resolve:
            size = len(decision.answer.body) if isinstance(decision, RepeatAnswer) else 0
            event = _call_events.Resolved(attempt.ticket, decision, size)
        elif isinstance(decision, RepeatAnswer):
            size = len(decision.answer.body)
            event = _call_events.AnswerArrived(
                request_id, records.target_id, records.incarnation, decision.answer, size
            )
        else:
            assert isinstance(decision, RefuseRun)
            event = _call_events.RefusalArrived(
                request_id, records.target_id, records.incarnation, decision.kind
            )
        self.replies.append(Reply(attempt, event))


def truncate_answer(event: _call_events.CallEvent) -> _call_events.CallEvent:
    """Drop an answer's last byte but keep its stated length; return other events unchanged."""
    if isinstance(event, _call_events.AnswerArrived):
        body = event.answer.body[:-1]
        return msgspec.structs.replace(event, answer=StoredAnswer(200, (), body))
    return event
