"""A transport without a network, for protocols that receive their bytes from a test."""

import asyncio
from typing import Any


class FedTransport(asyncio.Transport):
    """Record what was written, and whether the connection was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.is_closed = False
        self.is_paused = False

    def write(self, data: Any) -> None:
        self.written += data

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def get_write_buffer_size(self) -> int:
        return 0


def in_pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """Split bytes at these offsets, taken modulo their length plus one; drop empty pieces."""
    offsets = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    pairs = zip(offsets, offsets[1:], strict=False)
    return [data[start:end] for start, end in pairs if start < end]
