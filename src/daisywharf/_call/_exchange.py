"""Calls and their replies, and the pipeline of filters that handles them."""

from collections.abc import Callable, Iterable, Sequence
from functools import reduce
from typing import Final

import msgspec

from daisywharf._call._scope import Scope
from daisywharf._context import ERROR_KIND, RAN, RequestContext
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import ServiceName

RETRY_AFTER: Final = "Retry-After"
SET_COOKIE: Final = "set-cookie"
COOKIE_SEPARATOR: Final = "\n"
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "server",
        "transfer-encoding",
        "upgrade",
    }
)


class CallRequest(msgspec.Struct, frozen=True):
    """Describe a call to a service; `path` starts with a slash and includes the query."""

    service: ServiceName
    method: str
    path: str
    context: RequestContext
    headers: dict[str, str] = {}
    body: bytes = b""


class CallReply(msgspec.Struct, frozen=True):
    """Hold a complete answer."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""


Handler = Callable[[Scope, CallRequest], CallReply]
Filter = Callable[[Scope, CallRequest, Handler], CallReply]


def pipeline(filters: Sequence[Filter], last: Handler) -> Handler:
    """Return a handler that applies filters before `last`; the first filter sees a call first."""

    def wrap(handler: Handler, call_filter: Filter) -> Handler:
        return lambda scope, request: call_filter(scope, request, handler)

    return reduce(wrap, reversed(filters), last)


def joined_headers(pairs: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Join repeated headers into one value, as HTTP allows for all headers except cookies.

    Cookies can't be joined by commas, so they are joined by `COOKIE_SEPARATOR`.
    """
    headers: dict[str, str] = {}
    name_by_lower: dict[str, str] = {}
    for name, value in pairs:
        first_name = name_by_lower.setdefault(name.lower(), name)
        separator = COOKIE_SEPARATOR if name.lower() == SET_COOKIE else ", "
        earlier_value = headers.get(first_name)
        headers[first_name] = value if earlier_value is None else earlier_value + separator + value
    return headers


def header_pairs(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Return headers as they are sent, with one header per cookie."""
    return [
        (name, part)
        for name, value in headers.items()
        for part in (value.split(COOKIE_SEPARATOR) if name.lower() == SET_COOKIE else (value,))
    ]


def without_hop_by_hop_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return headers without those that apply to a single connection only."""
    return {
        name: value for name, value in headers.items() if name.lower() not in HOP_BY_HOP_HEADERS
    }


def reply_for(error: RequestError) -> CallReply:
    """Return an error as an answer with its kind, whether the call ran, and when to retry."""
    answer = error.answer
    document = {
        "error": error.kind.value,
        "message": str(error),
        "ran": answer.ran.value,
        "retry_after_s": round(error.retry_after_s, 3),
    }
    headers = {
        "Content-Type": "application/json",
        ERROR_KIND: error.kind.value,
        RAN: answer.ran.value,
    }
    if error.retry_after_s > 0:
        headers[RETRY_AFTER] = f"{error.retry_after_s:.3f}"
    return CallReply(answer.status, headers, msgspec.json.encode(document) + b"\n")


def error_in(reply: CallReply) -> RequestError | None:
    """Return the error that a reply from a gate reports, if any."""
    kind_name = reply.headers.get(ERROR_KIND)
    if kind_name is None:
        return None
    try:
        kind = ErrorKind(kind_name)
    except ValueError:
        kind = ErrorKind.INTERNAL
    message = reply.body[:512].decode(errors="replace").strip()
    return RequestError(kind, message, retry_after_s=_retry_after_s(reply.headers.get(RETRY_AFTER)))


def _retry_after_s(text: str | None) -> float:
    """Parse a `Retry-After` value; 0 if it is missing or malformed, at most one hour."""
    try:
        return max(0.0, min(float(text or 0.0), 3_600.0))
    except ValueError:
        return 0.0
