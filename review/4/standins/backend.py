"""A backend: runs requests in slots, answers with its signature, and announces itself."""

import asyncio
import json
import time

from . import http

HEARTBEAT_S = 1.5


class Backend:
    """Stand in for one application backend; `runs` lists what it began to run."""

    def __init__(self, machine, ident, record, *, work_s=0.02, slots=40):
        self.machine, self.ident, self.record = machine, ident, record
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.writers = set()
        self.server = None
        self.beats = None
        self.work_by_path = {}

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.machine.host, self.machine.backend_port, limit=http.MAX_HEAD
        )
        self.beats = asyncio.ensure_future(self._beat())

    def end(self):
        """End as a process does: the listener and all connections close."""
        self.stop_beats()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stop_beats(self):
        if self.beats is not None:
            self.beats.cancel()

    def heartbeat(self, **changes):
        """Return the path and body of the next heartbeat, in the form of the protocol page."""
        self.sequence += 1
        content = {
            "service": self.machine.service,
            "address": f"{self.machine.host}:{self.machine.backend_port}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        } | changes
        return f"/-/instances/{self.ident}/heartbeat", json.dumps(content).encode()

    async def say(self, path, body):
        """Make a call to the control address; return its status, or None without an answer."""
        headers = {"Content-Type": "application/json"}
        try:
            status, _, _ = await http.call(
                self.machine.host, self.machine.control_port, "POST", path, headers, body, 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = None
        return status

    async def _beat(self):
        while True:
            await self.say(*self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await http.read_message(reader)) is not None:
                writer.write(await self._answer(*message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the daemon was killed or closed the connection
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, start, headers, body):
        method, path, _ = start.split(" ", 2)
        if path == "/health":
            return http.answer_bytes(
                200 if self.state == "ready" else 503, {"Instance-Id": self.ident}
            )
        attempt = headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if headers.get("expected-instance", self.ident) != self.ident:
            return http.answer_bytes(421, echo | {"Instance-Id": self.ident})
        if self.running >= self.slots:
            return http.answer_bytes(503, echo | {"Not-Executed": "1"})
        self.running += 1
        self.runs.append((time.monotonic(), attempt, method, path, headers, len(body)))
        self.record(
            f"run      {attempt} {method} {path} body {len(body)} at {self.ident} ({self.machine.name})"
        )
        try:
            await asyncio.sleep(self.work_by_path.get(path, self.work_s))
        finally:
            self.running -= 1
        signed = echo | {"Server-Signature": f"{self.ident}.{len(self.runs)}"}
        return http.answer_bytes(200, signed, f"{attempt} by {self.ident}".encode())
