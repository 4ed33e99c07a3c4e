"""Run gates for targets that can't embed one, and forward admitted calls to the targets."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from secrets import token_hex
from typing import Final

import urllib3
from urllib3 import exceptions

from daisywharf._call._connections import CONNECTIONS_PER_TARGET
from daisywharf._call._exchange import (
    CallReply,
    joined_headers,
    reply_for,
    without_hop_by_hop_headers,
)
from daisywharf._call._gate import Gate, TargetNotReachedError
from daisywharf._call._scope import Scope, current_scope
from daisywharf._call._transport import CONNECT_TIMEOUT_S
from daisywharf._call._wsgi import (
    Environ,
    StartResponse,
    WsgiApp,
    body_of,
    headers_of,
    path_of,
    send_reply,
)
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import TargetId
from daisywharf._topology import Address, Target

ONWARD_TOKEN_HEADER: Final = "Daisywharf-Onward"
TIME_LEFT_MS_HEADER: Final = "Daisywharf-Time-Left-Ms"
MS_PER_S: Final = 1_000.0
MIN_TIMEOUT_S: Final = 0.001


class HostedGates:
    """Hold the gates that this daemon runs, and the scopes of the calls that they forwarded.

    The token of a scope is sent with the call; the target sends it back with its own calls.
    """

    def __init__(self) -> None:
        self.gate_by_id: dict[TargetId, Gate] = {}
        self.scope_by_token: dict[str, Scope] = {}


def host_gate(gates: HostedGates, target: Target, *, local_address: Address) -> None:
    """Create the gate of a target at a local address, unless its incarnation already has one."""
    existing = gates.gate_by_id.get(target.target_id)
    if existing is not None and existing.incarnation == target.incarnation:
        return
    gates.gate_by_id[target.target_id] = Gate(
        forward_to(local_address, gates),
        target_id=target.target_id,
        incarnation=target.incarnation,
        slots=target.slots,
        service=target.service,
    )


def forward_to(address: Address, gates: HostedGates) -> WsgiApp:
    """Return a WSGI application that forwards each call to a target's HTTP server."""
    pool = urllib3.HTTPConnectionPool(
        address.host, address.port, maxsize=CONNECTIONS_PER_TARGET, block=False, retries=False
    )

    def forward(environ: Environ, start_response: StartResponse) -> list[bytes]:
        scope = current_scope.get()
        assert scope is not None
        with _onward_token(gates, scope) as token:
            reply = _exchange(pool, environ, scope, token)
        return send_reply(reply, start_response)

    return forward


@contextmanager
def _onward_token(gates: HostedGates, scope: Scope) -> Iterator[str]:
    # The token lets the target's own calls join the request until the target has answered it.
    token = token_hex(16)
    gates.scope_by_token[token] = scope
    try:
        yield token
    finally:
        del gates.scope_by_token[token]


def _exchange(
    pool: urllib3.HTTPConnectionPool, environ: Environ, scope: Scope, token: str
) -> CallReply:
    time_left_s = max(scope.context.deadline - time.monotonic(), MIN_TIMEOUT_S)
    headers = without_hop_by_hop_headers(headers_of(environ))
    headers[ONWARD_TOKEN_HEADER] = token
    headers[TIME_LEFT_MS_HEADER] = f"{time_left_s * MS_PER_S:.0f}"
    try:
        response = pool.urlopen(
            environ["REQUEST_METHOD"],
            path_of(environ),
            body=body_of(environ),
            headers=headers,
            timeout=urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, time_left_s), read=time_left_s),
            redirect=False,
            decode_content=False,
        )
    except (exceptions.NewConnectionError, exceptions.ConnectTimeoutError) as error:
        message = f"the target does not accept connections: {error}"
        raise TargetNotReachedError(ErrorKind.CONNECT_FAILED, message) from error
    except exceptions.HTTPError as error:
        message = f"the target did not answer completely: {error}"
        return reply_for(RequestError(ErrorKind.OUTCOME_UNKNOWN, message))
    reply_headers = without_hop_by_hop_headers(joined_headers(response.headers.iteritems()))
    return CallReply(response.status, reply_headers, response.data)
