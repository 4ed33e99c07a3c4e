"""Watch the calls that wait for an answer, and abort connections that have gone silent."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Final

import msgspec
import urllib3

from daisywharf._call._connections import CallConnection, Connections
from daisywharf._outcomes._progress import (
    CallProgress,
    ProbeResult,
    needs_probe,
    record_probe_result,
)
from daisywharf._topology import Target

PROGRESS_PATH: Final = "/.daisywharf/progress"
TICK_PERIOD_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 0.5
MAX_CONCURRENT_PROBES: Final = 8


class OpenCalls(msgspec.Struct, frozen=True):
    """List call ids: in a probe those to check, in its answer those of them open at the gate."""

    call_ids: list[str]


class WatchedCall(msgspec.Struct):
    """Hold a call that waits for its answer; `line` is the connection that it waits on."""

    call_id: str
    target: Target
    line: CallConnection
    progress: CallProgress


class SilenceWatch:
    """Hold the waiting calls; a thread, started with the first call, probes for overdue ones."""

    def __init__(self, connections: Connections, *, clock: Callable[[], float]) -> None:
        self.connections = connections
        self.clock = clock
        self.call_by_id: dict[str, WatchedCall] = {}
        self.aborted_count = 0
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None

    @contextmanager
    def watched(self, call_id: str, target: Target) -> Iterator[None]:
        """Watch the call that the current thread sends and waits for."""
        if self._thread is None:
            self._start()
        progress = CallProgress(sent_at=self.clock())
        self.call_by_id[call_id] = WatchedCall(call_id, target, CallConnection(), progress)
        try:
            yield
        finally:
            self.call_by_id.pop(call_id, None)

    def stop(self) -> None:
        """Signal the thread to stop."""
        self._stopping.set()

    def _start(self) -> None:
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="silence", daemon=True)
                self._thread.start()

    def _run(self) -> None:
        while not self._stopping.wait(TICK_PERIOD_S):
            self._tick()

    def _tick(self) -> None:
        now = self.clock()
        calls = [
            call for call in list(self.call_by_id.values()) if needs_probe(call.progress, now=now)
        ]
        if not calls:
            return
        calls_by_target: dict[Target, list[WatchedCall]] = {}
        for call in calls:
            calls_by_target.setdefault(call.target, []).append(call)
        with ThreadPoolExecutor(min(MAX_CONCURRENT_PROBES, len(calls_by_target))) as pool:
            list(pool.map(self._probe, calls_by_target.values()))

    def _probe(self, calls: list[WatchedCall]) -> None:
        target = calls[0].target
        open_ids = probe_open_calls(target, [call.call_id for call in calls])
        now = self.clock()
        for call in calls:
            if record_probe_result(call.progress, _probe_result(call, open_ids), now=now):
                self._abort(call)

    def _abort(self, call: WatchedCall) -> None:
        if self.call_by_id.pop(call.call_id, None) is None:
            return
        self.aborted_count += 1
        self.connections.close_idle(call.target.address)
        call.line.abort()


def probe_open_calls(target: Target, call_ids: list[str]) -> frozenset[str] | None:
    """Return which of the calls a gate has open, by a new connection; none if it is unreachable."""
    pool = urllib3.HTTPConnectionPool(target.address.host, target.address.port, retries=False)
    try:
        reply = pool.urlopen(
            "POST",
            target.path_prefix + PROGRESS_PATH,
            body=msgspec.json.encode(OpenCalls(call_ids)),
            timeout=urllib3.Timeout(total=PROBE_TIMEOUT_S),
        )
        if reply.status != 200:
            return None
        return frozenset(msgspec.json.decode(reply.data, type=OpenCalls).call_ids)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        return None
    finally:
        pool.close()


def _probe_result(call: WatchedCall, open_ids: frozenset[str] | None) -> ProbeResult:
    if open_ids is None:
        return ProbeResult.UNREACHABLE
    return ProbeResult.OPEN if call.call_id in open_ids else ProbeResult.NOT_OPEN
