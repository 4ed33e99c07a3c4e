"""Make calls for a target that can't embed a caller, as part of the request it is running."""

from typing import Final

from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallReply
from daisywharf._call._scope import current_scope
from daisywharf._call._wsgi import Environ, body_of, headers_of
from daisywharf._daemon._entry import split_path, without_hop_answer, without_internal_headers
from daisywharf._daemon._forwarding import ONWARD_TOKEN_HEADER, HostedGates
from daisywharf._errors import ErrorKind, RequestError

ONWARD_PREFIX: Final = "/onward/"
IDEMPOTENT: Final = "Daisywharf-Idempotent"


def call_onward(caller: Caller, gates: HostedGates, environ: Environ) -> CallReply:
    """Call a service within the request that a token identifies; raise `RequestError`."""
    headers = headers_of(environ)
    scope = gates.scope_by_token.get(headers.get(ONWARD_TOKEN_HEADER, ""))
    if scope is None:
        message = (
            f"header {ONWARD_TOKEN_HEADER} matches no request that a target of this VM is running; "
            "send back the value that came with the call"
        )
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    service, path = split_path(ONWARD_PREFIX, environ)
    idempotent_value = headers.get(IDEMPOTENT)
    reset_token = current_scope.set(scope)
    try:
        reply = caller.call(
            service,
            path,
            method=environ["REQUEST_METHOD"],
            body=body_of(environ),
            headers=without_internal_headers(headers),
            idempotent=None if idempotent_value is None else idempotent_value != "0",
        )
        return without_hop_answer(reply)
    finally:
        current_scope.reset(reset_token)
