"""Divide each customer's rate among zones and daemons by demand, without a shared counter.

A daemon applies an increase of its own weight only after a hold time, while the others apply
it as soon as it arrives. So the shares add up to at most the whole rate as long as each
record spreads within the hold time.
"""

import math
from collections import deque
from typing import Final

from daisywharf._fleet._demand import Weights, entries_of, rate_id, weight_of, weights_of
from daisywharf._fleet._merging import merge_summary, publish
from daisywharf._fleet._messages import (
    ContractRecord,
    DemandEntry,
    DemandRecord,
    RateId,
    Scope,
    ZoneDemand,
)
from daisywharf._fleet._model import NEVER, FleetState, WeightSample
from daisywharf._ids import CallClassName, CustomerId, ZoneName

RATE_UPDATE_PERIOD_S: Final = 1.0
RATE_TIME_CONSTANT_S: Final = 2.0
PUBLISH_PERIOD_S: Final = 1.0
PUBLISH_PERIOD_PER_DAEMON_S: Final = 0.015
COMPUTE_PERIOD_S: Final = 0.5
MIN_CHANGE_RATIO: Final = 0.25
NOISE_DEVIATIONS: Final = 3.5
FLOOR_FRACTION: Final = 0.05
HOLD_IN_ZONE_S: Final = 2.0
HOLD_ACROSS_ZONES_S: Final = 4.0
MIN_START_WAIT_S: Final = 4.0
MAX_START_WAIT_S: Final = 30.0
HOLD_PER_DAEMON_S: Final = 0.01
FRACTION_HOLD_S: Final = 0.5
ZONE_STALE_AFTER_S: Final = 4.0
ZONE_RETENTION_S: Final = 21_600.0


def record_demand(
    state: FleetState, customer: CustomerId, call_class: CallClassName, *, requests: int
) -> None:
    """Count requests that entered here since the last call, admitted or not."""
    count_by_id = state.shares.count_by_id
    key = rate_id(customer, call_class)
    count_by_id[key] = count_by_id.get(key, 0) + requests


def share_of(state: FleetState, customer: CustomerId, call_class: CallClassName) -> float:
    """Return the fraction (0 to 1) of the contract's rate that this daemon may admit."""
    return state.shares.share_by_id.get(rate_id(customer, call_class), 0.0)


def reset_shares(state: FleetState, *, now: float) -> None:
    """Drop all shares after a start or a pause, until peers' demand has arrived again."""
    shares = state.shares
    shares.share_by_id.clear()
    shares.own_samples.clear()
    shares.own_zone_samples.clear()
    shares.fraction_samples.clear()
    shares.count_by_id.clear()
    shares.rates_updated_at = now
    shares.has_start_wait_ended = False
    shares.reset_at = now


def tick_shares(state: FleetState, *, now: float) -> None:
    """Measure demand, publish its changes, and compute the shares."""
    shares = state.shares
    if shares.rates_updated_at is None:
        reset_shares(state, now=now)
    elif now - shares.rates_updated_at >= RATE_UPDATE_PERIOD_S:
        _update_rates(state, elapsed_s=now - shares.rates_updated_at)
        shares.rates_updated_at = now
        _publish_demand(state, now=now)
    if now - shares.computed_at >= COMPUTE_PERIOD_S:
        shares.computed_at = now
        _compute_shares(state, now=now)


def _update_rates(state: FleetState, *, elapsed_s: float) -> None:
    shares = state.shares
    smoothing = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
    for key in shares.count_by_id.keys() | shares.rate_by_id.keys():
        measured_rate = shares.count_by_id.get(key, 0) / elapsed_s
        rate = shares.rate_by_id.get(key, 0.0)
        shares.rate_by_id[key] = rate + smoothing * (measured_rate - rate)
    shares.count_by_id.clear()


def all_zones(state: FleetState) -> set[ZoneName]:
    """Return the zones that the rates are divided among: from the settings or from heartbeats."""
    zones = {state.me.zone, *state.zones}
    for record in state.store_by_scope[Scope.SUMMARIES].record_by_key.values():
        if isinstance(record, ZoneDemand) and _has_fraction(state, record.zone):
            zones.add(record.zone)
    return zones


def _has_fraction(state: FleetState, zone: ZoneName) -> bool:
    """Return whether a zone that isn't in the settings still has a fraction of the rates."""
    return state.now - state.shares.heartbeat_at_by_zone.get(zone, state.now) <= ZONE_RETENTION_S


