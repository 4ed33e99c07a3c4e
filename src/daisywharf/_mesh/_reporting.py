"""Tell the other daemons, now and then, of this one's load and of what runs and enters here."""

from typing import Final

from daisywharf._ids import TargetId, VmId, ZoneName
from daisywharf._mesh._entry import Entry
from daisywharf._mesh._frames import Loads, News, PassOn, Report, encode_frame
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._learned import KEPT_S, drop_kept
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._load_board import LoadBoard, in_turn, partner_of, take_due
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._pending import MS
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._overload._calls_below import CallCounts, CallsBelow, calls_below, end_period
from daisywharf._overload._chain import record_rows
from daisywharf._overload._origins import record_counts
from daisywharf._overload._slots import load_ratio

# A loaded gate, and a daemon that has yet to learn who calls whom, report twice as often.
REPORT_S: Final = 1.0
OFTEN_REPORT_S: Final = 0.5
LOADED_PART: Final = 0.5
LEARNING_S: Final = 30.0
# Daemons that get a whole report a period, of 0.4 KB: more would be over the 13 KB/s that the users
# allow. Of a larger fleet the others get them in turn; what they hold changes slowly. Loads, which
# change fast, go to the own zone in each period, and are passed on in the others.
MOST_REPORTS: Final = 32
REPORTS_IN_ZONE: Final = 8
REPORTS_ELSEWHERE: Final = 2
# What loads may take in a period; in a larger zone its daemons are told in turn.
MOST_LOAD_BYTES: Final = 8_500


class Reporter:
    """Hold what reports are made of, and when the last one went out."""

    def __init__(
        self, *, gate: Gate, entry: Entry, membership: Membership, sync: StoreSync, now: float
    ) -> None:
        self.gate = gate
        self.entry = entry
        self.membership = membership
        self.sync = sync
        self.board = LoadBoard()
        self._started_at = now
        self._reported_at = now
        self._rounds = 0

    def tick(self, *, now: float) -> None:
        """Report if it is time."""
        if now - self._reported_at >= self._period_s(now=now):
            self._reported_at = now
            self._report(now=now)

    def _period_s(self, *, now: float) -> float:
        is_learning = now - self._started_at < LEARNING_S
        is_loaded = load_ratio(self.gate.slots) > LOADED_PART
        is_often = is_learning or is_loaded or self.board.due_by_target
        return OFTEN_REPORT_S if is_often else REPORT_S

    def _report(self, *, now: float) -> None:
        entry, gate, vm = self.entry, self.gate, self.membership.own.vm
        end_period(gate.counts, now=now)
        if now - self._started_at > KEPT_S:
            drop_kept(entry.chain)
        rows = _rows(gate.counts)
        record_rows(entry.chain, vm, rows)
        news = self.news()
        if news.load is not None and gate.notice is not None:
            entry.hear(gate.notice.service, gate.notice.target_id, news.load)
        entered, service = entry.take_entered(), entry.settings.service
        record_counts(entry.origins, service, entered)
        entry.judge_origins(now=now)
        gate.entries = len(self.membership.record_by_vm)
        zone = self.membership.own.zone
        records = self.membership.record_by_vm.values()
        entry.services.set_entries(sum(record.zone == zone for record in records))
        self._send(news, Report(news, rows, service, entered), now=now)

    def news(self) -> News:
        """Return what changes from second to second."""
        load = self.gate.load() if self.gate.is_open else None
        return News(self.entry.version, self.sync.is_counted_on(), load, self.sync.confirmed_ms())

    def _send(self, news: News, report: Report, *, now: float) -> None:
        """Send the report to a small fleet; to some of a large one, and loads to more."""
        links_by_zone = self._links_by_zone()
        zone = links_by_zone.pop(self.membership.own.zone, {})
        whole = list(zone.values())
        elsewhere = [link for links in links_by_zone.values() for link in links.values()]
        if len(whole) + len(elsewhere) <= MOST_REPORTS:
            whole += elsewhere
        else:
            self._tell_loads(news, zone, links_by_zone, now=now)
            whole = in_turn(whole, rounds=self._rounds, most=REPORTS_IN_ZONE)
            whole += in_turn(elsewhere, rounds=self._rounds, most=REPORTS_ELSEWHERE)
        self._rounds += 1
        encoded = encode_frame(report)
        for link in whole:
            link.send(report, encoded)

    def _links_by_zone(self) -> dict[ZoneName, dict[VmId, OutLink]]:
        """Return the links that are up."""
        links_by_zone: dict[ZoneName, dict[VmId, OutLink]] = {}
        for vm, link in self.membership.link_by_vm.items():
            if link.is_up:
                zone = self.membership.record_by_vm[vm].zone
                links_by_zone.setdefault(zone, {})[vm] = link
        return links_by_zone

    def _tell_loads(
        self,
        news: News,
        zone: dict[VmId, OutLink],
        links_by_zone: dict[ZoneName, dict[VmId, OutLink]],
        *,
        now: float,
    ) -> None:
        """Tell the zone the own load and those to pass on, and one daemon of each other zone."""
        loads = Loads(news, take_due(self.board, now=now))
        encoded = encode_frame(loads)
        most = MOST_LOAD_BYTES // len(encoded)
        for link in in_turn(list(zone.values()), rounds=self._rounds, most=most):
            link.send(loads, encoded)
        to_pass_on = PassOn(news)
        encoded = encode_frame(to_pass_on)
        for links in links_by_zone.values():
            partner = partner_of(self.membership.own.vm, zone, links, rounds=self._rounds)
            links[partner].send(to_pass_on, encoded)

    def hear_loads(self, loads: Loads) -> None:
        """Take loads that another daemon of the zone passes on."""
        for told in loads.loads:
            target_id = TargetId(told.target_id)
            service = self.entry.services.service_of(target_id)
            if service is not None:
                self.entry.hear(service, target_id, told.load, age_s=told.age_ms / MS)


def _rows(counts: CallCounts) -> tuple[CallsBelow, ...]:
    rows = []
    for kind, callee, calls in calls_below(counts):
        route, _, service = kind.rpartition(" ")
        callee_route, _, callee_service = callee.rpartition(" ")
        rows.append(CallsBelow(service, route, callee_service, callee_route, round(calls, 3)))
    return tuple(rows)
