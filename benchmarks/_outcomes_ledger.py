"""Counts of what targets ran and callers received, kept apart from the state under test."""

from collections import Counter

import msgspec

from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind, Ran


class AttemptId(msgspec.Struct, frozen=True):
    """One send by a caller; the retries that an entry makes for it have the same id."""

    order: int
    number: int


class Ledger:
    """The runs and outcomes of all orders."""

    def __init__(self) -> None:
        self.runs_by_order: Counter[int] = Counter()
        self.runs_by_attempt: Counter[AttemptId] = Counter()
        self.not_run_attempts: set[AttemptId] = set()
        self.burnt_ticket_orders: set[int] = set()
        self.answered: set[int] = set()
        self.kind_by_order: dict[int, ErrorKind] = {}
        self.cause_by_order: dict[int, str] = {}
        self.wrong_answers = 0
        self.cut_answers = 0
        self.cut_by_shutdown = 0
        self.slowest_resolution_s = 0.0
        self.max_record_bytes = 0

    def record_run(self, attempt: AttemptId) -> None:
        """Count a run of an attempt at a target."""
        self.runs_by_order[attempt.order] += 1
        self.runs_by_attempt[attempt] += 1

    def record_kept_bytes(self, kept_bytes: int) -> None:
        """Record the size of one gate's records, in bytes."""
        self.max_record_bytes = max(self.max_record_bytes, kept_bytes)

    def record_answer(self, order: int, body: bytes) -> None:
        """Count an answer that reached its caller as whole, cut or wrong."""
        expected = body_of(order)
        if body == expected:
            self.answered.add(order)
        elif expected.startswith(body):
            self.cut_answers += 1
        else:
            self.wrong_answers += 1

    def record_failure(self, attempt: AttemptId, kind: ErrorKind, cause: str) -> None:
        """Record the error that a caller received in place of an answer, and its cause."""
        self.kind_by_order[attempt.order] = kind
        self.cause_by_order[attempt.order] = cause
        if ANSWERS_BY_KIND[kind].ran is Ran.NO:
            self.not_run_attempts.add(attempt)
        if kind is ErrorKind.TICKET_BURNT:
            self.burnt_ticket_orders.add(attempt.order)

    def report(self, orders: int) -> dict[str, float]:
        """Return the figures of the whole run."""
        open_kinds = {
            order: kind for order, kind in self.kind_by_order.items() if order not in self.answered
        }
        unknown = [o for o, kind in open_kinds.items() if kind is ErrorKind.OUTCOME_UNKNOWN]
        causes = Counter(self.cause_by_order[order] for order in unknown)
        false_refusals = sum(self.runs_by_attempt[a] > 0 for a in self.not_run_attempts)
        false_burnt_tickets = sum(
            self.runs_by_order[order] > 0 for order in self.burnt_ticket_orders
        )
        not_run = [o for o, kind in open_kinds.items() if ANSWERS_BY_KIND[kind].ran is Ran.NO]
        timed_out = [o for o, kind in open_kinds.items() if kind is ErrorKind.TIMED_OUT]
        answered = len(self.answered)
        return {
            "orders": orders,
            "ran_twice": sum(runs > 1 for runs in self.runs_by_order.values()),
            "ran_after_not_run": false_refusals + false_burnt_tickets,
            "wrong_answers": self.wrong_answers,
            "cut_answers": self.cut_answers,
            "answered_whole": answered,
            "answered_whole_part": round(answered / orders, 6),
            "refused_not_run": len(not_run),
            "timed_out": len(timed_out),
            "outcome_unknown": len(unknown),
            "outcome_unknown_gone": causes["gone"],
            "outcome_unknown_unreachable": causes["unreachable"],
            "outcome_unknown_untraced": causes["untraced"],
            "other_ends": orders - answered - len(not_run) - len(timed_out) - len(unknown),
            "cut_by_shutdown": self.cut_by_shutdown,
            "most_record_bytes": self.max_record_bytes,
            "slowest_resolution_seconds": round(self.slowest_resolution_s, 3),
        }


def body_of(order: int) -> bytes:
    """Return the only correct answer body for an order."""
    return f"order {order} is booked, berth {order * 7919 % 997}".encode()
