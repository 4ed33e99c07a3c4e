"""Send a call to a gate over HTTP and tell how it ended."""

import threading
from typing import Final

import urllib3
from urllib3 import exceptions

from daisywharf._call._exchange import CallReply, CallRequest, without_headers_of_one_hop
from daisywharf._call._hop import (
    HOP,
    HOP_ANSWER,
    MS_PER_S,
    Hop,
    answer_from_header,
    to_header,
)
from daisywharf._context import ERROR_KIND
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._outcomes._link import SILENCE_LIMIT_S
from daisywharf._topology import Address, Target

RESOLVE_PATH: Final = "/.daisywharf/resolve"
LOOK_UP_PATH: Final = "/.daisywharf/order"
CONNECT_TIMEOUT_S: Final = 0.5
CONNECTIONS_PER_TARGET: Final = 64


class Connections:
    """Hold the pools of connections to gates."""

    def __init__(self) -> None:
        self.pool_by_address: dict[Address, urllib3.HTTPConnectionPool] = {}
        self.lock = threading.Lock()

    def pool(self, address: Address) -> urllib3.HTTPConnectionPool:
        """Return the pool for an address, opened on first use."""
        pool = self.pool_by_address.get(address)
        if pool is not None:
            return pool
        with self.lock:
            return self.pool_by_address.setdefault(address, _new_pool(address))

    def drop(self, address: Address) -> None:
        """Close an address's idle connections, which may be silent too."""
        with self.lock:
            pool = self.pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all connections."""
        for pool in list(self.pool_by_address.values()):
            pool.close()


def _new_pool(address: Address) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(
        address.host, address.port, maxsize=CONNECTIONS_PER_TARGET, block=False, retries=False
    )


def send_call(
    connections: Connections, target: Target, request: CallRequest, hop: Hop
) -> CallReply:
    """Send an attempt and return its whole answer, with the gate's part of it.

    Raise `RequestError`: connect failed (not run), timed out, cut answer, outcome unknown.
    """
    headers = without_headers_of_one_hop(request.headers)
    headers[HOP] = to_header(hop)
    reply = _exchange(connections, target, request, headers, _read_limit_s(hop))
    _check_identity(reply, target, hop)
    return reply


def _read_limit_s(hop: Hop) -> float:
    time_left_s = max(hop.time_left_ms / MS_PER_S, 0.001)
    # An order that is slow is asked for over another connection, which tells it from a lost one.
    return time_left_s if hop.ticket is None else min(time_left_s, SILENCE_LIMIT_S)


def _exchange(
    connections: Connections,
    target: Target,
    request: CallRequest,
    headers: dict[str, str],
    read_limit_s: float,
) -> CallReply:
    timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, read_limit_s), read=read_limit_s)
    try:
        response = connections.pool(target.address).urlopen(
            request.method,
            target.path_prefix + request.path,
            body=request.body,
            headers=headers,
            timeout=timeout,
            redirect=False,
            assert_same_host=False,
        )
    except (exceptions.NewConnectionError, exceptions.ConnectTimeoutError) as error:
        raise RequestError(ErrorKind.CONNECT_FAILED, _told(target, error)) from error
    except exceptions.ClosedPoolError as error:
        raise RequestError(ErrorKind.CONNECT_FAILED, _told(target, error)) from error
    except exceptions.ReadTimeoutError as error:
        connections.drop(target.address)
        raise RequestError(ErrorKind.TIMED_OUT, _told(target, error)) from error
    except (exceptions.IncompleteRead, exceptions.DecodeError) as error:
        raise RequestError(ErrorKind.CUT_ANSWER, _told(target, error)) from error
    except exceptions.ProtocolError as error:
        kind = ErrorKind.CUT_ANSWER if _is_cut(error) else ErrorKind.OUTCOME_UNKNOWN
        raise RequestError(kind, _told(target, error)) from error
    except exceptions.HTTPError as error:
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, _told(target, error)) from error
    return CallReply(response.status, dict(response.headers), response.data)


def _is_cut(error: exceptions.ProtocolError) -> bool:
    return any(isinstance(cause, exceptions.IncompleteRead) for cause in error.args)


def _told(target: Target, error: Exception) -> str:
    return f"call to {target.target_id} at {target.address} failed: {error}"


def _check_identity(reply: CallReply, target: Target, hop: Hop) -> None:
    try:
        answer = answer_from_header(reply.headers.get(HOP_ANSWER))
    except RequestError as error:
        message = f"{target.target_id} gave status {reply.status} and no whole answer: {error}"
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, message) from error
    is_successor = reply.headers.get(ERROR_KIND) == ErrorKind.WRONG_INCARNATION.value
    incarnation = hop.incarnation if is_successor else answer.incarnation
    if (answer.call_id, incarnation) == (hop.call_id, hop.incarnation):
        return
    message = (
        f"{target.target_id} answered call {answer.call_id!r} of incarnation "
        f"{answer.incarnation}, not {hop.call_id!r} of {hop.incarnation}; the answer is dropped"
    )
    raise RequestError(ErrorKind.OUTCOME_UNKNOWN, message)
