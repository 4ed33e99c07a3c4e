"""Validate the `traceparent` header of an external caller against W3C Trace Context."""

import re
from typing import Final

MAX_TRACEPARENT_CHARS: Final = 128

_PATTERN: Final = re.compile(
    r"(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)
_KNOWN_VERSION: Final = "00"


def valid_traceparent(text: str | None) -> str | None:
    """Return the header if it is valid; otherwise None, and the request starts a new trace."""
    if text is None or len(text) > MAX_TRACEPARENT_CHARS:
        return None
    match = _PATTERN.match(text)
    if match is None:
        return None
    suffix = text[match.end() :]
    # Later versions may append fields, each after a dash.
    is_valid = not suffix or (not text.startswith(_KNOWN_VERSION) and suffix.startswith("-"))
    return text if is_valid and text.isprintable() else None
