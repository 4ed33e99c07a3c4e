"""Serve targets that can't embed a gate: the daemon runs their gates and forwards to them."""

from typing import Final

import urllib3

from daisywharf._call._connections import CONNECTIONS_PER_TARGET
from daisywharf._call._exchange import without_headers_of_one_hop
from daisywharf._call._gate import Gate
from daisywharf._call._transport import CONNECT_TIMEOUT_S
from daisywharf._call._wsgi import Environ, StartResponse, WsgiApp, body_of, headers_of, path_of
from daisywharf._ids import TargetId
from daisywharf._topology import Address, Target

FORWARD_TIMEOUT_S: Final = 60.0


class HostedGates:
    """Hold the gates that this daemon runs, by target."""

    def __init__(self) -> None:
        self.gate_by_id: dict[TargetId, Gate] = {}


def host_gate(gates: HostedGates, target: Target, *, local: Address) -> None:
    """Run a gate for a target that listens at a local address."""
    known = gates.gate_by_id.get(target.target_id)
    if known is not None and known.incarnation == target.incarnation:
        return
    gates.gate_by_id[target.target_id] = Gate(
        forward_to(local),
        target_id=target.target_id,
        incarnation=target.incarnation,
        slots=target.slots,
        service=target.service,
    )


def forward_to(address: Address) -> WsgiApp:
    """Return an application that passes each call to a target's own HTTP server."""
    pool = urllib3.HTTPConnectionPool(
        address.host, address.port, maxsize=CONNECTIONS_PER_TARGET, block=False, retries=False
    )

    def forward(environ: Environ, start_response: StartResponse) -> list[bytes]:
        response = pool.urlopen(
            environ["REQUEST_METHOD"],
            path_of(environ),
            body=body_of(environ),
            headers=without_headers_of_one_hop(headers_of(environ)),
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=FORWARD_TIMEOUT_S),
            redirect=False,
        )
        headers = without_headers_of_one_hop(dict(response.headers))
        start_response(f"{response.status} {response.reason or 'Answer'}", list(headers.items()))
        return [response.data]

    return forward
