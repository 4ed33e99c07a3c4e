"""A relay on loopback whose open connections can fall silent while new ones work."""

import socket
import threading
from enum import Enum

from daisywharf._topology import Address

CHUNK_BYTES = 65_536


class Way(Enum):
    """Name a direction of a connection."""

    ASKING = "asking"
    ANSWERING = "answering"


class Relay:
    """Relay connections; the next one swallows the way that `silent_next` names, if any."""

    def __init__(self, to: Address) -> None:
        self.to = to
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self.connections = 0
        self.silent_next: Way | None = None
        self._silent_below = {Way.ASKING: 0, Way.ANSWERING: 0}
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, *ways: Way) -> None:
        """Swallow these ways of the connections that are open now; new ones work."""
        for way in ways:
            self._silent_below[way] = self.connections

    def close(self) -> None:
        """Take no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            silent, self.silent_next = self.silent_next, None
            far = socket.create_connection((self.to.host, self.to.port))
            number = self.connections
            self._pump(near, far, number, Way.ASKING, is_silent=silent is Way.ASKING)
            self._pump(far, near, number, Way.ANSWERING, is_silent=silent is Way.ANSWERING)

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        number: int,
        way: Way,
        *,
        is_silent: bool,
    ) -> None:
        def run() -> None:
            try:
                while data := source.recv(CHUNK_BYTES):
                    if not (is_silent or number <= self._silent_below[way]):
                        sink.sendall(data)
                sink.shutdown(socket.SHUT_WR)
            except OSError:
                return

        threading.Thread(target=run, daemon=True).start()
