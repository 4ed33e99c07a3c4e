"""Simulation of orders, callers, entries and targets in three zones on a virtual clock."""

from random import Random

import msgspec

from benchmarks._outcomes_clock import VirtualClock
from benchmarks._outcomes_entry import EntryNode, Sending
from benchmarks._outcomes_ledger import AttemptId, Ledger
from benchmarks._outcomes_network import Network
from benchmarks._outcomes_platform import ClaimStore
from benchmarks._outcomes_target import Call, TargetNode
from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind, Ran
from daisywharf._ids import CustomerId, EditId, IdempotencyKey, TargetId
from daisywharf._outcomes import _call_events, _claim
from daisywharf._outcomes._keys import KeyBinding, mint_key, scoped_key, ticket_of_minted_key
from daisywharf._outcomes._ticket import mint_ticket

START_S = 1_800_000_000.0
ZONES = 3
ENTRIES = 3
TARGETS = 4
ORDERS_PER_S = 500.0
DEADLINE_S = 3.0
MAX_RETRIES = 2
MAX_SENDS_PER_ORDER = 4
MINTED_KEY_FRACTION = 0.15
CALLER_KEY_FRACTION = 0.15
CONCURRENT_SEND_FRACTION = 0.1
WITHDRAWAL_PROPAGATION_S = 1.0  # until all entries know that a target has withdrawn
RESTART_S = 0.5
SECRET = b"a secret of the bench's own fleet"
CUSTOMER = CustomerId("karri-ridge")


class Order(msgspec.Struct, eq=False):
    """One order: its idempotency key, if it has one, and how often the caller sent it."""

    number: int
    key: IdempotencyKey | None = None
    sent: int = 0
    open_attempts: int = 0
    is_answered: bool = False


