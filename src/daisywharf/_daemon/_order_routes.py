"""The routes that mint idempotency keys and look up orders."""

from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs

from daisywharf._call._exchange import CallReply
from daisywharf._call._wsgi import Environ, headers_of
from daisywharf._context import CALL_CLASS, CUSTOMER
from daisywharf._daemon._http import Routes, json_reply
from daisywharf._daemon._orders import look_up_order, mint_key_for
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CallClassName, CustomerId, IdempotencyKey, ServiceName

if TYPE_CHECKING:
    from daisywharf._daemon._daemon import Daemon

KEYS_PREFIX: Final = "/keys/"
ORDERS_PREFIX: Final = "/orders/"


def add_order_routes(daemon: "Daemon", routes: Routes) -> None:
    """Add `POST /keys/SERVICE` and `GET /orders/KEY?customer=NAME`."""
    routes.route_by_prefix[KEYS_PREFIX] = lambda environ: _mint_key(daemon, environ)
    routes.route_by_prefix[ORDERS_PREFIX] = lambda environ: _look_up_order(daemon, environ)


def _mint_key(daemon: "Daemon", environ: Environ) -> CallReply:
    headers = headers_of(environ)
    minted = mint_key_for(
        daemon.caller,
        CustomerId(headers.get(CUSTOMER, "")),
        CallClassName(headers.get(CALL_CLASS, "")),
        ServiceName(environ["PATH_INFO"].removeprefix(KEYS_PREFIX)),
    )
    return json_reply(minted)


def _look_up_order(daemon: "Daemon", environ: Environ) -> CallReply:
    customer = parse_qs(environ.get("QUERY_STRING", "")).get("customer")
    if not customer:
        message = "the query has no customer; request /orders/KEY?customer=NAME"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    report = look_up_order(
        daemon.holder.current,
        daemon.platform,
        daemon.caller.secrets,
        CustomerId(customer[0]),
        IdempotencyKey(environ["PATH_INFO"].removeprefix(ORDERS_PREFIX)),
    )
    return json_reply(report)
