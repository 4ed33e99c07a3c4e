"""CBOR encoding of the typed messages between processes."""

from typing import Any

import cbor2
import msgspec

from daisywharf._errors import ErrorKind, LinkError
from daisywharf._limits import MAX_FRAME_BYTES


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message as CBOR; raise `LinkError` (too large) above `MAX_FRAME_BYTES`."""
    frame = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    _check_size(len(frame))
    return frame


def decode(frame: bytes, message_type: Any) -> Any:
    """Decode a frame as `message_type`; raise `LinkError` (bad frame, too large)."""
    _check_size(len(frame))
    try:
        return msgspec.convert(cbor2.loads(frame), message_type)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        message = f"frame of {len(frame)} bytes can't be decoded: {error}"
        raise LinkError(ErrorKind.BAD_FRAME, message) from error


def _check_size(size: int) -> None:
    if size > MAX_FRAME_BYTES:
        message = f"frame has {size} bytes; send at most {MAX_FRAME_BYTES}"
        raise LinkError(ErrorKind.TOO_LARGE, message)
