"""Place a call at one of a service's targets by the load that their gates announce.

Load pattern: targets of one service differ in speed and headroom, and many entries place calls at
the same time by slightly old announcements. An entry adds the calls it has sent since to a gate's
announced load, compares a few gates, and prefers its own zone while that has headroom. With many
targets, entries that each pick the best of a few would meet at the same one until its next
announcement, so a target is drawn at random instead, weighted by headroom and speed. Which share of
the calls leaves the zone is decided in `_zone_spill`.
"""

from math import exp
from random import Random
from typing import Final

import msgspec

from daisywharf._ids import TargetId, VmId, ZoneName
from daisywharf._overload._start_rate import UNLIMITED_PER_S
from daisywharf._routing._ejection import is_probe_due, record_answer, record_failure, record_probe
from daisywharf._routing._rate_share import RateShare, has_share, set_share, spend_share
from daisywharf._routing._record import FAILURE_COST_FACTOR, TargetRecord, freshness, learn_outcome
from daisywharf._routing._zone_spill import (
    KindCost,
    ZoneLoad,
    ZoneSpill,
    crossing_s,
    draw_zone,
    is_filled,
    is_move_due,
    is_short,
    move_spill,
    spill_share,
)
from daisywharf._topology import Target

# Up to this many targets of a service are all compared for a call; among more, one is drawn.
MAX_COMPARED: Final = 6
# Maximum targets in one draw, so that its cost doesn't grow with the service.
MAX_DRAWN: Final = 12
# Added to each gate's headroom, as a fraction of its limit, so that full gates are drawn as well:
# announced loads are old, and calls end at a full gate too.
MIN_HEADROOM_FRACTION: Final = 0.5
# Occupied fraction of all of the own zone's gates from which a call of a small service is placed by
# comparison with other zones' gates, without waiting for the share that leaves the zone to rise.
FULL_FRACTION: Final = 1.0
# While requests are refused for a service's load, a refusal costs a caller more than any crossing.
# Then calls are drawn from all zones: some above the first occupied fraction of the own zone, all
# above the second one. Keeping them in the zone served 0.706 of a day's requests instead of 0.714.
SPILL_START_FRACTION: Final = 0.6
SPILL_ALL_FRACTION: Final = 0.95
# This lasts for some time after the last refusal: a level that opens for a moment in a surge would
# otherwise bring the calls back into a full zone.
SHEDDING_HOLD_S: Final = 2.0
# A target of the own zone loses its preference if its expected time, from its latency, its failures
# and the age of its last announcement, exceeds this many times the typical time.
UNHEALTHY_FACTOR: Final = 5.0
# Extra cost of a target in another zone, in multiples of the call's own time. With the cost of the
# crossing it outweighs a target of twice the speed, but not a queue: `WAIT_FACTOR` makes up for it
# where the own zone's gate is full.
OTHER_ZONE_COST_FACTOR: Final = 2.0
# Occupied fraction above which a call is expected to wait, and how steeply the wait grows.
WAIT_START_FRACTION: Final = 0.65
WAIT_FACTOR: Final = 8.0
# An announced load expires after this time unless a newer one arrives with an answer.
LOAD_LIFETIME_S: Final = 1.5
# A gate without an announcement for this long (two periods of a lightly loaded gate, and transit)
# is avoided in favour of others: it may have failed without notice.
SUSPECT_AFTER_S: Final = 2.5
# Its expected time is multiplied by this.
SUSPECT_FACTOR: Final = 8.0
# Calls in flight at a target are overdue beyond this many times the number that its latency
# explains, plus a few: a target that has just become slow hasn't returned the slow answers yet.
OVERDUE_FACTOR: Final = 2.0
OVERDUE_SLACK: Final = 1.5
# Time constant of the count of recently sent calls.
SENT_DECAY_S: Final = 1.0
# Assumed for a kind of call that no target has answered yet.
DEFAULT_LATENCY_S: Final = 0.05
# A cold target's expected time is multiplied by this.
COLD_FACTOR: Final = 2.0
# A few calls go to any healthy target, so that the latency of each is known.
EXPLORATION_FRACTION: Final = 0.02
# Time constant of the number of calls by kind, and smoothing weight of one call's bytes.
KIND_DECAY_S: Final = 10.0
BYTES_WEIGHT: Final = 0.05
# A kind with fewer recent calls than this is forgotten.
MIN_KIND_CALLS: Final = 0.01


