"""Count what teams request and spend at each daemon, and merge the counts that others report.

Load pattern: about 1,300 requests a second of 86 teams, of which each enters at a few daemons, and
a team that starts at all daemons at once. Each daemon counts for itself and reports totals, so a
report that is lost or arrives twice does no harm: the next one holds the totals as well. A report
is applied at the time of this daemon's clock at which it arrives; clocks of two VMs are never
compared.
"""

from collections.abc import Collection, Iterable, Iterator
from math import exp
from typing import Final, NewType

import msgspec

from daisywharf._ids import TeamName, VmId

# Identifies one process of a daemon. Runs are told apart and not ordered, as clocks may jump back.
RunId = NewType("RunId", int)

DEMAND_DECAY_S: Final = 1.5
# Demand is reported in steps of a quarter request per second. 0 stands for a daemon that isn't a
# user of the team, 1 for a user that has no demand at present.
CODES_PER_UNIT: Final = 4.0
# A daemon stays a user of a team for this long after its last request.
USER_LIFETIME_S: Final = 600.0
# That it is a user no longer is reported for this long.
GONE_REPORTED_S: Final = 60.0
# A change of demand is reported at once, and not with the refresh, beyond this part and this rate:
# several standard deviations of chance at the rates of single daemons.
CHANGE_FRACTION: Final = 0.3
CHANGE_PER_S: Final = 1.0
# A changed row of which the change is small is reported after this many periods.
REFRESH_PERIODS: Final = 4
# Earlier values are kept for this time, in seconds per second of the reporting period. Shares are
# computed from the least and the largest recent values.
HISTORY_PERIODS: Final = 8
MAX_EARLIER_RUNS: Final = 4


class TeamRow(msgspec.Struct, frozen=True, array_like=True):
    """Report a team's demand code and the requests spent so far at one daemon.

    The total never decreases within a run.
    """

    team: TeamName
    demand_code: int
    spent: int


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """Report rows of one daemon; `sequence` increases with each report of a run."""

    run: RunId
    sequence: int
    rows: tuple[TeamRow, ...]


class MemberUsage:
    """Hold what one daemon last reported for a team, and its recent demand codes."""

    __slots__ = ("code", "codes", "sequence", "spent")

    def __init__(self) -> None:
        self.code = 0
        self.spent = 0
        self.sequence = -1
        # The earlier codes, each with the time at which it was replaced.
        self.codes: list[tuple[float, int]] = []

    def set_code(self, code: int, *, now: float, history_s: float) -> None:
        """Replace the demand code and keep the earlier one for `history_s`."""
        if code != self.code:
            self.codes = [item for item in self.codes if item[0] > now - history_s]
            self.codes.append((now, self.code))
            self.code = code

    def largest_code(self, *, since: float) -> int:
        """Return the largest code that was valid at or after a time."""
        return max([self.code, *(code for ended, code in self.codes if ended > since)])

    def least_code(self, *, since: float) -> int:
        """Return the least code that was valid at or after a time."""
        return min([self.code, *(code for ended, code in self.codes if ended > since)])


class TeamUsage:
    """Hold the usage of one team: this daemon's own counts, and the members' reported ones."""

    __slots__ = (
        "count_at",
        "credit",
        "decayed_count",
        "demand_codes",
        "member_by_vm",
        "requested",
        "requested_at",
        "sent",
        "spent",
    )

    def __init__(self, *, now: float) -> None:
        self.requested = 0
        self.requested_at = float("-inf")
        self.decayed_count = 0.0
        self.count_at = now
        self.spent = 0
        # Requests that were refunded after their report; the next ones aren't counted in `spent`.
        self.credit = 0
        # When totals were reported, and the totals. The first ones are known to all daemons.
        self.sent: list[tuple[float, int]] = [(float("-inf"), 0)]
        self.member_by_vm: dict[VmId, MemberUsage] = {}
        # Sum of the members' demand, in codes without the one that marks a user.
        self.demand_codes = 0


