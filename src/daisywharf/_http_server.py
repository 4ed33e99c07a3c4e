"""Serve a WSGI application over HTTP on a thread, with whole requests of bounded size."""

import threading

from cheroot import wsgi

from daisywharf._call._wsgi import WsgiApp
from daisywharf._limits import MAX_BODY_BYTES
from daisywharf._topology import Address

MAX_HEADERS_BYTES = 65_536
SHUTDOWN_TIMEOUT_S = 5
ACCEPT_BACKLOG_CONNECTIONS = 512


class HttpServer:
    """Hold a running server; `address` is the one that the kernel gave."""

    def __init__(self, app: WsgiApp, *, address: Address, threads: int) -> None:
        self._server = wsgi.Server(
            (address.host, address.port),
            app,
            numthreads=threads,
            request_queue_size=ACCEPT_BACKLOG_CONNECTIONS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADERS_BYTES
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = Address(host, port)
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Answer what has arrived, then close."""
        self._server.stop()
        self._thread.join(timeout=SHUTDOWN_TIMEOUT_S)
