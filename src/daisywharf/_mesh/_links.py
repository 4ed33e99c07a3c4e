"""Links between daemons: an entry sends calls on the link it opened and receives answers on it."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    Answered,
    Call,
    Cancel,
    Frame,
    Hello,
    OnCallResult,
    Ping,
    Pong,
    Report,
    StatusUpdate,
    Unanswered,
)
from daisywharf._mesh._http_client import CONNECT_TIMEOUT_S
from daisywharf._mesh._http_server import BACKLOG
from daisywharf._mesh._memory_budget import MemoryBudget
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._topology import Address

# Longer than the pause of a CPU-throttled process (0.1 s) and the retransmission of a lost packet.
SILENCE_LIMIT_S: Final = 1.0
# A link with pending calls that received nothing for this long is pinged.
PING_AFTER_S: Final = 0.25
INITIAL_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 2.0
# A link that received nothing for this long is pinged even without pending calls: it may have gone
# silent, and the next call on it would be lost.
PING_IDLE_S: Final = 3.0

# Frames that daemons of every version answer, at least with a pong. Older daemons ignore frame
# kinds that were added later.
ANSWERED_FRAMES: Final = (Call, Hello, StatusUpdate, Ping, Report)
# Those of them that are answered with exactly one pong, in the order in which they were sent.
PONGED_FRAMES: Final = (Hello, StatusUpdate, Ping, Report)


class PendingCall(msgspec.Struct, frozen=True):
    """Hold the callback for a call's result, and whether the call may be sent again elsewhere."""

    on_result: OnCallResult
    is_idempotent: bool


