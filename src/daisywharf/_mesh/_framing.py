"""Bound the bytes of one HTTP message outside its body.

Load pattern: a faulty target or client sends endless bytes in a head, between chunks or after a
body. The parser reports a header only once it is complete, so bytes are counted as they arrive from
the network.
"""

from typing import Final

# A one-byte chunk has five bytes of framing.
MAX_FRAMING_PER_BODY_BYTE: Final = 8


class MessageBytes:
    """Count the bytes received of one message, and how many of them were body."""

    def __init__(self) -> None:
        self.received = 0
        self.body = 0


def framing_bytes(message: MessageBytes) -> int:
    """Return the bytes in excess of the body and the chunk framing that it may have."""
    return message.received - message.body * (1 + MAX_FRAMING_PER_BODY_BYTE)
