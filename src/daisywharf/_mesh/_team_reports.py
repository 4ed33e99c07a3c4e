"""Report to the other daemons what teams request and spend here, and relay such reports.

A daemon sends its report to the daemons of its zone and to one of each other zone, a different one
each time, which relays it to its zone. Without teams in the configuration nothing is sent.
"""

from collections import Counter
from typing import Final
from zlib import crc32

from daisywharf._configuration import Configuration
from daisywharf._ids import TeamName, VmId, ZoneName
from daisywharf._mesh._frames import RelayedUsage, TeamReport, encode_frame
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._load_relay import relay_partner
from daisywharf._mesh._membership import Membership, open_links_by_zone
from daisywharf._overload._team_quota import (
    QuotaBounds,
    TeamQuotas,
    is_spending_due,
    is_spending_urgent,
    record_spent_elsewhere,
    restart_silence,
    set_quotas,
    update_members,
)
from daisywharf._overload._team_usage import (
    FleetUsage,
    RunId,
    UsageReport,
    fleet_demand,
    is_report_due,
    is_report_urgent,
    merge_report,
    take_report,
)

PERIOD_S: Final = 0.5
# In a larger fleet the period may be longer in proportion. It is as long as it takes to send a
# report of this size to all daemons, directly and through relays, at this many bytes per second.
MAX_MEMBERS_AT_PERIOD: Final = 60
MAX_BYTES_PER_S: Final = 6_000
# A report is due after this many periods even if there is nothing to report, as a heartbeat.
# Three daemons in four hear of it through a relay.
HEARTBEAT_PERIODS: Final = 2
# The least time between two frames, also for reports of other zones and for demand that has just
# begun, which don't wait for a period.
MIN_INTERVAL_S: Final = 0.2
# A zone is out of reach if no report of any of its daemons has arrived for this time, and for this
# many times the mean interval between the heartbeats of its daemons.
ZONE_SILENT_AFTER_S: Final = 1.75
ZONE_SILENT_INTERVALS: Final = 5.0
MEMBERS_PERIOD_S: Final = 0.25


