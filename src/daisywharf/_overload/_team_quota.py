"""Decide whether a request is within its team's quota, which all daemons share.

Load pattern: a team at several times its quota, at three daemons or at all of them at once, while
other teams send a few requests per second from many daemons. The daemons don't ask one another.
Each estimates one token bucket that the fleet shares, and the team's demand, from what the others
report (`_team_usage.py`). While demand is at most what the bucket gives, all requests pass; beyond
that the same part of them passes at each daemon, however the demand is spread. What passes before a
sudden demand is known everywhere is bounded by the daemon's share, and is a debt to be paid back.

Let W be the window and S = `overrun` * (rate * W + burst) + `tolerance` the slack that a quota
leaves. The bucket holds burst and a small part of S; the rest covers what reports tell too late.
"""

from collections.abc import Collection
from random import Random
from typing import Final

import msgspec

from daisywharf._configuration import Team
from daisywharf._ids import TeamName, VmId
from daisywharf._overload._team_usage import (
    CODES_PER_UNIT,
    FleetUsage,
    TeamUsage,
    forget_member,
    own_demand,
    record_request,
    record_spent,
    reported_total,
    return_spent,
    set_teams,
)

# Part of the slack that is added to the burst.
CAPACITY_SLACK_FRACTION: Final = 0.1
# Part of the slack that daemons which fall silent are assumed to have spent in the time in which
# reports reach all, beyond what is refilled meanwhile.
LOST_SLACK_FRACTION: Final = 0.5
# The bucket's tokens are given out over this time, beside what is refilled; a debt is paid back as
# fast. It is longer than reports take, so that daemons don't all spend the same tokens.
SPREAD_TOKENS_S: Final = 1.0
# While the bucket is at least half full, each daemon may spend this much before others know of it,
# so that requests of teams that send rarely from many daemons aren't refused.
MIN_TOKENS_BELOW_QUOTA: Final = 2.0
# Part of what a window may hold that all daemons together may spend before they know of it.
UNKNOWN_SPENDING_FRACTION: Final = 0.5
# Part of the bucket for daemons that aren't users of the team so far.
NEWCOMERS_FRACTION: Final = 0.1
# Weight of a user without demand at present, as a part of the rate, and in requests per second.
# It exceeds what chance makes of the demand of one that sends rarely.
USER_WEIGHT_FRACTION: Final = 0.4
MAX_USER_WEIGHT: Final = 4.0
# A report reaches all daemons in this time: a wait for a relay, and a tick of two event loops.
TRANSIT_S: Final = 0.3
# Changed demand counts after this time, when all daemons know it: a report of demand that begins
# doesn't wait for the period. It leaves some time for a busy event loop.
SHARE_DELAY_S: Final = 0.5
# A daemon is silent after this many periods; it sends a report in every second one.
SILENT_PERIODS: Final = 3.5
# One whose link or whose zone is out of reach is silent after this time, however long the period.
UNREACHABLE_AFTER_S: Final = 1.5
# The part of a silent daemon is kept for this long, if the daemon hasn't said that it leaves.
HOLD_S: Final = 600.0
SHARE_LIFETIME_S: Final = 0.05
# The least time after which to retry, and the largest part of the client's time left.
MIN_RETRY_AFTER_S: Final = 0.02
MAX_TIME_LEFT_FRACTION: Final = 1.0 / 3.0
# A report of spending is due beyond this part of what a daemon may spend before others know of it.
DUE_FRACTION: Final = 0.3
# Beyond this part, a report doesn't wait for the next period if the bucket is at least half full.
URGENT_FRACTION: Final = 0.5


class QuotaBounds(msgspec.Struct, frozen=True):
    """Hold by how much all daemons together may exceed a quota within `window_s` seconds."""

    window_s: float = 5.0
    overrun: float = 0.1
    tolerance: float = 20.0


