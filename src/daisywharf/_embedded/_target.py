"""A target that serves its gate over HTTP and announces itself to the daemon of its VM."""

import threading
import time
from typing import Final

import msgspec
import urllib3

from daisywharf._call._gate import Gate
from daisywharf._call._wsgi import WsgiApp
from daisywharf._daemon._announcement import Announcement
from daisywharf._daemon._status import AnnouncementAccepted
from daisywharf._errors import DaisywharfError, ErrorKind, RequestError
from daisywharf._http_server import HttpServer
from daisywharf._topology import Address

RENEW_PERIOD_S: Final = 1.0
ANNOUNCE_TIMEOUT_S: Final = 2.0
# Per slot, one thread runs, one waits for a call below, and three wait in the queue.
# Calls that the gate refuses need additional threads.
THREADS_PER_SLOT: Final = 5
REFUSAL_THREADS: Final = 16
LEAVE_PROPAGATION_S: Final = 2.0
STOP_TIMEOUT_S: Final = 30.0
STOP_POLL_PERIOD_S: Final = 0.02


class TargetServer:
    """Run one target with an embedded gate.

    `slots` bounds the calls that run at a time, `connections` the open connections, and
    `daemon_http` is the host and port of the daemon's HTTP API.
    """

    def __init__(
        self,
        app: WsgiApp,
        *,
        target_id: str,
        service: str,
        slots: int,
        connections: int,
        daemon_http: tuple[str, int],
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        incarnation = time.time_ns()
        self.gate = Gate(
            app, target_id=target_id, incarnation=incarnation, slots=slots, service=service
        )
        self._server = HttpServer(
            self.gate,
            address=Address(host, port),
            threads=slots * THREADS_PER_SLOT + REFUSAL_THREADS,
        )
        self._announcement = Announcement(
            target_id=target_id,
            service=service,
            incarnation=incarnation,
            address=self._server.address,
            slots=slots,
            connections=connections,
        )
        self._announcer = Announcer(Address(*daemon_http))
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._renew_until_stopped, name="announce", daemon=True
        )

    @property
    def address(self) -> Address:
        """Return the address on which the gate serves."""
        return self._server.address

    def start(self) -> None:
        """Serve and announce; raise `RequestError` if the daemon can't be reached or refuses."""
        self._server.start()
        self._announcer.announce(self._announcement)
        self._thread.start()

    def stop(self) -> None:
        """Refuse new work, leave the fleet, finish the calls in flight, and close.

        Waits for these calls at most `STOP_TIMEOUT_S`.
        """
        self._stopping.set()
        self.gate.drain()
        self._thread.join(timeout=ANNOUNCE_TIMEOUT_S + RENEW_PERIOD_S)
        self._leave()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while not self.gate.may_leave() and time.monotonic() < deadline:
            time.sleep(STOP_POLL_PERIOD_S)
        self._server.stop()

    def _leave(self) -> None:
        try:
            self._announcer.withdraw(self._announcement)
        except DaisywharfError:
            # Without a daemon, callers learn that the target leaves from the gate's refusals.
            return
        time.sleep(LEAVE_PROPAGATION_S)

    def _renew_until_stopped(self) -> None:
        while not self._stopping.wait(RENEW_PERIOD_S):
            try:
                accepted = self._announcer.announce(self._announcement)
                if accepted.is_drained:
                    self.gate.drain()
            except DaisywharfError:
                # The daemon can't be reached or refuses; announce again after the next period.
                continue


class Announcer:
    """Announce targets to a daemon over its HTTP API."""

    def __init__(self, daemon: Address) -> None:
        self._pool = urllib3.HTTPConnectionPool(daemon.host, daemon.port, maxsize=1, retries=False)

    def announce(self, announcement: Announcement) -> AnnouncementAccepted:
        """Announce a target or renew its announcement; raise `RequestError`."""
        return self._post("/announce", announcement)

    def withdraw(self, announcement: Announcement) -> AnnouncementAccepted:
        """Remove a target from the fleet; raise `RequestError`."""
        return self._post("/withdraw", announcement)

    def _post(self, path: str, announcement: Announcement) -> AnnouncementAccepted:
        body = msgspec.json.encode(announcement)
        try:
            response = self._pool.urlopen("POST", path, body=body, timeout=ANNOUNCE_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise RequestError(
                ErrorKind.CONNECT_FAILED,
                f"the daemon can't be reached: {error}; check that it runs",
            ) from error
        if response.status != 200:
            message = f"the daemon refused {path}: {response.data.decode(errors='replace')}"
            raise RequestError(ErrorKind.BAD_REQUEST, message)
        return msgspec.json.decode(response.data, type=AnnouncementAccepted)
