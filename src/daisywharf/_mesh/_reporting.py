"""Report periodically to the other daemons: load, calls per run, and entered requests."""

from typing import Final

from daisywharf._ids import TargetId, VmId, ZoneName
from daisywharf._mesh._entry import Entry
from daisywharf._mesh._frames import (
    GateLoad,
    RelayLoad,
    Report,
    StatusUpdate,
    ZoneLoads,
    encode_frame,
)
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._learned import RESTORED_LIFETIME_S, drop_restored
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._load_relay import (
    RelayQueue,
    enqueue_load,
    pop_due,
    relay_partner,
    rotating_subset,
)
from daisywharf._mesh._membership import Membership, open_links_by_zone
from daisywharf._mesh._pending import MS_PER_S
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._overload._calls_below import CallCounts, CallsBelow, calls_below, end_period
from daisywharf._overload._chain import record_rows
from daisywharf._overload._chain_chance import MIN_URGENT_PERIOD_S, is_urgent
from daisywharf._overload._origins import record_counts
from daisywharf._overload._slots import load_ratio

# A daemon reports twice as often while its gate's load ratio is over `LOADED_RATIO`, while it has
# loads to relay, and in its first `LEARNING_S` seconds, when it has yet to learn the call chain.
REPORT_PERIOD_S: Final = 1.0
FAST_REPORT_PERIOD_S: Final = 0.5
LOADED_RATIO: Final = 0.5
LEARNING_S: Final = 30.0
# Daemons that get a full report of 0.4 KB in each period: more would exceed the 13 KB/s that the
# users allow. In a larger fleet, daemons get full reports in turn, as their content changes slowly.
# Loads change fast: they go to all of the own zone in each period, and are relayed in other zones.
MAX_FULL_REPORTS: Final = 32
REPORTS_IN_ZONE: Final = 8
REPORTS_ELSEWHERE: Final = 2
# Bytes of loads sent in one period; the daemons of a zone too large for that get loads in turn.
MAX_LOAD_BYTES: Final = 8_500


