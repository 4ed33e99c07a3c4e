"""HTTP headers that apply to a single connection, and the serialized form of header lines."""

from collections.abc import Iterable
from typing import Final

HeaderPair = tuple[bytes, bytes]

# RFC 9110, section 7.6.1, and Content-Length, which is recomputed from the whole body.
CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def head_block(headers: Iterable[HeaderPair], *, dropped: frozenset[bytes]) -> bytes:
    """Return the header lines to forward, each with its line break.

    Leaves out headers of a single connection, those that `Connection` names, and those in
    `dropped`, which holds names in lower case.
    """
    named: set[bytes] = set()
    kept = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
        elif lowered not in CONNECTION_HEADERS and lowered not in dropped:
            kept.append((name, value))
    if named:
        kept = [(name, value) for name, value in kept if name.lower() not in named]
    return b"".join([b"%b: %b\r\n" % pair for pair in kept])
