"""A threaded HTTP server for a WSGI application, with bounded header and body sizes."""

import threading

from cheroot import wsgi

from daisywharf._call._wsgi import WsgiApp
from daisywharf._limits import MAX_BODY_BYTES
from daisywharf._topology import Address

MAX_HEADERS_BYTES = 65_536
SHUTDOWN_TIMEOUT_S = 5
ACCEPT_BACKLOG_CONNECTIONS = 512


class HttpServer:
    """Serve an application; `address` is the bound address, with the port that the kernel chose."""

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
        """Start serving on a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Answer the requests that have arrived, then close."""
        self._server.stop()
        self._thread.join(timeout=SHUTDOWN_TIMEOUT_S)