class AnnouncedLoad(msgspec.Struct):
    """Hold the load that a gate last announced, and the number of calls sent to it since.

    `occupied` (running and waiting) and `limit` are in calls; `level` is the gate's shedding level,
    as a rank. `heard_at` is when the announced load was current, in seconds of the entry's clock.
    `rejected_share` is the share of its calls that the target rejects as not run.
    """

    occupied: int
    limit: int
    level: float
    heard_at: float
    sent_since: int = 0
    rejected_share: float = 0.0


class Candidate:
    """Hold one target of the service and the VM whose daemon forwards calls to it.

    `latency_by_kind` holds smoothed seconds. `is_refusing` is set once the target refuses calls
    as draining or as another incarnation, until it is announced again. `recently_sent` is a
    decaying count of calls, last updated at `sent_at`.
    """

    def __init__(
        self, vm: VmId, record: TargetRecord, *, cold_until: float, share: RateShare
    ) -> None:
        self.vm = vm
        self.share = share
        self.record = record
        self.cold_until = cold_until
        self.load: AnnouncedLoad | None = None
        self.latency_by_kind: dict[str, float] = {}
        self.is_refusing = False
        self.recently_sent = 0.0
        self.sent_at = 0.0


class KindRecord:
    """Hold the recent number of calls of a kind, and the mean bytes of one and its answer."""

    def __init__(self) -> None:
        self.calls = 0.0
        self.mean_bytes = 0.0


class Placement:
    """Hold one entry's view of the targets of one service.

    `shed_at` is when requests were last refused for the service's load.
    """

    def __init__(self, *, zone: ZoneName) -> None:
        self.zone = zone
        self.spill = ZoneSpill(zone)
        self.record_by_kind: dict[str, KindRecord] = {}
        self.entries = 1  # in this zone; they share the rate limit of a target
        self.candidate_by_id: dict[TargetId, Candidate] = {}
        self.candidates: list[Candidate] = []
        self.shed_at = float("-inf")
        self.rejecting_at = float("-inf")  # when a gate last announced that its target rejects


def set_target(
    placement: Placement,
    vm: VmId,
    target: Target,
    *,
    cold_s: float,
    now: float,
    share: RateShare | None = None,
) -> None:
    """Add or update a target that accepts calls; `share` is the known share of its rate limit.

    A new incarnation counts as cold for `cold_s` seconds.
    """
    known = placement.candidate_by_id.get(target.target_id)
    if known is not None and known.record.target.incarnation == target.incarnation:
        known.record.target = target
        known.vm = vm
        known.is_refusing = False
        return
    is_own = target.zone == placement.zone
    record = TargetRecord(target, is_own_zone=is_own, warm_at=float("-inf"))
    placement.candidate_by_id[target.target_id] = Candidate(
        vm, record, cold_until=now + cold_s, share=share or RateShare()
    )
    placement.candidates = list(placement.candidate_by_id.values())


def remove_target(placement: Placement, target_id: TargetId) -> None:
    """Remove a target that accepts no more calls."""
    if placement.candidate_by_id.pop(target_id, None) is not None:
        placement.candidates = list(placement.candidate_by_id.values())


def record_load(
    placement: Placement,
    target_id: TargetId,
    *,
    occupied: int,
    limit: int,
    level: float,
    heard_at: float,
    limit_per_s: float | None = None,
    rejected_share: float = 0.0,
) -> None:
    """Record the load that a gate announced, unless a newer one is known.

    `limit_per_s` is the target's rate limit, in calls per second. A gate that has just started
    doesn't know it and announces None; the known limit is then kept.
    """
    candidate = placement.candidate_by_id.get(target_id)
    if candidate is None or (candidate.load is not None and candidate.load.heard_at > heard_at):
        return
    candidate.load = AnnouncedLoad(occupied, limit, level, heard_at, rejected_share=rejected_share)
    if rejected_share > 0.0:
        placement.rejecting_at = max(placement.rejecting_at, heard_at)
    if limit_per_s is not None:
        set_share(candidate.share, limit_per_s if limit_per_s > UNLIMITED_PER_S else None)


