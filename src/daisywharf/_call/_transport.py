"""Send a call to a gate over HTTP and report how it ended."""

from typing import Final

import urllib3
from urllib3 import exceptions

from daisywharf._call._connections import Connections
from daisywharf._call._exchange import (
    CallReply,
    CallRequest,
    joined_headers,
    without_hop_by_hop_headers,
)
from daisywharf._call._hop import (
    HOP,
    HOP_ANSWER,
    MS_PER_S,
    Hop,
    answer_from_header,
    to_header,
)
from daisywharf._call._silence import SilenceWatch
from daisywharf._context import ERROR_KIND
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._outcomes._link import SILENCE_LIMIT_S
from daisywharf._topology import Target

RESOLVE_PATH: Final = "/.daisywharf/resolve"
LOOK_UP_PATH: Final = "/.daisywharf/order"
CONNECT_TIMEOUT_S: Final = 0.5
MIN_TIMEOUT_S: Final = 0.001


def send_call(
    connections: Connections,
    target: Target,
    request: CallRequest,
    hop: Hop,
    *,
    read_limit_s: float = float("inf"),
) -> CallReply:
    """Send an attempt and return its complete answer, including the gate's `HopAnswer` header.

    Wait for the answer until the deadline, but at most `read_limit_s` seconds. Raise
    `RequestError`: connect failed (not run), timed out, cut answer, outcome unknown.
    """
    headers = without_hop_by_hop_headers(request.headers)
    headers[HOP] = to_header(hop)
    time_left_s = max(hop.time_left_ms / MS_PER_S, MIN_TIMEOUT_S)
    limit_s = min(time_left_s, read_limit_s)
    reply = _exchange(connections, target, request, headers, limit_s)
    _check_identity(reply, target, hop)
    return reply


def send_watched(watch: SilenceWatch, target: Target, request: CallRequest, hop: Hop) -> CallReply:
    """Send an attempt and abort its connection if that goes silent; see `send_call`."""
    with watch.watched(hop.call_id, target):
        return send_call(watch.connections, target, request, hop)


def send_on_new_connection(target: Target, request: CallRequest, hop: Hop) -> CallReply:
    """Send an attempt over a new connection; see `send_call`.

    Wait for the answer at most `SILENCE_LIMIT_S`, since nothing watches this connection.
    """
    connections = Connections()
    try:
        return send_call(connections, target, request, hop, read_limit_s=SILENCE_LIMIT_S)
    finally:
        connections.close()


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
            # The answer is passed on unchanged, with its original encoding and length.
            decode_content=False,
        )
    except (exceptions.NewConnectionError, exceptions.ConnectTimeoutError) as error:
        raise RequestError(ErrorKind.CONNECT_FAILED, _failure_message(target, error)) from error
    except exceptions.ClosedPoolError as error:
        raise RequestError(ErrorKind.CONNECT_FAILED, _failure_message(target, error)) from error
    except exceptions.ReadTimeoutError as error:
        connections.close_idle(target.address)
        raise RequestError(ErrorKind.TIMED_OUT, _failure_message(target, error)) from error
    except (exceptions.IncompleteRead, exceptions.DecodeError) as error:
        raise RequestError(ErrorKind.CUT_ANSWER, _failure_message(target, error)) from error
    except exceptions.ProtocolError as error:
        kind = ErrorKind.CUT_ANSWER if _is_truncated(error) else ErrorKind.OUTCOME_UNKNOWN
        raise RequestError(kind, _failure_message(target, error)) from error
    except exceptions.HTTPError as error:
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, _failure_message(target, error)) from error
    reply_headers = without_hop_by_hop_headers(joined_headers(response.headers.iteritems()))
    return CallReply(response.status, reply_headers, response.data)


def _is_truncated(error: exceptions.ProtocolError) -> bool:
    return any(isinstance(cause, exceptions.IncompleteRead) for cause in error.args)


def _failure_message(target: Target, error: Exception) -> str:
    return f"call to {target.target_id} at {target.address} failed: {error}"


def _check_identity(reply: CallReply, target: Target, hop: Hop) -> None:
    try:
        answer = answer_from_header(reply.headers.get(HOP_ANSWER))
    except RequestError as error:
        message = f"{target.target_id} gave status {reply.status} without a valid answer: {error}"
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, message) from error
    # A newer process at the target's address refuses the call and states its own incarnation.
    is_successor = reply.headers.get(ERROR_KIND) == ErrorKind.WRONG_INCARNATION.value
    incarnation = hop.incarnation if is_successor else answer.incarnation
    if (answer.call_id, incarnation) == (hop.call_id, hop.incarnation):
        return
    message = (
        f"{target.target_id} answered call {answer.call_id!r} of incarnation "
        f"{answer.incarnation}, not {hop.call_id!r} of {hop.incarnation}; the answer is discarded"
    )
    raise RequestError(ErrorKind.OUTCOME_UNKNOWN, message)
