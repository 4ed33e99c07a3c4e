"""The faults that `--faults` can name; each one recurs at random intervals."""

from collections.abc import Callable
from typing import Final

from benchmarks._outcomes_world import ZONES, World
from daisywharf._outcomes._ticket import MAX_CLOCK_SKEW_S

RESTART_POLL_S = 0.1


def _recur(world: World, mean_s: float, inject: Callable[[], None]) -> None:
    def step() -> None:
        inject()
        world.clock.after(world.rng.expovariate(1.0 / mean_s), step)

    world.clock.after(world.rng.expovariate(1.0 / mean_s), step)


def _pause(world: World) -> None:
    def inject() -> None:
        node = world.rng.choice([*world.entries, *world.target_by_id.values()])
        node.pause_for(world.rng.choice((0.3, 1.5, 5.0, 30.0)))

    _recur(world, 20.0, inject)


def _silent(world: World) -> None:
    def inject() -> None:
        entry = world.rng.choice(world.entries)
        links = list(entry.link_by_target.values())
        if links:
            channel = world.rng.choice(links).channel
            channel.drops_to_target, channel.drops_to_entry = world.rng.choice(
                ((True, False), (False, True), (True, True))
            )
            channel.first_fault_at = min(channel.first_fault_at, world.clock.now)

    _recur(world, 1.0, inject)


def _lost(world: World) -> None:
    rates = world.network.rates
    rates.reset = 0.0005
    rates.cut = 0.003
    rates.repeat = 0.005
    rates.mix_up = 0.01
    rates.shed = 0.01
    rates.give_up = 0.005
    world.claims.lost_fraction = 0.02

    def inject() -> None:
        world.claims.down_until = world.clock.now + world.rng.uniform(0.5, 5.0)

    _recur(world, 20.0, inject)


def _restart(world: World) -> None:
    def inject() -> None:
        target = world.rng.choice(list(world.target_by_id.values()))
        if target.is_gone:
            return
        if world.rng.random() < 0.5:
            world.restart(target)
            return
        target.stop_gracefully()
        await_end(target.target_id)

    def await_end(target_id: str) -> None:
        target = next(t for t in world.target_by_id.values() if t.target_id == target_id)
        if target.is_gone:
            world.restart(target)
        else:
            world.clock.after(RESTART_POLL_S, lambda: await_end(target_id))

    _recur(world, 5.0, inject)


def _partition(world: World) -> None:
    def inject() -> None:
        first = world.rng.randrange(ZONES)
        zones = frozenset((first, (first + 1) % ZONES))
        until = world.clock.now + world.rng.uniform(0.5, 15.0)
        world.network.partitioned_until_by_zones[zones] = until

    _recur(world, 20.0, inject)


def _skew(world: World) -> None:
    def inject() -> None:
        node = world.rng.choice([*world.entries, *world.target_by_id.values()])
        node.wall_offset_s = world.rng.uniform(-MAX_CLOCK_SKEW_S / 2, MAX_CLOCK_SKEW_S / 2)

    for _ in range(10):
        inject()
    _recur(world, 5.0, inject)


FAULT_BY_NAME: Final[dict[str, Callable[[World], None]]] = {
    "pause": _pause,
    "silent": _silent,
    "lost": _lost,
    "restart": _restart,
    "partition": _partition,
    "skew": _skew,
}
