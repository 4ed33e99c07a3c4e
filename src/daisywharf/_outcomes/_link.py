"""Tell a silent link from a slow peer by heartbeats and progress."""

import msgspec

HEARTBEAT_PERIOD_S = 0.5
SILENCE_LIMIT_S = 1.5


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

    def __init__(self, *, now: float) -> None:
        self.opened_at = now
        self.heard_at = now
        self.beat_at = now
        self.sequence = 0


def note_frame(state: LinkState, *, now: float) -> None:
    """Note that any whole frame came in."""
    state.heard_at = now


def link_tick(state: LinkState, *, now: float, calls_out: int) -> list[LinkAction]:
    """Decide what a link needs now; call at least every 100 ms."""
    if now - state.heard_at > SILENCE_LIMIT_S:
        return [CloseLink()]
    if now - state.beat_at < HEARTBEAT_PERIOD_S:
        return []
    state.beat_at = now
    state.sequence += 1
    return [SendHeartbeat(state.sequence)]
