"""A simulated network and event loop with a virtual clock, in which unmodified daemons run.

Each process has a host. Its callbacks run in a context that holds the process, so that it can be
suspended, killed or powered off while the others go on.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, Final

Factory = Callable[[], asyncio.Protocol]
Endpoint = tuple[str, int]

START_S: Final = 1_000.0
SYN_AGAIN_S: Final = 1.0  # a lost SYN is sent again after this time


class Process:
    """A process and its state; `deferred` holds callbacks that were due while it is suspended."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.is_suspended = False
        self.has_ended = False
        self.deferred: list[asyncio.Handle] = []
        self.context = copy_context()
        self.context.run(_process.set, self)


_process: ContextVar[Process | None] = ContextVar("process", default=None)


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop that doesn't wait: its clock jumps to the next callback that is due."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = START_S
        self.errors: list[dict[str, Any]] = []
        self.net = VirtualNet(self)
        self._selector = self
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock

    def select(self, timeout: float | None) -> list[Any]:
        """Advance the clock by the time for which the loop would wait."""
        if timeout is None:
            raise RuntimeError("deadlock: every process waits and no callback is scheduled")
        self.clock += timeout
        return []

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:
        """Run a callback soon, unless its process has ended or is suspended by then."""
        handle = super().call_soon(self._run_if_active, context=context)
        handle._args = (handle, callback, args)
        return handle

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, unless its process has ended or is suspended by then."""
        handle = super().call_at(when, self._run_if_active, context=context)
        handle._args = (handle, callback, args)
        return handle

    def _run_if_active(self, handle: asyncio.Handle, callback: Any, args: tuple[Any, ...]) -> None:
        process = _process.get()
        if process is None or not (process.has_ended or process.is_suspended):
            callback(*args)
        elif not process.has_ended:
            process.deferred.append(handle)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Collect errors of callbacks; the pending tasks of ended processes are no errors."""
        if context["message"] != "Task was destroyed but it is pending!":
            self.errors.append(context)

    def resume(self, process: Process) -> None:
        """Continue a suspended process: callbacks that became due run now."""
        process.is_suspended = False
        deferred, process.deferred = process.deferred, []
        self._ready.extend(deferred)

    async def create_connection(
        self, factory: Factory, host: str, port: int
    ) -> tuple["VirtualTransport", asyncio.Protocol]:
        """Connect to a listening process."""
        return await self.net.connect(factory, (host, port))

    async def create_server(
        self, factory: Factory, host: str, port: int, *, backlog: int = 100
    ) -> "Listener":
        """Listen at an address."""
        return self.net.listen(factory, (host, port))


class Listener:
    """A process that listens at an address, and its protocol factory."""

    def __init__(self, net: "VirtualNet", endpoint: Endpoint, factory: Factory) -> None:
        self.net = net
        self.endpoint = endpoint
        self.factory = factory
        self.process = _process.get()
        self.context = copy_context()

    def close(self) -> None:
        """Stop listening."""
        if self.net.listener_by_endpoint.get(self.endpoint) is self:
            del self.net.listener_by_endpoint[self.endpoint]


class VirtualTransport:
    """One end of a connection, with the methods of a transport that the daemons use."""

    def __init__(self, net: "VirtualNet", process: Process | None, context: Context) -> None:
        self.net = net
        self.process = process
        self.host = "" if process is None else process.host
        self.context = context
        self.remote: Endpoint = ("", 0)
        self.protocol: asyncio.Protocol | None = None
        self.peer: VirtualTransport | None = None
        self.is_closed = False
        self.is_silent = False
        self.arrives_at = 0.0
        self.in_transit: deque[Callable[[], None]] = deque()
        self.undelivered: list[Callable[[], None]] = []
        self.is_paused = False
        self.unread: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.is_closed:
            copied = bytes(data)
            self.net.transmit(self, lambda peer: peer.receive(copied))

    def close(self) -> None:
        """Close after what was written has been sent."""
        self._end(lambda peer: peer.receive_end())

    def abort(self) -> None:
        """Reset the connection."""
        self._end(lambda peer: peer.receive_reset())

    def _end(self, deliver: Callable[["VirtualTransport"], None]) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.net.transmit(self, deliver)
        self.net.loop.call_soon(self._lose, None, context=self.context)

    def _lose(self, error: Exception | None) -> None:
        protocol, self.protocol = self.protocol, None
        self.net.ends.pop(self, None)
        if protocol is not None:
            protocol.connection_lost(error)

    def receive(self, data: bytes) -> None:
        """Pass bytes to the protocol, or keep them while reading is paused."""
        if self.is_paused:
            self.unread.append(data)
        elif self.protocol is not None and not self.is_closed:
            self.protocol.data_received(data)

    def receive_end(self) -> None:
        """Handle the peer's closing."""
        if self.protocol is not None and not self.is_closed:
            self.protocol.eof_received()
            self.close()

    def receive_reset(self) -> None:
        """Handle the peer's reset."""
        if not self.is_closed:
            self.is_closed = True
            self._lose(ConnectionResetError("reset by the other end"))

    def pause_reading(self) -> None:
        """Stop passing on received bytes, and keep them."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Pass on the bytes that were kept."""
        self.is_paused = False
        unread, self.unread = self.unread, []
        for data in unread:
            self.net.loop.call_soon(self.receive, data, context=self.context)

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.is_closed

    def get_write_buffer_size(self) -> int:
        """Return 0, as the network accepts all bytes at once."""
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the peer's address for "peername"."""
        return self.remote if name == "peername" else default


