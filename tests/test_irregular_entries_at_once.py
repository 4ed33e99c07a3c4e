"""Many irregular entries at once among the daemons' records keep no target from its work."""

import asyncio
import time
from collections.abc import Callable, Iterable
from itertools import cycle
from typing import Final

import msgspec
import pytest

from builders_irregular_entries import (
    FOUR_ENTRIES,
    IRREGULAR_ENTRIES,
    PREFIXES,
    announce_targets,
    put_claim,
    put_entries,
    put_entry,
    restart_all,
    unknown_targets,
)
from builders_virtual_fleet import VirtualFleet
from daisywharf._limits import MAX_EXACT_INT
from daisywharf.platform._json import decode_json
from virtual_net import START_S, VirtualNet, in_virtual_time

Put = Callable[[VirtualFleet], None]
PLACES: Final = tuple(f"{zone}-{number}" for zone in ("antwerpen", "gent") for number in (1, 2, 3))
# The start of the daemons that `_start` starts.
START_MS: Final = int(START_S * 1_000)
# A few milliseconds after the daemons' start, they write their records and read the list.
DURING_START_S: Final = 0.006
# The decoder took 12 s for such a document when it searched it quadratically; it takes under 1 ms.
MAX_DECODE_S: Final = 2.0


def _put_on_own_names(fleet: VirtualFleet) -> None:
    """Replace the daemons' own entries, each by another form, and add all forms beside them."""
    for name, form in zip(fleet.vm_by_name, cycle(IRREGULAR_ENTRIES), strict=False):
        put_entry(fleet, name, IRREGULAR_ENTRIES[form])
    put_entries(fleet, IRREGULAR_ENTRIES, prefixes=("a-", "z-"))


PUTS: Final[dict[str, Put]] = {
    "the-four": lambda fleet: put_entries(fleet, FOUR_ENTRIES, prefixes=("a-",)),
    "all-forms": lambda fleet: put_entries(fleet, IRREGULAR_ENTRIES, prefixes=PREFIXES),
    "own-names": _put_on_own_names,
}
by_entries = pytest.mark.parametrize("put", PUTS.values(), ids=PUTS)


def _fleet(net: VirtualNet) -> VirtualFleet:
    return VirtualFleet(net, vms_by_zone={"antwerpen": 3, "gent": 3})


async def _start(fleet: VirtualFleet) -> None:
    await fleet.start(settle_s=1.0)
    announce_targets(fleet)
    await asyncio.sleep(5.0)


async def _restart(fleet: VirtualFleet, names: Iterable[str]) -> None:
    fleet.kill(*names)
    await asyncio.sleep(1.3)
    for name in names:
        fleet.start_daemon(fleet.vm_by_name[name])
    await asyncio.sleep(1.5)
    announce_targets(fleet)
    await asyncio.sleep(5.0)


@by_entries
def test_daemons_that_start_beside_irregular_entries_know_all_targets(put: Put) -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        put(fleet)
        await _start(fleet)
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


@by_entries
def test_entries_written_while_daemons_start_hide_no_target(put: Put) -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        net.loop.call_later(DURING_START_S, put, fleet)
        await _start(fleet)
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


@by_entries
def test_a_restarted_daemon_knows_all_targets_beside_irregular_entries(put: Put) -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        await _start(fleet)
        put(fleet)
        await _restart(fleet, ["gent-1"])
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


@by_entries
def test_a_restart_of_all_daemons_beside_irregular_entries_hides_no_target(put: Put) -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        await _start(fleet)
        put(fleet)
        await restart_all(fleet)
        put(fleet)
        await asyncio.sleep(1.5)
        announce_targets(fleet)
        await asyncio.sleep(5.0)
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


def test_a_string_without_end_doesn_t_block_the_decoder() -> None:
    """A truncated answer ends within a string that has many escaped quotes."""
    document = b'["' + b'\\"' * 40_000
    began_at = time.process_time()
    with pytest.raises(msgspec.DecodeError):
        decode_json(document)
    assert time.process_time() - began_at < MAX_DECODE_S


@pytest.mark.parametrize("when", ["start", "restart-of-one", "restart-of-all"])
def test_an_entry_with_the_latest_start_of_an_own_vm_hides_no_target(when: str) -> None:
    """The daemon continues with the next start, which must still be one that others accept."""

    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        if when == "start":
            put_claim(fleet, "gent-1", started_ms=MAX_EXACT_INT)
        await _start(fleet)
        if when != "start":
            put_claim(fleet, "gent-1", started_ms=MAX_EXACT_INT)
            await _restart(fleet, ["antwerpen-1"] if when == "restart-of-one" else [*PLACES])
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


@pytest.mark.parametrize("started_ms", [START_MS, START_MS + 500, 10**13])
@pytest.mark.parametrize("name", ["a-other", "z-other"])
def test_an_entry_with_the_address_of_a_running_daemon_hides_no_target(
    name: str, started_ms: int
) -> None:
    """The daemon that listens there says so itself, which counts more than the entry."""

    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        put_claim(fleet, name, started_ms=started_ms)
        await _start(fleet)
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


@pytest.mark.parametrize(
    "restarted", [("antwerpen-1",), ("gent-1",), PLACES], ids=["other", "holder", "all"]
)
def test_a_restart_beside_an_entry_with_a_daemon_s_address_hides_no_target(
    restarted: tuple[str, ...],
) -> None:
    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        await _start(fleet)
        put_claim(fleet, "a-other", started_ms=10**13)
        await _restart(fleet, restarted)
        assert unknown_targets(fleet) == set()

    in_virtual_time(scenario)


@pytest.mark.parametrize("end", [VirtualFleet.kill, VirtualFleet.power_off])
def test_a_daemon_that_replaces_another_at_its_address_is_known_to_all(
    end: Callable[[VirtualFleet, str], None],
) -> None:
    """A VM gets a new name and keeps its address; the other daemons may not have lost it yet."""

    async def scenario(net: VirtualNet) -> None:
        fleet = _fleet(net)
        await _start(fleet)
        end(fleet, "gent-1")
        vm = fleet.vm_by_name.pop("gent-1")
        vm.name = "gent-new"
        fleet.vm_by_name["gent-new"] = vm
        fleet.start_daemon(vm)
        await asyncio.sleep(1.5)
        announce_targets(fleet)
        await asyncio.sleep(5.0)
        assert unknown_targets(fleet) == set()
        for other in fleet.vm_by_name.values():
            assert other.daemon is not None
            assert "gent-1" not in other.daemon.membership.record_by_vm

    in_virtual_time(scenario)
