"""The entry for external callers, which don't embed a caller."""

from typing import Final

from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallReply
from daisywharf._call._hop import HOP_ANSWER
from daisywharf._call._wsgi import Environ, body_of, headers_of
from daisywharf._context import CALL_CLASS, CUSTOMER, IDEMPOTENCY_KEY, TRACEPARENT
from daisywharf._errors import ErrorKind, RequestError

ENTRY_PREFIX: Final = "/call/"
_INTERNAL_PREFIX: Final = "daisywharf-"


def enter_call(caller: Caller, environ: Environ) -> CallReply:
    """Send an external request to its service and return the answer; raise `RequestError`."""
    headers = headers_of(environ)
    service, path = split_path(ENTRY_PREFIX, environ)
    reply = caller.enter(
        service,
        path,
        customer=_required_header(headers, CUSTOMER),
        call_class=_required_header(headers, CALL_CLASS),
        method=environ["REQUEST_METHOD"],
        body=body_of(environ),
        headers=without_internal_headers(headers),
        key=headers.get(IDEMPOTENCY_KEY),
        traceparent=headers.get(TRACEPARENT),
    )
    return without_hop_answer(reply)


def without_hop_answer(reply: CallReply) -> CallReply:
    """Return an answer without the header that only embedded callers read."""
    headers = {name: value for name, value in reply.headers.items() if name != HOP_ANSWER}
    return CallReply(reply.status, headers, reply.body)


def _required_header(headers: dict[str, str], name: str) -> str:
    value = headers.get(name)
    if value:
        return value
    raise RequestError(ErrorKind.BAD_REQUEST, f"header {name} is missing; add it to the request")


def split_path(prefix: str, environ: Environ) -> tuple[str, str]:
    """Split what follows a prefix into the service's name and the path at its target.

    The path includes the query.
    """
    service, _, rest = environ["PATH_INFO"].removeprefix(prefix).partition("/")
    query = environ.get("QUERY_STRING")
    return service, f"/{rest}?{query}" if query else f"/{rest}"


def without_internal_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return headers without those of the request context, which only internal processes set."""
    return {
        name: value
        for name, value in headers.items()
        if not name.lower().startswith(_INTERNAL_PREFIX)
    }
