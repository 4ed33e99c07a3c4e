"""Know how current the configuration in force is, and when to ask the store oneself.

Load pattern: versions come in series while the daemons that watch the store for a zone are lost, or
wait on connections that have gone silent. Neither shows at once, and a version is due in 2 s. So
each daemon keeps the last moment at which the store had nothing newer than what is in force here,
by its own word or another daemon's, and asks for itself once that is too long ago, the first in the
zone's order first: whoever succeeds tells the others.
"""

from collections.abc import Iterable
from typing import Final

from daisywharf._ids import VmId
from daisywharf._mesh._watching import WATCHERS_PER_ZONE

# A watch that waits longer hides a connection that went silent; each watch is paid for.
WATCH_WAIT_S: Final = 1.0
# A wait of those that watch, and a late answer. The rest of the 2 s that the users allow
# (`configApplyMs`) is for asking the store and passing copies on.
MAX_UNCONFIRMED_S: Final = 1.25
# Between two daemons of a zone that ask: the first one's answer and its news to the others.
ASK_INTERVAL_S: Final = 0.1
# Enough for the store to look for changes; its answer alone is wanted.
PROBE_WAIT_S: Final = 0.05


class Currency:
    """Hold when the store is known to have had nothing newer; times are in seconds."""

    def __init__(self) -> None:
        self.confirmed_at = float("-inf")


def record_confirmed(state: Currency, *, at: float) -> None:
    """Note that the version in force here was the newest at a time."""
    state.confirmed_at = max(state.confirmed_at, at)


def ask_rank(own: VmId, up: Iterable[VmId]) -> int:
    """Return how many of a zone's daemons ask before this one, beside those that watch anyway."""
    return max(0, sum(vm < own for vm in up) - WATCHERS_PER_ZONE)


def has_lapsed(state: Currency, *, rank: int, now: float) -> bool:
    """Tell whether this daemon has to ask the store."""
    return now - state.confirmed_at > MAX_UNCONFIRMED_S + rank * ASK_INTERVAL_S


def retry_delay_s(backoff_s: float, *, daemons: int) -> float:
    """Return how long to wait after a failure, so that a zone's daemons ask one by one."""
    return max(backoff_s, daemons * ASK_INTERVAL_S)
