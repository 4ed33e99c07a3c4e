"""Build platforms and their objects for tests."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from daisywharf._ids import EditId
from daisywharf._objects._http_client import HttpPlatform
from daisywharf._objects._interface import ObjectKind, Platform, PlatformObject
from daisywharf._objects._standin import Standin

TIMEOUT_S = 5.0


@contextmanager
def running_standin() -> Iterator[Standin]:
    standin = Standin()
    standin.start()
    try:
        yield standin
    finally:
        standin.stop()


def client_of(standin: Standin) -> HttpPlatform:
    return HttpPlatform(standin.base_url)


def create_object(
    platform: Platform, name: str = "a", body: bytes = b"{}", edit: str = "e-1"
) -> PlatformObject:
    return platform.create(
        ObjectKind.CONTRACT, name, body, edit_id=EditId(edit), timeout_s=TIMEOUT_S
    )


def answer_once(listener: socket.socket, answer: bytes) -> None:
    """Accept one connection in a thread, read part of a request and send these bytes."""

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(answer)

    threading.Thread(target=serve, daemon=True).start()
