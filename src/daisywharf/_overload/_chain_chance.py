"""Refuse a request at its entry if its call chain would most probably fail.

Load pattern: for seconds, all targets of a deep service reject a large share of the calls that
arrive, as not run, although their gates have free slots. A request that calls the service four
times hardly ever completes, yet all the work above the service is done for it. Where the services
above are full, that work takes the place of requests that would complete, so such requests are
refused before any work is done. Requests that call the service once continue.
"""

from math import exp
from typing import Final

import msgspec

from daisywharf._ids import ServiceName
from daisywharf._overload._chain import MIN_VISITS, NO_SERVICE

# The share is that of about this many of the last calls, so that it follows a change within some
# tens of calls, and with few calls that of the calls within about this time. With 20 calls, a gate
# whose target rejected 0.55 measured over 0.75 now and then, and requests of one call were refused.
MEMORY_CALLS: Final = 40.0
MEMORY_S: Final = 0.4
# Added to the number of calls: a single rejected call alone must not look like a failing target.
PRIOR_CALLS: Final = 1.0
# Smaller shares count as none: a target that is full for a moment rejects single calls.
MIN_SHARE: Final = 0.1
# Requests whose work may be thrown away for each one that is answered. A client that is refused at
# once can come back while it still has time; one whose request fails after the work above can't.
MAX_WASTED_PER_ANSWER: Final = 3.0
MIN_CHANCE: Final = 1.0 / (1.0 + MAX_WASTED_PER_ANSWER)
# Occupied fractions of the fullest service above. Up to the first one, work that is thrown away
# takes nothing from other requests, and even a small chance serves a caller: in a day with spare
# capacity above, refusing such requests served 0.32 of them instead of 0.39 while the rejections
# lasted. From the second one on, `MIN_CHANCE` holds.
SPARE_FRACTION: Final = 0.6
FULL_FRACTION: Final = 0.9
# Share of the requests with too low a chance that are admitted nevertheless: where no other calls
# reach the service, their results show when the rejections have ended.
PROBE_SHARE: Final = 0.05
# A gate reports a change of this much at once: for as long as entries don't know it, requests are
# started in vain, or refused for no reason.
MIN_URGENT_CHANGE: Final = 0.15
MIN_URGENT_PERIOD_S: Final = 0.1
CERTAIN: Final = 1.0


class Rejections:
    """Count the calls started at one target, and those that it rejected; both counts decay."""

    def __init__(self, *, now: float) -> None:
        self.started = 0.0
        self.rejected = 0.0
        self.decayed_at = now


class Chance(msgspec.Struct, frozen=True):
    """Hold a request's probability of success and the service that lowers it most."""

    chance: float
    service: ServiceName


def record_start(rejections: Rejections, *, is_rejected: bool, now: float) -> None:
    """Count a call that was started at the target, once it is known whether it was rejected."""
    _decay(rejections, now)
    kept = 1.0 - 1.0 / MEMORY_CALLS
    rejections.started = rejections.started * kept + 1.0
    rejections.rejected = rejections.rejected * kept + is_rejected


def rejected_share(rejections: Rejections, *, now: float) -> float:
    """Return the share of the calls started lately that the target rejected as not run."""
    _decay(rejections, now)
    return rejections.rejected / (rejections.started + PRIOR_CALLS)


def is_urgent(share: float, *, reported: float) -> bool:
    """Return whether a share differs so much from the reported one that entries need it at once."""
    return abs(share - reported) >= MIN_URGENT_CHANGE


def chance_of(
    visits: dict[ServiceName, float], share_by_service: dict[ServiceName, float]
) -> Chance:
    """Return the probability that none of a request's calls is rejected."""
    chance, lowest, rejecting = CERTAIN, CERTAIN, NO_SERVICE
    for service, count in visits.items():
        share = share_by_service.get(service, 0.0)
        if share < MIN_SHARE or count < MIN_VISITS:
            continue
        passed = max(0.0, 1.0 - share) ** count
        chance *= passed
        if passed < lowest:
            lowest, rejecting = passed, service
    return Chance(chance, rejecting)


def is_worth_starting(chance: float, *, occupied_fraction: float, draw: float) -> bool:
    """Return whether to admit a request.

    `occupied_fraction` is that of the fullest service whose work would be thrown away; `draw`,
    uniform in [0, 1), selects the probes.
    """
    displaced = (occupied_fraction - SPARE_FRACTION) / (FULL_FRACTION - SPARE_FRACTION)
    return chance >= MIN_CHANCE * min(1.0, max(0.0, displaced)) or draw < PROBE_SHARE


def _decay(rejections: Rejections, now: float) -> None:
    kept = exp(-max(0.0, now - rejections.decayed_at) / MEMORY_S)
    rejections.started *= kept
    rejections.rejected *= kept
    rejections.decayed_at = now