class VirtualNet:
    """Listeners, connections, partitions between hosts, and hosts without power."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.delay_s: Callable[[str, str], float] = lambda _from, _to: 0.0005
        self.listener_by_endpoint: dict[Endpoint, Listener] = {}
        # A dict keeps the order in which they were opened; a set's order would differ between runs.
        self.ends: dict[VirtualTransport, None] = {}
        self.partitions: list[tuple[frozenset[str], frozenset[str]]] = []
        self.unpowered_hosts: set[str] = set()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two hosts are partitioned from each other at present."""
        return any(
            (one in a and other in b) or (one in b and other in a) for a, b in self.partitions
        )

    def listen(self, factory: Factory, endpoint: Endpoint) -> Listener:
        """Accept connections at an address."""
        listener = self.listener_by_endpoint[endpoint] = Listener(self, endpoint, factory)
        return listener

    async def connect(
        self, factory: Factory, endpoint: Endpoint
    ) -> tuple[VirtualTransport, asyncio.Protocol]:
        """Open a connection; wait indefinitely for a host that doesn't answer."""
        own = VirtualTransport(self, _process.get(), copy_context())
        while endpoint[0] in self.unpowered_hosts or self.is_cut(own.host, endpoint[0]):
            await asyncio.sleep(SYN_AGAIN_S)
        await asyncio.sleep(2 * self.delay_s(own.host, endpoint[0]))
        listener = self.listener_by_endpoint.get(endpoint)
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens at {endpoint}")
        other = VirtualTransport(self, listener.process, listener.context)
        own.peer, other.peer = other, own
        own.remote, other.remote = endpoint, (own.host, 0)
        own.protocol = factory()
        self.ends[own] = self.ends[other] = None
        self.loop.call_soon(_accept, other, listener.factory, context=other.context)
        own.protocol.connection_made(own)  # type: ignore[arg-type]
        return own, own.protocol

    def transmit(
        self, end: VirtualTransport, on_arrival: Callable[[VirtualTransport], None]
    ) -> None:
        """Call `on_arrival` with the peer after the network's delay, in the order of sending."""
        peer = end.peer
        if peer is None or end.is_silent:
            return
        arrives_at = self.loop.clock + self.delay_s(end.host, peer.host)
        end.arrives_at = max(end.arrives_at, arrives_at)

        def arrive() -> None:
            if (
                end.is_silent
                or peer.host in self.unpowered_hosts
                or end.host in self.unpowered_hosts
            ):
                return
            if self.is_cut(end.host, peer.host):
                end.undelivered.append(arrive)
                return
            self.loop.call_soon(on_arrival, peer, context=peer.context)

        # Each callback delivers the oldest packet, as the loop may swap two that are due at once.
        end.in_transit.append(arrive)
        self.loop.call_at(end.arrives_at, _deliver_oldest, end, context=Context())

    def heal(self) -> None:
        """End all partitions; packets that were held back arrive."""
        self.partitions.clear()
        for end in self.ends:
            undelivered, end.undelivered = end.undelivered, []
            for arrive in undelivered:
                self.loop.call_soon(arrive, context=Context())

    def silence(self, is_affected: Callable[[str, str], bool]) -> None:
        """Silently drop all further packets on the open connections for which `is_affected`.

        `is_affected` gets the hosts of both ends.
        """
        for end in self.ends:
            if end.peer is not None and is_affected(end.host, end.peer.host):
                end.is_silent = end.peer.is_silent = True

    def kill(self, process: Process) -> None:
        """Kill a process: its host resets its connections and refuses new ones."""
        for end in [end for end in self.ends if end.process is process]:
            end.abort()
        self._end(process)

    def power_off(self, process: Process) -> None:
        """Cut the power of a process's host: it no longer answers anything."""
        self.unpowered_hosts.add(process.host)
        for end in [end for end in self.ends if end.process is process]:
            end.is_silent = True
            del self.ends[end]
        self._end(process)

    def _end(self, process: Process) -> None:
        process.has_ended = True
        for endpoint, listener in list(self.listener_by_endpoint.items()):
            if listener.process is process:
                del self.listener_by_endpoint[endpoint]


def _deliver_oldest(end: VirtualTransport) -> None:
    deliver = end.in_transit.popleft()
    deliver()


def _accept(end: VirtualTransport, factory: Factory) -> None:
    end.protocol = factory()
    end.protocol.connection_made(end)  # type: ignore[arg-type]


def start_in(process: Process, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
    """Run a coroutine, and all tasks and callbacks that it starts, in a process."""
    return asyncio.get_running_loop().create_task(coroutine, context=process.context)


def in_virtual_time(scenario: Callable[[VirtualNet], Awaitable[None]]) -> None:
    """Run a scenario on a virtual loop of its own; fail if any callback raised an error."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(scenario(loop.net))
    finally:
        # Tasks of processes that have ended, or that still run, never finish.
        for task in asyncio.all_tasks(loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        loop.close()
    assert loop.errors == []
