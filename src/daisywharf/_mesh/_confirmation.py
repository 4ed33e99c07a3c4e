"""Track how current the configuration in force is, and decide when a daemon probes the store.

Load pattern: versions come in series while the daemons that watch the store for a zone are lost, or
wait on connections that have gone silent. Neither is noticed at once, and a version is due in 2 s.
So each daemon records the last time at which the store was known to have nothing newer than the
version in force here, from its own reads or another daemon's report. Once that is too long ago,
the daemons of the zone probe the store one by one, in order; one that succeeds informs the others.
"""

from collections.abc import Iterable
from typing import Final

from daisywharf._ids import VmId
from daisywharf._mesh._watching import WATCHERS_PER_ZONE

# A longer wait would hide a connection that went silent; a shorter one costs more watches, each of
# which is paid for.
WATCH_WAIT_S: Final = 1.0
# Covers a watcher's wait and a late answer. The rest of the 2 s that the users allow
# (`configApplyMs`) is left for probing the store and distributing copies.
MAX_UNCONFIRMED_S: Final = 1.25
# Time between the calls of two daemons of a zone to the store, in which the first one's answer
# arrives and its status reaches the others.
PROBE_STAGGER_S: Final = 0.1
# Long enough for the store to look for changes: a probe only needs an answer.
PROBE_WAIT_S: Final = 0.05


class Confirmation:
    """Hold when the version in force here was last known to be the newest.

    `confirmed_at` is in seconds of the daemon's clock, -inf if it was never confirmed.
    """

    def __init__(self) -> None:
        self.confirmed_at = float("-inf")


def record_confirmed(state: Confirmation, *, at: float) -> None:
    """Record that the version in force here was the newest at a time."""
    state.confirmed_at = max(state.confirmed_at, at)


def expire_confirmation(state: Confirmation, *, now: float) -> None:
    """Make a probe due, because the last confirmation is of a store that has been rolled back.

    The daemons of a zone still probe one by one.
    """
    state.confirmed_at = min(state.confirmed_at, now - MAX_UNCONFIRMED_S)


def probe_rank(own: VmId, up: Iterable[VmId]) -> int:
    """Return how many of a zone's reachable daemons probe before this one, besides its watchers."""
    return max(0, sum(vm < own for vm in up) - WATCHERS_PER_ZONE)


def is_probe_due(state: Confirmation, *, rank: int, now: float) -> bool:
    """Return whether the last confirmation is so old that a daemon of this rank has to probe."""
    return now - state.confirmed_at > MAX_UNCONFIRMED_S + rank * PROBE_STAGGER_S


def retry_delay_s(backoff_s: float, *, daemons: int) -> float:
    """Return the seconds to wait after a failed call, so that a zone's daemons call one by one."""
    return max(backoff_s, daemons * PROBE_STAGGER_S)
