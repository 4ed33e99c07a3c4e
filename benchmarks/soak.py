"""Run real daemons through series of overlapping faults, and check the promises."""

import argparse
import asyncio
import contextlib
import json
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import uvloop

from benchmarks._announcement_ledger import count_checked_arrivals
from benchmarks._soak_daemon import BREAK_BY_PROMISE
from benchmarks._soak_faults import ALL_VMS, FAULTS, RELAY_FAULTS, Fault
from benchmarks._soak_fleet import SoakFleet
from benchmarks._soak_ledger import (
    STABILITY_WINDOW_S,
    FaultRecord,
    SentRequest,
    broken_promises,
    requests_with_allowed_services,
)

# From the site files: `recoveryS`.
RECOVERY_S: Final = 15.0
RECOVERED_FRACTION: Final = 0.99
SETTLE_S: Final = 3.0  # daemons learn which service calls which, and all targets
# Maximum of concurrent faults, and longest pause between two in seconds. Slow paces are needed
# too: checks are skipped near a fault, so with faults everywhere little is checked.
FAULT_PACES: Final = ((1, 4.0), (2, 2.5), (4, 1.3))
REQUESTS_PER_S: Final = 12.0  # of each client
MAX_TOTAL_REQUESTS_PER_S: Final = 240.0  # of all clients, which share this process with targets
LAG_CHECK_S: Final = 0.05
# A delay of this process looks like a slow store, target or client: it is recorded as a fault.
MAX_LAG_S: Final = 0.25
SURGE_FACTOR: Final = 5.0


def main(arguments: list[str]) -> int:
    """Run one seed; exit with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="benchmarks soak", description=main.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5, help="how long faults are injected")
    parser.add_argument("--processes", type=int, default=9, help="daemons, up to 250")
    parser.add_argument(
        "--routes", type=int, default=0, help="additional routes that get no requests"
    )
    parser.add_argument(
        "--direct",
        action="store_true",
        help="connect daemons without relays, for 50 daemons and more",
    )
    parser.add_argument("--only", default="", help="the faults to draw from, separated by commas")
    parser.add_argument("--break", dest="broken", default="", choices=["", *BREAK_BY_PROMISE])
    parser.add_argument(
        "--keep", type=Path, help="directory for the logs and the ledger of a failure"
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    directory = Path(tempfile.mkdtemp(prefix="soak-"))
    try:
        fleet, lines = uvloop.run(_run_soak(options, directory))
        _print(options, fleet, lines)
        if lines and options.keep is not None:
            _save_failure_logs(fleet, directory, options.keep / f"seed-{options.seed}")
    finally:
        shutil.rmtree(directory)
    return 1 if lines else 0


async def _run_soak(options: argparse.Namespace, directory: Path) -> tuple[SoakFleet, list[str]]:
    fleet = SoakFleet(
        directory,
        is_direct=options.direct,
        vms=options.processes,
        seed=options.seed,
        broken_promise=options.broken,
        routes=options.routes,
    )
    try:
        await fleet.start()
        load = [asyncio.ensure_future(_send_load(fleet, vm.name)) for vm in fleet.vms]
        load.append(asyncio.ensure_future(_record_lag(fleet)))
        await asyncio.sleep(SETTLE_S)
        only = options.only.split(",") if options.only else []
        kinds = [fault for fault in FAULTS if not only or fault.__name__ in only]
        if options.direct:
            kinds = [fault for fault in kinds if fault not in RELAY_FAULTS]
        await _run_faults(fleet, kinds, duration_s=options.minutes * 60.0)
        lines = await _await_recovery(fleet)
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        lines += broken_promises(fleet.ledger)
    finally:
        fleet.stop()
    return fleet, lines


async def _run_faults(fleet: SoakFleet, kinds: list[Fault], *, duration_s: float) -> None:
    until = time.monotonic() + duration_s
    max_running, longest_pause_s = fleet.rng.choice(FAULT_PACES)
    running: set[asyncio.Future[None]] = set()
    while time.monotonic() < until:
        if len(running) < max_running:
            fault = asyncio.ensure_future(fleet.rng.choice(kinds)(fleet))
            running.add(fault)
            fault.add_done_callback(running.discard)
        await asyncio.sleep(0.1 + longest_pause_s * fleet.rng.random())
    await asyncio.gather(*running)


async def _record_lag(fleet: SoakFleet) -> None:
    """Record a fault on all VMs whenever this process itself is late."""
    while True:
        began_at = time.monotonic()
        await asyncio.sleep(LAG_CHECK_S)
        ended_at = time.monotonic()
        if ended_at - began_at - LAG_CHECK_S > MAX_LAG_S:
            fleet.ledger.faults.append(
                FaultRecord("soak late", ALL_VMS, began_at, ended_at=ended_at)
            )


async def _send_load(fleet: SoakFleet, vm: str) -> None:
    """Send a client's requests, with surges; at the end wait up to 5 s for those pending."""
    client, rng = fleet.clients[vm], fleet.load_rng
    surge_until = 0.0
    usual_rate_per_s = min(REQUESTS_PER_S, MAX_TOTAL_REQUESTS_PER_S / len(fleet.vms))
    sends: set[asyncio.Future[SentRequest]] = set()
    try:
        while True:
            now = time.monotonic()
            if rng.random() < 0.002:
                surge_until = now + 2.0
            rate_per_s = usual_rate_per_s * (SURGE_FACTOR if now < surge_until else 1.0)
            await asyncio.sleep(rng.expovariate(rate_per_s))
            send = asyncio.ensure_future(client.send(*_draw_request(fleet)))
            sends.add(send)
            send.add_done_callback(sends.discard)
    finally:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*sends), 5.0)


