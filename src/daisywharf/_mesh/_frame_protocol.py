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
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

MAX_FRAME_BYTES: Final = 80_000_000  # the largest body that a configuration allows, and a head


class FrameProtocol(asyncio.Protocol):
    """Read frames and write them."""

    def __init__(
        self,
        on_frame: Callable[["FrameProtocol", Frame], None],
        on_lost: Callable[["FrameProtocol"], None],
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.read_count = 0
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._received = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready to send."""
        # uvloop's transports have the methods, not the base class.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self.transport = None
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Hand over each whole frame; close the link where one can't be read."""
        self.read_count += 1
        received = self._received
        received += data
        start = 0
        while len(received) - start >= LENGTH_BYTES:
            end = (
                start + LENGTH_BYTES + int.from_bytes(received[start : start + LENGTH_BYTES], "big")
            )
            if end - start > MAX_FRAME_BYTES:
                self._refuse(f"frame of {end - start} bytes")
                return
            if len(received) < end:
                break
            body = bytes(received[start + LENGTH_BYTES : end])
            start = end
            try:
                frame = decode_frame(body)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                if is_unknown_kind(body):
                    self._log_bad_frame(f"left out: {error}")
                    continue
                self._refuse(str(error))
                return
            self._on_frame(self, frame)
        if start:
            del received[:start]

    def send(self, frame: Frame, encoded: bytes = b"") -> None:
        """Send a frame at once: to gather those of a turn costs the loop another turn."""
        if self.transport is not None:
            self.transport.write(encoded or encode_frame(frame))

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the other end has yet to read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _refuse(self, reason: str) -> None:
        self._log_bad_frame(reason)
        self.close()

    def _log_bad_frame(self, reason: str) -> None:
        peer = self.transport.get_extra_info("peername") if self.transport else None
        log_event(Event.BAD_FRAME, peer=str(peer), error=reason)
