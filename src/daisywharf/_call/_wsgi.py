"""Read WSGI environments, run WSGI applications and collect their answers."""

import hashlib
from collections.abc import Callable, Iterable
from http.client import responses
from io import BytesIO
from typing import Any, Final

from daisywharf._call._exchange import (
    CallReply,
    header_pairs,
    joined_headers,
    without_hop_by_hop_headers,
)
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._limits import MAX_BODY_BYTES

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

DIGEST_BYTES: Final = 16
_PREFIX: Final = "HTTP_"
_UNPREFIXED_NAME_BY_KEY: Final = {"CONTENT_TYPE": "Content-Type"}


def headers_of(environ: Environ) -> dict[str, str]:
    """Return the request's headers under their usual names."""
    headers = {
        _header_name(key[len(_PREFIX) :]): value
        for key, value in environ.items()
        if key.startswith(_PREFIX)
    }
    for key, name in _UNPREFIXED_NAME_BY_KEY.items():
        if environ.get(key):
            headers[name] = environ[key]
    return headers


def _header_name(key: str) -> str:
    name = "-".join(part.capitalize() for part in key.split("_"))
    return name.lower() if name == "Traceparent" else name


def body_of(environ: Environ) -> bytes:
    """Read and return the whole body; raise `RequestError` (bad request, too large)."""
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal():
        message = f"Content-Length is {text[:40]!r}; send a whole number of bytes"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    if int(text) > MAX_BODY_BYTES:
        message = f"body has {text[:40]} bytes; send at most {MAX_BODY_BYTES}"
        raise RequestError(ErrorKind.TOO_LARGE, message)
    body: bytes = environ["wsgi.input"].read(int(text)) if int(text) else b""
    if len(body) != int(text):
        message = f"body ended after {len(body)} of {text} bytes; send all of it"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    return body


def digest_of(environ: Environ) -> bytes:
    """Return a digest of the method, path and body; the body can be read again afterwards."""
    body = body_of(environ)
    environ["wsgi.input"] = BytesIO(body)
    head = f"{environ['REQUEST_METHOD']} {path_of(environ)}\n".encode("latin-1")
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def path_of(environ: Environ) -> str:
    """Return the path with its query."""
    path = environ.get("PATH_INFO") or "/"
    query = environ.get("QUERY_STRING")
    return f"{path}?{query}" if query else path


def run_app(app: WsgiApp, environ: Environ) -> CallReply:
    """Run an application and return its complete answer."""
    started: list[tuple[str, list[tuple[str, str]]]] = []
    written: list[bytes] = []

    def start_response(
        status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Callable[[bytes], None]:
        started.append((status, headers))
        return written.append

    parts = app(environ, start_response)
    try:
        body = b"".join(parts)
    finally:
        close = getattr(parts, "close", None)
        if close is not None:
            close()
    status, headers = started[-1]
    return CallReply(
        int(status[:3]),
        without_hop_by_hop_headers(joined_headers(headers)),
        b"".join(written) + body,
    )


def send_reply(reply: CallReply, start_response: StartResponse) -> list[bytes]:
    """Pass a complete answer, with its length, to a WSGI server; return the body's parts."""
    headers = [*header_pairs(reply.headers), ("Content-Length", str(len(reply.body)))]
    start_response(f"{reply.status} {responses.get(reply.status, 'Answer')}", headers)
    return [reply.body]
