"""Recognize requests that clients send again after a refusal, and refuse them last.

Load pattern: a surge in which clients are refused and come back as `Retry-After` told them, among
new requests. Without a preference, some of them are refused at each of their attempts, until their
time is over. A request states the time that its client has left, so a request of a route whose
requests usually have more has come back.
"""

from bisect import insort
from typing import Final

from daisywharf._configuration import RouteName
from daisywharf._contract import Importance

# The name of a request's team, or None, and its importance.
Group = tuple[str | None, Importance]

# First attempts have at least this fraction of the largest time left that their route has.
MIN_FIRST_FRACTION: Final = 0.85
# The largest value of the present and the previous window counts, so that a single client with much
# time is forgotten.
WINDOW_S: Final = 10.0
# A route's time left is regular if this share of its requests has nearly the largest value, and
# this many requests were seen. A client comes back up to three times, so first attempts are at
# least a quarter of all; of times spread evenly down to 0, only 0.15 would be near the largest.
MIN_NEAR_SHARE: Final = 0.2
MIN_REQUESTS: Final = 10
# Sub-orders held back for the next returns, for each team and importance.
HELD_SUB_ORDERS: Final = 8
# Share of the requests that exchange their sub-orders. If all do, nearly all that is refused comes
# back a fixed time later and is admitted, whatever the level: then the load swings, and more calls
# are thrown away (at 1.1 times the capacity, 0.111 instead of 0.017 of the requests; 0.036 with
# half of them).
EXCHANGED_SHARE: Final = 0.5


class Window:
    """Hold the largest time left among the requests of a period, and how many were near it."""

    def __init__(self) -> None:
        self.largest_s = 0.0
        self.requests = 0
        self.near = 0


class RouteTimes:
    """Hold the present and the previous window of one route."""

    def __init__(self, *, now: float) -> None:
        self.present = Window()
        self.previous = Window()
        self.started_at = now


class Returns:
    """Hold the times left that requests had lately, by route, and sub-orders held for returns.

    `held_by_group` holds the lowest sub-orders of new requests, ascending, by team and importance.
    """

    def __init__(self) -> None:
        self.times_by_route: dict[RouteName, RouteTimes] = {}
        self.held_by_group: dict[Group, list[int]] = {}


def record_time_left(returns: Returns, route: RouteName, time_left_s: float, *, now: float) -> None:
    """Record the time left, in seconds, that a client stated with a request."""
    times = returns.times_by_route.get(route)
    if times is None:
        times = returns.times_by_route[route] = RouteTimes(now=now)
    _rotate(times, now)
    window = times.present
    largest_s = max(window.largest_s, times.previous.largest_s)
    window.requests += 1
    window.near += time_left_s >= MIN_FIRST_FRACTION * largest_s
    window.largest_s = max(window.largest_s, time_left_s)


def usual_time_left_s(returns: Returns, route: RouteName, *, now: float) -> float | None:
    """Return the time left, in seconds, of a route's first attempts, or None if it is irregular."""
    times = returns.times_by_route.get(route)
    if times is None:
        return None
    _rotate(times, now)
    windows = (times.present, times.previous)
    requests = sum(window.requests for window in windows)
    near = sum(window.near for window in windows)
    if requests < MIN_REQUESTS or near < MIN_NEAR_SHARE * requests:
        return None
    return max(window.largest_s for window in windows)


def is_return(returns: Returns, route: RouteName, time_left_s: float, *, now: float) -> bool:
    """Return whether a request with this time left was sent before and refused."""
    usual_s = usual_time_left_s(returns, route, now=now)
    return usual_s is not None and time_left_s < MIN_FIRST_FRACTION * usual_s


def exchange_sub_order(
    returns: Returns, group: Group, sub_order: int, *, is_again: bool, draw: float
) -> int:
    """Exchange a request's sub-order with those held: a return gets the lowest, a new one gives it.

    So the sub-orders of all requests of a group stay as they are spread, and a level refuses as
    many of them as before. If returns were only moved to the lower half, a small move of the level
    would refuse twice as many requests there, and the level would swing. `draw`, uniform in [0, 1),
    selects the requests that take part.
    """
    if draw >= EXCHANGED_SHARE:
        return sub_order
    held = returns.held_by_group.setdefault(group, [])
    insort(held, sub_order)
    if is_again:
        return held.pop(0)
    return sub_order if len(held) <= HELD_SUB_ORDERS else held.pop()


def _rotate(times: RouteTimes, now: float) -> None:
    """Start a new window if the present one is over."""
    age_s = now - times.started_at
    if age_s < WINDOW_S:
        return
    times.previous = times.present if age_s < 2 * WINDOW_S else Window()
    times.present = Window()
    times.started_at = now