class SharedBucket:
    """Hold a daemon's estimate of the bucket that all daemons share for one team.

    `tokens` may be negative, since other daemons' spending is deducted when it is reported.
    """

    __slots__ = (
        "at",
        "burst",
        "held",
        "max_in_transit",
        "next_free_at",
        "others_per_s",
        "prospect",
        "rate_per_s",
        "refused",
        "share",
        "share_at",
        "share_by_silent_vm",
        "tokens",
    )

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        # A process that has just started doesn't know what was spent before, so it has no burst.
        self.tokens = 0.0
        self.at = now
        # The parts of silent daemons, and their sum, by which the bucket is smaller here.
        self.share_by_silent_vm: dict[VmId, float] = {}
        self.held = 0.0
        # This daemon's share of the rest, and the one that it will have with its present demand.
        self.share = 0.0
        self.prospect = 0.0
        self.share_at = float("-inf")
        # How much this daemon may have spent before the others know of it, at the last request.
        self.max_in_transit = 0.0
        # Demand at the other daemons that are heard, in requests per second.
        self.others_per_s = 0.0
        # When the last of the clients that were told to come back gets its token.
        self.next_free_at = float("-inf")
        self.refused = 0


class TeamQuotas:
    """Hold the shared buckets of the teams that have a quota."""

    def __init__(self, usage: FleetUsage, bounds: QuotaBounds) -> None:
        self.usage = usage
        self.bounds = bounds
        self.bucket_by_team: dict[TeamName, SharedBucket] = {}
        # All daemons that may spend, with the times since which those that are absent are.
        self.absent_since_by_vm: dict[VmId, float] = {}
        self.members: set[VmId] = {usage.own}
        self.silent: set[VmId] = set()
        self.unreachable: frozenset[VmId] = frozenset()

    @property
    def spread_s(self) -> float:
        """Return the time within which reports reach all daemons, in seconds."""
        return self.usage.period_s + TRANSIT_S


def set_quotas(quotas: TeamQuotas, teams: Collection[Team], *, now: float) -> None:
    """Put the quotas of a configuration in force at once, and forget teams that are gone."""
    set_teams(quotas.usage, [team.name for team in teams], now=now)
    limited = {team.name: team for team in teams if team.rate_per_s > 0}
    for name in quotas.bucket_by_team.keys() - limited.keys():
        del quotas.bucket_by_team[name]
    for name, team in limited.items():
        bucket = quotas.bucket_by_team.get(name)
        if bucket is None:
            bucket = SharedBucket(rate_per_s=team.rate_per_s, burst=team.burst, now=now)
            quotas.bucket_by_team[name] = bucket
            _set_held(quotas, bucket)
        else:
            _refill(quotas, bucket, now=now)
            bucket.rate_per_s, bucket.burst = team.rate_per_s, team.burst
            bucket.tokens = min(bucket.tokens, _capacity(quotas, bucket))
            bucket.next_free_at = now
        bucket.share_at = float("-inf")


def try_spend(
    quotas: TeamQuotas, name: TeamName, *, time_left_s: float, now: float, rng: Random
) -> float | None:
    """Count a request; return None if it may pass, else the seconds after which to retry."""
    team = record_request(quotas.usage, name, now=now)
    if team is None:
        return None
    bucket = quotas.bucket_by_team.get(name)
    if bucket is None:
        record_spent(team)
        return None
    _refill(quotas, bucket, now=now)
    if now - bucket.share_at > SHARE_LIFETIME_S:
        _update_share(quotas, bucket, team, now=now)
    if _may_pass(quotas, bucket, team, now=now, rng=rng):
        bucket.tokens -= 1.0
        record_spent(team)
        return None
    bucket.refused += 1
    return _retry_after_s(quotas, bucket, time_left_s=time_left_s, now=now)


def refund(quotas: TeamQuotas, name: TeamName) -> None:
    """Return the token of a request that was counted and then refused without being run."""
    team = quotas.usage.usage_by_team.get(name)
    if team is not None:
        return_spent(team)
    bucket = quotas.bucket_by_team.get(name)
    if bucket is not None:
        bucket.tokens = min(bucket.tokens + 1.0, _capacity(quotas, bucket))


def record_spent_elsewhere(quotas: TeamQuotas, name: TeamName, count: int, *, now: float) -> None:
    """Deduct what another daemon has reported."""
    bucket = quotas.bucket_by_team.get(name)
    if bucket is not None:
        _refill(quotas, bucket, now=now)
        bucket.tokens -= count


