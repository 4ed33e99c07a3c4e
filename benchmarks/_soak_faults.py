"""The faults that a soak injects; each ends by itself, and several may overlap."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Final

from benchmarks._soak_fleet import ZONES, SoakFleet, SoakVm
from benchmarks._soak_ledger import FaultRecord
from benchmarks._soak_parts import BACK, FRONT, body_of
from daisywharf._mesh._http_server import Exchange

Fault = Callable[[SoakFleet], Awaitable[None]]
ALL_VMS: Final = "*"
# Limits that overloaded targets announce, in requests per second: from 0 to more than their load.
LIMITS_PER_S: Final = (0.0, 0.7, 4.1, 10.3, 39.4)
# A correct clock (twice as likely), one an hour ahead or behind, as in the wrong time zone, and
# one 40 years behind, as if never set.
CLOCK_OFFSETS_MS: Final = (0, 0, 3_600_000, -3_600_000, -40 * 365 * 86_400_000)


@contextmanager
def _recorded_fault(
    fleet: SoakFleet, name: str, *vms: str, is_planned: bool = False, is_of_target: bool = False
) -> Iterator[None]:
    """Record a fault on each VM for as long as the context lasts."""
    began_at = time.monotonic()
    records = [FaultRecord(name, vm, began_at, is_planned, is_of_target=is_of_target) for vm in vms]
    fleet.ledger.faults += records
    try:
        yield
    finally:
        for record in records:
            record.ended_at = time.monotonic()


@contextmanager
def _replacing(vm: SoakVm) -> Iterator[None]:
    """Prevent other faults from starting a second target at the same address."""
    vm.is_target_being_replaced = True
    try:
        yield
    finally:
        vm.is_target_being_replaced = False


def _pick_running_vm(fleet: SoakFleet) -> SoakVm | None:
    """Return a random VM whose daemon runs, or None unless more than half of them run."""
    running = [vm for vm in fleet.vms if vm.process is not None]
    return fleet.rng.choice(running) if len(running) > len(fleet.vms) // 2 else None


def _draw_duration_s(fleet: SoakFleet) -> float:
    """Return a random duration of a fault."""
    return 0.3 + 2.7 * fleet.rng.random()


async def stop_daemon(fleet: SoakFleet) -> None:
    """Stop a daemon with SIGTERM, as for planned maintenance, and start it again."""
    vm = _pick_running_vm(fleet)
    if vm is not None:
        with _recorded_fault(fleet, "stop-daemon", vm.name, is_planned=True):
            if await fleet.end_daemon(vm, signal.SIGTERM):
                fleet.start_daemon(vm, clock_offset_ms=fleet.rng.choice(CLOCK_OFFSETS_MS))
            await asyncio.sleep(1.0)


async def kill_daemon(fleet: SoakFleet) -> None:
    """Kill a daemon and soon start it again, possibly with a wrong clock."""
    vm = _pick_running_vm(fleet)
    if vm is not None:
        with _recorded_fault(fleet, "kill-daemon", vm.name):
            if await fleet.end_daemon(vm, signal.SIGKILL):
                await asyncio.sleep(_draw_duration_s(fleet) / 2)
                fleet.start_daemon(vm, clock_offset_ms=fleet.rng.choice(CLOCK_OFFSETS_MS))
            await asyncio.sleep(1.0)


async def kill_many(fleet: SoakFleet) -> None:
    """Change the configuration and kill a third of the daemons, or all store watchers, at once."""
    vms = [vm for vm in fleet.vms if vm.process is not None]
    vms = fleet.rng.choice((vms[:: 3 if len(vms) > 3 else 1], vms[: 2 * len(ZONES)]))
    with _recorded_fault(fleet, "kill-many", *(vm.name for vm in vms)):
        await change_configuration(fleet)
        ended = await asyncio.gather(*(fleet.end_daemon(vm, signal.SIGKILL) for vm in vms))
        await asyncio.sleep(0.5)
        for vm, was_running in zip(vms, ended, strict=True):
            if was_running:
                fleet.start_daemon(vm)
        await asyncio.sleep(2.0)


async def stop_in_turn(fleet: SoakFleet) -> None:
    """Stop the daemons that watch the store one after the other, and start each again."""
    gap_s = fleet.rng.choice((0.1, 0.5, 1.0))

    async def stop(vm: SoakVm) -> None:
        with _recorded_fault(fleet, "stop-daemon", vm.name, is_planned=True):
            if await fleet.end_daemon(vm, signal.SIGTERM):
                fleet.start_daemon(vm)
            await asyncio.sleep(1.0)

    stops = []
    for vm in fleet.vms[: 2 * len(ZONES)]:
        if vm.process is not None:
            stops.append(asyncio.ensure_future(stop(vm)))
            await asyncio.sleep(gap_s)
            await change_configuration(fleet)
    await asyncio.gather(*stops)


async def freeze_watchers(fleet: SoakFleet) -> None:
    """Suspend the daemons that watch the store, and change the configuration meanwhile."""
    vms = [vm for vm in fleet.vms[: 2 * len(ZONES)] if vm.process is not None]
    processes = [vm.process for vm in vms if vm.process is not None]
    with _recorded_fault(fleet, "freeze", *(vm.name for vm in vms)):
        for process in processes:
            process.send_signal(signal.SIGSTOP)
        await change_configuration(fleet)
        await asyncio.sleep(_draw_duration_s(fleet))
        for process in processes:
            process.send_signal(signal.SIGCONT)


async def freeze_daemon(fleet: SoakFleet) -> None:
    """Suspend a daemon's process for a while, as if its VM were suspended."""
    vm = _pick_running_vm(fleet)
    process = None if vm is None else vm.process
    if vm is not None and process is not None:
        with _recorded_fault(fleet, "freeze", vm.name):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(_draw_duration_s(fleet))
            process.send_signal(signal.SIGCONT)


