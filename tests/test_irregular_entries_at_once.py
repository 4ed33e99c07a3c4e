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
    put_entries,
    put_entry,
    restart_all,
    unknown_targets,
)
from builders_virtual_fleet import VirtualFleet
from daisywharf.platform._json import decode_json
from virtual_net import VirtualNet, in_virtual_time

Put = Callable[[VirtualFleet], None]
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