def is_spending_due(quotas: TeamQuotas, name: TeamName) -> bool:
    """Return whether so much was spent here that the other daemons have to hear of it."""
    bucket = quotas.bucket_by_team.get(name)
    team = quotas.usage.usage_by_team[name]
    unreported = team.spent - team.sent[-1][1]
    return (
        bucket is not None and unreported > DUE_FRACTION * bucket.max_in_transit and unreported > 0
    )


def is_spending_urgent(quotas: TeamQuotas, name: TeamName) -> bool:
    """Return whether a report lets this daemon spend more while the team is below its quota."""
    bucket = quotas.bucket_by_team.get(name)
    if bucket is None or bucket.tokens < 0.5 * _capacity(quotas, bucket):
        return False
    team = quotas.usage.usage_by_team[name]
    unreported = team.spent - team.sent[-1][1]
    return unreported > max(1.0, URGENT_FRACTION * bucket.max_in_transit)


def part_per_s(quotas: TeamQuotas, name: TeamName) -> float:
    """Return the part of a team's rate that this daemon has at present, per second."""
    bucket = quotas.bucket_by_team.get(name)
    return 0.0 if bucket is None else bucket.rate_per_s * (1.0 - bucket.held) * bucket.share


# The bucket.


def _slack(quotas: TeamQuotas, bucket: SharedBucket) -> float:
    bounds = quotas.bounds
    return bounds.overrun * (bucket.rate_per_s * bounds.window_s + bucket.burst) + bounds.tolerance


def _capacity(quotas: TeamQuotas, bucket: SharedBucket) -> float:
    full = bucket.burst + CAPACITY_SLACK_FRACTION * _slack(quotas, bucket)
    return full * (1.0 - bucket.held)


def _assumed_spending(quotas: TeamQuotas, bucket: SharedBucket) -> float:
    """Return what all daemons are assumed to have spent in `spread_s` if they aren't heard."""
    refilled = bucket.rate_per_s * quotas.spread_s
    full = refilled + LOST_SLACK_FRACTION * _slack(quotas, bucket)
    return full * (1.0 - bucket.held)


def _refill(quotas: TeamQuotas, bucket: SharedBucket, *, now: float) -> None:
    gained = max(0.0, now - bucket.at) * bucket.rate_per_s * (1.0 - bucket.held)
    bucket.tokens = max(bucket.tokens, min(bucket.tokens + gained, _capacity(quotas, bucket)))
    bucket.at = max(bucket.at, now)


def _may_pass(
    quotas: TeamQuotas, bucket: SharedBucket, team: TeamUsage, *, now: float, rng: Random
) -> bool:
    """Return whether a request may pass.

    While the team's demand at all daemons is at most what the bucket gives, each request may.
    Beyond that a part of them is drawn, the same at each daemon, so that it doesn't matter how the
    demand is spread. Until a rise of the demand is known everywhere, the daemon's share bounds what
    it spends.
    """
    demand_per_s = bucket.others_per_s + own_demand(team, now=now)
    given_per_s = max(0.0, _refill_per_s(bucket) + bucket.tokens / SPREAD_TOKENS_S)
    if given_per_s < demand_per_s and rng.random() * demand_per_s >= given_per_s:
        return False
    in_transit = team.spent - reported_total(team, before=now - TRANSIT_S)
    at_hand = max(0.0, bucket.tokens) + in_transit + _refill_per_s(bucket) * quotas.spread_s
    share, least = bucket.share, 1.0
    if bucket.tokens >= 0.5 * _capacity(quotas, bucket):
        reachable = len(quotas.members) - len(bucket.share_by_silent_vm)
        share, least = max(share, 1.0 / max(1, reachable)), MIN_TOKENS_BELOW_QUOTA
    bucket.max_in_transit = max(least, _unknown_factor(quotas, bucket) * share * at_hand)
    return in_transit + 1.0 <= bucket.max_in_transit


def _refill_per_s(bucket: SharedBucket) -> float:
    return bucket.rate_per_s * (1.0 - bucket.held)


