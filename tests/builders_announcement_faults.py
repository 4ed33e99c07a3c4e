"""Random faults from a seed, while targets report rate limits and departures."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from builders_target_announcements import ReportingWorld

Fault = Callable[[ReportingWorld, Random], Awaitable[None]]

LIMITS_PER_S: Final = (0.0, 0.7, 4.1, 10.3, 39.4)


def _random_vm(world: ReportingWorld, rng: Random) -> str:
    return rng.choice(list(world.fleet.vm_by_name))


def _is_up(world: ReportingWorld, name: str) -> bool:
    vm = world.fleet.vm_by_name[name]
    return vm.daemon is not None and not vm.process.is_suspended and not vm.daemon.is_stopping


async def _set_limits(world: ReportingWorld, rng: Random) -> None:
    """Report a rate limit that changes and then ends."""
    target = world.target_by_vm[_random_vm(world, rng)]
    if target.limit_per_s is not None or target.has_left:
        return
    for _ in range(rng.choice((1, 1, 3))):
        target.set_limit(rng.choice(LIMITS_PER_S))
        await asyncio.sleep(rng.uniform(1.0, 9.0))
        if target.has_left:
            return
    target.set_limit(None)


async def _leave(world: ReportingWorld, rng: Random) -> None:
    """Report a departure in answers only, then start another target at the same address."""
    name = _random_vm(world, rng)
    target = world.target_by_vm[name]
    if target.is_leaving or sum(t.is_leaving for t in world.target_by_vm.values()) >= 2:
        return
    target.is_leaving = True
    await asyncio.sleep(rng.uniform(2.0, 8.0))
    await world.start_target(name)


async def _kill(world: ReportingWorld, rng: Random) -> None:
    """Kill a daemon, up to three times in a row."""
    name = _random_vm(world, rng)
    for _ in range(rng.choice((1, 1, 3))):
        if not _is_up(world, name):
            return
        world.fleet.kill(name)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        world.fleet.start_daemon(world.fleet.vm_by_name[name])
        await asyncio.sleep(rng.uniform(0.5, 2.0))


async def _suspend(world: ReportingWorld, rng: Random) -> None:
    """Suspend a VM for a while."""
    name = _random_vm(world, rng)
    if not _is_up(world, name):
        return
    lasts_s = rng.uniform(0.3, 3.0)
    world.record_excuse(name, lasts_s=lasts_s)
    world.fleet.suspend(name)
    await asyncio.sleep(lasts_s)
    world.fleet.resume(name)


async def _partition(world: ReportingWorld, rng: Random) -> None:
    """Partition a VM, or its zone, from all others and from the store."""
    name, is_zone = _random_vm(world, rng), rng.random() < 0.5
    fleet = world.fleet
    zone = fleet.vm_by_name[name].zone
    apart = [v for v in fleet.vm_by_name.values() if v.name == name or (is_zone and v.zone == zone)]
    lasts_s = rng.uniform(0.5, 6.0)
    for vm in apart:
        world.record_excuse(vm.name, lasts_s=lasts_s)
    hosts = frozenset(vm.host for vm in apart)
    others = {vm.host for vm in fleet.vm_by_name.values()} | {fleet.store.address.host}
    partition = (hosts, frozenset(others - hosts))
    fleet.net.partitions.append(partition)
    await asyncio.sleep(lasts_s)
    fleet.net.partitions.remove(partition)


async def _silence(world: ReportingWorld, _rng: Random) -> None:
    """Silence the open connections between daemons and to the store."""
    for name in world.fleet.vm_by_name:
        world.record_excuse(name, lasts_s=0.0)
    clients = {world.client.host}
    world.fleet.net.silence(lambda one, other: one != other and not clients & {one, other})
    await asyncio.sleep(0.0)


async def _stop(world: ReportingWorld, rng: Random) -> None:
    """Stop a daemon gracefully, and start it again."""
    name = _random_vm(world, rng)
    if _is_up(world, name):
        daemon = world.fleet.vm_by_name[name].daemon
        assert daemon is not None
        world.fleet.stop(name)
        await daemon.stopped.wait()
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        if world.fleet.vm_by_name[name].daemon is daemon:
            world.fleet.start_daemon(world.fleet.vm_by_name[name])


async def _surge(world: ReportingWorld, rng: Random) -> None:
    """Add a load surge of two seconds."""
    await world.load(per_s=rng.choice((300.0, 600.0)), lasts_s=2.0)


FAULTS: Final[tuple[Fault, ...]] = (
    _set_limits,
    _set_limits,
    _set_limits,
    _leave,
    _kill,
    _kill,
    _suspend,
    _partition,
    _silence,
    _stop,
    _surge,
)


async def run_faults(
    world: ReportingWorld, *, seed: int, lasts_s: float, load_per_s: float
) -> None:
    """Run overlapping random faults under load."""
    rng = Random(f"troubles {seed}")
    load = asyncio.ensure_future(world.load(per_s=load_per_s, lasts_s=lasts_s))
    await _set_initial_limits(world, rng)
    until = world.fleet.now + lasts_s
    running: list[asyncio.Future[None]] = []
    while world.fleet.now < until - 6.0:
        running.append(asyncio.ensure_future(rng.choice(FAULTS)(world, rng)))
        await asyncio.sleep(rng.uniform(0.1, 2.5))
    await load
    await asyncio.gather(*running)


async def _set_initial_limits(world: ReportingWorld, rng: Random) -> None:
    """Limit two targets from the start, so that each seed has arrivals to check."""
    for name in rng.sample(list(world.fleet.vm_by_name), 2):
        world.target_by_vm[name].set_limit(rng.choice(LIMITS_PER_S))
