"""Clients of each machine use other routes: during a planned stop their late requests are cut off."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import world as w  # noqa: E402
from standins.backend import Backend  # noqa: E402

WORK_S = 0.6
CLIENTS = 6  # at each machine
SAME_MIX = os.environ.get("SAME_MIX") == "1"  # a comparison: all clients use all routes


async def case(world):
    # One machine in each zone: readiness takes no clients away from a machine, because fewer than
    # half of its zone's daemons would be in.
    berth = world.add("m-berth", "antwerpen", "berthdesk")
    book = world.add("m-book", "gent", "bookhouse")
    lock = world.add("m-lock", "kallo", "lockwatch")
    world.configure(
        7,
        [
            w.route("r-slot", "/slot/", "berthdesk", "idempotent"),
            w.route("r-book", "/book/", "bookhouse", "non_idempotent"),
            w.route("r-tide", "/tide/", "lockwatch", "idempotent"),
        ],
    )
    backends = [Backend(m, f"i-{m.name}", world.record, work_s=WORK_S) for m in world.machines]
    for machine, backend in zip(world.machines, backends, strict=True):
        world.start_daemon(machine)
        await backend.start()
    await world.wait_ready(world.machines)
    await asyncio.sleep(4)
    use_by_machine = {
        berth: ("POST", "/book/x"),
        book: ("GET", "/tide/x"),
        lock: ("GET", "/slot/x"),
    }
    clients = []
    for machine, use in use_by_machine.items():
        uses = list(use_by_machine.values()) if SAME_MIX else [use]
        clients += [
            (machine, *world.start_client(machine, *uses[n % len(uses)])) for n in range(CLIENTS)
        ]
    await asyncio.sleep(12)
    stopped_at = time.monotonic()
    if world.trouble:
        await world.end_daemon(berth, signal.SIGTERM)
    else:
        await asyncio.sleep(w.BOUNDS["gracePeriodS"])
    await asyncio.sleep(1.0)
    for _, task, _ in clients:
        task.cancel()
    # Taken by the stopped machine, passed on to a sound backend, and broken off while that is at
    # work: the connection ended, or the daemon gave an answer of its own (the backends answer 200).
    # Excused: sent no later than 3 s after SIGTERM and still at work in the last sixth of the
    # grace period.
    ran = {run[1] for backend in backends for run in backend.runs}
    grace_s = w.BOUNDS["gracePeriodS"]
    lost = [
        (attempt, status, round(sent_at - stopped_at, 2), round(ended_at - stopped_at, 2))
        for machine, _, results in clients
        if machine is berth
        for attempt, sent_at, status, ended_at in results
        if status != 200 and attempt in ran and stopped_at < ended_at < stopped_at + grace_s + 1
        if ended_at - sent_at < WORK_S
        if sent_at > stopped_at + 3 or ended_at < stopped_at + grace_s * 5 / 6
    ]
    world.record(
        f"requests passed on and cut (id, status, sent and cut after SIGTERM): {len(lost)} {lost}"
    )
    return bool(lost)


w.run(case, Path(__file__).parent / "record.txt")