def _zone_floors(state: FleetState) -> Weights:
    """Return the minimum weight (requests per second) of a zone for each call class."""
    zone_count = len(all_zones(state))
    floors: Weights = {}
    for record in state.store_by_scope[Scope.CONTRACTS].record_by_key.values():
        if not isinstance(record, ContractRecord) or record.contract is None:
            continue
        for name, call_class in record.contract.classes_by_name.items():
            floor = FLOOR_FRACTION * call_class.rate_per_second / zone_count
            floors[rate_id(record.customer, name)] = floor
    return floors


def _publish_demand(state: FleetState, *, now: float) -> None:
    shares = state.shares
    daemon_count = len(state.view.peers) + 1
    if now - shares.published_at < PUBLISH_PERIOD_S + daemon_count * PUBLISH_PERIOD_PER_DAEMON_S:
        return
    floors = _zone_floors(state)
    weights = {
        key: rate
        for key, rate in shares.rate_by_id.items()
        if key in floors and rate > floors[key] / daemon_count
    }
    published = shares.published
    if published is not None and not _differs(weights, weights_of(published.entries)):
        return
    sequence = published.sequence + 1 if published else 1
    entries = entries_of(weights)
    record = DemandRecord(state.me.vm, state.me.incarnation, sequence, entries)
    shares.published = record
    shares.published_at = now
    publish(state, Scope.DEMAND, record)
    hold_s = _hold_in_zone_s(daemon_count)
    _add_sample(shares.own_samples, now, weights_of(entries), hold_s=hold_s)


def _differs(weights: Weights, published: Weights) -> bool:
    if weights.keys() != published.keys():
        return True
    return any(abs(weights[key] - published[key]) > _tolerance(published[key]) for key in weights)


def _tolerance(rate: float) -> float:
    """Return the largest change of a rate (per second) that isn't published.

    It is a fraction of the rate, or what random arrivals alone explain.
    """
    # The exponential average of Poisson arrivals has the variance rate / (2 * time constant).
    noise = math.sqrt(rate / (2.0 * RATE_TIME_CONSTANT_S))
    return max(MIN_CHANGE_RATIO * rate, NOISE_DEVIATIONS * noise)


def _add_sample(
    samples: deque[WeightSample], now: float, weights: Weights, *, hold_s: float
) -> None:
    samples.append(WeightSample(now, weights))
    while len(samples) > 1 and samples[1].at <= now - hold_s:
        samples.popleft()


def _min_over_hold(
    samples: deque[WeightSample], key: RateId, *, now: float, hold_s: float, floor: float
) -> float:
    """Return the smallest value of a key that applied during the hold time, at least the floor."""
    while len(samples) > 1 and samples[1].at <= now - hold_s:
        samples.popleft()
    lowest = min((sample.weight_by_id.get(key, 0.0) for sample in samples), default=0.0)
    return max(lowest, floor)


def _zone_weights(
    state: FleetState, floors: Weights, daemon_count: int, *, with_own: bool
) -> Weights:
    """Return the summed weights of this zone's daemons, each at least its share of the floor."""
    counted_daemons = daemon_count if with_own else daemon_count - 1
    sums = {key: floor / daemon_count * counted_daemons for key, floor in floors.items()}
    for record in state.store_by_scope[Scope.DEMAND].record_by_key.values():
        if not isinstance(record, DemandRecord):
            continue
        if record.vm == state.me.vm and not with_own:
            continue
        for entry in record.entries:
            floor = floors.get(entry.rate_id)
            weight = weight_of(entry.step)
            if floor is not None and weight > floor / daemon_count:
                sums[entry.rate_id] += weight - floor / daemon_count
    return sums


def zone_demand_entries(state: FleetState) -> tuple[DemandEntry, ...]:
    """Return this zone's demand, as a speaker publishes it."""
    daemon_count = len(state.view.peers) + 1
    return entries_of(_zone_weights(state, _zone_floors(state), daemon_count, with_own=True))


def publish_zone_demand(state: FleetState, *, sequence: int, now: float) -> None:
    """Publish this zone's demand, which is also its heartbeat to other zones."""
    entries = zone_demand_entries(state)
    record = ZoneDemand(state.me.zone, sequence, state.me.vm, entries)
    merge_summary(state, record, now=now)