class FleetUsage:
    """Hold the usage of all teams as one daemon knows it."""

    def __init__(self, own: VmId, run: RunId) -> None:
        self.own = own
        self.run = run
        self.sequence = 0
        self.period_s = 0.5
        self.usage_by_team: dict[TeamName, TeamUsage] = {}
        self.heard_at_by_vm: dict[VmId, float] = {}
        self.runs_by_vm: dict[VmId, list[RunId]] = {}
        # Daemons whose present run was heard from its beginning: all that they report is new.
        self.heard_from_start: set[VmId] = set()
        # Teams of which a request entered here since the last check for urgent reports.
        self.requested: set[TeamName] = set()
        # Teams that this daemon is a user of.
        self.used: set[TeamName] = set()
        self.refresh_offset = 0

    @property
    def history_s(self) -> float:
        """Return for how long earlier demand is kept, in seconds."""
        return self.period_s * HISTORY_PERIODS


def set_teams(usage: FleetUsage, teams: Collection[TeamName], *, now: float) -> None:
    """Count these teams and forget the others; counts of teams that stay are kept."""
    for team in usage.usage_by_team.keys() - set(teams):
        del usage.usage_by_team[team]
        usage.requested.discard(team)
        usage.used.discard(team)
    for team in teams:
        if team not in usage.usage_by_team:
            usage.usage_by_team[team] = TeamUsage(now=now)


def own_demand(team: TeamUsage, *, now: float) -> float:
    """Return this daemon's demand for a team, in requests per second."""
    return team.decayed_count * exp((team.count_at - now) / DEMAND_DECAY_S) / DEMAND_DECAY_S


def record_request(usage: FleetUsage, name: TeamName, *, now: float) -> TeamUsage | None:
    """Count a request of a team, whether or not it is refused; return the team's usage.

    Returns None for a team that isn't configured.
    """
    team = usage.usage_by_team.get(name)
    if team is None:
        return None
    usage.requested.add(name)
    usage.used.add(name)
    team.decayed_count = team.decayed_count * exp((team.count_at - now) / DEMAND_DECAY_S) + 1.0
    team.count_at = team.requested_at = now
    team.requested += 1
    return team


def record_spent(team: TeamUsage) -> None:
    """Count a request that may pass."""
    if team.credit:
        team.credit -= 1
    else:
        team.spent += 1


def return_spent(team: TeamUsage) -> None:
    """Return the token of a request that was counted and didn't run.

    The reported total must not decrease, as a lower one could be an old one that arrives late.
    """
    if team.spent > team.sent[-1][1]:
        team.spent -= 1
    else:
        team.credit += 1


def reported_total(team: TeamUsage, *, before: float) -> int:
    """Return the total spent that was last reported at or before a time."""
    sent = team.sent
    while len(sent) > 1 and sent[1][0] <= before:
        del sent[0]
    return sent[0][1]


def fleet_demand(usage: FleetUsage, *, now: float) -> dict[TeamName, float]:
    """Return the demand of each team at all daemons, in requests per second.

    Other daemons' demand is what they last reported, this daemon's own is the present one. The
    time that it takes doesn't depend on the number of daemons.
    """
    demand_by_team = {}
    for name, team in usage.usage_by_team.items():
        others = team.demand_codes
        member = team.member_by_vm.get(usage.own)
        if member is not None:
            others -= max(0, member.code - 1)
        demand_by_team[name] = others / CODES_PER_UNIT + own_demand(team, now=now)
    return demand_by_team


# Reports of this daemon.


def is_report_due(usage: FleetUsage, team: TeamUsage, *, now: float) -> bool:
    """Return whether a team's row has to be in the next periodic report."""
    code, reported = _own_code(team, now=now), _reported_code(usage, team)
    if bool(code) != bool(reported):
        return True
    if abs(code - reported) > CHANGE_FRACTION * reported + CHANGE_PER_S * CODES_PER_UNIT:
        return True
    sent_at, spent = team.sent[-1]
    is_changed = code != reported or team.spent != spent
    return is_changed and now - sent_at >= REFRESH_PERIODS * usage.period_s


def is_report_urgent(usage: FleetUsage, team: TeamUsage, *, now: float) -> bool:
    """Return whether a team's demand here has begun or doubled, which can't wait for a period."""
    reported = _reported_code(usage, team)
    code = _own_code(team, now=now)
    return code > 0 and (not reported or code > 2 * reported + CODES_PER_UNIT)