def record_bytes(placement: Placement, kind: str, count: int) -> None:
    """Record the bytes of a call and its answer, which cross zones if its target is in another."""
    record = placement.record_by_kind.get(kind)
    if record is not None:
        record.mean_bytes += (count - record.mean_bytes) * (
            BYTES_WEIGHT if record.mean_bytes else 1.0
        )


def place(
    placement: Placement, kind: str, *, excluded: set[TargetId], now: float, rng: Random
) -> Candidate | None:
    """Choose a target for a call, or return None if no target accepts calls.

    `kind` groups calls of similar latency (it is the route's name): latencies are recorded by kind.
    `excluded` holds the targets that were tried for this call.
    """
    record = placement.record_by_kind.get(kind)
    if record is None:
        record = placement.record_by_kind[kind] = KindRecord()
    record.calls += 1.0
    if is_move_due(placement.spill, now):
        _move_spill(placement, now=now)
    usable = [
        candidate
        for candidate in placement.candidates
        if not candidate.is_refusing and candidate.record.target.target_id not in excluded
    ]
    if not usable:
        return None
    # If the shares of all targets are spent, any of them may be chosen, and its gate decides.
    usable = [
        candidate
        for candidate in usable
        if candidate.share.limit_per_s is None
        or _has_rate_share(candidate, placement, now=now, rng=rng)
    ] or usable
    probe = next(
        (candidate for candidate in usable if is_probe_due(candidate.record, now=now)), None
    )
    if probe is not None:
        return probe
    healthy = [candidate for candidate in usable if not candidate.record.is_ejected] or usable
    if len(healthy) > 1 and rng.random() < EXPLORATION_FRACTION:
        return rng.choice(_without_short_zones(placement.spill, healthy))
    if len(healthy) > MAX_COMPARED:
        pool = _draw_pool(placement, healthy, kind, is_repeat=bool(excluded), now=now, rng=rng)
        return _draw(pool, kind, now=now, rng=rng)
    return _compare(placement, healthy, kind, now=now, rng=rng)


def is_shedding(placement: Placement, *, now: float) -> bool:
    """Return whether requests are refused for the service's load, or were a moment ago."""
    return now - placement.shed_at < SHEDDING_HOLD_S


def _compare(
    placement: Placement, healthy: list[Candidate], kind: str, *, now: float, rng: Random
) -> Candidate:
    """Return the target with the least expected cost in the zone that is chosen for the call.

    All zones that have capacity to spare are compared if the own zone's targets are all full, or
    much slower than usual, or if it has none.
    """
    typical_s = _typical_latency_s(healthy, kind)
    lowest_share = _lowest_share(healthy, now)
    other_zone_s = crossing_s(placement.record_by_kind[kind].mean_bytes)

    def cost(candidate: Candidate) -> float:
        seconds = _expected_s(candidate, kind, typical_s, now, other_zone_s=other_zone_s)
        seconds *= _rejection_factor(candidate, lowest_share, now)
        # Up to 5 % at random, so that entries don't all choose the same one of equal targets.
        return seconds * (1.0 + _overdue_calls(candidate, now)) * (1.0 + 0.05 * rng.random())

    def idle_cost(candidate: Candidate) -> float:
        seconds = _unloaded_s(candidate, kind, typical_s, now)
        seconds *= 1.0 + _overdue_calls(candidate, now)
        if candidate.record.is_own_zone:
            return seconds
        return (1.0 + OTHER_ZONE_COST_FACTOR) * seconds + other_zone_s

    if is_shedding(placement, now=now):
        return min(healthy, key=cost)
    pool = _spilled_pool(placement.spill, healthy, kind, rng=rng)
    if not pool and min(healthy, key=idle_cost).record.is_own_zone:
        pool = [
            candidate
            for candidate in healthy
            if candidate.record.is_own_zone and _occupied_fraction(candidate, now) < FULL_FRACTION
        ]
    return min(pool or _without_short_zones(placement.spill, healthy), key=cost)


def _spilled_pool(
    spill: ZoneSpill, healthy: list[Candidate], kind: str, *, rng: Random
) -> list[Candidate]:
    """Return the targets of another zone if the call is drawn to leave its zone, else none."""
    share = spill_share(spill, kind)
    if not share or rng.random() >= share:
        return []
    zone = draw_zone(spill, rng)
    return [candidate for candidate in healthy if candidate.record.target.zone == zone]