class OutLink:
    """Maintain the link that this daemon opened to another one, and the calls pending on it.

    A peer whose connection goes silent may only be paused for a while. So a new connection is
    opened, and calls that can't be sent again stay pending on the silent one until their deadline.
    """

    def __init__(
        self,
        address: Address,
        *,
        now: Callable[[], float],
        on_up: Callable[["OutLink"], None],
        on_down: Callable[["OutLink"], None],
        on_frame: Callable[["OutLink", Frame], None],
        on_silent: Callable[[], None] = lambda: None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.memory = memory
        self.now = now
        self.is_up = False
        self.pending_by_call_id: dict[int, PendingCall] = {}
        self._calls_by_silent_protocol: dict[FrameProtocol, dict[int, PendingCall]] = {}
        self._on_up = on_up
        self._on_down = on_down
        self._on_frame = on_frame
        self._on_silent = on_silent
        self._protocol: FrameProtocol | None = None
        self._last_call_id = 0
        self._last_received_at = 0.0
        self._awaiting_since: float | None = None
        self._last_read_count = 0
        # Frames sent on the present connection that the peer answers with a pong, and its pongs.
        self._pongs_due = 0
        self._pongs_received = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = 0.0
        self._is_connecting = False
        self._is_closed = False

    def submit(self, call: Call, on_result: OnCallResult) -> int:
        """Send a call and return its id on this link."""
        self._last_call_id += 1
        call_id = self._last_call_id
        self.pending_by_call_id[call_id] = PendingCall(on_result, call.is_idempotent)
        self.send(msgspec.structs.replace(call, call_id=call_id))
        return call_id

    def cancel(self, call_id: object) -> None:
        """Cancel a call; its result is dropped."""
        if not isinstance(call_id, int):
            return
        if self.pending_by_call_id.pop(call_id, None) is not None:
            self.send(Cancel(call_id))
            return
        for protocol, pending_by_call_id in list(self._calls_by_silent_protocol.items()):
            if pending_by_call_id.pop(call_id, None) is not None:
                protocol.send(Cancel(call_id))
                self._close_if_done(protocol)

    def send(self, frame: Frame, encoded: bytes | bytearray = b"") -> None:
        """Send a frame, or drop it if the link is down.

        `encoded` is the frame's encoding, for a caller that sends the frame on many links.
        """
        if self._protocol is not None:
            if isinstance(frame, PONGED_FRAMES):
                self._pongs_due += 1
            if self._awaiting_since is None and isinstance(frame, ANSWERED_FRAMES):
                self._awaiting_since = self.now()
            self._protocol.send(frame, encoded)

    def count_unsent(self) -> None:
        """Count the bytes that the peer hasn't read yet towards the memory budget."""
        for protocol in [self._protocol, *self._calls_by_silent_protocol]:
            if protocol is not None:
                protocol.count_unsent()

    def tick(self, *, now: float) -> None:
        """Connect if the link is down, ping if it is quiet, and replace a silent connection."""
        if self._protocol is None:
            if not self._is_connecting and not self._is_closed and now >= self._retry_at:
                self._is_connecting = True
                asyncio.ensure_future(self._connect())
            return
        if self._awaiting_since is None:
            if now - self._last_received_at > PING_IDLE_S:
                self.probe()
            return
        if self._protocol.read_count != self._last_read_count:
            # A part of a long frame also shows that the peer is alive.
            self._last_read_count = self._protocol.read_count
            self._last_received_at = now
        silence_s = now - max(self._last_received_at, self._awaiting_since)
        if silence_s > SILENCE_LIMIT_S:
            log_event(Event.LINK_SILENT, peer=str(self.address))
            self._replace_silent(self._protocol)
            self._on_silent()
        elif silence_s > PING_AFTER_S and self.pending_by_call_id:
            self.send(Ping())

    def probe(self) -> None:
        """Send a ping, unless an answer is already awaited."""
        if self._awaiting_since is None:
            self.send(Ping())

    def confirm_read(self) -> Callable[[], bool]:
        """Return a function that tells whether the peer has read all that was sent until now."""
        self.send(Ping())
        protocol, due = self._protocol, self._pongs_due
        return lambda: (
            protocol is not None and protocol is self._protocol and self._pongs_received >= due
        )

    def restart_silence_timer(self, *, now: float) -> None:
        """Restart the silence timer, so that a pause of this process doesn't count as silence."""
        self._last_received_at = now
        if self._awaiting_since is not None:
            self._awaiting_since = now

    def close(self) -> None:
        """Close the link permanently."""
        self._is_closed = True
        for protocol in [self._protocol, *self._calls_by_silent_protocol]:
            if protocol is not None:
                protocol.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: FrameProtocol(self._receive, self._handle_lost, memory=self.memory),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            log_event(Event.LINK_CLOSED, peer=str(self.address), error=repr(error))
            self._back_off()
            return
        finally:
            self._is_connecting = False
        if protocol.transport is None:
            self._back_off()
            return
        self._protocol = protocol
        self._last_received_at = self.now()
        self._awaiting_since = None
        self._pongs_due = self._pongs_received = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self.is_up = True
        self._on_up(self)

    def _back_off(self) -> None:
        self._retry_at = self.now() + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2.0)

    def _receive(self, protocol: FrameProtocol, frame: Frame) -> None:
        if protocol is not self._protocol:
            self._receive_on_replaced(protocol, frame)
            return
        self._last_received_at = self.now()
        if isinstance(frame, Answered | Unanswered):
            awaited = self.pending_by_call_id.pop(frame.call_id, None)
            if awaited is not None:
                awaited.on_result(frame)
        elif isinstance(frame, Pong):
            self._pongs_received += 1
        else:
            self._on_frame(self, frame)
        self._awaiting_since = self._last_received_at if self.pending_by_call_id else None

    def _receive_on_replaced(self, protocol: FrameProtocol, frame: Frame) -> None:
        """Handle a frame on a connection that was silent; only results are still up to date."""
        pending_by_call_id = self._calls_by_silent_protocol.get(protocol, {})
        if isinstance(frame, Answered | Unanswered):
            awaited = pending_by_call_id.pop(frame.call_id, None)
            if awaited is not None:
                awaited.on_result(frame)
            self._close_if_done(protocol)

    def _close_if_done(self, protocol: FrameProtocol) -> None:
        if not self._calls_by_silent_protocol.get(protocol, True):
            protocol.close()

    def _replace_silent(self, protocol: FrameProtocol) -> None:
        """Drop a silent connection, but keep it for its calls that can't be sent again."""
        kept = {
            call_id: call
            for call_id, call in self.pending_by_call_id.items()
            if not call.is_idempotent
        }
        if not kept:
            protocol.close()
            return
        self._calls_by_silent_protocol[protocol] = kept
        for call_id in kept:
            del self.pending_by_call_id[call_id]
        self._handle_lost(protocol)

    def _handle_lost(self, protocol: FrameProtocol) -> None:
        if protocol is self._protocol:
            self._protocol = None
            self.is_up = False
            self._back_off()
            pending_by_call_id, self.pending_by_call_id = self.pending_by_call_id, {}
            self._on_down(self)
        else:
            pending_by_call_id = self._calls_by_silent_protocol.pop(protocol, {})
        for call_id, awaited in pending_by_call_id.items():
            # It isn't known whether the peer read the call.
            unknown = Unanswered(call_id, ErrorKind.OUTCOME_UNKNOWN, has_begun=True, load=None)
            awaited.on_result(unknown)


class LinkServer:
    """Accept the links that other daemons open."""

    def __init__(
        self,
        *,
        on_frame: Callable[[FrameProtocol, Frame], None],
        on_lost: Callable[[FrameProtocol], None],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._server: asyncio.Server | None = None
        self.protocols: set[FrameProtocol] = set()

    async def start(self, address: Address) -> None:
        """Listen at an address; raise OSError if it can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.host, address.port, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Stop listening and close the links."""
        if self._server is not None:
            self._server.close()
        for protocol in list(self.protocols):
            protocol.close()

    def _accept(self) -> FrameProtocol:
        protocol = FrameProtocol(self._on_frame, self._handle_lost, memory=self.memory)
        self.protocols.add(protocol)
        return protocol

    def _handle_lost(self, protocol: FrameProtocol) -> None:
        self.protocols.discard(protocol)
        self._on_lost(protocol)
