"""Bound what a peer may send of one message beside its body.

Load pattern: a target or a client in trouble sends bytes without end, in a head, between chunks or
behind a body. A parser hands a header over only once it is whole, so bytes are counted as they come
in from the network.
"""

from typing import Final

# A chunk of one byte has five bytes around it.
MAX_FRAMING_PER_BODY_BYTE: Final = 8


class MessageBytes:
    """Hold how many bytes of a message came in, and how many of these were its body's."""

    def __init__(self) -> None:
        self.received = 0
        self.body = 0


def framing_bytes(message: MessageBytes) -> int:
    """Return the bytes beyond the body and what its chunks may take around it."""
    return message.received - message.body * (1 + MAX_FRAMING_PER_BODY_BYTE)
