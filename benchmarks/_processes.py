"""Start and stop the project's own processes on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom

import urllib3

from daisywharf._topology import Address

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
# Below the ports that the kernel chooses for outgoing connections.
PORTS = range(10_000, 32_000)
RESERVATION_HOST = "127.0.0.2"
MAX_RESERVATIONS = 256
# Each process chooses other ports, whatever seeds a test sets.
_rng = SystemRandom()
_reservations: deque[socket.socket] = deque()


@dataclass
class Processes:
    """Hold the processes that a test started, by name; each is stopped by its own id."""

    directory: Path
    process_by_name: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    http: urllib3.PoolManager = field(default_factory=lambda: urllib3.PoolManager(retries=False))

    def start(self, name: str, *arguments: str) -> str:
        """Start `daisywharf ARGUMENTS` under a name and return the content of its ready file."""
        ready_file = self.directory / f"{name}.ready"
        ready_file.unlink(missing_ok=True)
        log = (self.directory / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "daisywharf", *arguments, "--ready-file", str(ready_file)]
        process = subprocess.Popen(command, stdout=log, stderr=log, env=os.environ.copy())
        self.process_by_name[name] = process
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not (ready_file.exists() and ready_file.read_text().endswith("\n")):
            assert (
                process.poll() is None
            ), f"{name} ended with {process.returncode}: {self.log(name)}"
            assert time.monotonic() < deadline, f"{name} was not ready in {READY_TIMEOUT_S} s"
            time.sleep(0.02)
        return ready_file.read_text()

    def stop(self, name: str, signal_number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait, and return the exit code."""
        process = self.process_by_name.pop(name)
        process.send_signal(signal_number)
        return process.wait(timeout=STOP_TIMEOUT_S)

    def log(self, name: str) -> str:
        """Return the last 2,000 characters of a process's log."""
        return (self.directory / f"{name}.log").read_text()[-2_000:]

    def stop_all(self) -> None:
        """Kill all processes that still run."""
        for process in self.process_by_name.values():
            process.kill()
            process.wait(timeout=STOP_TIMEOUT_S)
        self.process_by_name.clear()
        self.http.clear()


def free_address() -> Address:
    """Return an address on loopback that no other call in any process returns for a while."""
    while True:
        port = _rng.choice(PORTS)
        # While this socket is bound, other processes that call this leave the port out.
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        if len(_reservations) > MAX_RESERVATIONS:
            _reservations.popleft().close()
        return Address("127.0.0.1", port)


def address_in(ready: str, name: str) -> str:
    """Return the HOST:PORT listed under a name in a ready file."""
    return next(line.split()[1] for line in ready.splitlines() if line.startswith(name + " "))


def eventually(condition: Callable[[], bool], *, timeout_s: float = 15.0) -> None:
    """Wait until a condition holds; `timeout_s` only bounds a failing run."""
    deadline = time.monotonic() + timeout_s
    while True:
        if condition():
            return
        assert time.monotonic() < deadline, f"{condition} did not hold within {timeout_s} s"
        time.sleep(0.05)


def write_settings(
    directory: Path,
    name: str,
    *,
    zone: str,
    platform: str | None,
    peers: Sequence[str] = (),
    keys: Sequence[str] = ("a-shared-key",),
) -> Path:
    """Write a daemon's settings file, with ports chosen by the kernel, and return its path."""
    any_port = {"host": "127.0.0.1", "port": 0}
    settings = {
        "vm": name,
        "zone": zone,
        "links": any_port,
        "http": any_port,
        "platform": platform,
        "keys": list(keys),
        "peers": [_address_fields(peer) for peer in peers],
    }
    path = directory / f"{name}.yaml"
    # JSON is valid YAML and saves a dependency here.
    path.write_text(json.dumps(settings))
    return path


def _address_fields(address: str) -> dict[str, str | int]:
    host, _, port = address.rpartition(":")
    return {"host": host, "port": int(port)}
