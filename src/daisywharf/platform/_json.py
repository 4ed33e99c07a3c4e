"""Decode JSON documents that hold values of several writers."""

import re
from collections.abc import Iterator
from typing import Any, Final

import msgspec

# Levels of nesting that are read; documents of the project and the platform have fewer than ten.
MAX_DEPTH: Final = 64
UNREADABLE: Final = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)

_PUNCTUATION: Final = frozenset({b"[", b"]", b"{", b"}", b",", b":"})
# A string, a string without end, a bracket, a separator, or a number or name. A string without end
# takes the rest of the document: a search that resumed within it would take quadratic time.
_TOKEN: Final = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|(?P<endless>".*)|[\[\]{}]|[,:]|[^\s"\[\]{},:]+',
    flags=re.DOTALL,
)


def decode_json(body: bytes) -> Any:
    """Decode a JSON document; raise `msgspec.DecodeError` if it is malformed.

    In place of a value that can't be decoded stands None, or "" for a string: a number out of
    range, bytes that are no UTF-8, nesting beyond `MAX_DEPTH`. The others are as they were written.
    """
    try:
        return msgspec.json.decode(body)
    except UNREADABLE:
        return msgspec.json.decode(b"".join(_readable_tokens(body)))


def _readable_tokens(body: bytes) -> Iterator[bytes]:
    depth = 0
    for match in _TOKEN.finditer(body):
        if match.lastgroup == "endless":
            raise msgspec.DecodeError(f"a string without end begins at byte {match.start()}")
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                yield b"null"
        if depth <= MAX_DEPTH:
            yield _readable(token)
        if token in (b"]", b"}"):
            depth -= 1


def _readable(token: bytes) -> bytes:
    """Return the token, or what stands in its place if it can't be decoded."""
    is_string = token.startswith(b'"')
    is_plain_string = is_string and token.isascii() and b"\\" not in token
    if token in _PUNCTUATION or is_plain_string:
        return token
    try:
        msgspec.json.decode(token)
    except UNREADABLE:
        return b'""' if is_string else b"null"
    return token
