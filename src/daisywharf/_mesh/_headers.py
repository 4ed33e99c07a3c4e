"""Headers of HTTP that concern one connection only, and the forms of a head."""

from collections.abc import Iterable
from typing import Final

HeaderPair = tuple[bytes, bytes]

# RFC 9110, section 7.6.1, and the length, which is written anew from the whole body.
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
    """Join the headers that concern more than one connection, each line ended, but `dropped`.

    Names are expected in lower case in `dropped`.
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