def _compute_shares(state: FleetState, *, now: float) -> None:
    shares = state.shares
    floors = _zone_floors(state)
    fraction_by_id = _zone_fractions(state, floors, now=now)
    _add_sample(shares.fraction_samples, now, fraction_by_id, hold_s=FRACTION_HOLD_S)
    if not _has_start_wait_ended(state, now=now):
        shares.share_by_id = {}
        return
    daemon_count = len(state.view.peers) + 1
    other_weights = _zone_weights(state, floors, daemon_count, with_own=False)
    share_by_id: Weights = {}
    for key, zone_floor in floors.items():
        own_weight = _min_over_hold(
            shares.own_samples,
            key,
            now=now,
            hold_s=_hold_in_zone_s(daemon_count),
            floor=zone_floor / daemon_count,
        )
        fraction = _min_over_hold(
            shares.fraction_samples, key, now=now, hold_s=FRACTION_HOLD_S, floor=0.0
        )
        share_by_id[key] = fraction * own_weight / (own_weight + other_weights[key])
    shares.share_by_id = share_by_id


def _has_start_wait_ended(state: FleetState, *, now: float) -> bool:
    """Return whether this daemon knows its zone's daemons since its start, and they know it.

    That is assumed once no new peer has appeared for `MIN_START_WAIT_S`, or after
    `MAX_START_WAIT_S` in any case.
    """
    shares = state.shares
    if shares.has_start_wait_ended:
        return True
    age_s = now - shares.reset_at
    is_growing = now - state.view.last_peer_added_at < MIN_START_WAIT_S
    is_growing = is_growing or (bool(state.seeds) and not state.view.peers)
    if age_s < MIN_START_WAIT_S or (is_growing and age_s < MAX_START_WAIT_S):
        return False
    shares.has_start_wait_ended = True
    return True


def _hold_in_zone_s(daemon_count: int) -> float:
    """Return the seconds in which demand spreads through a zone of `daemon_count` daemons."""
    return HOLD_IN_ZONE_S + daemon_count * HOLD_PER_DAEMON_S


def _zone_fractions(state: FleetState, floors: Weights, *, now: float) -> Weights:
    """Return this zone's fraction (0 to 1) of each rate.

    A zone without a recent heartbeat keeps the fraction it had, since a cut-off zone still uses
    it; only the rest is divided.
    """
    shares = state.shares
    weights_by_zone = _weights_by_zone(state)
    _record_own_zone(state, weights_by_zone.get(state.me.zone), now=now)
    other_zones = all_zones(state) - {state.me.zone}
    fresh_zones = {zone for zone in other_zones if _is_fresh(state, zone, now=now)}
    fractions: Weights = {}
    for key, floor in floors.items():
        reserved = sum(_reserved_fraction(state, zone, key) for zone in other_zones - fresh_zones)
        own_weight = _min_over_hold(
            shares.own_zone_samples, key, now=now, hold_s=HOLD_ACROSS_ZONES_S, floor=floor
        )
        weight_by_zone = {
            zone: max(floor, weights_by_zone.get(zone, {}).get(key, 0.0)) for zone in fresh_zones
        }
        total = own_weight + sum(weight_by_zone.values())
        remaining = max(0.0, 1.0 - reserved)
        for zone, weight in weight_by_zone.items():
            shares.reserved_fractions_by_zone.setdefault(zone, {})[key] = remaining * weight / total
        fractions[key] = remaining * own_weight / total
    return fractions


def _weights_by_zone(state: FleetState) -> dict[ZoneName, Weights]:
    weights_by_zone: dict[ZoneName, Weights] = {}
    for record in state.store_by_scope[Scope.SUMMARIES].record_by_key.values():
        if isinstance(record, ZoneDemand):
            weights_by_zone[record.zone] = weights_of(record.entries)
    return weights_by_zone


def _record_own_zone(state: FleetState, weights: Weights | None, *, now: float) -> None:
    samples = state.shares.own_zone_samples
    if weights is not None and (not samples or samples[-1].weight_by_id != weights):
        _add_sample(samples, now, weights, hold_s=HOLD_ACROSS_ZONES_S)


def _is_fresh(state: FleetState, zone: ZoneName, *, now: float) -> bool:
    return now - state.shares.heartbeat_at_by_zone.get(zone, NEVER) <= ZONE_STALE_AFTER_S


def _reserved_fraction(state: FleetState, zone: ZoneName, key: RateId) -> float:
    equal_fraction = 1.0 / len(all_zones(state))
    return state.shares.reserved_fractions_by_zone.get(zone, {}).get(key, equal_fraction)