async def silence_links(fleet: SoakFleet) -> None:
    """Drop the bytes to a daemon's links, those back from it, or both."""
    vm = fleet.rng.choice(fleet.vms)
    relay = fleet.relays[vm.name]
    directions = fleet.rng.choice(("in", "out", "in out"))
    with _recorded_fault(fleet, f"silent {directions}", vm.name):
        relay.drops_in, relay.drops_out = "in" in directions, "out" in directions
        await asyncio.sleep(_draw_duration_s(fleet))
        relay.drops_in = relay.drops_out = False
        # Bytes were lost in the streams: a real network would have ended these connections too.
        relay.reset()


async def delay_links(fleet: SoakFleet) -> None:
    """Delay everything on a daemon's links."""
    vm = fleet.rng.choice(fleet.vms)
    with _recorded_fault(fleet, "delay", vm.name):
        fleet.relays[vm.name].delay_s = 0.05 + 0.3 * fleet.rng.random()
        await asyncio.sleep(_draw_duration_s(fleet))
        fleet.relays[vm.name].delay_s = 0.0


async def reset_links(fleet: SoakFleet) -> None:
    """Reset all links to a daemon."""
    vm = fleet.rng.choice(fleet.vms)
    with _recorded_fault(fleet, "reset", vm.name):
        fleet.relays[vm.name].reset()
        await asyncio.sleep(0.1)


async def silence_open(fleet: SoakFleet) -> None:
    """Silence open connections for good, to the store or all of them, while new ones work."""
    is_all = fleet.rng.random() < 0.5 and not fleet.is_direct
    if fleet.rng.random() < 0.5:
        await change_configuration(fleet)
        await asyncio.sleep(0.1)
    with _recorded_fault(
        fleet, "connections silent" if is_all else "store connections silent", ALL_VMS
    ):
        fleet.store.silence_open_connections()
        if is_all:
            for relay in fleet.relays.values():
                relay.silence_open_connections()
    await asyncio.sleep(fleet.rng.random())
    await change_configuration(fleet)


async def refuse_some(fleet: SoakFleet) -> None:
    """Let the store refuse a third of the VMs, the first (which watch) or random ones."""
    store = fleet.store
    count = len(fleet.vms) // 3
    vms = fleet.rng.choice((fleet.vms[:count], fleet.rng.sample(fleet.vms, count)))
    with _recorded_fault(fleet, "store refuses some", ALL_VMS):
        store.refused_hosts = {vm.host for vm in vms}
        store.is_refusal_silent = fleet.rng.random() < 0.5
        await asyncio.sleep(_draw_duration_s(fleet))
        store.refused_hosts = set()
        store.silence_open_connections()
    await change_configuration(fleet)


