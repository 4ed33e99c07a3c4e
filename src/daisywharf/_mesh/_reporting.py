"""Tell the other daemons, now and then, of this one's load and of what runs and enters here."""

from typing import Final

from daisywharf._mesh._entry import Entry
from daisywharf._mesh._frames import Report
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._learned import KEPT_S, drop_kept
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._overload._calls_below import CallCounts, CallsBelow, calls_below, end_period
from daisywharf._overload._chain import note_rows
from daisywharf._overload._origins import note_counts
from daisywharf._overload._slots import load_part

# A loaded gate, and a daemon that has yet to learn who calls whom, report twice as often.
REPORT_S: Final = 1.0
OFTEN_REPORT_S: Final = 0.5
LOADED_PART: Final = 0.5
LEARNING_S: Final = 30.0
# Reports a period: more would cost a daemon of a large fleet more than its share of a core.
MOST_REPORTS: Final = 32


class Reporter:
    """Hold what reports are made of, and when the last one went out."""

    def __init__(
        self, *, gate: Gate, entry: Entry, membership: Membership, sync: StoreSync, now: float
    ) -> None:
        self.gate = gate
        self.entry = entry
        self.membership = membership
        self.sync = sync
        self._started_at = now
        self._reported_at = now
        self._reported_to = 0

    def tick(self, *, now: float) -> None:
        """Report if it is time."""
        if now - self._reported_at >= self._period_s(now=now):
            self._reported_at = now
            self._report(now=now)

    def _period_s(self, *, now: float) -> float:
        is_learning = now - self._started_at < LEARNING_S
        is_loaded = load_part(self.gate.slots) > LOADED_PART
        return OFTEN_REPORT_S if is_learning or is_loaded else REPORT_S

    def _report(self, *, now: float) -> None:
        entry, gate, vm = self.entry, self.gate, self.membership.own.vm
        end_period(gate.counts, now=now)
        if now - self._started_at > KEPT_S:
            drop_kept(entry.chain)
        rows = _rows(gate.counts)
        note_rows(entry.chain, vm, rows)
        load = gate.load() if gate.is_open else None
        if load is not None and gate.notice is not None:
            entry.hear(gate.notice.service, gate.notice.target_id, load)
        entered, service = entry.take_entered(), entry.settings.service
        note_counts(entry.origins, service, entered)
        entry.judge_origins(now=now)
        entry.daemons = len(self.membership.record_by_vm)
        is_watching = self.sync.is_counted_on()
        report = Report(entry.version, is_watching, load, rows, service, entered)
        for link in self._next_links():
            link.send(report)

    def _next_links(self) -> list[OutLink]:
        """Return all links of a small fleet; of a large one, the next in turn."""
        up = [link for link in self.membership.link_by_vm.values() if link.is_up]
        if len(up) <= MOST_REPORTS:
            return up
        start = self._reported_to % len(up)
        self._reported_to += MOST_REPORTS
        return (up + up)[start : start + MOST_REPORTS]


def _rows(counts: CallCounts) -> tuple[CallsBelow, ...]:
    rows = []
    for kind, callee, calls in calls_below(counts):
        route, _, service = kind.rpartition(" ")
        callee_route, _, callee_service = callee.rpartition(" ")
        rows.append(CallsBelow(service, route, callee_service, callee_route, round(calls, 3)))
    return tuple(rows)
