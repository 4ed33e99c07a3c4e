"""Decide which share of a service's calls leaves the caller's zone, and to which zones.

Load pattern: demand and targets are spread unevenly over zones, and demand moves between them. A
zone whose own targets are too few sends its excess to zones with spare capacity. Each of its dozens
of entries decides alone, by announced loads that are up to a second old. So the loads are smoothed,
and a zone's demand is estimated from its load and the share that was sent away when that load was
announced: the estimate doesn't depend on the share, and the entries don't oscillate.

A zone that sends calls is kept at a load at which it has no room for calls of others. So two zones
don't send each other calls.
"""

from math import exp, sqrt
from random import Random
from typing import Final

import msgspec

from daisywharf._ids import ZoneName

# The state moves at most once in this time, because a move looks at each target of the service.
MOVE_PERIOD_S: Final = 0.1
# A service that was not called for longer moves as if this time had passed.
MAX_ELAPSED_S: Final = 1.0
# A zone that sends calls is kept at a load of 1 - this / sqrt(n), as a fraction of its slots, where
# its targets have n slots each: small gates fill up while others of the zone have free slots.
GATE_MARGIN: Final = 0.8
# Upper limit of that load for calls that cost much to send. Demand over the capacity fills the
# queues and is refused however small the excess, and a refusal costs a caller more than a transfer.
MAX_KEPT_LOAD: Final = 0.97
# A zone starts to send at a load this much higher than the one at which it is kept.
START_MARGIN: Final = 0.06
# Others fill a zone up to a load this much lower than the one at which zones are kept. So a zone
# with less doesn't send, and a zone that sends has no room for others.
FILLED_MARGIN: Final = 0.05
# Where that room is used up, a zone with a higher load goes on filling one whose load is lower by
# this much: loads become equal, and the two don't send to each other.
MIN_GRADIENT: Final = 0.1
MAX_FILLED_LOAD: Final = 0.95
# A zone is short, and gets no calls, from this much over the load at which zones are kept, or
# if its load is close to the sender's, until it has room again.
SHORT_MARGIN: Final = 0.03
# Load up to which demand is estimated from it. Beyond a full gate, it shows how long calls have
# queued rather than how many are made.
MAX_MEASURED_LOAD: Final = 1.25
# Load from which calls wait, and growth of the wait in multiples of a call's own time; the same as
# in the comparison of single targets.
WAIT_START_LOAD: Final = 0.65
WAIT_FACTOR: Final = 8.0
# Maximum changes of the share per second. Demand that swings by 0.55 with a period of 15 s changes
# by 0.23 of its mean per second. While the own zone's calls already wait, at a surge, a slow rise
# would discard work for seconds.
MAX_RISE_PER_S: Final = 0.3
MAX_RISE_IF_FULL_PER_S: Final = 0.8
FULL_LOAD: Final = 1.0
MAX_FALL_PER_S: Final = 0.5
# The same for the share of a zone that is short: it is called no more within about a second, and a
# short peak of its load, which is common with few slots, doesn't take away all of its calls.
MAX_SHORT_FALL_PER_S: Final = 0.8
# A service that wasn't called for this long stops leaving the zone.
IDLE_S: Final = 5.0
# Time constant of the loads. The load of a zone with 72 slots varies by a tenth by chance, and a
# shorter time constant passes that on to the shares.
LOAD_SMOOTHING_S: Final = 0.8
# A zone whose load rises fast is short at once if its load, with a shorter time constant, is this
# much over the load from which it is short.
FAST_SMOOTHING_S: Final = 0.3
FAST_SHORT_MARGIN: Final = 0.08
# Time constant of the share that the smoothed loads reflect: announcements are some 0.2 s old on
# average, and a call occupies its slot for a while.
SHARE_LAG_S: Final = 1.1
# A smaller share counts as none: at 100 calls per second it is less than one call.
MIN_SHARE: Final = 0.005
# Round trip between zones, in the middle of the 1 to 3 ms that operators report.
CROSSING_LATENCY_S: Final = 0.002
# Seconds of a caller's time that the traffic of one byte between zones is worth: 10 ms for 100 KB.
# A common call of 20 KB then costs as much as its latency, and a response of 1 MB half of a usual
# latency objective of 0.2 s, so that it leaves only if it would else be refused.
CROSSING_S_PER_BYTE: Final = 1e-7


class ZoneLoad(msgspec.Struct):
    """Hold the calls at the gates of one zone's targets, and the number that fills their slots."""

    occupied: float = 0.0
    capacity: float = 0.0
    targets: int = 0


class KindCost(msgspec.Struct):
    """Hold the recent number of calls of one kind, their duration, and the cost of one crossing."""

    calls: float
    run_s: float
    crossing_s: float

    @property
    def work_s(self) -> float:
        """Return the time for which the calls occupy slots."""
        return self.calls * self.run_s


