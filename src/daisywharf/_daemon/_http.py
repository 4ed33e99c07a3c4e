"""The daemon's HTTP application: routes by method and path, and the gates it runs."""

from collections.abc import Callable
from typing import Final

import msgspec

from daisywharf._call._exchange import CallReply, reply_for
from daisywharf._call._wsgi import Environ, StartResponse, WsgiApp, send_reply
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import TargetId

GATE_PREFIX: Final = "/gate/"

Route = Callable[[Environ], CallReply]
FindGate = Callable[[TargetId], WsgiApp | None]


class Routes:
    """Hold the handlers by method and path, such as `GET /status`, and by path prefix."""

    def __init__(self, *, find_gate: FindGate) -> None:
        self.find_gate = find_gate
        self.route_by_path: dict[str, Route] = {}
        self.route_by_prefix: dict[str, Route] = {}


def json_reply(value: object, *, status: int = 200) -> CallReply:
    """Return a value encoded as a JSON answer."""
    body = msgspec.json.encode(value) + b"\n"
    return CallReply(status, {"Content-Type": "application/json"}, body)


def http_app(routes: Routes) -> WsgiApp:
    """Return the daemon's WSGI application."""

    def app(environ: Environ, start_response: StartResponse) -> list[bytes]:
        path = environ.get("PATH_INFO", "/")
        if path.startswith(GATE_PREFIX):
            return list(_call_gate(routes, environ, start_response, path))
        try:
            reply = _find_route(routes, environ["REQUEST_METHOD"], path)(environ)
        except RequestError as error:
            reply = reply_for(error)
        return send_reply(reply, start_response)

    return app


def _find_route(routes: Routes, method: str, path: str) -> Route:
    route = routes.route_by_path.get(f"{method} {path}")
    if route is not None:
        return route
    for prefix, handler in routes.route_by_prefix.items():
        if path.startswith(prefix):
            return handler
    known = ", ".join([*routes.route_by_path, *routes.route_by_prefix])
    raise RequestError(ErrorKind.BAD_REQUEST, f"no route for {method} {path}; use one of {known}")


def _call_gate(
    routes: Routes, environ: Environ, start_response: StartResponse, path: str
) -> list[bytes]:
    target_id, _, path_at_target = path.removeprefix(GATE_PREFIX).partition("/")
    gate = routes.find_gate(TargetId(target_id))
    if gate is None:
        message = f"no gate of target {target_id!r} is here; look the target up again"
        error = RequestError(ErrorKind.WRONG_INCARNATION, message)
        return send_reply(reply_for(error), start_response)
    environ["PATH_INFO"] = f"/{path_at_target}"
    return list(gate(environ, start_response))
