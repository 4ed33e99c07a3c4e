"""Read and write frames on a connection between two daemons."""

import asyncio
from collections.abc import Callable
from typing import Final, cast

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._mesh._frames import (
    LENGTH_BYTES,
    PEEKED_BYTES,
    Call,
    Frame,
    Unanswered,
    decode_frame,
    encode_frame,
    is_unknown_kind,
    peek_call_id,
)
from daisywharf._mesh._memory_budget import (
    MemoryBudget,
    UnsentCount,
    add_buffered,
    has_room_for_call,
    has_room_for_copy,
    set_unsent,
)
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# Frames from this size on count towards the memory budget at once, others at the next sweep.
LARGE_FRAME_BYTES: Final = 16_384
MAX_FRAME_BYTES: Final = 80_000_000  # the largest body that a configuration allows, and its header


class FrameProtocol(asyncio.Protocol):
    """Read and write length-prefixed frames; `read_count` counts the chunks received so far."""

    def __init__(
        self,
        on_frame: Callable[["FrameProtocol", Frame], None],
        on_lost: Callable[["FrameProtocol"], None],
        *,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory or MemoryBudget(max_bytes=float("inf"))
        self.transport: asyncio.Transport | None = None
        self.read_count = 0
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._received = bytearray()
        # Bytes of the large frame that is arriving, which count towards the budget already.
        self._reserved_bytes = 0
        self._bytes_to_skip = 0
        self._is_refused = False
        self._unsent = UnsentCount(self.memory)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports have the methods of asyncio.Transport but don't derive from it.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner."""
        self.transport = None
        set_unsent(self._unsent, 0)
        self._release_reserved()
        self._received.clear()
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; close the link if one can't be decoded."""
        self.read_count += 1
        received = self._received
        received += data
        start = 0
        while (frame_bytes := self._next_frame_bytes(start)) is not None:
            with memoryview(received) as view:
                frame = self._decode(view[start + LENGTH_BYTES : start + frame_bytes])
            start += frame_bytes
            if frame is not None:
                if frame_bytes >= LARGE_FRAME_BYTES:
                    # Freed before its content is used, and perhaps copied.
                    del received[:start]
                    start = 0
                self._handle(frame)
            if self._is_refused:
                received.clear()
                return
        if start:
            del received[:start]

    def _next_frame_bytes(self, start: int) -> int | None:
        """Return the size of the complete frame at `start`, or None until one has arrived.

        Removes the bytes of frames that don't fit into memory.
        """
        received = self._received
        while True:
            if self._bytes_to_skip:
                skipped = min(self._bytes_to_skip, len(received) - start)
                del received[start : start + skipped]
                self._bytes_to_skip -= skipped
            available = len(received) - start
            if available < LENGTH_BYTES:
                return None
            length = int.from_bytes(received[start : start + LENGTH_BYTES], "big")
            frame_bytes = LENGTH_BYTES + length
            if frame_bytes > MAX_FRAME_BYTES:
                self._refuse(f"frame of {frame_bytes} bytes is longer than allowed")
                return None
            if frame_bytes < LARGE_FRAME_BYTES:
                return frame_bytes if available >= frame_bytes else None
            if not self._reserved_bytes:
                if available < LENGTH_BYTES + PEEKED_BYTES:
                    return None
                peeked = received[start + LENGTH_BYTES : start + LENGTH_BYTES + PEEKED_BYTES]
                if not self._reserve(frame_bytes, bytes(peeked)):
                    self._bytes_to_skip = frame_bytes
                    continue
            if available < frame_bytes:
                return None
            self._release_reserved()
            return frame_bytes

    def _reserve(self, frame_bytes: int, peeked: bytes) -> bool:
        """Count a large frame towards the budget; if it doesn't fit, end its call instead."""
        call = peek_call_id(peeked)
        if call is not None:
            kind, call_id = call
            has_room = has_room_for_call if kind is Call else has_room_for_copy
            if not has_room(self.memory, frame_bytes):
                log_event(
                    Event.FRAME_SKIPPED, kind=kind.__name__, size=frame_bytes, peer=self._peer()
                )
                if kind is Call:
                    self.send(Unanswered(call_id, ErrorKind.MEMORY_FULL, False, None))
                else:
                    self._handle(Unanswered(call_id, ErrorKind.TOO_LARGE, True, None))
                return False
        self._reserved_bytes = frame_bytes
        add_buffered(self.memory, frame_bytes)
        return True

    def _release_reserved(self) -> None:
        add_buffered(self.memory, -self._reserved_bytes)
        self._reserved_bytes = 0

    def _decode(self, body: memoryview) -> Frame | None:
        """Return the frame, or None for one that can't be decoded."""
        try:
            return decode_frame(body)
        except (msgspec.DecodeError, RecursionError) as error:
            if is_unknown_kind(body):
                self._log_bad_frame(f"ignored a frame of unknown kind: {error}")
            else:
                self._refuse(str(error))
            return None
        finally:
            body.release()

    def _handle(self, frame: Frame) -> None:
        try:
            self._on_frame(self, frame)
        except Exception as error:
            # The frame is dropped: handled again, it would fail again with each read.
            log_event(Event.UNEXPECTED_ERROR, part=type(frame).__name__, error=repr(error))

    def send(self, frame: Frame, encoded: bytes | bytearray = b"") -> None:
        """Write a frame at once: batching the frames of an iteration costs the loop another one."""
        if self.transport is not None:
            encoded = encoded or encode_frame(frame)
            self.transport.write(encoded)
            if len(encoded) >= LARGE_FRAME_BYTES:
                self.count_unsent()

    def count_unsent(self) -> None:
        """Count the bytes that the peer hasn't read yet towards the memory budget."""
        set_unsent(self._unsent, self.unsent_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that are buffered because the peer hasn't read them yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Close the connection at once, dropping what is buffered."""
        if self.transport is not None:
            self.transport.abort()

    def _refuse(self, reason: str) -> None:
        self._is_refused = True
        self._log_bad_frame(reason)
        self.close()

    def _log_bad_frame(self, reason: str) -> None:
        log_event(Event.BAD_FRAME, peer=self._peer(), error=reason)

    def _peer(self) -> str:
        return str(self.transport.get_extra_info("peername") if self.transport else None)
