"""Read and write frames on a connection between two daemons."""

import asyncio
from collections.abc import Callable
from typing import Final, cast

import msgspec

from daisywharf._mesh._frames import (
    LENGTH_BYTES,
    Frame,
    decode_frame,
    encode_frame,
    is_unknown_kind,
)
from daisywharf._mesh._memory_budget import MemoryBudget, UnsentCount, set_unsent
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
        self._unsent = UnsentCount(self.memory)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports have the methods of asyncio.Transport but don't derive from it.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner."""
        self.transport = None
        set_unsent(self._unsent, 0)
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; close the link if one can't be decoded."""
        self.read_count += 1
        received = self._received
        received += data
        start = 0
        while len(received) - start >= LENGTH_BYTES:
            end = (
                start + LENGTH_BYTES + int.from_bytes(received[start : start + LENGTH_BYTES], "big")
            )
            if end - start > MAX_FRAME_BYTES:
                self._refuse(f"frame of {end - start} bytes is longer than allowed")
                return
            if len(received) < end:
                break
            body = bytes(received[start + LENGTH_BYTES : end])
            start = end
            try:
                frame = decode_frame(body)
            except (msgspec.DecodeError, RecursionError) as error:
                if is_unknown_kind(body):
                    self._log_bad_frame(f"ignored a frame of unknown kind: {error}")
                    continue
                self._refuse(str(error))
                return
            try:
                self._on_frame(self, frame)
            except Exception as error:
                # The frame is dropped: handled again, it would fail again with each read.
                log_event(Event.UNEXPECTED_ERROR, part=type(frame).__name__, error=repr(error))
        if start:
            del received[:start]

    def send(self, frame: Frame, encoded: bytes = b"") -> None:
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
        self._log_bad_frame(reason)
        self.close()

    def _log_bad_frame(self, reason: str) -> None:
        peer = self.transport.get_extra_info("peername") if self.transport else None
        log_event(Event.BAD_FRAME, peer=str(peer), error=reason)
