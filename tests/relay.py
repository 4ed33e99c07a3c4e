"""A TCP relay that can drop data silently, like a middlebox that lost its connection state."""

import socket
import threading


class Relay:
    """Relay connections to an address; those opened before `silence` go silent permanently."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.connections = 0
        self._silent_count = 0
        self._drops_answers_only = False
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self, *, answers_only: bool = False) -> None:
        """Drop data on the connections open now, or only the answers; new ones work."""
        self._drops_answers_only = answers_only
        self._silent_count = self.connections

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(self._target)
            number = self.connections
            self.connections += 1
            for source, sink, is_answer in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self._forward, args=(source, sink, number, is_answer), daemon=True
                ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, number: int, is_answer: bool
    ) -> None:
        try:
            while data := source.recv(65_536):
                is_silent = number < self._silent_count
                if is_silent and (is_answer or not self._drops_answers_only):
                    continue
                sink.sendall(data)
        except OSError:
            pass
        if number >= self._silent_count:
            sink.close()
