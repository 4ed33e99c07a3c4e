"""The links of a process to its peers: websockets that carry CBOR frames."""

import asyncio
import secrets
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from daisywharf._codec import decode, encode
from daisywharf._daemon._frames import (
    Challenge,
    Frame,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    Welcome,
)
from daisywharf._daemon._handshake import (
    NONCE_BYTES,
    accept_hello,
    answer_challenge,
    check_welcome,
    first_key,
)
from daisywharf._errors import ErrorKind, LinkError
from daisywharf._fleet._messages import Member
from daisywharf._limits import MAX_FRAME_BYTES
from daisywharf._outcomes._link import (
    CALLS_PACE,
    CONTROL_PACE,
    CloseLink,
    LinkPace,
    LinkState,
    SendHeartbeat,
    TryNewConnection,
    link_tick,
    record_echo,
    record_sent,
)
from daisywharf._signals import Event, log_event
from daisywharf._topology import Address

CONNECT_TIMEOUT_S: Final = 1.0
LINK_TICK_PERIOD_S: Final = 0.25
IDLE_TIMEOUT_S: Final = 15.0
MAX_QUEUED_FRAMES: Final = 256

FrameHandler = Callable[["Link", Any], None]


class LinkCounts:
    """Count the frames and bytes on a process's links, and what failed on them."""

    def __init__(self) -> None:
        self.frames_in = 0
        self.frames_out = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.refused_peers = 0
        self.bad_frames = 0
        self.silent_links = 0


class Link:
    """Hold an open connection to a peer.

    `member` is the accepted daemon; it is None for a library on the VM, and on links that were
    opened here. `last_used_at` ignores heartbeats.
    """

    def __init__(
        self, socket: Any, member: Member | None, *, pace: LinkPace, is_opened_here: bool = False
    ) -> None:
        self.socket = socket
        self.member = member
        self.is_open = True
        self.is_opened_here = is_opened_here
        self.close_reason = ""
        self.state = LinkState(now=time.monotonic(), pace=pace)
        self.last_used_at = time.monotonic()
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_FRAMES)

    def send(self, frame: bytes) -> bool:
        """Queue a frame, and have the next heartbeat confirm its arrival; see `enqueue`."""
        record_sent(self.state, now=time.monotonic())
        return self.enqueue(frame)

    def enqueue(self, frame: bytes) -> bool:
        """Queue a frame and return True; drop it and return False if the queue is full."""
        if self.queue.full():
            return False
        self.queue.put_nowait(frame)
        return True


class Links:
    """Hold all links of a process; the event loop runs in a separate thread."""

    def __init__(
        self,
        *,
        me: Callable[[], Member | None],
        keys: Sequence[str],
        on_frame: FrameHandler,
        on_unreachable: Callable[[Address], None],
    ) -> None:
        self.me = me
        self.keys = tuple(keys)
        self.on_frame = on_frame
        self.on_unreachable = on_unreachable
        self.counts = LinkCounts()
        self.loop = asyncio.new_event_loop()
        self.link_by_address: dict[Address, Link] = {}
        self.open_links: set[Link] = set()
        self.pending_frames_by_address: dict[Address, list[bytes]] = {}
        self.server: Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.thread = threading.Thread(target=self.loop.run_forever, name="links", daemon=True)

    def start(self, address: Address) -> Address:
        """Accept links at an address, and return it with the port that was bound."""
        self.thread.start()
        self.loop.call_soon_threadsafe(_tick_links, self)
        future = asyncio.run_coroutine_threadsafe(_listen(self, address), self.loop)
        return future.result(timeout=10)

    def send(self, address: Address, frame: Frame) -> None:
        """Send a frame to the peer at an address, over an open link or a new one."""
        self.loop.call_soon_threadsafe(_send_to, self, address, encode(frame))

    def reply(self, link: Link, frame: Frame) -> None:
        """Send a frame on a given link; drop it if the link's queue is full."""
        self.loop.call_soon_threadsafe(link.send, encode(frame))

    def run_periodically(self, period_s: float, action: Callable[[], None]) -> None:
        """Run an action on the event loop every `period_s` seconds; it must not block."""

        def run_and_reschedule() -> None:
            self.loop.call_later(period_s, run_and_reschedule)
            action()

        self.loop.call_soon_threadsafe(run_and_reschedule)

    def stop(self) -> None:
        """Close all links and stop the thread."""
        future = asyncio.run_coroutine_threadsafe(_close_all(self), self.loop)
        future.result(timeout=5)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(timeout=5)


def _send_to(links: Links, address: Address, frame: bytes) -> None:
    link = links.link_by_address.get(address)
    if link is not None:
        link.send(frame)
        return
    pending_frames = links.pending_frames_by_address.get(address)
    if pending_frames is not None:
        if len(pending_frames) < MAX_QUEUED_FRAMES:
            pending_frames.append(frame)
        return
    links.pending_frames_by_address[address] = [frame]
    _spawn(links, _open(links, address))


def _spawn(links: Links, work: Any) -> None:
    task = links.loop.create_task(work)
    links.tasks.add(task)
    task.add_done_callback(links.tasks.discard)


async def _listen(links: Links, address: Address) -> Address:
    links.server = await serve(
        lambda socket: _accept(links, socket),
        address.host,
        address.port,
        compression=None,
        max_size=MAX_FRAME_BYTES,
        ping_interval=None,
        close_timeout=1,
    )
    host, port = next(iter(links.server.sockets)).getsockname()[:2]
    return Address(host, port)