def take_report(
    usage: FleetUsage, due: Iterable[TeamName], *, is_periodic: bool, now: float
) -> UsageReport:
    """Return a report of the teams that are due.

    A periodic one repeats the row of another team, in turn, in case its last report was lost.
    """
    names = list(due)
    used = sorted(usage.used) if is_periodic else []
    if used:
        usage.refresh_offset = (usage.refresh_offset + 1) % len(used)
        if used[usage.refresh_offset] not in names:
            names.append(used[usage.refresh_offset])
    usage.sequence += 1
    rows = []
    for name in names:
        team = usage.usage_by_team[name]
        code = _own_code(team, now=now)
        rows.append(TeamRow(name, code, team.spent))
        team.sent.append((now, team.spent))
        _set_code(usage, team, usage.own, code, now=now)
        # A user is reported as gone as often as a row is refreshed.
        if not code and now - team.requested_at > USER_LIFETIME_S + GONE_REPORTED_S:
            usage.used.discard(name)
    return UsageReport(usage.run, usage.sequence, tuple(rows))


def _reported_code(usage: FleetUsage, team: TeamUsage) -> int:
    member = team.member_by_vm.get(usage.own)
    return 0 if member is None else member.code


def _own_code(team: TeamUsage, *, now: float) -> int:
    if now - team.requested_at > USER_LIFETIME_S:
        return 0
    return 1 + round(own_demand(team, now=now) * CODES_PER_UNIT)


def _set_code(usage: FleetUsage, team: TeamUsage, vm: VmId, code: int, *, now: float) -> None:
    member = team.member_by_vm.get(vm)
    if member is None:
        member = team.member_by_vm[vm] = MemberUsage()
    team.demand_codes += max(0, code - 1) - max(0, member.code - 1)
    member.set_code(code, now=now, history_s=usage.history_s)


# Reports of other daemons.


def merge_report(
    usage: FleetUsage, vm: VmId, report: UsageReport, *, now: float
) -> Iterator[tuple[TeamName, int]]:
    """Merge another daemon's report; yield teams with what was newly spent there."""
    if vm == usage.own or not _accept_run(usage, vm, report, now=now):
        return
    usage.heard_at_by_vm[vm] = now
    for row in report.rows:
        team = usage.usage_by_team.get(row.team)
        if team is None:
            continue
        spent = _merge_row(usage, team, vm, row, sequence=report.sequence, now=now)
        if spent:
            yield row.team, spent


def _accept_run(usage: FleetUsage, vm: VmId, report: UsageReport, *, now: float) -> bool:
    """Note a restart of the daemon; return False for a late report of an earlier process."""
    runs = usage.runs_by_vm.setdefault(vm, [])
    if report.run in runs[:-1]:
        return False
    if not runs or runs[-1] != report.run:
        if runs or report.sequence <= 1:
            usage.heard_from_start.add(vm)
        runs.append(report.run)
        del runs[:-MAX_EARLIER_RUNS]
        for team in usage.usage_by_team.values():
            member = team.member_by_vm.get(vm)
            if member is not None:
                member.sequence, member.spent = -1, 0
                _set_code(usage, team, vm, 0, now=now)
    return True


def _merge_row(
    usage: FleetUsage, team: TeamUsage, vm: VmId, row: TeamRow, *, sequence: int, now: float
) -> int:
    """Merge a row and return what was newly spent."""
    member = team.member_by_vm.get(vm)
    # The first total of a daemon that was running before this one may be of any age.
    is_base = member is None and vm not in usage.heard_from_start
    if member is None:
        member = team.member_by_vm[vm] = MemberUsage()
    if sequence <= member.sequence:
        return 0
    member.sequence = sequence
    # A total below the known one is of a team that was removed and added again.
    spent = row.spent - member.spent if row.spent >= member.spent else row.spent
    member.spent = row.spent
    _set_code(usage, team, vm, row.demand_code, now=now)
    return 0 if is_base else spent


def forget_member(usage: FleetUsage, vm: VmId) -> None:
    """Forget a daemon that has left."""
    usage.heard_at_by_vm.pop(vm, None)
    usage.runs_by_vm.pop(vm, None)
    usage.heard_from_start.discard(vm)
    for team in usage.usage_by_team.values():
        member = team.member_by_vm.pop(vm, None)
        if member is not None:
            team.demand_codes -= max(0, member.code - 1)
