"""Tell a silent link from a slow peer by heartbeats and progress.

A peer echoes each heartbeat whatever its calls do, so a slow target is not taken for a dead link.
Only echoes count, and by the time at which their heartbeat left: frames that the peer sends of its
own prove one direction alone, and a held-up echo says nothing of the link as it is now.
"""

from typing import Final

import msgspec

from daisywharf._outcomes._pause import PAUSE_LIMIT_S

HEARTBEAT_PERIOD_S: Final = 0.3
PROBE_AFTER_S: Final = 0.8
SILENCE_LIMIT_S: Final = 1.5
MAX_PENDING_HEARTBEATS: Final = 8


class LinkPace(msgspec.Struct, frozen=True):
    """Say how often a link sends heartbeats, and after which silence it is closed; in seconds.

    A link that `rests` sends none while nothing was sent on it since it was last proven.
    """

    heartbeat_period_s: float = HEARTBEAT_PERIOD_S
    silence_limit_s: float = SILENCE_LIMIT_S
    rests: bool = False


CALLS_PACE: Final = LinkPace()
# No call waits on a link between daemons, and their probes notice a daemon that is gone.
CONTROL_PACE: Final = LinkPace(heartbeat_period_s=1.0, silence_limit_s=3.0, rests=True)


class SendHeartbeat(msgspec.Struct, frozen=True):
    """Send a heartbeat on the link; the peer echoes it."""

    sequence: int


class TryNewConnection(msgspec.Struct, frozen=True):
    """Open a second connection to the same peer and ask there; keep this link meanwhile."""


class CloseLink(msgspec.Struct, frozen=True):
    """Close the link and resolve its open calls over another."""


LinkAction = SendHeartbeat | TryNewConnection | CloseLink


class LinkState:
    """Hold one link's progress; times are in seconds of this process's monotonic clock."""

    def __init__(self, *, now: float, pace: LinkPace = CALLS_PACE) -> None:
        self.pace = pace
        self.opened_at = now
        self.last_alive_at = now
        self.sent_at = now
        self.heartbeat_at = now
        self.ticked_at = now
        self.sequence = 0
        self.sent_at_by_sequence: dict[int, float] = {}
        self.is_probing = False
        self.is_closed = False


def record_sent(state: LinkState, *, now: float) -> None:
    """Note that a frame left which the peer has to get."""
    state.sent_at = now


def record_echo(state: LinkState, sequence: int) -> None:
    """Note the echo of a heartbeat: the link carried frames both ways when that one left."""
    sent_at = state.sent_at_by_sequence.pop(sequence, None)
    if sent_at is None or sent_at <= state.last_alive_at or state.is_closed:
        return
    state.last_alive_at = sent_at
    state.is_probing = False


def record_probe_answer(state: LinkState, *, now: float) -> list[LinkAction]:
    """Note that the peer answered on the second connection while this link is silent."""
    if state.is_closed or not state.is_probing:
        return []
    return _close(state)


def link_tick(state: LinkState, *, now: float, pending_calls: int) -> list[LinkAction]:
    """Decide what a link needs now; call at least every 100 ms."""
    if state.is_closed:
        return []
    if now - state.ticked_at > PAUSE_LIMIT_S:
        # This process was stopped: the silence says nothing about the peer, so ask afresh.
        state.last_alive_at = now
        state.heartbeat_at = now - state.pace.heartbeat_period_s
    state.ticked_at = now
    if state.pace.rests and state.sent_at <= state.last_alive_at:
        state.last_alive_at = now
        return []
    silence_s = now - state.last_alive_at
    if silence_s > state.pace.silence_limit_s:
        return _close(state)
    actions: list[LinkAction] = []
    if now - state.heartbeat_at >= state.pace.heartbeat_period_s:
        state.heartbeat_at = now
        state.sequence += 1
        state.sent_at_by_sequence[state.sequence] = now
        state.sent_at_by_sequence.pop(state.sequence - MAX_PENDING_HEARTBEATS, None)
        actions.append(SendHeartbeat(state.sequence))
    if pending_calls and silence_s > PROBE_AFTER_S and not state.is_probing:
        state.is_probing = True
        actions.append(TryNewConnection())
    return actions


def _close(state: LinkState) -> list[LinkAction]:
    state.is_closed = True
    return [CloseLink()]
