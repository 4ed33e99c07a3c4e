"""Let requests of outside callers enter through the daemon."""

from typing import Final

from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallReply
from daisywharf._call._wsgi import Environ, body_of, headers_of
from daisywharf._context import CALL_CLASS, CUSTOMER, IDEMPOTENCY_KEY, TRACEPARENT
from daisywharf._errors import ErrorKind, RequestError

ENTRY_PREFIX: Final = "/call/"
_INSIDE_PREFIX: Final = "daisywharf-"


def enter_call(caller: Caller, environ: Environ) -> CallReply:
    """Pass an outside request on to its service; raise `RequestError`."""
    headers = headers_of(environ)
    service, _, rest = environ["PATH_INFO"].removeprefix(ENTRY_PREFIX).partition("/")
    query = environ.get("QUERY_STRING")
    return caller.enter(
        service,
        f"/{rest}?{query}" if query else f"/{rest}",
        customer=_required(headers, CUSTOMER),
        call_class=_required(headers, CALL_CLASS),
        method=environ["REQUEST_METHOD"],
        body=body_of(environ),
        headers=_outside_headers(headers),
        key=headers.get(IDEMPOTENCY_KEY),
        traceparent=headers.get(TRACEPARENT),
    )


def _required(headers: dict[str, str], name: str) -> str:
    value = headers.get(name)
    if value:
        return value
    raise RequestError(ErrorKind.BAD_REQUEST, f"header {name} is missing; send it")


def _outside_headers(headers: dict[str, str]) -> dict[str, str]:
    # Only processes inside may state a context; what an outside caller says of it is dropped.
    return {
        name: value
        for name, value in headers.items()
        if not name.lower().startswith(_INSIDE_PREFIX)
    }
