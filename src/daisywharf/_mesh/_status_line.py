"""Check the status line of a response, of which the parser accepts more than HTTP/1.1 allows.

A failing target sent the status 000. The parser takes it for a provisional status, so the request
waited for another response until its deadline; statuses from 600 on were passed on to clients.
"""

import re
from typing import Final

# RFC 9110, section 15: the first digit defines the class of the response, 1 to 5.
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
VERSIONS: Final = frozenset({"1.0", "1.1"})
# RFC 9112, section 4: a tab, a space, visible characters, or bytes above ASCII.
_REASON: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")


def check_status_line(status: int, version: str, reason: bytes) -> None:
    """Raise ValueError if a response with this status line is not a valid one."""
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise ValueError(f"status {status:03} is not between {MIN_STATUS} and {MAX_STATUS}")
    if version not in VERSIONS:
        raise ValueError(f"version {version} is neither 1.0 nor 1.1")
    if _REASON.fullmatch(reason) is None:
        raise ValueError(f"reason phrase {reason[:40]!r} contains control characters")
