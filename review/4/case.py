"""A deregistration that reaches a restarted daemon before any heartbeat is acknowledged and lost."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import world as w  # noqa: E402
from standins.backend import Backend  # noqa: E402

LATE_BY_S = 3.0  # "A heartbeat may arrive seconds late"
SERVES_FOR_S = 12.0  # after the acknowledgement: `drainMs` and "at times many seconds"
CLIENTS = 6


async def case(world):
    entry = world.add("m-entry", "antwerpen", "berthdesk")
    leaver_vm = world.add("m-book-1", "gent", "bookhouse")
    stayer_vm = world.add("m-book-2", "kallo", "bookhouse")
    world.configure(7, [w.route("r-book", "/book/", "bookhouse", "non_idempotent")])
    backends = [Backend(m, f"i-{m.name}", world.record, work_s=0.3) for m in world.machines]
    leaver = backends[1]
    for machine, backend in zip(world.machines, backends, strict=True):
        world.start_daemon(machine)
        await backend.start()
    await world.wait_ready(world.machines)
    await asyncio.sleep(4)
    clients = [world.start_client(entry, "POST", "/book/x", pause_s=0.02) for _ in range(CLIENTS)]
    await asyncio.sleep(1)

    # The backend's last heartbeat is on its way for `LATE_BY_S`; meanwhile the daemon is restarted.
    leaver.stop_beats()
    path, body = leaver.heartbeat()
    sent_at = time.monotonic()
    world.record(f"heartbeat {leaver.sequence} of {leaver.ident} sent, state ready")
    if not world.trouble:
        world.record(f"it arrives at once: {await leaver.say(path, body)}")
    else:
        await world.end_daemon(leaver_vm, signal.SIGKILL)
        world.start_daemon(leaver_vm)
    restarted_at = time.monotonic()

    # The backend leaves by a deregistration; it tries again until the new process is there.
    leaving = b'{"sequence":%d,"born":%d}' % (leaver.sequence + 1, leaver.born)
    while await leaver.say(f"/-/instances/{leaver.ident}/deregister", leaving) != 200:
        await asyncio.sleep(0.05)
    acked_at = time.monotonic()
    world.record(f"deregistration of {leaver.ident} acknowledged by the daemon of {leaver_vm.name}")
    if world.trouble:
        await asyncio.sleep(max(0.0, sent_at + LATE_BY_S - time.monotonic()))
        world.record(f"the late heartbeat arrives: {await leaver.say(path, body)}")
    await asyncio.sleep(acked_at + SERVES_FOR_S - time.monotonic())
    world.record(f"{leaver.ident} exits")
    ended_at = time.monotonic()
    leaver.end()
    await asyncio.sleep(2)
    for task, _ in clients:
        task.cancel()
    # Later than `drainMs` after the acknowledgement, at machines in touch: the entry is calm all
    # day, the gate's machine from `stabilityWindowMs` after the start of its daemon.
    from_s = max(
        acked_at + w.BOUNDS["drainMs"] / 1000, restarted_at + w.BOUNDS["stabilityWindowMs"] / 1000
    )
    late_runs = [run[1] for run in leaver.runs if run[0] > from_s]
    cut = [
        r[0]
        for _, results in clients
        for r in results
        if r[0] in set(late_runs) and r[2] != 200 and r[3] >= ended_at - 0.5
    ]
    world.record(f"runs at {leaver.ident} later than drainMs after its leaving: {len(late_runs)}")
    world.record(f"of these, bookings that got no answer from it as it exited: {len(cut)} {cut}")
    return bool(late_runs)


w.run(case, Path(__file__).parent / "record.txt")