class TeamReports:
    """Own the counts and quotas of teams at one daemon, and exchange reports about them."""

    def __init__(
        self, *, membership: Membership, bounds: QuotaBounds, run: RunId, now: float
    ) -> None:
        self.membership = membership
        self.quotas = TeamQuotas(FleetUsage(membership.own.vm, run), bounds)
        self.has_teams = False
        self.bytes_sent = 0
        self._relayed: list[RelayedUsage] = []
        self._heard_at_by_zone: dict[ZoneName, float] = {}
        self._reported_at = float("-inf")
        self._period_at = float("-inf")
        self._interval_s = PERIOD_S
        self._members_at = now
        self._round_number = 0

    @property
    def usage(self) -> FleetUsage:
        """Return what is known of the teams' usage at all daemons."""
        return self.quotas.usage

    def fleet_demand(self, *, now: float) -> dict[TeamName, float]:
        """Return the demand of teams at all daemons; empty if no other daemon is heard."""
        others = len(self.quotas.members) - 1
        return fleet_demand(self.usage, now=now) if len(self.quotas.silent) < others else {}

    def put_in_force(self, configuration: Configuration, *, now: float) -> None:
        """Count the teams of a configuration by its quotas."""
        self.has_teams = configuration.teams is not None
        self._update_members(now=now)
        set_quotas(self.quotas, configuration.teams or (), now=now)

    def restart_silence(self, *, now: float) -> None:
        """Don't take a pause of this process for the silence of others."""
        restart_silence(self.quotas, now=now)

    def receive(self, vm: VmId, frame: TeamReport, *, now: float) -> None:
        """Merge a report and those that it relays; queue one of another zone to be relayed."""
        if not self.has_teams:
            return
        self._merge(vm, frame.report, now=now)
        for relayed in frame.relayed:
            self._merge(relayed.vm, relayed.report, now=now)
        record = self.membership.record_by_vm.get(vm)
        if record is not None and record.zone != self.membership.own.zone:
            self._relayed.append(RelayedUsage(vm, frame.report))

    def _merge(self, vm: VmId, report: UsageReport, *, now: float) -> None:
        record = self.membership.record_by_vm.get(vm)
        if record is not None:
            self._heard_at_by_zone[record.zone] = now
        for team, spent in merge_report(self.usage, vm, report, now=now):
            record_spent_elsewhere(self.quotas, team, spent, now=now)

    def tick(self, *, now: float) -> None:
        """Send a report if one is due."""
        if not self.has_teams:
            self._relayed.clear()
            return
        if now - self._members_at >= MEMBERS_PERIOD_S:
            self._update_members(now=now)
        if now - self._reported_at < MIN_INTERVAL_S:
            return
        due = self._teams_due(now=now)
        is_heartbeat_due = now - self._period_at >= HEARTBEAT_PERIODS * self.usage.period_s
        if due or is_heartbeat_due or self._relayed:
            self._send(due, is_for_all=bool(due) or is_heartbeat_due, now=now)

    def _teams_due(self, *, now: float) -> list[TeamName]:
        usage = self.usage
        requested, usage.requested = usage.requested, set()
        if now - self._period_at < self._interval_s:
            return [
                name
                for name in sorted(requested)
                if is_report_urgent(usage, usage.usage_by_team[name], now=now)
                or is_spending_urgent(self.quotas, name)
            ]
        return [
            name
            for name in sorted(usage.used)
            if is_report_due(usage, usage.usage_by_team[name], now=now)
            or is_spending_due(self.quotas, name)
        ]

    def _update_members(self, *, now: float) -> None:
        self._members_at = now
        records = self.membership.record_by_vm.values()
        present = [record.vm for record in records if not record.is_leaving]
        leaving = [record.vm for record in records if record.is_leaving]
        links, silent_zones = self.membership.link_by_vm, self._silent_zones(now=now)
        unreachable = frozenset(
            record.vm
            for record in records
            if record.zone in silent_zones or not (record.vm in links and links[record.vm].is_up)
        )
        update_members(self.quotas, present, leaving, unreachable=unreachable, now=now)
        size = len(self.quotas.members)
        self.usage.period_s = PERIOD_S * max(1.0, size / MAX_MEMBERS_AT_PERIOD)

    def _silent_zones(self, *, now: float) -> set[ZoneName]:
        """Return the zones of which no daemon was heard for long."""
        sizes = Counter(record.zone for record in self.membership.record_by_vm.values())
        heartbeat_s = HEARTBEAT_PERIODS * self.usage.period_s
        return {
            zone
            for zone, heard_at in self._heard_at_by_zone.items()
            if now - heard_at
            > max(ZONE_SILENT_AFTER_S, ZONE_SILENT_INTERVALS * heartbeat_s / max(1, sizes[zone]))
        }

    def _send(self, due: list[TeamName], *, is_for_all: bool, now: float) -> None:
        """Send the zone a report and what is to be relayed, and the other zones the report."""
        self._reported_at = now
        is_periodic = is_for_all and now - self._period_at >= self._interval_s
        if is_periodic:
            is_first = self._period_at == float("-inf")
            self._period_at = now - (self._phase_s() if is_first else 0.0)
        links_by_zone = open_links_by_zone(self.membership)
        zone = links_by_zone.pop(self.membership.own.zone, {})
        if is_for_all:
            report = take_report(self.usage, due, is_periodic=is_periodic, now=now)
        else:
            report = UsageReport(self.usage.run, self.usage.sequence, ())
        relayed, self._relayed = tuple(self._relayed), []
        self._send_on(list(zone.values()), TeamReport(report, relayed))
        if not is_for_all:
            return
        own = self.membership.own.vm
        partners = [
            links[relay_partner(own, zone, links, round_number=self._round_number)]
            for links in links_by_zone.values()
        ]
        self._round_number += 1
        size = self._send_on(partners, TeamReport(report))
        if is_periodic:
            cost_s = size * len(self.quotas.members) / MAX_BYTES_PER_S
            self._interval_s = min(max(PERIOD_S, cost_s), self.usage.period_s)

    def _phase_s(self) -> float:
        """Return how much earlier the second heartbeat is sent.

        Daemons that start together would otherwise be silent together, like a zone that is cut off.
        """
        fraction = crc32(self.membership.own.vm.encode()) / 2**32
        return fraction * HEARTBEAT_PERIODS * self.usage.period_s

    def _send_on(self, links: list[OutLink], frame: TeamReport) -> int:
        """Send a frame on several links; return its size in bytes."""
        encoded = encode_frame(frame)
        for link in links:
            link.send(frame, encoded)
        self.bytes_sent += len(encoded) * len(links)
        return len(encoded)
