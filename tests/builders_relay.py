"""A loopback relay whose open connections can go silent while new ones work."""

import socket
import threading
from enum import Enum

from daisywharf._topology import Address

CHUNK_BYTES = 65_536


class Direction(Enum):
    """Name a direction of a connection."""

    ASKING = "asking"
    ANSWERING = "answering"


class Relay:
    """Relay connections; the next one drops all data in `next_silent_direction`, if set."""

    def __init__(self, to: Address) -> None:
        self.to = to
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self.connections = 0
        self.next_silent_direction: Direction | None = None
        self._silent_count_by_direction = {Direction.ASKING: 0, Direction.ANSWERING: 0}
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, *directions: Direction) -> None:
        """Drop data in these directions on the connections open now; new ones work."""
        for direction in directions:
            self._silent_count_by_direction[direction] = self.connections

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            silent, self.next_silent_direction = self.next_silent_direction, None
            far = socket.create_connection((self.to.host, self.to.port))
            number = self.connections
            self._pump(near, far, number, Direction.ASKING, is_silent=silent is Direction.ASKING)
            self._pump(
                far, near, number, Direction.ANSWERING, is_silent=silent is Direction.ANSWERING
            )

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        number: int,
        direction: Direction,
        *,
        is_silent: bool,
    ) -> None:
        def run() -> None:
            try:
                while data := source.recv(CHUNK_BYTES):
                    if not (is_silent or number <= self._silent_count_by_direction[direction]):
                        sink.sendall(data)
                sink.shutdown(socket.SHUT_WR)
            except OSError:
                return

        threading.Thread(target=run, daemon=True).start()