class ZoneSpill:
    """Hold one entry's shares of a service's calls by destination zone, and the smoothed loads.

    `lagged_share_by_zone` holds the shares that the announced loads reflect. `share_by_kind` holds
    the share that leaves the zone by kind of call: those that cost least to send leave first.
    """

    def __init__(self, zone: ZoneName) -> None:
        self.zone = zone
        self.moved_at = float("-inf")
        self.has_own = True
        self.is_leaving = False
        self.load = 0.0
        self.base_load = 0.0  # at which zones that send are kept if crossings cost little
        self.load_by_zone: dict[ZoneName, float] = {}
        self.fast_load_by_zone: dict[ZoneName, float] = {}
        self.short_zones: set[ZoneName] = set()
        self.share_by_zone: dict[ZoneName, float] = {}
        self.lagged_share_by_zone: dict[ZoneName, float] = {}
        self.share_by_kind: dict[str, float] = {}

    @property
    def share(self) -> float:
        """Return the share of the calls, by the slots that they occupy, that leaves the zone."""
        return sum(self.share_by_zone.values()) if self.has_own else 1.0


def crossing_s(mean_bytes: float) -> float:
    """Return the cost of a call to another zone as seconds that a caller would accept for it."""
    return CROSSING_LATENCY_S + CROSSING_S_PER_BYTE * mean_bytes


def is_move_due(state: ZoneSpill, now: float) -> bool:
    """Return whether the shares are to be moved now."""
    return now - state.moved_at >= MOVE_PERIOD_S


def move_spill(
    state: ZoneSpill, zones: dict[ZoneName, ZoneLoad], cost: dict[str, KindCost], now: float
) -> None:
    """Move the shares towards what the zones' loads and the costs by kind of call require."""
    is_first = state.moved_at == float("-inf")
    elapsed_s = MOVE_PERIOD_S if is_first else min(MAX_ELAPSED_S, now - state.moved_at)
    state.moved_at = now
    _smooth_loads(state, zones, elapsed_s=float("inf") if is_first else elapsed_s)
    own = zones.get(state.zone)
    # Without any zone, calls go to targets that don't count, in the own zone as well.
    state.has_own = not zones or (own is not None and own.capacity > 0.0)
    if own is None or not state.has_own:
        # When the own zone's targets are back, they are called at once.
        state.share_by_zone.clear()
        state.lagged_share_by_zone.clear()
        state.share_by_kind.clear()
        state.is_leaving = bool(zones)
        return
    wanted = _wanted_shares(state, zones, own, _kept_load(state, cost))
    _step(state, wanted, elapsed_s)
    lag_weight = 1.0 - exp(-elapsed_s / SHARE_LAG_S)
    for zone in state.lagged_share_by_zone.keys() - zones.keys():
        del state.lagged_share_by_zone[zone]
    for zone in zones:
        lagged = state.lagged_share_by_zone.get(zone, 0.0)
        lagged += (state.share_by_zone.get(zone, 0.0) - lagged) * lag_weight
        state.lagged_share_by_zone[zone] = lagged
    state.is_leaving = bool(state.share_by_zone)
    _divide_by_kind(state, cost)


def end_idle_spill(state: ZoneSpill, *, now: float) -> None:
    """Reset the shares of a service that is no longer called."""
    if now - state.moved_at > IDLE_S:
        state.has_own = True
        state.is_leaving = False
        state.share_by_zone.clear()
        state.lagged_share_by_zone.clear()
        state.share_by_kind.clear()


def spill_share(state: ZoneSpill, kind: str) -> float:
    """Return the share of the calls of one kind that leaves the zone."""
    return state.share_by_kind.get(kind, 0.0) if state.has_own else 1.0


def draw_zone(state: ZoneSpill, rng: Random) -> ZoneName | None:
    """Draw the destination of a call that leaves the zone; None if no zone takes calls."""
    if not state.share_by_zone:
        return None
    return rng.choices(list(state.share_by_zone), list(state.share_by_zone.values()))[0]


def is_filled(state: ZoneSpill) -> bool:
    """Return whether the own zone has no capacity to spare."""
    return state.load >= state.base_load


def is_short(state: ZoneSpill, zone: ZoneName) -> bool:
    """Return whether another zone needs its capacity for itself."""
    return zone in state.short_zones


def _smooth_loads(state: ZoneSpill, zones: dict[ZoneName, ZoneLoad], *, elapsed_s: float) -> None:
    weight = 1.0 - exp(-elapsed_s / LOAD_SMOOTHING_S)
    fast_weight = 1.0 - exp(-elapsed_s / FAST_SMOOTHING_S)
    targets = sum(announced.targets for announced in zones.values())
    capacity = sum(announced.capacity for announced in zones.values())
    if capacity:
        state.base_load = max(0.5, 1.0 - GATE_MARGIN * sqrt(targets / capacity))
    for zone in state.load_by_zone.keys() - zones.keys():
        del state.load_by_zone[zone], state.fast_load_by_zone[zone]
    for zone, announced in zones.items():
        load = announced.occupied / announced.capacity if announced.capacity else float("inf")
        load = min(load, MAX_MEASURED_LOAD)
        known = state.load_by_zone.get(zone, load)
        state.load_by_zone[zone] = known + (load - known) * weight
        known = state.fast_load_by_zone.get(zone, load)
        state.fast_load_by_zone[zone] = known + (load - known) * fast_weight
    state.load = state.load_by_zone.get(state.zone, 0.0)
    filled_load = _filled_load(state)
    short_load = max(state.base_load + SHORT_MARGIN, filled_load + MIN_GRADIENT - SHORT_MARGIN)
    state.short_zones = {
        zone
        for zone, load in state.load_by_zone.items()
        if zone != state.zone
        and (
            load >= (filled_load if zone in state.short_zones else short_load)
            or state.fast_load_by_zone[zone] >= short_load + FAST_SHORT_MARGIN
        )
    }


