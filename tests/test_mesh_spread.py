"""A new configuration reaches all daemons, each copy sent once, a few at a time."""

import asyncio

import pytest

from builders_mesh import MeshWorld, TargetStandIn, configuration, eventually, in_loop, route
from daisywharf._mesh import _spread
from daisywharf._mesh._spread import (
    ASK_AGAIN_S,
    COPIES_WITHIN_S,
    MOST_COPIES,
    Spread,
    may_send,
    must_ask,
)


def test_one_is_asked_and_the_next_only_when_it_didn_t_answer() -> None:
    spread = Spread()
    assert must_ask(spread, known=1, said=2, now=10.0)
    assert not must_ask(spread, known=1, said=2, now=10.1)
    assert must_ask(spread, known=1, said=3, now=10.2)
    assert not must_ask(spread, known=1, said=2, now=10.3)
    assert must_ask(spread, known=1, said=2, now=10.21 + ASK_AGAIN_S)


def test_none_is_asked_for_a_version_that_is_in_force() -> None:
    assert not must_ask(Spread(), known=2, said=2, now=10.0)
    assert not must_ask(Spread(), known=2, said=1, now=10.0)


def test_a_few_copies_are_sent_at_a_time() -> None:
    spread = Spread()
    assert [may_send(spread, now=10.0) for _ in range(MOST_COPIES + 2)].count(True) == MOST_COPIES
    assert may_send(spread, now=10.01 + COPIES_WITHIN_S)
    assert spread.copies == MOST_COPIES + 1


def test_each_daemon_of_a_zone_gets_a_long_configuration_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replay grown karri-mesh scale-1, second 24.8: 1,208 routes, 28 VMs a zone."""

    # Eight daemons share one loop here; on a busy machine a copy may take longer than a second.
    monkeypatch.setattr(_spread, "ASK_AGAIN_S", 60.0)

    async def scenario() -> None:
        world = MeshWorld()
        for _ in range(8):
            await world.add(TargetStandIn())
        await world.settle()
        before = sum(daemon.in_force.spread.copies for daemon in world.daemons)
        many = [route("r"), *(route(f"r{number}") for number in range(1_208))]
        world.store.change(configuration(*many, version=2))
        await eventually(lambda: all(daemon.version == 2 for daemon in world.daemons))
        await asyncio.sleep(0.1)
        copies = sum(daemon.in_force.spread.copies for daemon in world.daemons) - before
        # One at least has it from the store; each of the others is sent one copy.
        assert copies <= 7
        await world.close()

    in_loop(scenario)
