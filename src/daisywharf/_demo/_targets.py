"""The application of a stand-in target: it sleeps, then calls the next services."""

import time
from collections.abc import Callable, Sequence

import msgspec

from daisywharf._call._caller import Caller
from daisywharf._call._wsgi import Environ, StartResponse, WsgiApp


class StandInAnswer(msgspec.Struct, frozen=True):
    """Name the service that answered, its runs so far, and the services called below it."""

    service: str
    ran: int
    below: tuple[str, ...] = ()


def stand_in_app(
    service: str,
    *,
    work_s: float,
    next_services: Sequence[str] = (),
    caller: Callable[[], Caller] | None = None,
) -> WsgiApp:
    """Return an application that sleeps for `work_s`, calls `next_services`, and names them all."""
    runs = 0

    def app(environ: Environ, start_response: StartResponse) -> list[bytes]:
        nonlocal runs
        runs += 1
        time.sleep(work_s)
        below: list[str] = []
        for name in next_services:
            assert caller is not None
            reply = caller().call(name, environ.get("PATH_INFO", "/"), idempotent=True)
            answer = msgspec.json.decode(reply.body, type=StandInAnswer)
            below.extend((answer.service, *answer.below))
        start_response("200 OK", [("Content-Type", "application/json")])
        return [msgspec.json.encode(StandInAnswer(service, runs, tuple(below)))]

    return app
