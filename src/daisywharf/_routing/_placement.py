"""Place a call at one of a service's targets by the load that their gates announce.

Load pattern: targets of one service differ in speed and room, and many entries place calls at the
same moment by what they heard a moment ago. An entry adds the calls it sent since to what a gate
announced, compares a few gates, and keeps to its own zone while there is room. Where targets are
many, entries that all take the best of a few meet there until the next word of its load: calls are
drawn by room and speed instead.
"""

from math import exp
from random import Random
from typing import Final

import msgspec

from daisywharf._ids import TargetId, VmId, ZoneName
from daisywharf._overload._start_rate import UNLIMITED_PER_S
from daisywharf._routing._ejection import is_probe_due, record_answer, record_failure, record_probe
from daisywharf._routing._rate_share import RateShare, has_share, set_share, spend_share
from daisywharf._routing._record import FAILED_PENALTY, TargetRecord, freshness, learn
from daisywharf._topology import Target

# Gates compared for one call where a service has up to this many targets; of more, one is drawn.
MAX_COMPARED: Final = 6
# Gates among which a call is drawn: the work for it doesn't grow with the service.
MAX_DRAWN: Final = 12
# Room of a full gate, as a part of its limit, and one more of an empty one: what was announced is
# old, and calls end at a full gate as well.
MIN_HEADROOM_FRACTION: Final = 0.5
# Occupied part of the own zone from which on calls go to others, and where all of them may.
SPILL_START_FRACTION: Final = 0.6
SPILL_ALL_FRACTION: Final = 0.95
# A target of the own zone that seems to take this many times the usual time, by what it took, what
# failed there or how long nothing was heard of it, isn't kept to.
UNHEALTHY_FACTOR: Final = 5.0
# Times a call's own time that a target in another zone is taken to cost more: bytes between zones
# are paid for. It outweighs targets of twice the speed, and an idle gate over one that has room,
# but not a queue: `WAIT_FACTOR` makes up for it where the own gate is full.
OTHER_ZONE_COST: Final = 2.0
OTHER_ZONE_S: Final = 0.003
# Occupied part from which on a call must expect to wait, and how steeply the wait grows.
WAIT_START_FRACTION: Final = 0.65
WAIT_FACTOR: Final = 8.0
# An announced load loses its meaning in this time where no answer brings a newer one.
LOAD_LIFETIME_S: Final = 1.5
# A gate of which nothing was heard for this long, two announcements of a calm one and their way, is
# passed over for those that are heard: it may be gone without a word.
SUSPECT_AFTER_S: Final = 2.5
SUSPECT_FACTOR: Final = 8.0
# Calls out at a target are overdue beyond this many times those that its latency explains, and a
# few: answers of a target that has just turned slow are still to come.
OVERDUE_FACTOR: Final = 2.0
OVERDUE_SLACK: Final = 1.5
SENT_DECAY_S: Final = 1.0
DEFAULT_LATENCY_S: Final = 0.05
COLD_FACTOR: Final = 2.0
EXPLORATION_FRACTION: Final = 0.02


class AnnouncedLoad(msgspec.Struct):
    """Hold what a gate said of itself last, and what was sent to it and came back since."""

    occupied: int
    limit: int
    level: float
    heard_at: float
    sent_since: int = 0


class Candidate:
    """Hold one target of the service with the VM whose daemon leads to it."""

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


class Placement:
    """Hold the targets of one service as one entry knows them."""

    def __init__(self, *, zone: ZoneName) -> None:
        self.zone = zone
        self.entries = 1  # of the zone, that share out what a target in need takes
        self.candidate_by_id: dict[TargetId, Candidate] = {}
        self.candidates: list[Candidate] = []