def _filled_load(state: ZoneSpill) -> float:
    """Return the load up to which this zone fills others."""
    equal_load = min(MAX_FILLED_LOAD, state.load - MIN_GRADIENT)
    return max(state.base_load - FILLED_MARGIN, equal_load)


def _kept_load(state: ZoneSpill, cost: dict[str, KindCost]) -> float:
    """Return the load at which the wait in the own zone makes up for the next crossing.

    It isn't much lower than the load of any other zone, which needs the room elsewhere more.
    """
    others = (load for zone, load in state.load_by_zone.items() if zone != state.zone)
    lowest = max(state.base_load, max(others, default=0.0) - MIN_GRADIENT / 2)
    total_s = sum(kind.work_s for kind in cost.values())
    cheaper_s = 0.0
    load = 0.0
    for kind in sorted(cost.values(), key=lambda kind: kind.crossing_s):
        cheaper_s += kind.work_s
        if cheaper_s > state.share * total_s:
            load = WAIT_START_LOAD + kind.crossing_s / (WAIT_FACTOR * max(kind.run_s, 1e-4))
            break
    return min(MAX_KEPT_LOAD, max(lowest, load))


def _wanted_shares(
    state: ZoneSpill, zones: dict[ZoneName, ZoneLoad], own: ZoneLoad, kept_load: float
) -> dict[ZoneName, float]:
    """Return the shares that would keep the own zone at a load, within the other zones' room."""
    if not state.share_by_zone and state.load < kept_load + START_MARGIN:
        return {}
    # In calls; a share that leaves less than a tenth in the zone isn't extrapolated further.
    kept_share = max(0.1, 1.0 - sum(state.lagged_share_by_zone.values()))
    demand = state.load * own.capacity / kept_share
    wanted = 1.0 - kept_load * own.capacity / max(demand, 1e-9)
    if wanted <= 0.0:
        return {}
    filled_load = _filled_load(state)
    # The own zone, and the others that seek room as well.
    seekers = 1 + len(state.short_zones)
    room_by_zone = {}
    for zone, announced in zones.items():
        if zone == state.zone or zone in state.short_zones or not announced.capacity:
            continue
        free = (filled_load - state.load_by_zone[zone]) * announced.capacity
        room = state.lagged_share_by_zone.get(zone, 0.0) * demand + free / seekers
        if room > 0.0:
            room_by_zone[zone] = room
    room = sum(room_by_zone.values())
    if not room:
        return {}
    scale = min(wanted / room, 1.0 / max(demand, 1e-9))
    return {zone: scale * zone_room for zone, zone_room in room_by_zone.items()}


def _step(state: ZoneSpill, wanted: dict[ZoneName, float], elapsed_s: float) -> None:
    """Move the shares by bounded steps; a zone that can't be reached gets none at once."""
    share_by_zone = state.share_by_zone
    for zone in share_by_zone.keys() - state.load_by_zone.keys():
        del share_by_zone[zone]
    change_by_zone = {
        zone: wanted.get(zone, 0.0) - share_by_zone.get(zone, 0.0)
        for zone in state.load_by_zone
        if zone in wanted or zone in share_by_zone
    }
    rise = sum(change for change in change_by_zone.values() if change > 0.0)
    fall = -sum(change for change in change_by_zone.values() if change < 0.0)
    max_rise_per_s = MAX_RISE_PER_S if state.load < FULL_LOAD else MAX_RISE_IF_FULL_PER_S
    rise_scale = min(1.0, max_rise_per_s * elapsed_s / rise) if rise else 0.0
    fall_scale = min(1.0, MAX_FALL_PER_S * elapsed_s / fall) if fall else 0.0
    for zone, change in change_by_zone.items():
        share = share_by_zone.get(zone, 0.0)
        if zone in state.short_zones:
            share -= MAX_SHORT_FALL_PER_S * elapsed_s
        else:
            share += change * (rise_scale if change > 0.0 else fall_scale)
        if share < MIN_SHARE and share >= wanted.get(zone, 0.0) or share <= 0.0:
            share_by_zone.pop(zone, None)
        else:
            share_by_zone[zone] = share


def _divide_by_kind(state: ZoneSpill, cost: dict[str, KindCost]) -> None:
    """Divide the share among the kinds of calls; those that cost least to send leave first."""
    left_s = state.share * sum(kind.work_s for kind in cost.values())
    state.share_by_kind = {}
    for name, kind in sorted(cost.items(), key=lambda item: item[1].crossing_s):
        sent_s = min(left_s, kind.work_s)
        left_s -= sent_s
        state.share_by_kind[name] = sent_s / kind.work_s if kind.work_s else 0.0
