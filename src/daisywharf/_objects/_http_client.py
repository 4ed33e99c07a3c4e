"""Client of the object API over HTTP and JSON: the adapter that users change for their own API."""

import time
from collections.abc import Mapping
from typing import Final, TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import EditId, Version
from daisywharf._objects._interface import Changes, Listing, ObjectKind, PlatformObject

MAX_ANSWER_BYTES: Final = 33_554_432
CHUNK_BYTES: Final = 65_536
MAX_MESSAGE_CHARS: Final = 400
MAX_RETRY_AFTER_S: Final = 3_600.0
# The platform ends a watch this long before the client's timeout.
WATCH_MARGIN_S: Final = 1.0

AnswerT = TypeVar("AnswerT")

EDIT_ID_HEADER: Final = "Edit-Id"
IF_VERSION_HEADER: Final = "If-Version"

# 500, 502 and 504 are absent: an intermediary can send them after the change took effect.
KINDS_BY_STATUS: Final[dict[int, ErrorKind]] = {
    400: ErrorKind.BAD_REQUEST,
    404: ErrorKind.PLATFORM_GONE,
    409: ErrorKind.PLATFORM_CONFLICT,
    410: ErrorKind.PLATFORM_GONE,
    412: ErrorKind.PLATFORM_CONFLICT,
    413: ErrorKind.TOO_LARGE,
    429: ErrorKind.PLATFORM_UNAVAILABLE,
    503: ErrorKind.PLATFORM_UNAVAILABLE,
}


class Deletion(msgspec.Struct, frozen=True):
    """Body of the answer to a deletion."""

    version: Version


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error answer."""

    message: str


class _Request(msgspec.Struct, frozen=True):
    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None
    timeout_s: float

    @property
    def ambiguous_kind(self) -> ErrorKind:
        """Return the error kind for a call whose answer is missing or unclear."""
        if self.method == "GET":
            return ErrorKind.PLATFORM_UNAVAILABLE
        return ErrorKind.PLATFORM_OUTCOME_UNKNOWN


class HttpPlatform:
    """Call the object API at `base_url`, with `headers` such as an access token on each call."""

    def __init__(self, base_url: str, *, headers: Mapping[str, str] | None = None) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = dict(headers or {})
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def get(self, kind: ObjectKind, name: str, *, timeout_s: float) -> PlatformObject:
        """Return one object."""
        return self._call("GET", kind, PlatformObject, query={"name": name}, timeout_s=timeout_s)

    def list(self, kind: ObjectKind, *, prefix: str = "", timeout_s: float) -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""
        return self._call("GET", kind, Listing, query={"prefix": prefix}, timeout_s=timeout_s)

    def create(
        self, kind: ObjectKind, name: str, body: bytes, *, edit_id: EditId, timeout_s: float
    ) -> PlatformObject:
        """Write an object that doesn't exist yet, and return it with its version."""
        return self._call(
            "POST",
            kind,
            PlatformObject,
            query={"name": name},
            headers={EDIT_ID_HEADER: edit_id},
            body=body,
            timeout_s=timeout_s,
        )

    def update(
        self,
        kind: ObjectKind,
        name: str,
        body: bytes,
        *,
        if_version: Version,
        edit_id: EditId,
        timeout_s: float,
    ) -> PlatformObject:
        """Overwrite an object that is still at `if_version`, and return it with its new version."""
        return self._call(
            "PUT",
            kind,
            PlatformObject,
            query={"name": name},
            headers={EDIT_ID_HEADER: edit_id, IF_VERSION_HEADER: str(if_version)},
            body=body,
            timeout_s=timeout_s,
        )

    def delete(
        self, kind: ObjectKind, name: str, *, if_version: Version, edit_id: EditId, timeout_s: float
    ) -> Version:
        """Delete an object that is still at `if_version`, and return the deletion's version."""
        deletion = self._call(
            "DELETE",
            kind,
            Deletion,
            query={"name": name},
            headers={EDIT_ID_HEADER: edit_id, IF_VERSION_HEADER: str(if_version)},
            timeout_s=timeout_s,
        )
        return deletion.version

    def watch(self, kind: ObjectKind, *, after: Version, timeout_s: float) -> Changes:
        """Return the changes after a version, or none if `timeout_s` passes without any."""
        wait_s = timeout_s - min(WATCH_MARGIN_S, timeout_s / 2)
        query = {"after": str(after), "wait_s": f"{wait_s:.3f}"}
        return self._call("GET", kind, Changes, query=query, timeout_s=timeout_s)

    def _call(
        self,
        method: str,
        kind: ObjectKind,
        answer_type: type[AnswerT],
        *,
        query: dict[str, str],
        timeout_s: float,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> AnswerT:
        request = _Request(
            method=method,
            url=f"{self._base_url}/objects/{kind.value}?{urlencode(query)}",
            headers=self._headers | (headers or {}),
            body=body,
            timeout_s=timeout_s,
        )
        try:
            status, answer_headers, content = self._send(request)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise _platform_error(
                request, ErrorKind.PLATFORM_UNAVAILABLE, f"no connection: {error}"
            ) from error
        except HTTPError as error:
            raise _platform_error(
                request, request.ambiguous_kind, f"incomplete answer: {error}"
            ) from error
        if status != 200:
            raise _status_error(request, status, answer_headers, content)
        return _decode_answer(request, content, answer_type)

    def _send(self, request: _Request) -> tuple[int, Mapping[str, str], bytes]:
        deadline = time.monotonic() + request.timeout_s
        response = self._pool.request(
            request.method,
            request.url,
            headers=request.headers,
            body=request.body,
            timeout=urllib3.Timeout(total=request.timeout_s),
            preload_content=False,
            redirect=False,
        )
        try:
            content = _read_content(response, deadline)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return response.status, response.headers, content


def _read_content(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    content = bytearray()
    while chunk := response.read1(CHUNK_BYTES):
        content += chunk
        if len(content) > MAX_ANSWER_BYTES:
            raise HTTPError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
        if time.monotonic() > deadline:
            raise HTTPError(f"answer incomplete at the timeout, {len(content)} bytes received")
    return bytes(content)


def _decode_answer(request: _Request, content: bytes, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(content, type=answer_type)
    except (msgspec.DecodeError, ValueError) as error:
        raise _platform_error(
            request, request.ambiguous_kind, f"unreadable answer: {error}"
        ) from error


def _status_error(
    request: _Request, status: int, headers: Mapping[str, str], content: bytes
) -> PlatformError:
    try:
        text = msgspec.json.decode(content, type=ErrorBody).message
    except (msgspec.DecodeError, ValueError):
        text = content.decode(errors="replace")
    kind = KINDS_BY_STATUS.get(status, request.ambiguous_kind)
    message = f"status {status}: {text[:MAX_MESSAGE_CHARS]}"
    return _platform_error(request, kind, message, retry_after_s=_retry_after_s(headers))


def _retry_after_s(headers: Mapping[str, str]) -> float:
    text = headers.get("Retry-After", "")
    return min(float(text), MAX_RETRY_AFTER_S) if text.isdecimal() else 0.0


def _platform_error(
    request: _Request, kind: ErrorKind, message: str, *, retry_after_s: float = 0.0
) -> PlatformError:
    text = f"{request.method} {request.url}: {message}"
    return PlatformError(kind, text, retry_after_s=retry_after_s)
