"""Check the `traceparent` header of an outside caller, as W3C Trace Context defines it."""

import re
from typing import Final

MAX_TRACEPARENT_CHARS: Final = 128

_PATTERN: Final = re.compile(
    r"(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)
_KNOWN_VERSION: Final = "00"


def valid_traceparent(text: str | None) -> str | None:
    """Return the header where it is valid; otherwise the request begins a trace of its own."""
    if text is None or len(text) > MAX_TRACEPARENT_CHARS:
        return None
    match = _PATTERN.match(text)
    if match is None:
        return None
    suffix = text[match.end() :]
    # A later version may add parts, each after a dash.
    is_valid = not suffix or (not text.startswith(_KNOWN_VERSION) and suffix.startswith("-"))
    return text if is_valid and text.isprintable() else None
