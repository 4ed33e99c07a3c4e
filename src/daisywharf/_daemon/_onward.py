"""Let a target that can't embed a caller's side call on within the request it works on."""

from typing import Final

from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallReply
from daisywharf._call._scope import current_scope
from daisywharf._call._wsgi import Environ, body_of, headers_of
from daisywharf._daemon._entry import outside_headers, outside_reply, path_after
from daisywharf._daemon._forwarding import ONWARD_TOKEN, HostedGates
from daisywharf._errors import ErrorKind, RequestError

ONWARD_PREFIX: Final = "/onward/"
IDEMPOTENT: Final = "Daisywharf-Idempotent"


def call_onward(caller: Caller, gates: HostedGates, environ: Environ) -> CallReply:
    """Make a call below the request that a token names; raise `RequestError`."""
    headers = headers_of(environ)
    scope = gates.scope_by_token.get(headers.get(ONWARD_TOKEN, ""))
    if scope is None:
        message = (
            f"header {ONWARD_TOKEN} names no request that a target of this VM works on; "
            "send back the value that came with the call"
        )
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    service, path = path_after(ONWARD_PREFIX, environ)
    stated = headers.get(IDEMPOTENT)
    token = current_scope.set(scope)
    try:
        reply = caller.call(
            service,
            path,
            method=environ["REQUEST_METHOD"],
            body=body_of(environ),
            headers=outside_headers(headers),
            idempotent=None if stated is None else stated != "0",
        )
        return outside_reply(reply)
    finally:
        current_scope.reset(token)
