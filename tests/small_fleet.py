"""A small fleet of real processes: platform, two daemons, orders and stock."""

import json
from dataclasses import dataclass
from typing import Any

from benchmarks._processes import Processes, address_in, eventually
from benchmarks._processes_fleet import (
    apply_contract,
    one_class_contract,
    start_daemon,
    start_target,
)

ORDERER = "counter"
READER = "browser"


@dataclass
class Answered:
    """Hold an answer and its JSON."""

    status: int
    kind: str | None
    document: Any
    retry_after: str | None = None


@dataclass
class SmallFleet:
    """Hold the running processes and where each answers."""

    processes: Processes
    platform: str
    first: str
    second: str

    def ask(self, daemon: str, method: str, path: str, **headers: str) -> Answered:
        """Ask a daemon's HTTP."""
        reply = self.processes.http.request(
            method,
            f"http://{address_in(daemon, 'http')}{path}",
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            body=b"{}" if method == "POST" else None,
        )
        document = json.loads(reply.data) if reply.data.strip().startswith((b"{", b"[")) else None
        headers_back = reply.headers
        return Answered(
            reply.status,
            headers_back.get("Daisywharf-Error"),
            document,
            headers_back.get("Retry-After"),
        )

    def order(self, daemon: str, *, path: str = "/call/orders/new", **headers: str) -> Answered:
        """Place an order through a daemon."""
        return self.ask(
            daemon, "POST", path, Daisywharf_Customer=ORDERER, Daisywharf_Class="work", **headers
        )


def start_small_fleet(processes: Processes) -> SmallFleet:
    """Start all processes and wait until orders pass through each daemon."""
    platform = processes.start("platform", "platform-standin").strip()
    first = start_daemon(processes, "vm-1", zone="perth-1", platform=platform)
    second = start_daemon(
        processes, "vm-2", zone="perth-1", platform=platform, peers=(address_in(first, "links"),)
    )
    start_target(processes, "stock-1", "stock", first)
    start_target(processes, "orders-1", "orders", second, "--next", "stock")
    apply_contract(platform, one_class_contract(ORDERER, service="orders", idempotent=False))
    apply_contract(platform, one_class_contract(READER, service="stock", idempotent=True))
    fleet = SmallFleet(processes, platform, first, second)
    for daemon in (first, second):
        eventually(lambda daemon=daemon: fleet.ask(daemon, "GET", "/healthz").status == 200)
        eventually(lambda daemon=daemon: fleet.order(daemon).status == 200)
    return fleet
