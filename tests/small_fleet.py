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
class HttpAnswer:
    """Hold an HTTP answer; `kind` is its Daisywharf-Error header, `document` its parsed JSON."""

    status: int
    kind: str | None
    document: Any
    retry_after: str | None = None


@dataclass
class SmallFleet:
    """Hold the running processes, the platform's URL, and the start-up output of both daemons."""

    processes: Processes
    platform: str
    first: str
    second: str

    def send_request(self, daemon: str, method: str, path: str, **headers: str) -> HttpAnswer:
        """Send a request to a daemon's HTTP API and return its answer."""
        response = self.processes.http.request(
            method,
            f"http://{address_in(daemon, 'http')}{path}",
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            body=b"{}" if method == "POST" else None,
        )
        document = (
            json.loads(response.data) if response.data.strip().startswith((b"{", b"[")) else None
        )
        answer_headers = response.headers
        return HttpAnswer(
            response.status,
            answer_headers.get("Daisywharf-Error"),
            document,
            answer_headers.get("Retry-After"),
        )

    def order(self, daemon: str, *, path: str = "/call/orders/new", **headers: str) -> HttpAnswer:
        """Place an order through a daemon."""
        return self.send_request(
            daemon, "POST", path, Daisywharf_Customer=ORDERER, Daisywharf_Class="work", **headers
        )


def start_small_fleet(processes: Processes) -> SmallFleet:
    """Start all processes and wait until an order succeeds through each daemon."""
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
        eventually(
            lambda daemon=daemon: fleet.send_request(daemon, "GET", "/healthz").status == 200
        )
        eventually(lambda daemon=daemon: fleet.order(daemon).status == 200)
    return fleet