def set_target(
    placement: Placement,
    vm: VmId,
    target: Target,
    *,
    cold_s: float,
    now: float,
    share: RateShare | None = None,
) -> None:
    """Add a target that takes calls, or update it; `share` is what is known of its limit."""
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
    """Drop a target that takes no calls."""
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
) -> None:
    """Take the load that a gate announced, unless a newer one is known.

    A gate that has just started doesn't know its target's limit, `most_per_s`: it stays as it was.
    """
    candidate = placement.candidate_by_id.get(target_id)
    if candidate is None or (candidate.load is not None and candidate.load.heard_at > heard_at):
        return
    candidate.load = AnnouncedLoad(occupied, limit, level, heard_at)
    if limit_per_s is not None:
        set_share(candidate.share, limit_per_s if limit_per_s > UNLIMITED_PER_S else None)


def place(
    placement: Placement, kind: str, *, excluded: set[TargetId], now: float, rng: Random
) -> Candidate | None:
    """Choose a target for a call of a kind, or none where no target takes calls."""
    usable = [
        c
        for c in placement.candidates
        if not c.is_refusing and c.record.target.target_id not in excluded
    ]
    if not usable:
        return None
    # Where the shares of all are spent, their gates choose.
    usable = [
        c
        for c in usable
        if c.share.limit_per_s is None or _has_rate_share(c, placement, now=now, rng=rng)
    ] or usable
    probe = next((c for c in usable if is_probe_due(c.record, now=now)), None)
    if probe is not None:
        return probe
    healthy = [c for c in usable if not c.record.is_ejected] or usable
    if len(healthy) > 1 and rng.random() < EXPLORATION_FRACTION:
        return rng.choice(healthy)
    if len(healthy) > MAX_COMPARED:
        return _draw(healthy, kind, now=now, rng=rng)
    typical_s = _typical_latency(healthy, kind)

    def cost(candidate: Candidate) -> float:
        seconds = _expected_s(candidate, kind, typical_s, now)
        return seconds * (1.0 + _overdue_calls(candidate, now)) * (1.0 + 0.05 * rng.random())

    return min(healthy, key=cost)


def _has_rate_share(candidate: Candidate, placement: Placement, *, now: float, rng: Random) -> bool:
    """Tell whether a target in need may get a call of this entry while others are left."""
    return candidate.record.is_own_zone and has_share(
        candidate.share, entries=placement.entries, now=now, rng=rng
    )


def _draw(healthy: list[Candidate], kind: str, *, now: float, rng: Random) -> Candidate:
    """Draw a target by its room and speed, in the own zone while that has room."""
    typical_s = _typical_latency(healthy, kind)
    pool = _zone_with_headroom(healthy, kind, typical_s, now=now, rng=rng)
    if len(pool) > MAX_DRAWN:
        pool = rng.sample(pool, MAX_DRAWN)
    typical_s = _typical_latency(pool, kind)

    def weight(candidate: Candidate) -> float:
        headroom = 1.0 + MIN_HEADROOM_FRACTION - min(1.0, _occupied_fraction(candidate, now))
        seconds = _unloaded_s(candidate, kind, typical_s, now)
        return headroom / (seconds * (1.0 + _overdue_calls(candidate, now)))

    return rng.choices(pool, [weight(candidate) for candidate in pool])[0]


def _zone_with_headroom(
    healthy: list[Candidate], kind: str, typical_s: float, *, now: float, rng: Random
) -> list[Candidate]:
    """Return the own zone's targets that are well, or, as its load asks for it, those of all."""
    max_s = UNHEALTHY_FACTOR * typical_s
    own = [
        candidate
        for candidate in healthy
        if candidate.record.is_own_zone and _unloaded_s(candidate, kind, typical_s, now) <= max_s
    ]
    if not own:
        return healthy
    occupied_fraction = sum(_occupied_fraction(candidate, now) for candidate in own) / len(own)
    spilled_fraction = (occupied_fraction - SPILL_START_FRACTION) / (
        SPILL_ALL_FRACTION - SPILL_START_FRACTION
    )
    return healthy if rng.random() < spilled_fraction else own


def record_sent(candidate: Candidate, *, now: float) -> None:
    """Count a call that leaves for a target."""
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
    """Learn from an answer."""
    known = candidate.latency_by_kind.get(kind)
    gain = 0.1
    candidate.latency_by_kind[kind] = (
        latency_s if known is None else known + gain * (latency_s - known)
    )
    learn(candidate.record, failed=0.0, refused=0.0, latency_s=latency_s, now=now)
    record_answer(candidate.record, now=now)