class World:
    """All nodes, the network and the ledger; takes each order from its caller to its outcome."""

    def __init__(self, *, seed: int) -> None:
        self.rng = Random(seed)
        self.clock = VirtualClock(now=START_S)
        self.ledger = Ledger()
        self.network = Network(self.clock, self.rng)
        self.claims = ClaimStore(self.network)
        self.target_by_id: dict[TargetId, TargetNode] = {}
        self.abandoned_attempts = 0
        self.edits = 0
        self.placed = 0
        for index in range(TARGETS):
            self._start_target(f"orders-{index}", index % ZONES, incarnation=1)
        self.entries = [self._new_entry(index) for index in range(ENTRIES)]

    def place_order(self, number: int) -> None:
        """Send a new order through a random entry; some with a key are sent twice at once."""
        order = Order(number)
        self.placed += 1
        entry = self.rng.choice(self.entries)
        draw = self.rng.random()
        if draw < MINTED_KEY_FRACTION:
            target = self._choose_target(entry, frozenset())
            binding = KeyBinding(CUSTOMER, target.target_id, target.incarnation)
            order.key = mint_key(binding, secret=SECRET, now=entry.wall_now, rng=self.rng)
        elif draw < MINTED_KEY_FRACTION + CALLER_KEY_FRACTION:
            order.key = IdempotencyKey(f"caller-{number}")
        self._submit(order, entry)
        if order.key is not None and self.rng.random() < CONCURRENT_SEND_FRACTION:
            self._submit(order, self.rng.choice(self.entries))

    def restart(self, target: TargetNode) -> None:
        """Kill a target and start its next incarnation."""
        target.kill()
        target.withdrawn_at = min(target.withdrawn_at, self.clock.now)
        is_vm_lost = self.rng.random() < 0.5
        for entry in self.entries:
            link = entry.link_by_target.get(target.target_id)
            if link is not None and not is_vm_lost:
                self.network.break_channel(link.channel)
        self.clock.after(
            RESTART_S,
            lambda: self._start_target(
                target.name, target.zone, incarnation=target.incarnation + 1
            ),
        )

    def _start_target(self, name: str, zone: int, *, incarnation: int) -> None:
        current = self.target_by_id.get(TargetId(name))
        if current is not None and current.incarnation >= incarnation:
            return
        target = TargetNode(
            self.clock,
            name,
            zone,
            incarnation=incarnation,
            ledger=self.ledger,
            rng=self.rng,
            rates=self.network.rates,
        )
        if current is not None:
            target.wall_offset_s = current.wall_offset_s
        self.target_by_id[target.target_id] = target

    def _new_entry(self, index: int) -> EntryNode:
        return EntryNode(
            self.clock,
            f"entry-{index}",
            index % ZONES,
            network=self.network,
            target_by_id=self.target_by_id,
        )

    def _choose_target(self, entry: EntryNode, excluded: frozenset[TargetId]) -> TargetNode:
        now = self.clock.now
        usable = [
            target
            for target in self.target_by_id.values()
            if target.withdrawn_at + WITHDRAWAL_PROPAGATION_S > now
            and entry.suspect_until_by_target.get(target.target_id, now) <= now
            and target.target_id not in excluded
        ]
        return self.rng.choice(usable or list(self.target_by_id.values()))

    def _submit(self, order: Order, entry: EntryNode) -> None:
        order.sent += 1
        order.open_attempts += 1
        attempt = AttemptId(order.number, order.sent)
        deadline = self.clock.now + DEADLINE_S
        entry.do(lambda: self._enter(order, entry, attempt, deadline))

    def _enter(self, order: Order, entry: EntryNode, attempt: AttemptId, deadline: float) -> None:
        if order.key is None:
            self._send_single_use(order, entry, attempt, deadline, frozenset())
        elif order.key.startswith("dw1."):
            ticket = ticket_of_minted_key(order.key, customer=CUSTOMER, secret=SECRET)
            # An entry can't know whether a minted key was already used through another entry.
            self._send(order, entry, Call(attempt, ticket, deadline), False, frozenset())
        else:
            self._claim(order, entry, attempt, deadline)

    def _send_single_use(
        self,
        order: Order,
        entry: EntryNode,
        attempt: AttemptId,
        deadline: float,
        excluded: frozenset[TargetId],
    ) -> None:
        target = self._choose_target(entry, excluded)
        ticket = mint_ticket(
            target.target_id,
            target.incarnation,
            deadline=deadline + entry.wall_offset_s,
            rng=self.rng,
        )
        self._send(order, entry, Call(attempt, ticket, deadline), True, excluded)

    def _claim(self, order: Order, entry: EntryNode, attempt: AttemptId, deadline: float) -> None:
        self.edits += 1
        target = self._choose_target(entry, frozenset())
        assert order.key is not None
        state = _claim.ClaimState(
            scoped_key(CUSTOMER, order.key),
            target_id=target.target_id,
            incarnation=target.incarnation,
            edit_id=EditId(f"edit-{self.edits}"),
            now=entry.wall_now,
        )

        def step(event: _claim.ClaimEvent) -> None:
            if self.clock.now >= deadline:
                event = _claim.ClaimDeadlinePassed()
            for action in _claim.claim_step(state, event, now=entry.wall_now):
                perform(action)

        def perform(action: _claim.ClaimAction) -> None:
            match action:
                case _claim.CreateClaim():
                    self.claims.create(entry, action, step)
                case _claim.ReadClaim():
                    self.claims.read(entry, action, step)
                case _claim.SendUnderClaim(ticket, is_first_use):
                    call = Call(attempt, ticket, deadline)
                    self._send(order, entry, call, is_first_use, frozenset())
                case _claim.RefuseClaim(kind):
                    self._handle_failure(order, attempt, kind, "untraced")

        step(_claim.ClaimStarted())

    def _send(
        self,
        order: Order,
        entry: EntryNode,
        call: Call,
        is_first_use: bool,
        excluded: frozenset[TargetId],
    ) -> None:
        def on_end(sending: Sending, action: _call_events.CallAction) -> None:
            self._record_resolution(sending)
            match action:
                case _call_events.Deliver(answer):
                    order.is_answered = True
                    order.open_attempts -= 1
                    self.ledger.record_answer(order.number, answer.body)
                case _call_events.Fail(kind):
                    self._handle_failure(order, call.attempt, kind, self._cause(entry, sending))
                case _call_events.RetryElsewhere(otherwise):
                    self._retry(order, entry, call, otherwise, excluded)
                case _:
                    order.open_attempts -= 1
                    self.abandoned_attempts += 1

        sending = entry.send(call, is_first_use=is_first_use, ended=on_end)
        if self.rng.random() < self.network.rates.give_up:
            entry.after(self.rng.uniform(0.0, 0.1), lambda: entry.abandon(sending))

    def _retry(
        self,
        order: Order,
        entry: EntryNode,
        call: Call,
        otherwise: ErrorKind,
        excluded: frozenset[TargetId],
    ) -> None:
        if len(excluded) >= MAX_RETRIES or self.clock.now >= call.deadline:
            self._handle_failure(order, call.attempt, otherwise, "untraced")
            return
        excluded |= {call.ticket.target_id}
        self._send_single_use(order, entry, call.attempt, call.deadline, excluded)

    def _handle_failure(
        self, order: Order, attempt: AttemptId, kind: ErrorKind, cause: str
    ) -> None:
        """Record a failed attempt; the caller of an order with a key may send it again."""
        order.open_attempts -= 1
        self.ledger.record_failure(attempt, kind, cause)
        is_final = ANSWERS_BY_KIND[kind].ran is Ran.NO and kind is ErrorKind.TICKET_BURNT
        if order.key is None or is_final or order.is_answered or order.sent >= MAX_SENDS_PER_ORDER:
            return
        entry = self.rng.choice(self.entries)
        self.clock.after(self.rng.uniform(0.1, 3.0), lambda: self._submit(order, entry))

    def _record_resolution(self, sending: Sending) -> None:
        """Record how long a call took to resolve since its send or the first fault of its link."""
        if not sending.was_resolved or sending.link is None:
            return
        if sending.link.channel.entry.paused_until > sending.sent_at:
            # A paused entry ends its calls only when it continues; that delay isn't the link's.
            return
        first_fault_at = min(sending.link.channel.first_fault_at, self.clock.now)
        seconds = self.clock.now - max(sending.sent_at, first_fault_at)
        self.ledger.slowest_resolution_s = max(self.ledger.slowest_resolution_s, seconds)

    def _cause(self, entry: EntryNode, sending: Sending) -> str:
        """Return the cause of a failure: target gone, target unreachable, or not traced."""
        ticket = sending.call.ticket
        target = self.target_by_id[ticket.target_id]
        if target.is_gone or target.incarnation != ticket.incarnation:
            return "gone"
        zones = frozenset((entry.zone, target.zone))
        was_partitioned = self.network.partitioned_until_by_zones.get(zones, 0.0) > sending.sent_at
        was_paused = max(entry.paused_until, target.paused_until) >= sending.sent_at
        return "unreachable" if was_partitioned or was_paused else "untraced"
