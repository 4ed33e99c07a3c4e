"""The connections to gates, each of which can be aborted while a call waits on it."""

import socket
import threading
from contextlib import suppress
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection

from daisywharf._topology import Address

CONNECTIONS_PER_TARGET: Final = 64


class _ThreadConnection(threading.local):
    current: "GateConnection | None" = None


_thread_connection = _ThreadConnection()


class GateConnection(HTTPConnection):
    """Record, per thread, the connection to which its call was written."""

    def request(self, *arguments: Any, **options: Any) -> None:
        """Record this connection as the thread's and write a request, as the base class does."""
        _thread_connection.current = self
        super().request(*arguments, **options)


class GatePool(urllib3.HTTPConnectionPool):
    """Hold the idle connections to one gate."""

    ConnectionCls = GateConnection


class CallConnection:
    """Refer to the creating thread's connection, so that another thread can abort it."""

    def __init__(self) -> None:
        self._locals = _thread_connection.__dict__
        self._locals["current"] = None

    def abort(self) -> None:
        """Shut down the connection of a waiting call, which then reports it as broken."""
        connection = self._locals.get("current")
        sock = getattr(connection, "sock", None)
        if sock is not None:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Connections:
    """Hold the pools of connections to gates."""

    def __init__(self) -> None:
        self.pool_by_address: dict[Address, GatePool] = {}
        self.lock = threading.Lock()

    def pool(self, address: Address) -> GatePool:
        """Return the pool for an address, opened on first use."""
        pool = self.pool_by_address.get(address)
        if pool is not None:
            return pool
        with self.lock:
            return self.pool_by_address.setdefault(address, _new_pool(address))

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address, since they may be silent too."""
        with self.lock:
            pool = self.pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all connections."""
        for address in list(self.pool_by_address):
            self.close_idle(address)


def _new_pool(address: Address) -> GatePool:
    return GatePool(
        address.host, address.port, maxsize=CONNECTIONS_PER_TARGET, block=False, retries=False
    )
