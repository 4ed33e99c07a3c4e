"""A new configuration reaches all daemons; each gets one copy, and few are sent at a time."""

import asyncio

import pytest

from builders_mesh import MeshWorld, TargetStandIn, configuration, eventually, in_loop, route
from daisywharf._mesh import _distribution
from daisywharf._mesh._distribution import (
    MAX_SENT_BYTES,
    SEND_WINDOW_S,
    Distribution,
    Send,
    may_send,
    next_source,
    record_source,
)
from daisywharf._mesh._frames import Frame


def _asked(distribution: Distribution, *, known: int, now: float) -> str | None:
    """Return the name of the source that is asked, or None."""
    send = next_source(distribution, known=known, now=now)
    return None if send is None else NAMES[send]


def _source(name: str) -> Send:
    def send(_frame: Frame) -> None:
        raise AssertionError("choosing a source must not send anything")

    NAMES[send] = name
    return send


NAMES: dict[Send, str] = {}


def test_the_next_source_is_asked_when_the_last_one_sent_nothing() -> None:
    distribution = Distribution()
    for name in ("a", "b"):
        record_source(distribution, known=1, offered=2, send=_source(name))
    assert _asked(distribution, known=1, now=10.0) == "a"
    assert _asked(distribution, known=1, now=10.1) is None
    assert _asked(distribution, known=1, now=10.5) == "b"
    assert _asked(distribution, known=1, now=11.0) == "a"
    assert _asked(distribution, known=2, now=12.0) is None


def test_a_newer_version_is_requested_at_once_and_only_from_its_sources() -> None:
    distribution = Distribution()
    record_source(distribution, known=1, offered=2, send=_source("old"))
    assert _asked(distribution, known=1, now=10.0) == "old"
    record_source(distribution, known=1, offered=3, send=_source("new"))
    record_source(distribution, known=1, offered=2, send=_source("older"))
    assert _asked(distribution, known=1, now=10.1) == "new"
    assert _asked(distribution, known=1, now=10.6) == "new"


def test_no_source_is_asked_for_a_version_that_is_in_force() -> None:
    distribution = Distribution()
    record_source(distribution, known=2, offered=2, send=_source("a"))
    record_source(distribution, known=2, offered=1, send=_source("a"))
    assert _asked(distribution, known=2, now=10.0) is None


def test_five_sources_can_be_asked_before_a_version_is_due() -> None:
    """Replay the grown karri-mesh: the first sources have used up their bytes, or are lost."""
    distribution = Distribution()
    for name in "abcde":
        record_source(distribution, known=1, offered=2, send=_source(name))
    asked = {_asked(distribution, known=1, now=10.0 + 0.05 * tick) for tick in range(40)}
    assert asked >= set("abcde")


def test_a_few_long_copies_are_sent_at_a_time_and_any_number_of_short_ones() -> None:
    distribution = Distribution()
    assert [may_send(distribution, 300_000, now=10.0) for _ in range(9)].count(True) == 6
    assert may_send(distribution, 300_000, now=10.01 + SEND_WINDOW_S)
    assert all(may_send(Distribution(), 4_000, now=10.0) for _ in range(30))
    # A copy larger than the limit is sent if no other was sent in the window.
    assert may_send(Distribution(), 2 * MAX_SENT_BYTES, now=10.0)


def test_each_daemon_of_a_zone_gets_a_long_configuration_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replay grown karri-mesh scale-1, second 24.8: 1,208 routes, 28 VMs per zone."""

    # Eight daemons share one loop here; on a busy machine a copy may take longer than a second.
    monkeypatch.setattr(_distribution, "SOURCE_TIMEOUT_S", 60.0)

    async def scenario() -> None:
        world = MeshWorld()
        for _ in range(8):
            await world.add(TargetStandIn())
        await world.settle()
        before = sum(daemon.in_force.distribution.copies_sent for daemon in world.daemons)
        many = [route("r"), *(route(f"r{number}") for number in range(1_208))]
        world.store.change(configuration(*many, version=2))
        await eventually(lambda: all(daemon.version == 2 for daemon in world.daemons))
        await asyncio.sleep(0.1)
        copies_sent = (
            sum(daemon.in_force.distribution.copies_sent for daemon in world.daemons) - before
        )
        # At least one daemon reads it from the store; each of the others gets one copy.
        assert copies_sent <= 7
        await world.close()

    in_loop(scenario)
