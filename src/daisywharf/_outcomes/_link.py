"""Distinguish a silent link from a slow peer by heartbeats.

A peer echoes each heartbeat regardless of its calls, so a slow target isn't mistaken for a dead
link. Only echoes count as proof, dated by when their heartbeat was sent: other frames from the
peer prove one direction only, and a delayed echo doesn't prove that the link works now.
"""

from typing import Final

import msgspec

from daisywharf._outcomes._pause import PAUSE_LIMIT_S

HEARTBEAT_PERIOD_S: Final = 0.3
PROBE_AFTER_S: Final = 0.8
SILENCE_LIMIT_S: Final = 1.5
MAX_PENDING_HEARTBEATS: Final = 8


class LinkPace(msgspec.Struct, frozen=True):
    """Configure a link's heartbeat period, and the silence after which it is closed; in seconds.

    If `rests` is set, an idle link sends no heartbeats: none is due until another frame has been
    sent since the link was last known to be alive.
    """

    heartbeat_period_s: float = HEARTBEAT_PERIOD_S
    silence_limit_s: float = SILENCE_LIMIT_S
    rests: bool = False


CALLS_PACE: Final = LinkPace()
# No call waits on a link between daemons, and their probes detect a daemon that is gone.
CONTROL_PACE: Final = LinkPace(heartbeat_period_s=1.0, silence_limit_s=3.0, rests=True)


class SendHeartbeat(msgspec.Struct, frozen=True):
    """Send a heartbeat on the link; the peer echoes it."""

    sequence: int


class TryNewConnection(msgspec.Struct, frozen=True):
    """Probe the same peer over a second connection; keep this link open meanwhile."""


class CloseLink(msgspec.Struct, frozen=True):
    """Close the link and resolve its pending calls over another one."""


LinkAction = SendHeartbeat | TryNewConnection | CloseLink


class LinkState:
    """Hold the liveness state of one link; times are in seconds of the monotonic clock.

    `last_alive_at` is the send time of the newest heartbeat that was echoed, or a later time at
    which the silence timer was restarted.
    """

    def __init__(self, *, now: float, pace: LinkPace = CALLS_PACE) -> None:
        self.pace = pace
        self.opened_at = now
        self.last_alive_at = now
        self.last_sent_at = now
        self.last_heartbeat_at = now
        self.ticked_at = now
        self.sequence = 0
        self.sent_at_by_sequence: dict[int, float] = {}
        self.is_probing = False
        self.is_closed = False


def record_sent(state: LinkState, *, now: float) -> None:
    """Record that a frame was sent which the peer has to receive."""
    state.last_sent_at = now


def record_echo(state: LinkState, sequence: int) -> None:
    """Record a heartbeat's echo: the link worked in both directions when that one was sent."""
    sent_at = state.sent_at_by_sequence.pop(sequence, None)
    if sent_at is None or sent_at <= state.last_alive_at or state.is_closed:
        return
    state.last_alive_at = sent_at
    state.is_probing = False


def record_probe_answer(state: LinkState, *, now: float) -> list[LinkAction]:
    """Record that the peer answered on the second connection while this link is silent.

    Return the actions that follow.
    """
    if state.is_closed or not state.is_probing:
        return []
    return _close(state)


def link_tick(state: LinkState, *, now: float, pending_calls: int) -> list[LinkAction]:
    """Return the actions that are due on a link; call at least every 100 ms.

    `pending_calls` counts the calls on the link that wait for an answer.
    """
    if state.is_closed:
        return []
    if now - state.ticked_at > PAUSE_LIMIT_S:
        # This process was paused: the silence says nothing about the peer, so start over.
        state.last_alive_at = now
        state.last_heartbeat_at = now - state.pace.heartbeat_period_s
    state.ticked_at = now
    if state.pace.rests and state.last_sent_at <= state.last_alive_at:
        state.last_alive_at = now
        return []
    silence_s = now - state.last_alive_at
    if silence_s > state.pace.silence_limit_s:
        return _close(state)
    actions: list[LinkAction] = []
    if now - state.last_heartbeat_at >= state.pace.heartbeat_period_s:
        state.last_heartbeat_at = now
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