async def trouble_store(fleet: SoakFleet) -> None:
    """Let the store refuse, be silent, be slow, lose answers, or forget its history."""
    store = fleet.store
    effect = fleet.rng.choice(("refuses", "silent", "slow", "loses answers", "forgets"))
    with _recorded_fault(fleet, f"store {effect}", ALL_VMS):
        store.status = 503 if effect == "refuses" else None
        store.is_silent = effect == "silent"
        store.delay_s = fleet.rng.choice((0.24, 1.0)) if effect == "slow" else 0.0
        store.loses_answers = effect == "loses answers"
        if effect == "forgets":
            store.oldest_revision = store.revision + 1
            store.revision += 1
        await asyncio.sleep(_draw_duration_s(fleet))
        store.status, store.is_silent = None, False
        store.delay_s, store.loses_answers = 0.0, False
        for connection in list(store.server.connections):
            connection.close()


async def roll_back_store(fleet: SoakFleet) -> None:
    """Restore the store from a copy after a moment of silence; the operator writes again later."""
    store = fleet.store
    if not fleet.has_store_era:
        return
    if fleet.rng.random() < 0.5:
        await change_configuration(fleet)
        await asyncio.sleep(fleet.rng.random())
    with _recorded_fault(fleet, "store rollback", ALL_VMS):
        away_s = fleet.rng.choice((0.0, 0.3, 1.5))
        if away_s:
            store.is_silent = True
            await asyncio.sleep(away_s)
        store.roll_back(fleet.rng.uniform(1.0, 20.0))
        store.is_silent = False
        if fleet.rng.random() < 0.5:
            for connection in list(store.server.connections):
                connection.close()
        await asyncio.sleep(_draw_duration_s(fleet))
        fleet.write_configuration_again()


async def crash_target(fleet: SoakFleet) -> None:
    """Crash a target without an announcement and start a new incarnation."""
    vm = fleet.rng.choice(fleet.vms)
    target = vm.target
    if target is not None and not vm.is_target_being_replaced:
        with _recorded_fault(fleet, "crash-target", vm.name, is_of_target=True), _replacing(vm):
            target.crash()
            await asyncio.sleep(_draw_duration_s(fleet))
            await fleet.start_target(vm)
            await asyncio.sleep(1.0)


async def replace_target(fleet: SoakFleet) -> None:
    """Let a target leave in a planned way and start a new incarnation."""
    vm = fleet.rng.choice(fleet.vms)
    target = vm.target
    if target is not None and not vm.is_target_being_replaced:
        with (
            _recorded_fault(fleet, "replace-target", vm.name, is_planned=True, is_of_target=True),
            _replacing(vm),
        ):
            await target.leave(drain_s=4.0)
            await fleet.start_target(vm)
            await asyncio.sleep(1.0)


async def trouble_target(fleet: SoakFleet) -> None:
    """Let a target be slow, fail, cut answers, send a foreign answer first, or not sign."""
    vm = fleet.rng.choice(fleet.vms)
    target = vm.target
    if target is None or target.is_down:
        return
    effect = fleet.rng.choice(("slow", "fails", "cuts", "adds", "lies"))
    with _recorded_fault(fleet, f"target {effect}", vm.name, is_of_target=True):
        target.work_s = 0.4 if effect == "slow" else 0.02
        target.misbehaviour = MISBEHAVIOUR_BY_EFFECT.get(effect)
        await asyncio.sleep(_draw_duration_s(fleet))
        target.work_s, target.misbehaviour = 0.02, None


async def name_limits(fleet: SoakFleet) -> None:
    """Let a target announce a limit that may change and then ends."""
    vm = fleet.rng.choice(fleet.vms)
    target = vm.target
    if target is None or target.is_down or target.limit_per_s is not None:
        return
    with _recorded_fault(fleet, "target in need", vm.name, is_of_target=True):
        for _ in range(fleet.rng.choice((1, 1, 3))):
            target.set_limit(fleet.rng.choice(LIMITS_PER_S))
            await asyncio.sleep(fleet.rng.uniform(2.0, 9.0))
            if target.is_down:
                return
        target.set_limit(None)


