"""Measure what daisywharf adds to a call: embedded, through a daemon, and against none."""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import urllib3

from benchmarks._decision import decision_figures
from benchmarks._processes import Processes, address_in, eventually
from benchmarks._processes_fleet import (
    apply_contract,
    one_class_contract,
    start_daemon,
    start_target,
)
from daisywharf._call._caller import Caller
from daisywharf._embedded._caller import EmbeddedCaller

MAX_ADDED_P99_MS = 0.32
WARM_UP_CALLS = 200
STEADY_CALLS = 50
CUSTOMER = "counter"
CALL_CLASS = "work"
RATE_PER_S = 90_000.0


def main(arguments: list[str]) -> int:
    """Print the latencies of each way, interleaved in one run."""
    parser = argparse.ArgumentParser(prog="benchmarks call", description=main.__doc__)
    parser.add_argument("--calls", type=int, default=3_000, help="calls by each way")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(Path(directory))
        try:
            figures = _measure(processes, options.calls)
        finally:
            processes.stop_all()
    print(json.dumps(figures, indent=None if options.json else 2))
    embedded = figures["embedded"]
    return 0 if embedded["added_p99_ms"] <= MAX_ADDED_P99_MS else 1


def _measure(processes: Processes, calls: int) -> dict[str, dict[str, float]]:
    platform = processes.start("platform", "platform-standin").strip()
    daemon = start_daemon(processes, "vm-1", zone="perth-1", platform=platform)
    start_target(processes, "plain-1", "plain", daemon, "--work-ms", "0", "--slots", "16")
    contract = one_class_contract(
        CUSTOMER, service="plain", idempotent=True, rate_per_second=RATE_PER_S
    )
    apply_contract(platform, contract)
    bare = _start_bare(processes)
    host, _, port = address_in(daemon, "links").rpartition(":")
    embedded = EmbeddedCaller(daemon=(host, int(port)), name="bench", keys=("a-shared-key",))
    call_by_path = {
        "straight": _http_call(bare, "/"),
        "embedded": _embedded_call(embedded.caller),
        "daemon": _http_call(address_in(daemon, "http"), "/call/plain/"),
    }
    # A daemon that has just started lets few requests in until its share is worked out.
    eventually(
        lambda: all(_succeeds(call) for call in call_by_path.values() for _ in range(STEADY_CALLS))
    )
    latencies = _interleave(call_by_path, calls)
    embedded.close()
    figures = {name: _percentiles(values) for name, values in latencies.items()}
    for name in ("embedded", "daemon"):
        for point in ("p50_ms", "p99_ms"):
            added = figures[name][point] - figures["straight"][point]
            figures[name][f"added_{point}"] = round(added, 3)
    figures["decision"] = decision_figures()
    return figures


def _start_bare(processes: Processes) -> str:
    ready_file = processes.directory / "bare.ready"
    command = [sys.executable, "-m", "benchmarks._bare_target", "--ready-file", str(ready_file)]
    processes.process_by_name["bare"] = subprocess.Popen(command)
    eventually(lambda: ready_file.exists() and ready_file.read_text().endswith("\n"))
    return address_in(ready_file.read_text(), "target")


def _http_call(address: str, path: str) -> Callable[[], None]:
    host, _, port = address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False)
    headers = {"Daisywharf-Customer": CUSTOMER, "Daisywharf-Class": CALL_CLASS}

    def call() -> None:
        reply = pool.urlopen("POST", path, headers=headers, body=b"{}")
        assert reply.status == 200, reply.data

    return call


def _embedded_call(caller: Caller) -> Callable[[], None]:
    def call() -> None:
        reply = caller.enter(
            "plain", customer=CUSTOMER, call_class=CALL_CLASS, method="POST", body=b"{}"
        )
        assert reply.status == 200, reply.body

    return call


def _succeeds(call: Callable[[], None]) -> bool:
    try:
        call()
    except Exception:
        return False
    return True


def _interleave(call_by_path: dict[str, Callable[[], None]], calls: int) -> dict[str, list[float]]:
    latencies: dict[str, list[float]] = {name: [] for name in call_by_path}
    for index in range(calls + WARM_UP_CALLS):
        for name, call in call_by_path.items():
            started = time.perf_counter()
            call()
            elapsed_ms = (time.perf_counter() - started) * 1_000.0
            if index >= WARM_UP_CALLS:
                latencies[name].append(elapsed_ms)
    return latencies


def _percentiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        "p50_ms": round(ordered[len(ordered) // 2], 3),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)], 3),
    }
