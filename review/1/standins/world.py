"""A small deployment on loopback addresses: machines with a daemon and a backend, and the platform."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from . import http
from .store import Store

ROOT = Path(__file__).resolve().parents[3]
HOST_NAME = "hulo84.example"
INBOUND, BACKEND, READY, OUTBOUND, CONTROL, STORE = 8300, 8301, 8302, 8304, 8306, 8309
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "stabilityWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 47,
    "recoveryS": 15,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"]


def route(name, prefix, service, kind, timeout_ms=5000, attempts=2):
    """Return a route of the operator's configuration."""
    return {
        "resourceKind": "routes",
        "metadata": {"name": name},
        "specification": {
            "host": HOST_NAME,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 1500,
            "priority": 1,
            "service": service,
            "maxAttempts": attempts,
        },
    }


class Machine:
    """One machine: its addresses, and the daemon's process."""

    def __init__(self, name, zone, service, host):
        self.name, self.zone, self.service, self.host = name, zone, service, host
        self.backend_port, self.control_port, self.entry_port = BACKEND, CONTROL, OUTBOUND
        self.process = None
        self.starts = 0


class World:
    """Hold the machines, the store, and the record of what was seen."""

    def __init__(self, record_path):
        self.began = time.monotonic()
        self.file = open(record_path, "w", encoding="utf-8")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = _free_block()
        self.store = Store(f"{self.block}.254", STORE)
        self.machines = []
        self.ended = []
        self.record(f"trouble  {'on' if self.trouble else 'off'}")

    def record(self, line):
        """Write a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {line}\n")
        self.file.flush()

    def add(self, name, zone, service):
        """Add a machine at the next address of the block."""
        machine = Machine(name, zone, service, f"{self.block}.{len(self.machines) + 1}")
        self.machines.append(machine)
        return machine

    def configure(self, version, routes):
        """Write the operator's configuration."""
        services = [
            {
                "resourceKind": "services",
                "metadata": {"name": service},
                "specification": {
                    "healthCheckPath": "/health",
                    "maxConnections": 1000,
                    "protocol": "h1",
                    "tls": False,
                },
            }
            for service in sorted({machine.service for machine in self.machines})
        ]
        limits = {"resourceKind": "limits", "metadata": {}, "specification": LIMITS}
        content = {"version": version, "resources": [*routes, *services, limits]}
        self.store.write("config", "main", content)
        self.record(f"config   version {version} acknowledged")

    def settings(self, machine):
        """Return a machine's settings, with the fields that the platform's example shows."""
        at = {
            name: f"{machine.host}:{port}"
            for name, port in (
                ("inbound", INBOUND),
                ("outbound", OUTBOUND),
                ("ready", READY),
                ("controlPlane", CONTROL),
            )
        }
        return {
            "self": {
                "nodeName": machine.name,
                "role": "daemon",
                "machineClass": "sidecar",
                "serves": ["sidecar"],
                "ipAddress": machine.host,
                "zone": machine.zone,
                "region": "vlaanderen",
                "countsTowardTolerance": False,
                "bootstrap": machine.starts == 0,
                "dataDirectory": None,
                "limits": {
                    "cpuShare": 0.86,
                    "cpuCores": 2,
                    "memoryMb": 300,
                    "fileDescriptors": 4100,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
                "applicationAddress": f"{machine.host}:{BACKEND}",
                "service": machine.service,
            },
            "network": {
                "listenAddresses": at,
                "internalPortRange": [7620, 7635],
                "seedNodes": [],
                "zones": {m.zone: "vlaanderen" for m in self.machines},
            },
            "platform": {
                "discovery": "local",
                "entry": "local",
                "heartbeatIntervalMs": 1500,
                "platform": {
                    "address": f"{self.store.host}:{self.store.port}",
                    "form": "objects",
                    "writesPerS": 400,
                    "readsPerS": 2000,
                    "historyS": 20,
                    "valueBytes": 1048576,
                    "minTtlMs": 1000,
                },
            },
            "terms": {
                "contracts": CONTRACTS,
                "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
        }

    def start_daemon(self, machine):
        """Start a machine's daemon with the deploy file's command."""
        path = self.directory / f"{machine.name}.yaml"
        path.write_text(json.dumps(self.settings(machine)))  # JSON is YAML
        machine.starts += 1
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = (self.directory / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            ["python3", "deploy/run.py"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=keep | {"DAISYWHARF_SETTINGS": str(path), "PYTHONPATH": "target/deps"},
        )
        self.record(f"start    daemon of {machine.name} (start {machine.starts})")

    async def end_daemon(self, machine, number=signal.SIGKILL):
        """Send a signal and wait for the exit; SIGKILL follows after the grace period."""
        process, machine.process = machine.process, None
        process.send_signal(number)
        self.record(f"signal   {signal.Signals(number).name} to the daemon of {machine.name}")
        until = time.monotonic() + BOUNDS["gracePeriodS"]
        while process.poll() is None:
            await asyncio.sleep(0.01)
            if time.monotonic() > until:
                process.kill()
        self.record(f"ended    daemon of {machine.name}")

    async def is_ready(self, machine):
        """Ask the daemon's readiness as the platform does."""
        try:
            status, _, _ = await http.call(machine.host, READY, "GET", "/-/readiness", within_s=1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_ready(self, machines, within_s=20.0):
        """Wait until all daemons are ready; a case that can't get so far can't run."""
        until = time.monotonic() + within_s
        while not all([await self.is_ready(machine) for machine in machines]):
            if time.monotonic() > until:
                raise CannotRun("a daemon didn't become ready")
            await asyncio.sleep(0.1)

    async def request(self, machine, method, path, *, body=b"", deadline_ms=6000, attempt=None):
        """Send a client's request at a machine; return (attempt id, status or None)."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        headers = {"Host": HOST_NAME, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        self.record(f"sent     {attempt} {method} {path} body {len(body)} at {machine.name}")
        try:
            status, answer, got = await http.call(
                machine.host, OUTBOUND, method, path, headers, body, deadline_ms / 1000
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.record(f"no answer {attempt} {error!r}")
            return attempt, None
        self.record(
            f"answered {attempt} {status} signature {answer.get('server-signature')} body {got[:60]!r}"
        )
        return attempt, status

    def start_client(self, machine, method, path, *, pause_s=0.0, deadline_ms=6000):
        """Send requests one after the other on kept connections, until cancelled.

        Returns the task and the list of its results: (attempt, sent at, status or None, ended at).
        None means that the connection ended without a complete answer.
        """
        results = []

        async def send():
            while True:
                try:
                    reader, writer = await asyncio.open_connection(machine.host, OUTBOUND)
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                try:
                    while await self._exchange(
                        reader, writer, machine, method, path, deadline_ms, results
                    ):
                        await asyncio.sleep(pause_s)
                finally:
                    writer.close()

        return asyncio.ensure_future(send()), results

    async def _exchange(self, reader, writer, machine, method, path, deadline_ms, results):
        """Send one request on a kept connection; return whether the connection may be used again."""
        attempt = f"{random.getrandbits(64):016x}"
        headers = {"Host": HOST_NAME, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        sent_at, message, error = time.monotonic(), None, None
        self.record(f"sent     {attempt} {method} {path} at {machine.name} on a kept connection")
        try:
            writer.write(http.request_bytes(method, path, headers))
            await writer.drain()
            async with asyncio.timeout(deadline_ms / 1000):
                message = await http.read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as caught:
            error = caught
        status = None if message is None else int(message[0].split()[1])
        results.append((attempt, sent_at, status, time.monotonic()))
        self.record(f"answered {attempt} {status}" if message else f"no answer {attempt} {error!r}")
        if message is None:
            return False
        retry_after = message[1].get("retry-after")
        if retry_after is not None:
            await asyncio.sleep(float(retry_after))
        return message[1].get("connection", "").lower() != "close"

    def close(self):
        """End every process that this world started."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
        self.file.close()


class CannotRun(Exception):
    """The case could not be set up."""


def _free_block():
    """Return the first three numbers of a loopback block on which the store's port is free."""
    for _ in range(50):
        block = f"127.{random.randrange(70, 120)}.{random.randrange(1, 255)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{block}.254", STORE))
            except OSError:
                continue
            return block
    raise CannotRun("no free loopback block")


def run(case, record_path):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def play():
        world = World(record_path)
        try:
            await world.store.start()
            async with asyncio.timeout(110):
                is_broken = await case(world)
            world.record("RULE BROKEN" if is_broken else "rule held")
            return 1 if is_broken else 0
        except Exception as error:  # an error of the case itself shows nothing about the daemon
            world.record(f"could not run: {error!r}")
            return 2
        finally:
            world.close()

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(repr(error))
        code = 2
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
