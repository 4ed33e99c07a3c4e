"""Tell the other daemons, now and then, of this one's load and of what runs and enters here."""

from typing import Final, TypeVar

from daisywharf._mesh._entry import Entry
from daisywharf._mesh._frames import News, Report, encode_frame
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._learned import KEPT_S, drop_kept
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
# Daemons that get a whole report a period, of 0.4 KB: more would be over the 13 KB/s that the users
# allow. Of a larger fleet the others get them in turn; what they hold changes slowly.
MOST_REPORTS: Final = 32
REPORTS_IN_TURN: Final = 16
# Daemons that get at least the news, 25 bytes, in each period: 1 part in 100 of a core at 28 us
# for each, and its answer.
MOST_NEWS: Final = 128


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
        self._told = 0

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
        news = self.news()
        if news.load is not None and gate.notice is not None:
            entry.hear(gate.notice.service, gate.notice.target_id, news.load)
        entered, service = entry.take_entered(), entry.settings.service
        note_counts(entry.origins, service, entered)
        entry.judge_origins(now=now)
        entry.daemons = len(self.membership.record_by_vm)
        self._send(news, Report(news, rows, service, entered))

    def news(self) -> News:
        """Return what changes from second to second."""
        load = self.gate.load() if self.gate.is_open else None
        return News(self.entry.version, self.sync.is_counted_on(), load, self.sync.confirmed_ms())

    def _send(self, news: News, report: Report) -> None:
        """Send the report to a small fleet; to some of a large one, and the news to more."""
        up = [link for link in self.membership.link_by_vm.values() if link.is_up]
        whole, told = share_out(up, start=self._told)
        self._told += next_start(len(up))
        encoded_report, encoded_news = encode_frame(report), encode_frame(news)
        for link in whole:
            link.send(report, encoded_report)
        for link in told:
            link.send(news, encoded_news)


LinkT = TypeVar("LinkT")


def share_out(links: list[LinkT], *, start: int) -> tuple[list[LinkT], list[LinkT]]:
    """Return who gets a whole report, and who gets only the news, in the period that starts."""
    if len(links) <= MOST_REPORTS:
        return links, []
    first = start % len(links)
    told = (links[first:] + links[:first])[:MOST_NEWS]
    return told[:REPORTS_IN_TURN], told[REPORTS_IN_TURN:]


def next_start(links: int) -> int:
    """Return how far the next period starts behind this one's start."""
    return MOST_NEWS if links > MOST_NEWS else REPORTS_IN_TURN


def _rows(counts: CallCounts) -> tuple[CallsBelow, ...]:
    rows = []
    for kind, callee, calls in calls_below(counts):
        route, _, service = kind.rpartition(" ")
        callee_route, _, callee_service = callee.rpartition(" ")
        rows.append(CallsBelow(service, route, callee_service, callee_route, round(calls, 3)))
    return tuple(rows)
