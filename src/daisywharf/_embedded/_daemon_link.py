"""The link from a process to the daemon of its VM, which sends it snapshots."""

import secrets
import threading
from collections.abc import Callable, Sequence
from typing import Any, Final

from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect

from daisywharf._call._demand import Demand
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._codec import decode, encode
from daisywharf._daemon._frames import (
    Challenge,
    DemandReport,
    Frame,
    Heartbeat,
    HeartbeatEcho,
    Subscribe,
    Welcome,
)
from daisywharf._daemon._handshake import (
    NONCE_BYTES,
    answer_challenge,
    check_welcome,
    first_key,
)
from daisywharf._errors import ErrorKind, LinkError
from daisywharf._ids import ServiceName
from daisywharf._limits import MAX_FRAME_BYTES
from daisywharf._outcomes._link import SILENCE_LIMIT_S
from daisywharf._topology import Address

CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_DELAY_S: Final = 0.25
STOP_TIMEOUT_S: Final = 3.0


class DaemonLink:
    """Read the daemon's snapshots on a thread, and keep the newest in `holder`.

    While the daemon can't be reached, the last snapshot stays in force.
    """

    def __init__(
        self,
        address: Address,
        holder: SnapshotHolder,
        *,
        keys: Sequence[str],
        services: Sequence[ServiceName] = (),
        collect_demands: Callable[[], tuple[Demand, ...]] = tuple,
    ) -> None:
        self.address = address
        self.holder = holder
        self.key = first_key(keys)
        self.services = tuple(services)
        self.collect_demands = collect_demands
        self.snapshot_received = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="daemon-link", daemon=True)

    def start(self, *, wait_s: float) -> None:
        """Connect and wait for the first snapshot; raise `LinkError` after `wait_s` without one."""
        self._thread.start()
        if not self.snapshot_received.wait(wait_s):
            message = f"the daemon at {self.address} sent no snapshot within {wait_s} s"
            raise LinkError(ErrorKind.CONNECT_FAILED, message)

    def stop(self) -> None:
        """Close the link and wait for its thread, at most `STOP_TIMEOUT_S`."""
        self._stopping.set()
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                with connect(
                    f"ws://{self.address}",
                    open_timeout=CONNECT_TIMEOUT_S,
                    close_timeout=CONNECT_TIMEOUT_S,
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    ping_interval=None,
                    proxy=None,
                ) as socket:
                    self._authenticate(socket)
                    self._read_frames(socket)
            except (LinkError, WebSocketException, OSError, TimeoutError):
                self._stopping.wait(RECONNECT_DELAY_S)

    def _authenticate(self, socket: ClientConnection) -> None:
        challenge = _receive(socket, Challenge)
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = answer_challenge(challenge, key=self.key, nonce=nonce, member=None)
        socket.send(encode(hello))
        check_welcome(challenge, hello, _receive(socket, Welcome), key=self.key)
        socket.send(encode(Subscribe(self.services)))

    def _read_frames(self, socket: ClientConnection) -> None:
        # A live daemon sends heartbeats, so a receive that times out means that the link is dead.
        while not self._stopping.is_set():
            frame = _receive(socket, Frame)
            if isinstance(frame, Snapshot):
                self.holder.current = frame
                self.snapshot_received.set()
            elif isinstance(frame, Heartbeat):
                socket.send(encode(HeartbeatEcho(frame.sequence)))
                self._report_demand(socket)

    def _report_demand(self, socket: ClientConnection) -> None:
        demands = self.collect_demands()
        if demands:
            socket.send(encode(DemandReport(demands)))


def _receive(socket: ClientConnection, frame_type: Any) -> Any:
    data = socket.recv(timeout=SILENCE_LIMIT_S)
    if isinstance(data, str):
        raise LinkError(ErrorKind.BAD_FRAME, "received a text frame; send frames as binary CBOR")
    return decode(data, frame_type)