async def say_leaving(fleet: SoakFleet) -> None:
    """Let a target announce in answers only that it leaves, then start a new incarnation."""
    vm = fleet.rng.choice(fleet.vms)
    target = vm.target
    if target is None or vm.is_target_being_replaced or target.is_down:
        return
    with (
        _recorded_fault(fleet, "target says it leaves", vm.name, is_of_target=True),
        _replacing(vm),
    ):
        target.announces_leaving = True
        await asyncio.sleep(fleet.rng.uniform(3.0, 6.0))
        target.crash()
        await fleet.start_target(vm)
        await asyncio.sleep(1.0)


async def fail_service(fleet: SoakFleet) -> None:
    """Let all targets of a service fail, as after a bad release."""
    service = fleet.rng.choice((FRONT, BACK))
    targets = [vm.target for vm in fleet.vms if vm.target is not None and vm.service == service]
    with _recorded_fault(fleet, f"all of {service} fail", ALL_VMS, is_of_target=True):
        for target in targets:
            target.misbehaviour = _answer_failure
        await asyncio.sleep(_draw_duration_s(fleet))
        for target in targets:
            target.misbehaviour = None


def _answer_failure(exchange: Exchange, request: str) -> bool:
    lines = f"Attempt-Id: {request}\r\nServer-Signature: s\r\n".encode()
    exchange.respond(500, lines=lines)
    return True


def _cut_answer(exchange: Exchange, request: str) -> bool:
    transport = exchange.connection.transport
    if transport is not None:
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nServer-Signature: s\r\n"
        transport.write(f"{head}Content-Length: 900\r\n\r\nonly this".encode())
        transport.close()
    return True


def _answer_foreign_first(exchange: Exchange, request: str) -> bool:
    """Send the answer of another request first, then let the right one follow."""
    transport = exchange.connection.transport
    if transport is not None:
        body = body_of("someone-elses", "nowhere")
        head = "HTTP/1.1 200 OK\r\nAttempt-Id: someone-elses\r\nServer-Signature: s\r\n"
        transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    return False


def _answer_unsigned(exchange: Exchange, _request: str) -> bool:
    """Answer without a signature, as another program at the target's address would."""
    exchange.respond(200, body=b"I am another program")
    return True


MISBEHAVIOUR_BY_EFFECT: Final = {
    "fails": _answer_failure,
    "cuts": _cut_answer,
    "adds": _answer_foreign_first,
    "lies": _answer_unsigned,
}


async def change_configuration(fleet: SoakFleet) -> None:
    """Write a new version, unless a fault of the store prevents its acknowledgement."""
    store = fleet.store
    if store.status is None and not (store.is_silent or store.loses_answers or store.delay_s):
        fleet.write_configuration()


async def change_in_series(fleet: SoakFleet) -> None:
    """Write several versions in quick succession."""
    for _ in range(fleet.rng.choice((2, 4))):
        await change_configuration(fleet)
        await asyncio.sleep(fleet.rng.choice((0.02, 0.3, 1.0)))


# Drawn with equal probability, so that a repeated fault is more likely; `--only` selects them by
# the names of their functions.
FAULTS: Final[tuple[Fault, ...]] = (
    stop_daemon,
    stop_daemon,
    kill_daemon,
    kill_many,
    stop_in_turn,
    freeze_daemon,
    freeze_watchers,
    silence_links,
    delay_links,
    reset_links,
    trouble_store,
    silence_open,
    silence_open,
    refuse_some,
    roll_back_store,
    roll_back_store,
    crash_target,
    replace_target,
    replace_target,
    trouble_target,
    trouble_target,
    fail_service,
    name_limits,
    name_limits,
    name_limits,
    say_leaving,
    change_configuration,
    change_configuration,
    change_in_series,
)
# Faults that need the relays in front of the daemons' links.
RELAY_FAULTS: Final[tuple[Fault, ...]] = (silence_links, delay_links, reset_links)
