"""Helpers for tests of commands: a fake daemon's HTTP API, and running a command."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from daisywharf._cli import operators
from daisywharf._http_server import HttpServer
from daisywharf._topology import Address


class FakeDaemon:
    """Answer with fixed JSON by method and path, and record the requests."""

    def __init__(self, answer_by_path: dict[str, Any]) -> None:
        self.answer_by_path = answer_by_path
        self.requests: list[str] = []

    def __call__(self, environ: Any, start_response: Any) -> list[bytes]:
        request = f"{environ['REQUEST_METHOD']} {environ['REQUEST_URI']}"
        self.requests.append(request)
        if request not in self.answer_by_path:
            start_response("503 No", [("Daisywharf-Error", "no-target")])
            return [b'{"message": "nothing is known of it"}']
        start_response("200 OK", [("Content-Type", "application/json")])
        answer = self.answer_by_path[request]
        return [answer if isinstance(answer, bytes) else msgspec.json.encode(answer)]


@contextmanager
def running_daemon(answer_by_path: dict[str, Any]) -> Iterator[tuple[FakeDaemon, str]]:
    fake = FakeDaemon(answer_by_path)
    server = HttpServer(fake, address=Address("127.0.0.1", 0), threads=2)
    server.start()
    try:
        yield fake, f"http://{server.address}"
    finally:
        server.stop()


def run_command(*arguments: str) -> int:
    return operators.main(list(arguments))


def status_answer(version: int, *zones: tuple[str, int, int, bool]) -> dict[str, Any]:
    return {
        "vm": "vm-1",
        "zone": "perth-1",
        "is_confirmed": True,
        "incarnation": 7,
        "in_force": [
            {
                "customer": "counter-staff",
                "version": version,
                "zones": [
                    {
                        "zone": zone,
                        "daemons": daemons,
                        "confirmed": confirmed,
                        "is_reachable": is_reachable,
                    }
                    for zone, daemons, confirmed, is_reachable in zones
                ],
            }
        ],
    }