def _without_short_zones(spill: ZoneSpill, candidates: list[Candidate]) -> list[Candidate]:
    """Leave out the targets of other zones that need their capacity, unless no others remain."""
    if not spill.short_zones:
        return candidates
    return [
        candidate for candidate in candidates if not is_short(spill, candidate.record.target.zone)
    ] or candidates


def _move_spill(placement: Placement, *, now: float) -> None:
    """Move the shares of calls to other zones by the loads and costs known at present."""
    spill = placement.spill
    decay = exp(-min(KIND_DECAY_S, now - spill.moved_at) / KIND_DECAY_S)
    healthy = [
        candidate
        for candidate in placement.candidates
        if not candidate.is_refusing and not candidate.record.is_ejected
    ]
    cost = {
        kind: KindCost(
            record.calls, _typical_latency_s(healthy, kind), crossing_s(record.mean_bytes)
        )
        for kind, record in placement.record_by_kind.items()
    }
    main_kind = max(cost, key=lambda kind: cost[kind].work_s)
    zones = _zone_loads(healthy, main_kind, cost[main_kind].run_s, now=now)
    move_spill(spill, zones, cost, now)
    for kind, record in list(placement.record_by_kind.items()):
        record.calls *= decay
        if record.calls < MIN_KIND_CALLS:
            del placement.record_by_kind[kind]


def _zone_loads(
    healthy: list[Candidate], kind: str, typical_s: float, *, now: float
) -> dict[ZoneName, ZoneLoad]:
    """Return the load of each zone's targets that calls may be sent to.

    A target counts with the fraction of its calls that succeed; those that are much slower than
    usual, silent or mostly failing don't count.
    """
    zones: dict[ZoneName, ZoneLoad] = {}
    for candidate in healthy:
        record, load = candidate.record, candidate.load
        if candidate.share.limit_per_s is not None and not record.is_own_zone:
            continue  # only its own zone's entries send calls to a target with a rate limit
        if _unloaded_s(candidate, kind, typical_s, now) > UNHEALTHY_FACTOR * typical_s:
            continue
        zone = zones.setdefault(record.target.zone, ZoneLoad())
        limit = max(1, record.target.slots) if load is None else load.limit
        zone.occupied += _occupied_fraction(candidate, now) * limit
        zone.targets += 1
        zone.capacity += limit * (1.0 - record.failed_fraction * freshness(record, now))
    return zones


def _has_rate_share(candidate: Candidate, placement: Placement, *, now: float, rng: Random) -> bool:
    """Return whether a rate-limited target may get a call from this entry while others may too."""
    return candidate.record.is_own_zone and has_share(
        candidate.share, entries=placement.entries, now=now, rng=rng
    )


def _draw(pool: list[Candidate], kind: str, *, now: float, rng: Random) -> Candidate:
    """Draw a target weighted by headroom and speed; `kind` is the kind of call, as for `place`."""
    if len(pool) > MAX_DRAWN:
        pool = rng.sample(pool, MAX_DRAWN)
    typical_s = _typical_latency_s(pool, kind)
    lowest_share = _lowest_share(pool, now)

    def weight(candidate: Candidate) -> float:
        headroom = 1.0 + MIN_HEADROOM_FRACTION - min(1.0, _occupied_fraction(candidate, now))
        seconds = _unloaded_s(candidate, kind, typical_s, now)
        seconds *= _rejection_factor(candidate, lowest_share, now)
        return headroom / (seconds * (1.0 + _overdue_calls(candidate, now)))

    return rng.choices(pool, [weight(candidate) for candidate in pool])[0]


def _draw_pool(
    placement: Placement,
    healthy: list[Candidate],
    kind: str,
    *,
    is_repeat: bool,
    now: float,
    rng: Random,
) -> list[Candidate]:
    """Return the targets to draw from: those of the own zone or of one that has capacity to spare.

    Much slower targets of the own zone are left out, unless all are. A call that a gate refused is
    drawn among all zones that have capacity to spare if the own zone has none.
    """
    spilled = _spilled_pool(placement.spill, healthy, kind, rng=rng)
    if spilled and not is_shedding(placement, now=now):
        return spilled
    typical_s = _typical_latency_s(healthy, kind)
    max_s = UNHEALTHY_FACTOR * typical_s
    own = [
        candidate
        for candidate in healthy
        if candidate.record.is_own_zone and _unloaded_s(candidate, kind, typical_s, now) <= max_s
    ]
    if is_shedding(placement, now=now):
        return healthy if not own or rng.random() < _shedding_share(own, now) else own
    if not own or (is_repeat and is_filled(placement.spill)):
        return _without_short_zones(placement.spill, healthy)
    return own