async def _accept(links: Links, socket: Any) -> None:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            challenge = Challenge(secrets.token_bytes(NONCE_BYTES))
            await socket.send(encode(challenge))
            hello = decode(await socket.recv(), Hello)
            welcome = accept_hello(challenge, hello, keys=links.keys)
            await socket.send(encode(welcome))
    except (LinkError, WebSocketException, OSError, TimeoutError) as error:
        links.counts.refused_peers += 1
        log_event(Event.PEER_REFUSED, peer=_peer_of(socket), error=error_text(error))
        return
    address = None if hello.member is None else hello.member.address
    # Calls may wait on a library's link; a link between daemons carries control messages only.
    pace = CALLS_PACE if address is None else CONTROL_PACE
    await _run(links, Link(socket, hello.member, pace=pace), address)


async def _open(links: Links, address: Address) -> None:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            socket = await connect(
                f"ws://{address}",
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=None,
                close_timeout=1,
                proxy=None,
            )
            await _authenticate(links, socket)
    except (LinkError, WebSocketException, OSError, TimeoutError) as error:
        log_event(Event.LINK_CLOSED, peer=str(address), error=error_text(error))
        links.pending_frames_by_address.pop(address, None)
        links.on_unreachable(address)
        return
    link = Link(socket, None, pace=CONTROL_PACE, is_opened_here=True)
    for frame in links.pending_frames_by_address.pop(address, []):
        link.send(frame)
    await _run(links, link, address)


async def _authenticate(links: Links, socket: Any) -> None:
    challenge = decode(await socket.recv(), Challenge)
    key = first_key(links.keys)
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = answer_challenge(challenge, key=key, nonce=nonce, member=links.me())
    await socket.send(encode(hello))
    check_welcome(challenge, hello, decode(await socket.recv(), Welcome), key=key)


async def _run(links: Links, link: Link, address: Address | None) -> None:
    if address is not None:
        links.link_by_address.setdefault(address, link)
    peer = _peer_of(link.socket)
    cause = "no reason given"
    log_event(Event.LINK_OPENED, peer=peer)
    links.open_links.add(link)
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_write(links, link))
            await _read(links, link)
            raise LinkError(ErrorKind.CONNECT_FAILED, "the peer closed the link")
    except* (LinkError, WebSocketException, OSError) as errors:
        cause = error_text(errors.exceptions[0])
    finally:
        log_event(Event.LINK_CLOSED, peer=peer, error=link.close_reason or cause)
        links.open_links.discard(link)
        link.is_open = False
        if address is not None and links.link_by_address.get(address) is link:
            del links.link_by_address[address]
        await link.socket.close()


async def _write(links: Links, link: Link) -> None:
    while True:
        frame = await link.queue.get()
        await link.socket.send(frame)
        links.counts.frames_out += 1
        links.counts.bytes_out += len(frame)


async def _read(links: Links, link: Link) -> None:
    async for data in link.socket:
        links.counts.frames_in += 1
        links.counts.bytes_in += len(data)
        try:
            _handle_frame(links, link, decode(data, Frame))
        except LinkError as error:
            # Only the malformed frame is lost; the link stays open.
            links.counts.bad_frames += 1
            log_event(Event.BAD_FRAME, peer=_peer_of(link.socket), error=error_text(error))


def _handle_frame(links: Links, link: Link, frame: Any) -> None:
    if isinstance(frame, Heartbeat):
        link.enqueue(encode(HeartbeatEcho(frame.sequence)))
    elif isinstance(frame, HeartbeatEcho):
        record_echo(link.state, frame.sequence)
    else:
        link.last_used_at = time.monotonic()
        links.on_frame(link, frame)


def _tick_links(links: Links) -> None:
    # One timer for all links costs less than a task per link.
    links.loop.call_later(LINK_TICK_PERIOD_S, _tick_links, links)
    now = time.monotonic()
    for link in list(links.open_links):
        _tick_link(links, link, now=now)


def _tick_link(links: Links, link: Link, *, now: float) -> None:
    if link.is_opened_here and now - link.last_used_at > IDLE_TIMEOUT_S:
        _abort(link, "the link was idle")
        return
    # Without pending calls, a silent link is closed with no probe over a second connection.
    for action in link_tick(link.state, now=now, pending_calls=0):
        if isinstance(action, SendHeartbeat):
            link.enqueue(encode(Heartbeat(action.sequence)))
        elif isinstance(action, CloseLink | TryNewConnection):
            links.counts.silent_links += 1
            log_event(Event.LINK_SILENT, peer=_peer_of(link.socket))
            _abort(link, "the link is silent")


def _abort(link: Link, reason: str) -> None:
    """Close a link without the closing handshake, which a silent peer would delay."""
    link.close_reason = reason
    link.socket.transport.abort()


def _peer_of(socket: Any) -> str:
    address = socket.remote_address
    return f"{address[0]}:{address[1]}" if address else "closed"


def error_text(error: BaseException) -> str:
    """Return an error's message, or its type if the message is empty, as in some libraries."""
    return str(error) or type(error).__name__


async def _close_all(links: Links) -> None:
    if links.server is not None:
        links.server.close(close_connections=True)
    for link in list(links.link_by_address.values()):
        await link.socket.close()
    for task in list(links.tasks):
        task.cancel()
    # Lets the event loop deliver the cancellations before it is stopped.
    await asyncio.sleep(0)
