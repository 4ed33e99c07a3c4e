"""Ask a daemon what operators want to know."""

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
    """Hold what a daemon knows of itself and of the contracts in force."""

    vm: VmId
    zone: ZoneName
    is_confirmed: bool = False
    in_force: tuple[ContractInForce, ...] = ()


class DaemonClient:
    """Reach one daemon's HTTP; each call takes at most `timeout_s` and raises `RequestError`."""

    def __init__(self, base_url: str, *, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def status(self, customer: CustomerId | None = None) -> DaemonView:
        """Read the daemon's status; a daemon counts zones for the customer that is asked for."""
        query = "" if customer is None else f"?customer={quote(customer, safe='')}"
        return _decode_answer(self._call("GET", f"/status{query}"), DaemonView)

    def targets(self) -> list[Target]:
        """Read the targets that the daemon knows."""
        return _decode_answer(self._call("GET", "/targets"), list[Target])

    def drain(self, target_id: TargetId) -> None:
        """Ask that a target receives no new work; repeating it changes nothing."""
        self._call("POST", f"/targets/{quote(target_id, safe='')}/drain")

    def order(self, key: str, customer: CustomerId) -> Any:
        """Read what is known of the order or booking that a customer's key names."""
        path = f"/orders/{quote(key, safe='')}?customer={quote(customer, safe='')}"
        return _decode_answer(self._call("GET", path), Any)

    def _call(self, method: str, path: str) -> bytes:
        url = self._base_url + path
        try:
            reply = self._pool.request(
                method, url, timeout=urllib3.Timeout(total=self._timeout_s), redirect=False
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            message = f"no daemon answers at {url}: {error}; name another with --daemon"
            raise RequestError(ErrorKind.CONNECT_FAILED, message) from error
        except HTTPError as error:
            message = f"{method} {url} got no whole answer: {error}; repeat it"
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