def _draw_request(fleet: SoakFleet) -> tuple[str, str]:
    """Return a random method and path."""
    drawn = fleet.load_rng.random()
    if drawn < 0.2:
        return "POST", "/orders/chain"
    if drawn < 0.4:
        return "GET", "/main/chain"
    if drawn < 0.5:
        return "GET", "/back/straight"
    if drawn < 0.7:
        return "POST", "/moved/x"
    if drawn < 0.8:
        return "GET", "/split/x"
    return "GET", f"/v{max(1, fleet.version - (drawn > 0.9))}/probe"


async def _await_recovery(fleet: SoakFleet) -> list[str]:
    """Wait until `RECOVERED_FRACTION` of requests succeed; return a line if they don't in time."""
    began_at = time.monotonic()
    served_fraction = 0.0
    while time.monotonic() - began_at < RECOVERY_S:
        await asyncio.sleep(0.5)
        served_fraction = _served_fraction(fleet, since=max(began_at, time.monotonic() - 2.5))
        if (
            time.monotonic() - began_at > STABILITY_WINDOW_S
            and served_fraction >= RECOVERED_FRACTION
        ):
            return []
    return [
        f"RECOVER: a fraction of {served_fraction:.3f} served {RECOVERY_S} s after the last fault"
    ]


def _served_fraction(fleet: SoakFleet, *, since: float) -> float:
    """Return the fraction of requests with a 2xx answer, not counting those to version prefixes."""
    until = time.monotonic() - 0.5
    sent = [
        request
        for request in fleet.ledger.sent
        if since <= request.sent_at <= until and not request.path.startswith("/v")
    ]
    served = [
        request for request in sent if request.status is not None and 200 <= request.status < 300
    ]
    return len(served) / len(sent) if sent else 0.0


def _print(options: argparse.Namespace, fleet: SoakFleet, lines: list[str]) -> None:
    sent = fleet.ledger.sent
    served = sum(request.status is not None and 200 <= request.status < 300 for request in sent)
    figures = {
        "seed": options.seed,
        "processes": options.processes,
        "faults": sum(fault.name != "soak late" for fault in fleet.ledger.faults),
        "soak_late": sum(fault.name == "soak late" for fault in fleet.ledger.faults),
        "rollbacks": sum(fault.name == "store rollback" for fault in fleet.ledger.faults),
        "versions": fleet.version,
        "requests": len(sent),
        "served_part": round(served / max(1, len(sent)), 4),
        "runs_judged": sum(1 for _ in requests_with_allowed_services(fleet.ledger)),
        "limits_judged": count_checked_arrivals(fleet.ledger.announcements),
        "leavings_told": len(fleet.ledger.announcements.relayed_leavings),
        "broken": len(lines),
    }
    if options.json:
        print(json.dumps(figures | {"lines": lines[:20]}))
        return
    print("  ".join(f"{name} {value}" for name, value in figures.items()))
    for line in lines[:20]:
        print(line)


def _save_failure_logs(fleet: SoakFleet, directory: Path, destination: Path) -> None:
    """Copy the daemons' logs, and write the ledger's faults and requests to files."""
    destination.mkdir(parents=True, exist_ok=True)
    for log in directory.glob("*.log"):
        shutil.copy(log, destination)
    with (destination / "faults.txt").open("w") as file:
        for fault in fleet.ledger.faults:
            print(fault, file=file)
    with (destination / "requests.txt").open("w") as file:
        for sent in fleet.ledger.sent:
            print(sent, fleet.ledger.runs_by_request.get(sent.request, ()), file=file)
    print(f"logs and ledger are in {destination}", file=sys.stderr)