def _unknown_factor(quotas: TeamQuotas, bucket: SharedBucket) -> float:
    """Return how many times its share a daemon may spend before the others know of it.

    If all daemons do so at once, they spend what the bound allows in one window; what the bucket
    lacks then is refilled before more passes.
    """
    bounds = quotas.bounds
    window = bucket.rate_per_s * bounds.window_s + bucket.burst + _slack(quotas, bucket)
    at_once = bucket.burst + CAPACITY_SLACK_FRACTION * _slack(quotas, bucket)
    at_once += bucket.rate_per_s * quotas.spread_s
    return max(1.0, UNKNOWN_SPENDING_FRACTION * window / at_once)


def _retry_after_s(
    quotas: TeamQuotas, bucket: SharedBucket, *, time_left_s: float, now: float
) -> float:
    """Return the seconds until this daemon's part has a token for one more client.

    Tokens for the clients that were told to come back before go first.
    """
    longest_s = max(MIN_RETRY_AFTER_S, time_left_s * MAX_TIME_LEFT_FRACTION)
    share = max(bucket.share, bucket.prospect)
    rate_per_s = bucket.rate_per_s * (1.0 - bucket.held) * share
    missing = max(0.0, -bucket.tokens) * share
    free_at = max(now, bucket.next_free_at) + 1.0 / max(rate_per_s, 1e-6)
    wait_s = free_at - now + missing / max(rate_per_s, 1e-6)
    if bucket.prospect > 2.0 * bucket.share:
        # The other daemons have yet to hear of this daemon's demand.
        wait_s = max(wait_s, SHARE_DELAY_S + TRANSIT_S)
    if wait_s > longest_s:
        return longest_s
    bucket.next_free_at = free_at
    return max(MIN_RETRY_AFTER_S, wait_s)


# Shares.


def _update_share(quotas: TeamQuotas, bucket: SharedBucket, team: TeamUsage, *, now: float) -> None:
    """Compute this daemon's share of the bucket from the demand that daemons report.

    There are times at which all daemons had the same reports of one another. The shares by the
    least own demand and the largest demand of others since then add up to 1 at most.
    """
    since = now - SHARE_DELAY_S
    floor = _user_weight(bucket, team)
    own_vm = quotas.usage.own
    own_least = own_now = others = others_per_s = 0.0
    for vm, member in team.member_by_vm.items():
        if vm == own_vm:
            own_least = _weight(member.least_code(since=since), floor)
            own_now = _weight(member.code, floor)
        elif vm not in bucket.share_by_silent_vm:
            others += _weight(member.largest_code(since=since), floor)
            others_per_s += max(0, member.code - 1) / CODES_PER_UNIT
    bucket.others_per_s = others_per_s
    reachable = max(1, len(quotas.members) - len(bucket.share_by_silent_vm))
    if not own_least and not others:
        bucket.share = 1.0 / reachable
    else:
        bucket.share = NEWCOMERS_FRACTION / reachable
        bucket.share += (1.0 - NEWCOMERS_FRACTION) * own_least / (own_least + others)
    own_now = max(own_now, _weight(1, floor))
    bucket.prospect = max(bucket.share, own_now / (own_now + others))
    bucket.share_at = now


def _user_weight(bucket: SharedBucket, team: TeamUsage) -> float:
    """Return the weight of a user without demand; all of them weigh at most twice the rate."""
    users = max(1, len(team.member_by_vm))
    even = 2.0 * bucket.rate_per_s / users
    return min(USER_WEIGHT_FRACTION * bucket.rate_per_s, MAX_USER_WEIGHT, even)


def _weight(code: int, floor: float) -> float:
    return floor + (code - 1) / CODES_PER_UNIT if code else 0.0


# Silent daemons.


