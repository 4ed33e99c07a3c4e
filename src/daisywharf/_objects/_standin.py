"""HTTP server that stands in for the users' object API, with fault injection."""

import math
import socket
import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

import msgspec
from cheroot import wsgi

from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import EditId, Version
from daisywharf._limits import MAX_BODY_BYTES, MAX_HEADER_VALUE_CHARS
from daisywharf._objects._embedded import EmbeddedPlatform
from daisywharf._objects._faults import AnswerLostError, Faults, FaultyPlatform
from daisywharf._objects._http_client import Deletion, ErrorBody
from daisywharf._objects._interface import ObjectKind

THREADS: Final = 64
# The remaining threads stay free for other calls, however many watches wait.
MAX_WATCHES: Final = 48
MAX_WATCH_S: Final = 10.0
CALL_TIMEOUT_S: Final = 10.0
MAX_HEADERS_BYTES: Final = 65_536
POLL_INTERVAL_S: Final = 0.1
REQUEST_KEY: Final = "daisywharf.request"

STATUSES_BY_KIND: Final[dict[ErrorKind, HTTPStatus]] = {
    ErrorKind.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorKind.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorKind.PLATFORM_CONFLICT: HTTPStatus.CONFLICT,
    ErrorKind.PLATFORM_GONE: HTTPStatus.GONE,
    ErrorKind.PLATFORM_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class _Gateway(wsgi.Gateway_10):
    """Give the application access to the request's connection, so that it can abort it."""

    def get_environ(self) -> Any:
        """Return the WSGI environment with the request added under `REQUEST_KEY`."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[REQUEST_KEY] = self.req
        return environ


class Standin:
    """Serve an embedded platform over HTTP; `base_url` has the real port after `start`."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.platform = FaultyPlatform(EmbeddedPlatform())
        self._watches = threading.BoundedSemaphore(MAX_WATCHES)
        self._server = wsgi.Server((host, port), self._serve, numthreads=THREADS)
        self._server.gateway = _Gateway
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADERS_BYTES
        self._server.shutdown_timeout = 1
        self._server.expiration_interval = POLL_INTERVAL_S
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def base_url(self) -> str:
        """Return the URL of the server, without a path."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Listen, and serve in a thread until `stop`."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop the server, abort the calls that still wait, and wait for its thread."""
        self._server.stop()
        self._thread.join()

    def _serve(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        try:
            return _reply(start, HTTPStatus.OK, msgspec.json.encode(self._dispatch(environ)))
        except AnswerLostError:
            _abort_connection(environ)
            return _reply(start, HTTPStatus.BAD_GATEWAY, b"")
        except PlatformError as error:
            return _reply_error(start, error)

    def _dispatch(self, environ: dict[str, Any]) -> Any:
        url = urlsplit(environ["REQUEST_URI"])
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        method = environ["REQUEST_METHOD"]
        match method, url.path.strip("/").split("/"):
            case "GET", ["counts"]:
                return self.platform.counts()
            case "POST", ["faults"]:
                return self._set_faults(_read_body(environ))
            case "GET", ["objects", kind]:
                return self._read(_parse_kind(kind), query)
            case "POST" | "PUT" | "DELETE", ["objects", kind]:
                return self._write(method, _parse_kind(kind), query, environ)
        message = f"{method} {url.path} is unknown; use /objects/KIND, /faults or /counts"
        raise PlatformError(ErrorKind.BAD_REQUEST, message)

    def _set_faults(self, body: bytes) -> Faults:
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except (msgspec.DecodeError, ValueError) as error:
            raise PlatformError(ErrorKind.BAD_REQUEST, f"faults can't be read: {error}") from error
        self.platform.set_faults(faults)
        return faults

    def _read(self, kind: ObjectKind, query: dict[str, str]) -> Any:
        if "after" in query:
            return self._watch(kind, query)
        if "name" in query:
            return self.platform.get(kind, query["name"], timeout_s=CALL_TIMEOUT_S)
        return self.platform.list(kind, prefix=query.get("prefix", ""), timeout_s=CALL_TIMEOUT_S)

    def _watch(self, kind: ObjectKind, query: dict[str, str]) -> Any:
        after = _parse_version(query["after"])
        wait_s = min(max(0.0, _parse_seconds(query.get("wait_s", "0"))), MAX_WATCH_S)
        if not self._watches.acquire(blocking=False):
            message = f"{MAX_WATCHES} watches are already waiting; retry later"
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, message, retry_after_s=1.0)
        try:
            return self.platform.watch(kind, after=after, timeout_s=wait_s)
        finally:
            self._watches.release()

    def _write(
        self, method: str, kind: ObjectKind, query: dict[str, str], environ: dict[str, Any]
    ) -> Any:
        name = query.get("name", "")
        edit_id = EditId(environ.get("HTTP_EDIT_ID", ""))
        if not 0 < len(edit_id) <= MAX_HEADER_VALUE_CHARS:
            message = f"header Edit-Id is {edit_id[:40]!r}; send the id of this edit"
            raise PlatformError(ErrorKind.BAD_REQUEST, message)
        if method == "POST":
            body = _read_body(environ)
            return self.platform.create(kind, name, body, edit_id=edit_id, timeout_s=CALL_TIMEOUT_S)
        if_version = _parse_version(environ.get("HTTP_IF_VERSION", ""))
        if method == "DELETE":
            version = self.platform.delete(
                kind, name, if_version=if_version, edit_id=edit_id, timeout_s=CALL_TIMEOUT_S
            )
            return Deletion(version)
        return self.platform.update(
            kind,
            name,
            _read_body(environ),
            if_version=if_version,
            edit_id=edit_id,
            timeout_s=CALL_TIMEOUT_S,
        )


def _reply(
    start: StartResponse, status: HTTPStatus, content: bytes, *, retry_after_s: float = 0.0
) -> list[bytes]:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
    if retry_after_s > 0:
        headers.append(("Retry-After", f"{max(1.0, retry_after_s):.0f}"))
    start(f"{status.value} {status.phrase}", headers)
    return [content]


def _reply_error(start: StartResponse, error: PlatformError) -> list[bytes]:
    status = STATUSES_BY_KIND.get(error.kind, HTTPStatus.INTERNAL_SERVER_ERROR)
    if error.retry_after_s > 0:
        status = HTTPStatus.TOO_MANY_REQUESTS
    content = msgspec.json.encode(ErrorBody(str(error)))
    return _reply(start, status, content, retry_after_s=error.retry_after_s)


def _abort_connection(environ: dict[str, Any]) -> None:
    """Close the connection without an answer, as a network fault would."""
    request = environ[REQUEST_KEY]
    request.close_connection = True
    request.conn.socket.shutdown(socket.SHUT_RDWR)


def _read_body(environ: dict[str, Any]) -> bytes:
    body: bytes = environ["wsgi.input"].read()
    return body


def _parse_kind(text: str) -> ObjectKind:
    try:
        return ObjectKind(text)
    except ValueError as error:
        names = ", ".join(kind.value for kind in ObjectKind)
        message = f"kind {text[:40]!r} is unknown; use one of: {names}"
        raise PlatformError(ErrorKind.BAD_REQUEST, message) from error


def _parse_version(text: str) -> Version:
    if text.isascii() and text.isdecimal() and len(text) <= 18:
        return Version(int(text))
    message = f"version {text[:40]!r} is not a whole number; send the version that was read"
    raise PlatformError(ErrorKind.BAD_REQUEST, message)


def _parse_seconds(text: str) -> float:
    """Return a number of seconds, which may be negative or infinite; the caller limits it."""
    try:
        number = float(text)
    except ValueError:
        number = float("nan")
    if not math.isnan(number):
        return number
    raise PlatformError(ErrorKind.BAD_REQUEST, f"wait_s is {text[:40]!r}; send a number of seconds")