def _shedding_share(own: list[Candidate], now: float) -> float:
    """Return the share of calls drawn from all zones while the service's load is refused."""
    occupied_fraction = sum(_occupied_fraction(candidate, now) for candidate in own) / len(own)
    return (occupied_fraction - SPILL_START_FRACTION) / (SPILL_ALL_FRACTION - SPILL_START_FRACTION)


def record_sent(candidate: Candidate, *, now: float) -> None:
    """Count a call that is sent to a target."""
    candidate.record.in_flight += 1
    spend_share(candidate.share)
    candidate.recently_sent = _decayed_sent(candidate, now) + 1.0
    candidate.sent_at = now
    if candidate.load is not None:
        candidate.load.sent_since += 1
    if candidate.record.is_ejected:
        record_probe(candidate.record, now=now)


def record_ended(candidate: Candidate) -> None:
    """Count a call that is no longer in flight."""
    candidate.record.in_flight = max(0, candidate.record.in_flight - 1)


def record_success(candidate: Candidate, kind: str, *, latency_s: float, now: float) -> None:
    """Record a successful answer that took `latency_s` seconds."""
    known = candidate.latency_by_kind.get(kind)
    weight = 0.1
    candidate.latency_by_kind[kind] = (
        latency_s if known is None else known + weight * (latency_s - known)
    )
    learn_outcome(candidate.record, failed=0.0, refused=0.0, latency_s=latency_s, now=now)
    record_answer(candidate.record, now=now)


def record_failed_call(placement: Placement, candidate: Candidate, *, now: float) -> None:
    """Record a call that failed at the target or on the way to it; this may eject the target."""
    learn_outcome(candidate.record, failed=1.0, refused=0.0, latency_s=None, now=now)
    record_failure(
        candidate.record, [candidate.record for candidate in placement.candidates], now=now
    )


def record_failed_answer(candidate: Candidate, *, now: float) -> None:
    """Record an answer that reports a failure, possibly caused by the target's own calls.

    The target gets fewer calls but isn't ejected: if a deep service fails, all services above it
    return failures.
    """
    learn_outcome(candidate.record, failed=1.0, refused=0.0, latency_s=None, now=now)


def service_level(placement: Placement, *, ceiling: float, now: float) -> float:
    """Return the service's shedding level: the mean of its gates' levels, weighted by limit.

    Return `ceiling`, which refuses nothing, if no gate announced a level recently.
    """
    weight = level = 0.0
    for candidate in placement.candidates:
        load = candidate.load
        if load is not None and now - load.heard_at < LOAD_LIFETIME_S:
            weight += load.limit
            level += load.limit * min(load.level, ceiling)
    return level / weight if weight else ceiling


def service_rejected_share(placement: Placement, *, now: float) -> float:
    """Return the share of its calls that a service rejects as a whole, as far as is known.

    It is the mean of its targets' shares, weighted by limit, or their weighted median if that is
    less: while targets with half of the capacity take their calls, placement avoids the others.
    """
    if now - placement.rejecting_at >= LOAD_LIFETIME_S:
        return 0.0
    loads = sorted(
        (candidate.load.rejected_share, candidate.load.limit)
        for candidate in placement.candidates
        if candidate.load is not None and now - candidate.load.heard_at < LOAD_LIFETIME_S
    )
    limits = sum(limit for _, limit in loads)
    if not limits:
        return 0.0
    mean = sum(share * limit for share, limit in loads) / limits
    below = 0
    for share, limit in loads:
        below += limit
        if below * 2 >= limits:
            return min(mean, share)
    return mean


def service_occupied_fraction(placement: Placement, *, now: float) -> float:
    """Return the occupied fraction of a service's slots, by recent loads; 0 if there are none."""
    loads = [
        candidate.load
        for candidate in placement.candidates
        if candidate.load is not None and now - candidate.load.heard_at < LOAD_LIFETIME_S
    ]
    limits = sum(load.limit for load in loads)
    return sum(load.occupied for load in loads) / limits if limits else 0.0


