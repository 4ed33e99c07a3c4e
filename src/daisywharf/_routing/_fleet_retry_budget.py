"""Bound the retries that a service receives from the whole fleet.

Load pattern: targets fail or lose answers while demand is high, and every retry of a request
repeats its downstream calls. In a large fleet a daemon's first attempts of one window earn less
than a single retry, while other daemons need none. So a daemon spends a fraction of its earnings
itself, and deposits a fraction in a pool for all daemons of its zone.

A pool spends only what was deposited in the last window, and each deposit is made once, to one
pool. So whichever daemon keeps a pool, and however often that changes, a fleet's spending in one
window is bounded by its earnings in two: `OWN_FRACTION` + 2 * `POOLED_FRACTION` is at most 1. In a
large fleet, where the own fraction is less than one retry, it is pooled as well:
2 * `ALL_POOLED_FRACTION` is 1.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

from daisywharf._ids import ServiceName

# Fractions of its allowance that a daemon spends itself and pools. They add up to less than 1
# because the windows of daemons and pools don't line up.
OWN_FRACTION: Final = 0.3
POOLED_FRACTION: Final = 0.35
ALL_POOLED_FRACTION: Final = 0.5
# With more daemons than this, everything is pooled: each earns less than the cost of a retry with
# its downstream calls.
LARGE_FLEET_DAEMONS: Final = 64


class FleetRetryBudget:
    """Hold a daemon's first attempts and retries to each service in the last window.

    A first attempt is a client's request as it enters, in contrast to a retry of it. Each earns
    `ratio` retries; the whole fleet may make `extra` more per window of `window_s` seconds.
    `first_attempts_by_service` holds their times, `unpooled_by_service` counts those that no
    deposit covers yet.
    """

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.first_attempts_by_service: dict[ServiceName, deque[float]] = {}
        self.spent_by_service: dict[ServiceName, CallAmounts] = {}
        self.unpooled_by_service: dict[ServiceName, int] = {}
        self.pooled_at: float | None = None


class ZoneRetryPool:
    """Hold the credits that daemons deposited in the last `window_s` seconds, and those spent.

    A credit pays for one call to a service.
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.deposits_by_service: dict[ServiceName, CallAmounts] = {}
        self.spent_by_service: dict[ServiceName, CallAmounts] = {}


class CallAmounts:
    """Hold (time, amount) items, oldest first, and the sum of the amounts, in calls."""

    def __init__(self) -> None:
        self.items: deque[tuple[float, float]] = deque()
        self.total = 0.0


def record_first_attempt(budget: FleetRetryBudget, service: ServiceName, *, now: float) -> None:
    """Count a client's request to a service; its retries don't count."""
    firsts = budget.first_attempts_by_service.setdefault(service, deque())
    firsts.append(now)
    unpooled = budget.unpooled_by_service
    unpooled[service] = unpooled.get(service, 0) + 1
    _drop_before(firsts, now - budget.window_s)


def spend_own_retry(
    budget: FleetRetryBudget, visits: dict[ServiceName, float], *, daemons: int, now: float
) -> bool:
    """Spend this daemon's own credit on a retry and return True, or spend nothing.

    `visits` is the cost: the calls of one retry by service, downstream calls included.
    """
    if daemons > LARGE_FLEET_DAEMONS:
        return False
    for service, count in visits.items():
        spent = _sum_since(budget.spent_by_service, service, now - budget.window_s)
        if spent + count > _allowed(budget, service, daemons, now):
            return False
    _spend(budget.spent_by_service, visits, now=now)
    return True


def collect_deposit(
    budget: FleetRetryBudget, services: Iterable[ServiceName], *, daemons: int, now: float
) -> dict[ServiceName, float]:
    """Return the credits to pool for each service, from earnings since the last call."""
    since, budget.pooled_at = budget.pooled_at, now
    firsts, budget.unpooled_by_service = budget.unpooled_by_service, {}
    if since is None:
        return {}
    extra = budget.extra / max(1, daemons) * min(1.0, (now - since) / budget.window_s)
    fraction = ALL_POOLED_FRACTION if daemons > LARGE_FLEET_DAEMONS else POOLED_FRACTION
    return {
        service: fraction * (budget.ratio * firsts.get(service, 0) + extra)
        for service in {*services, *firsts}
    }


def deposit(pool: ZoneRetryPool, credits: dict[ServiceName, float], *, now: float) -> None:
    """Add a daemon's credits, by service, to the pool."""
    for service, amount in credits.items():
        if amount > 0.0:
            _add(pool.deposits_by_service, service, amount, now=now)


def spend_pooled_retry(
    pool: ZoneRetryPool, visits: dict[ServiceName, float], *, now: float
) -> bool:
    """Spend pooled credit on a retry and return True, or spend nothing.

    `visits` is the cost: the calls of one retry by service, downstream calls included.
    """
    since = now - pool.window_s
    for service, count in visits.items():
        spent = _sum_since(pool.spent_by_service, service, since)
        if spent + count > _sum_since(pool.deposits_by_service, service, since):
            return False
    _spend(pool.spent_by_service, visits, now=now)
    return True


def _allowed(budget: FleetRetryBudget, service: ServiceName, daemons: int, now: float) -> float:
    firsts = budget.first_attempts_by_service.get(service, deque())
    _drop_before(firsts, now - budget.window_s)
    extra = budget.extra / max(1, daemons)
    return OWN_FRACTION * (budget.ratio * len(firsts) + extra)


def _spend(
    amounts_by_service: dict[ServiceName, CallAmounts],
    visits: dict[ServiceName, float],
    *,
    now: float,
) -> None:
    for service, count in visits.items():
        _add(amounts_by_service, service, count, now=now)


def _add(
    amounts_by_service: dict[ServiceName, CallAmounts],
    service: ServiceName,
    amount: float,
    *,
    now: float,
) -> None:
    amounts = amounts_by_service.setdefault(service, CallAmounts())
    amounts.items.append((now, amount))
    amounts.total += amount


def _sum_since(
    amounts_by_service: dict[ServiceName, CallAmounts], service: ServiceName, since: float
) -> float:
    """Return the sum of a service's amounts after `since`, and drop the older ones."""
    amounts = amounts_by_service.get(service)
    if amounts is None:
        return 0.0
    while amounts.items and amounts.items[0][0] <= since:
        amounts.total -= amounts.items.popleft()[1]
    if not amounts.items:
        amounts.total = 0.0
    return amounts.total


def _drop_before(times: deque[float], before: float) -> None:
    while times and times[0] <= before:
        times.popleft()