class Reporter:
    """Send periodic reports, and hold the loads to relay with the next one."""

    def __init__(
        self, *, gate: Gate, entry: Entry, membership: Membership, sync: StoreSync, now: float
    ) -> None:
        self.gate = gate
        self.entry = entry
        self.membership = membership
        self.sync = sync
        self.relay_queue = RelayQueue()
        self.relayed_share_by_target: dict[TargetId, float] = {}
        # Whether a queued load is to be relayed without waiting for the next report.
        self.is_relay_urgent = False
        self._reported_share = 0.0
        self._sent_at = now
        self._started_at = now
        self._reported_at = now
        self._round_number = 0

    def tick(self, *, now: float) -> None:
        """Send a report if one is due."""
        if now - self._reported_at >= self._period_s(now=now):
            self._reported_at = now
            self._report(now=now)
        elif now - self._sent_at >= MIN_URGENT_PERIOD_S and self._is_urgent():
            self._send_status(now=now)

    def _is_urgent(self) -> bool:
        """Return whether the rejected share of this gate, or of one to relay, has changed much."""
        share = self.gate.rejected_share()
        return self.is_relay_urgent or is_urgent(share, reported=self._reported_share)

    def _send_status(self, *, now: float) -> None:
        """Send this daemon's status and the queued loads ahead of the next report."""
        status = self.status()
        self._record_own_load(status)
        links_by_zone = open_links_by_zone(self.membership)
        zone = links_by_zone.pop(self.membership.own.zone, {})
        elsewhere = [link for links in links_by_zone.values() for link in links.values()]
        if len(zone) + len(elsewhere) > MAX_FULL_REPORTS:
            self._send_loads(status, zone, links_by_zone, now=now)
        else:
            encoded = encode_frame(status)
            for link in [*zone.values(), *elsewhere]:
                link.send(status, encoded)
        self._record_sent(status, now=now)

    def _record_own_load(self, status: StatusUpdate) -> None:
        announcement = self.gate.announcement
        if status.load is not None and announcement is not None:
            self.entry.record_load(announcement.service, announcement.target_id, status.load)

    def _record_sent(self, status: StatusUpdate, *, now: float) -> None:
        self._sent_at = now
        self._reported_share = 0.0 if status.load is None else status.load.rejected_share
        self.is_relay_urgent = False

    def _period_s(self, *, now: float) -> float:
        is_learning = now - self._started_at < LEARNING_S
        is_loaded = load_ratio(self.gate.slots) > LOADED_RATIO
        is_frequent = is_learning or is_loaded or self.relay_queue.due_by_target
        return FAST_REPORT_PERIOD_S if is_frequent else REPORT_PERIOD_S

    def _report(self, *, now: float) -> None:
        entry, gate, vm = self.entry, self.gate, self.membership.own.vm
        end_period(gate.call_counts, now=now)
        if now - self._started_at > RESTORED_LIFETIME_S:
            drop_restored(entry.chain)
        rows = _rows(gate.call_counts)
        record_rows(entry.chain, vm, rows)
        status = self.status()
        self._record_own_load(status)
        entered, service = entry.take_entry_counts(), entry.settings.service
        record_counts(entry.origins, service, entered)
        entry.classify_routes(now=now)
        gate.entries = len(self.membership.record_by_vm)
        zone = self.membership.own.zone
        records = self.membership.record_by_vm.values()
        entry.services.set_entries(sum(record.zone == zone for record in records))
        self._send(status, Report(status, rows, service, entered), now=now)
        self._record_sent(status, now=now)

    def status(self) -> StatusUpdate:
        """Return this daemon's present status: what changes from second to second."""
        load = self.gate.load() if self.gate.is_open else None
        return StatusUpdate(
            self.entry.version,
            self.sync.is_reliable_watcher(),
            load,
            self.sync.confirmed_age_ms(),
            self.sync.store.era_state.era or 0,
        )

    def _send(self, status: StatusUpdate, report: Report, *, now: float) -> None:
        """Send the report to all of a small fleet; in a large one to some, and loads to more."""
        links_by_zone = open_links_by_zone(self.membership)
        zone = links_by_zone.pop(self.membership.own.zone, {})
        full_report_links = list(zone.values())
        elsewhere = [link for links in links_by_zone.values() for link in links.values()]
        if len(full_report_links) + len(elsewhere) <= MAX_FULL_REPORTS:
            full_report_links += elsewhere
        else:
            self._send_loads(status, zone, links_by_zone, now=now)
            full_report_links = rotating_subset(
                full_report_links, round_number=self._round_number, max_count=REPORTS_IN_ZONE
            )
            full_report_links += rotating_subset(
                elsewhere, round_number=self._round_number, max_count=REPORTS_ELSEWHERE
            )
        self._round_number += 1
        encoded = encode_frame(report)
        for link in full_report_links:
            link.send(report, encoded)

    def _send_loads(
        self,
        status: StatusUpdate,
        zone: dict[VmId, OutLink],
        links_by_zone: dict[ZoneName, dict[VmId, OutLink]],
        *,
        now: float,
    ) -> None:
        """Send this daemon's load and the queued ones to its zone, and its own to each other zone.

        One daemon of each other zone gets it and relays it there.
        """
        loads = ZoneLoads(status, pop_due(self.relay_queue, now=now))
        encoded = encode_frame(loads)
        max_count = MAX_LOAD_BYTES // len(encoded)
        for link in rotating_subset(
            list(zone.values()), round_number=self._round_number, max_count=max_count
        ):
            link.send(loads, encoded)
        relay_load = RelayLoad(status)
        encoded = encode_frame(relay_load)
        for links in links_by_zone.values():
            partner = relay_partner(
                self.membership.own.vm, zone, links, round_number=self._round_number
            )
            links[partner].send(relay_load, encoded)

    def queue_load(self, target_id: TargetId, load: GateLoad, *, now: float) -> None:
        """Queue the load of another zone's gate to relay it, urgently if its share has changed."""
        known = self.relayed_share_by_target.get(target_id, 0.0)
        if is_urgent(load.rejected_share, reported=known):
            self.is_relay_urgent = True
        if load.rejected_share > 0.0:
            self.relayed_share_by_target[target_id] = load.rejected_share
        else:
            self.relayed_share_by_target.pop(target_id, None)
        enqueue_load(self.relay_queue, target_id, load, now=now)

    def record_relayed_loads(self, loads: ZoneLoads) -> None:
        """Record the loads of other zones' gates that a daemon of this zone relays."""
        for target_load in loads.loads:
            target_id = TargetId(target_load.target_id)
            service = self.entry.services.service_of(target_id)
            if service is not None:
                self.entry.record_load(
                    service, target_id, target_load.load, age_s=target_load.age_ms / MS_PER_S
                )


def _rows(counts: CallCounts) -> tuple[CallsBelow, ...]:
    rows = []
    for kind, callee, calls in calls_below(counts):
        route, _, service = kind.rpartition(" ")
        callee_route, _, callee_service = callee.rpartition(" ")
        rows.append(CallsBelow(service, route, callee_service, callee_route, round(calls, 3)))
    return tuple(rows)