def record_failed_call(placement: Placement, candidate: Candidate, *, now: float) -> None:
    """Learn from a call that failed at the target or on its way."""
    learn(candidate.record, failed=1.0, refused=0.0, latency_s=None, now=now)
    record_failure(candidate.record, [c.record for c in placement.candidates], now=now)


def record_failed_answer(candidate: Candidate, *, now: float) -> None:
    """Learn from a failure that a target answered with; its calls below may be the cause.

    It costs the target calls, but doesn't eject it: where a deep service fails, all above it do.
    """
    learn(candidate.record, failed=1.0, refused=0.0, latency_s=None, now=now)


def service_level(placement: Placement, *, ceiling: float, now: float) -> float:
    """Return the service's shedding level: the mean of its gates', weighted by their limits."""
    weight = level = 0.0
    for candidate in placement.candidates:
        load = candidate.load
        if load is not None and now - load.heard_at < LOAD_LIFETIME_S:
            weight += load.limit
            level += load.limit * min(load.level, ceiling)
    return level / weight if weight else ceiling


def _decayed_sent(candidate: Candidate, now: float) -> float:
    return candidate.recently_sent * exp(-(now - candidate.sent_at) / SENT_DECAY_S)


def _overdue_calls(candidate: Candidate, now: float) -> float:
    latency_s = candidate.record.latency_s
    if latency_s is None or candidate.record.in_flight <= OVERDUE_SLACK:
        return 0.0
    explained = _decayed_sent(candidate, now) / SENT_DECAY_S * latency_s
    return max(0.0, candidate.record.in_flight - OVERDUE_FACTOR * explained - OVERDUE_SLACK)


def _typical_latency(candidates: list[Candidate], kind: str) -> float:
    known = [c.latency_by_kind[kind] for c in candidates if kind in c.latency_by_kind]
    return sum(known) / len(known) if known else DEFAULT_LATENCY_S


def _occupied_fraction(candidate: Candidate, now: float) -> float:
    """Return the part of a gate's limit that is occupied, as far as that is known."""
    load = candidate.load
    if load is None:
        return candidate.record.in_flight / max(1, candidate.record.target.slots)
    occupied_fraction = (load.occupied + load.sent_since) / load.limit
    if now - load.heard_at > LOAD_LIFETIME_S:
        return min(occupied_fraction, WAIT_START_FRACTION)
    return occupied_fraction


def _expected_s(candidate: Candidate, kind: str, typical_s: float, now: float) -> float:
    """Return the seconds that a call would take, with its wait at the gate."""
    occupied_fraction = _occupied_fraction(candidate, now)
    if occupied_fraction > WAIT_START_FRACTION:
        factor = 1.0 + WAIT_FACTOR * (occupied_fraction - WAIT_START_FRACTION)
    else:
        factor = 0.7 + 0.3 * occupied_fraction / WAIT_START_FRACTION
    unloaded_s = _unloaded_s(candidate, kind, typical_s, now)
    if candidate.record.is_own_zone:
        return factor * unloaded_s
    return (factor + OTHER_ZONE_COST) * unloaded_s + OTHER_ZONE_S


def _unloaded_s(candidate: Candidate, kind: str, typical_s: float, now: float) -> float:
    """Return the seconds that a call would take, with what speaks against its target."""
    record, load = candidate.record, candidate.load
    seconds = candidate.latency_by_kind.get(kind, typical_s)
    fresh = freshness(record, now)
    seconds = typical_s + (seconds - typical_s) * fresh
    if now < candidate.cold_until:
        seconds *= COLD_FACTOR
    if load is not None and now - load.heard_at > SUSPECT_AFTER_S:
        seconds *= SUSPECT_FACTOR
    return seconds * (1.0 + FAILED_PENALTY * record.failed_fraction * fresh)