def _rejected_share(candidate: Candidate, now: float) -> float:
    load = candidate.load
    if load is None or now - load.heard_at >= LOAD_LIFETIME_S:
        return 0.0
    return load.rejected_share


def _lowest_share(candidates: list[Candidate], now: float) -> float:
    """Return the lowest share that one of the targets rejects."""
    return min((_rejected_share(candidate, now) for candidate in candidates), default=0.0)


def _rejection_factor(candidate: Candidate, lowest_share: float, now: float) -> float:
    """Return the factor of the cost of a target that rejects more than others do.

    This entry's own record of its failures, which the cost includes already, counts towards it.
    """
    beyond = _rejected_share(candidate, now) - lowest_share
    if beyond <= 0.0:
        return 1.0
    record = candidate.record
    recorded = record.failed_fraction * freshness(record, now)
    return max(1.0, (1.0 + FAILURE_COST_FACTOR * beyond) / (1.0 + FAILURE_COST_FACTOR * recorded))


def _decayed_sent(candidate: Candidate, now: float) -> float:
    return candidate.recently_sent * exp(-(now - candidate.sent_at) / SENT_DECAY_S)


def _overdue_calls(candidate: Candidate, now: float) -> float:
    """Return the number of overdue calls: those in flight that the latency doesn't explain."""
    latency_s = candidate.record.latency_s
    if latency_s is None or candidate.record.in_flight <= OVERDUE_SLACK:
        return 0.0
    explained = _decayed_sent(candidate, now) / SENT_DECAY_S * latency_s
    return max(0.0, candidate.record.in_flight - OVERDUE_FACTOR * explained - OVERDUE_SLACK)


def _typical_latency_s(candidates: list[Candidate], kind: str) -> float:
    known = [
        candidate.latency_by_kind[kind]
        for candidate in candidates
        if kind in candidate.latency_by_kind
    ]
    return sum(known) / len(known) if known else DEFAULT_LATENCY_S


def _occupied_fraction(candidate: Candidate, now: float) -> float:
    """Return the estimated fraction of a gate's limit that is occupied."""
    load = candidate.load
    if load is None:
        return candidate.record.in_flight / max(1, candidate.record.target.slots)
    occupied_fraction = (load.occupied + load.sent_since) / load.limit
    if now - load.heard_at > LOAD_LIFETIME_S:
        return min(occupied_fraction, WAIT_START_FRACTION)
    return occupied_fraction


def _expected_s(
    candidate: Candidate, kind: str, typical_s: float, now: float, *, other_zone_s: float
) -> float:
    """Return the expected cost of a call in seconds, with its wait and the cost of other zones.

    `other_zone_s` is the cost of a call's crossing to another zone.
    """
    occupied_fraction = _occupied_fraction(candidate, now)
    if occupied_fraction > WAIT_START_FRACTION:
        factor = 1.0 + WAIT_FACTOR * (occupied_fraction - WAIT_START_FRACTION)
    else:
        # An idle gate is preferred slightly.
        factor = 0.7 + 0.3 * occupied_fraction / WAIT_START_FRACTION
    unloaded_s = _unloaded_s(candidate, kind, typical_s, now)
    if candidate.record.is_own_zone:
        return factor * unloaded_s
    return (factor + OTHER_ZONE_COST_FACTOR) * unloaded_s + other_zone_s


def _unloaded_s(candidate: Candidate, kind: str, typical_s: float, now: float) -> float:
    """Return the expected seconds of a call without waiting.

    Targets that are cold, silent or failing are charged a multiple.
    """
    record, load = candidate.record, candidate.load
    seconds = candidate.latency_by_kind.get(kind, typical_s)
    fresh = freshness(record, now)
    seconds = typical_s + (seconds - typical_s) * fresh
    if now < candidate.cold_until:
        seconds *= COLD_FACTOR
    if load is not None and now - load.heard_at > SUSPECT_AFTER_S:
        seconds *= SUSPECT_FACTOR
    return seconds * (1.0 + FAILURE_COST_FACTOR * record.failed_fraction * fresh)
