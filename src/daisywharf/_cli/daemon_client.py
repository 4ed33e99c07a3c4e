"""A client of a daemon's HTTP API, for the operators' commands."""

from typing import Any, Final, TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from daisywharf._daemon._in_force import ContractInForce
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CustomerId, TargetId, VmId, ZoneName
from daisywharf._topology import Target

MAX_MESSAGE_CHARS: Final = 400

AnswerT = TypeVar("AnswerT")


class DaemonView(msgspec.Struct, frozen=True):
    """Hold the fields of a daemon's status that the commands use.

    `is_confirmed` means that the daemon's copy of the contracts is known to be current.
    """

    vm: VmId
    zone: ZoneName
    is_confirmed: bool = False
    in_force: tuple[ContractInForce, ...] = ()


class DaemonClient:
    """Call one daemon; each call takes at most `timeout_s` and raises `RequestError`."""

    def __init__(self, base_url: str, *, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def status(self, customer: CustomerId | None = None) -> DaemonView:
        """Read the daemon's status, with a count by zone for the given customer."""
        query = "" if customer is None else f"?customer={quote(customer, safe='')}"
        return _decode_answer(self._call("GET", f"/status{query}"), DaemonView)

    def targets(self) -> list[Target]:
        """Read the targets that the daemon knows."""
        return _decode_answer(self._call("GET", "/targets"), list[Target])

    def drain(self, target_id: TargetId) -> None:
        """Drain a target, which then receives no new work; idempotent."""
        self._call("POST", f"/targets/{quote(target_id, safe='')}/drain")

    def order(self, key: str, customer: CustomerId) -> Any:
        """Read the state of the order or booking with a customer's idempotency key."""
        path = f"/orders/{quote(key, safe='')}?customer={quote(customer, safe='')}"
        return _decode_answer(self._call("GET", path), Any)

    def _call(self, method: str, path: str) -> bytes:
        url = self._base_url + path
        try:
            reply = self._pool.request(
                method, url, timeout=urllib3.Timeout(total=self._timeout_s), redirect=False
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            message = f"no daemon answers at {url}: {error}; set another with --daemon"
            raise RequestError(ErrorKind.CONNECT_FAILED, message) from error
        except HTTPError as error:
            message = f"{method} {url} got no complete answer: {error}; run it again"
            raise RequestError(ErrorKind.CUT_ANSWER, message) from error
        if reply.status == 200:
            return reply.data
        raise _error_from_reply(method, url, reply)


def _error_from_reply(method: str, url: str, reply: urllib3.BaseHTTPResponse) -> RequestError:
    kind_name = reply.headers.get("Daisywharf-Error", "")
    kind_by_name = {kind.value: kind for kind in ErrorKind}
    text = reply.data.decode(errors="replace").strip()[:MAX_MESSAGE_CHARS]
    kind = kind_by_name.get(kind_name, ErrorKind.INTERNAL)
    return RequestError(kind, f"{method} {url}: status {reply.status}: {text}")


def _decode_answer(content: bytes, answer_type: type[AnswerT] | Any) -> AnswerT:
    try:
        answer: AnswerT = msgspec.json.decode(content, type=answer_type)
    except (msgspec.DecodeError, ValueError) as error:
        message = f"the daemon's answer can't be read: {error}; is it of this release?"
        raise RequestError(ErrorKind.INTERNAL, message) from error
    return answer