def update_members(
    quotas: TeamQuotas,
    present: Collection[VmId],
    leaving: Collection[VmId],
    *,
    unreachable: frozenset[VmId] = frozenset(),
    now: float,
) -> None:
    """Note which daemons may spend, and hold the parts of those that aren't heard.

    A silent daemon may be on the other side of a partition, where it divides its side's part among
    the daemons there. `present` and `leaving` are VMs of which the membership has records, and
    `unreachable` those whose links are down or whose zones aren't heard.
    """
    usage = quotas.usage
    quotas.unreachable = unreachable
    for vm in quotas.members - set(present):
        since = quotas.absent_since_by_vm.setdefault(vm, now)
        if vm in leaving and not _is_heard(quotas, vm, now=now) or now - since > HOLD_S:
            del quotas.absent_since_by_vm[vm]
            quotas.members.discard(vm)
            forget_member(usage, vm)
    for vm in present:
        quotas.absent_since_by_vm.pop(vm, None)
    quotas.members |= {*present, usage.own}
    silent = {vm for vm in quotas.members if vm != usage.own and not _is_heard(quotas, vm, now=now)}
    if silent == quotas.silent and all(
        len(b.share_by_silent_vm) == len(silent) for b in quotas.bucket_by_team.values()
    ):
        return
    lost = [vm for vm in silent - quotas.silent if vm in usage.heard_at_by_vm]
    quotas.silent = silent
    for name, bucket in quotas.bucket_by_team.items():
        _refill(quotas, bucket, now=now)
        _hold_lost(quotas, bucket, usage.usage_by_team[name], lost, now=now)


def restart_silence(quotas: TeamQuotas, *, now: float) -> None:
    """Don't take a pause of this process for the silence of others."""
    heard_at_by_vm = quotas.usage.heard_at_by_vm
    for vm in heard_at_by_vm.keys() - quotas.silent:
        heard_at_by_vm[vm] = now


def _is_heard(quotas: TeamQuotas, vm: VmId, *, now: float) -> bool:
    heard_at = quotas.usage.heard_at_by_vm.get(vm, float("-inf"))
    limit_s = SILENT_PERIODS * quotas.usage.period_s
    if vm in quotas.unreachable:
        limit_s = min(limit_s, UNREACHABLE_AFTER_S)
    return now - heard_at <= limit_s


def _set_held(quotas: TeamQuotas, bucket: SharedBucket) -> None:
    """Hold one of N parts for each silent daemon of which nothing else is known."""
    even = 1.0 / len(quotas.members)
    held = bucket.share_by_silent_vm
    bucket.share_by_silent_vm = {vm: held.get(vm, even) for vm in quotas.silent}
    bucket.held = min(sum(bucket.share_by_silent_vm.values()), 1.0 - even)
    bucket.share_at = float("-inf")


def _hold_lost(
    quotas: TeamQuotas, bucket: SharedBucket, team: TeamUsage, lost: list[VmId], *, now: float
) -> None:
    """Hold the parts of daemons that were lost, as if they had spent all they could since then."""
    spent_per_s = _assumed_spending(quotas, bucket) / quotas.spread_s
    before, assumed = bucket.held, 0.0
    parts = {vm: _lost_share(quotas, bucket, team, vm) for vm in lost}
    scale = 1.0 / max(1.0, sum(parts.values()))
    for vm, part in parts.items():
        bucket.share_by_silent_vm[vm] = part * scale * (1.0 - before)
        assumed += part * scale * spent_per_s * (now - quotas.usage.heard_at_by_vm[vm])
    _set_held(quotas, bucket)
    if bucket.held > before:
        bucket.tokens -= assumed
        if bucket.tokens > 0:
            bucket.tokens *= (1.0 - bucket.held) / (1.0 - before)


def _lost_share(quotas: TeamQuotas, bucket: SharedBucket, team: TeamUsage, lost: VmId) -> float:
    """Return the largest share that a daemon may have taken when it was last heard."""
    since = quotas.usage.heard_at_by_vm[lost] - SHARE_DELAY_S
    floor = _user_weight(bucket, team)
    member = team.member_by_vm.get(lost)
    largest = 0.0 if member is None else _weight(member.largest_code(since=since), floor)
    others = sum(
        _weight(other.least_code(since=since), floor)
        for vm, other in team.member_by_vm.items()
        if vm != lost and vm not in bucket.share_by_silent_vm
    )
    even = 1.0 / max(1, len(quotas.members) - len(bucket.share_by_silent_vm))
    if not largest and not others:
        return even
    return NEWCOMERS_FRACTION * even + (1.0 - NEWCOMERS_FRACTION) * largest / (largest + others)
