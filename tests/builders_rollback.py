"""Build fleets and clients of a store that is rolled back, on the virtual network."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from benchmarks._platform_store import StoreStandIn

from builders_mesh import announcement
from builders_virtual_fleet import STORE, STORE_ANSWER_S, STORE_HOST, VirtualFleet
from daisywharf._ids import TargetId
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._model import MemberRecord, TargetAnnouncement
from daisywharf._topology import Address
from daisywharf.platform._store import ObjectStore
from virtual_net import Process, VirtualNet, in_virtual_time, start_in

KIND: Final = "daisywharf-daemons"
VMS_BY_ZONE: Final = {"antwerpen": 4, "gent": 3}
FIRST: Final = "antwerpen-1"
SAMPLE_S: Final = 0.02


class RollbackFleet(VirtualFleet):
    """A fleet whose store names its era; `returns` holds VMs that went back to an older version."""

    def __init__(self, net: VirtualNet, *, seed: int = 1) -> None:
        super().__init__(net, vms_by_zone=VMS_BY_ZONE, seed=seed)
        self.returns: list[tuple[str, int, int]] = []

    @property
    def daemons(self) -> list[MeshDaemon]:
        """Return the running daemons."""
        return [vm.daemon for vm in self.vm_by_name.values() if vm.daemon is not None]

    def daemon(self, name: str) -> MeshDaemon:
        """Return a VM's running daemon."""
        daemon = self.vm_by_name[name].daemon
        assert daemon is not None
        return daemon

    def announce(self, name: str, **changes: Any) -> None:
        """Announce the target of a VM to its daemon."""
        vm = self.vm_by_name[name]
        vm.process.context.run(self.daemon(name).handle_announcement, target_of(name, **changes))

    async def watch_versions(self) -> None:
        """Record each return to an older version at a daemon that goes on running."""
        newest: dict[tuple[str, int], int] = {}
        while True:
            for vm in self.vm_by_name.values():
                key = (vm.name, vm.starts)
                if vm.daemon is not None and vm.version < newest.get(key, 0):
                    self.returns.append((vm.name, newest[key], vm.version))
                newest[key] = max(newest.get(key, 0), vm.version)
            await asyncio.sleep(SAMPLE_S)

    def stored(self, name: str) -> MemberRecord | None:
        """Return the record that the store has of a VM's daemon."""
        entry = self.store.object_by_key.get((KIND, name))
        if entry is None:
            return None
        return msgspec.convert(entry["specification"]["record"], MemberRecord)

    def count_calls(self, *starts: str) -> int:
        """Return the number of calls that the store received whose lines start so."""
        return sum(call.startswith(starts) for call in self.store.calls)

    def check_whole(self) -> None:
        """Check that nothing of what was acknowledged is lost any more."""
        assert self.returns == []
        assert self.outdated() == []
        for daemon in self.daemons:
            own = daemon.membership.own
            assert daemon.sync.store.era_state.era == self.store.era
            assert self.stored(own.vm) == own
            assert self.now - daemon.sync.confirmation.confirmed_at < 2.0
            up = [vm for vm, link in daemon.membership.link_by_vm.items() if link.is_up]
            assert set(up) == {name for name in self.vm_by_name if name != own.vm}


def target_of(name: str, **changes: Any) -> TargetAnnouncement:
    """Build an announcement of the target of a VM."""
    given = {"target_id": TargetId(f"t-{name}"), "service": "stock-0", **changes}
    return announcement(Address("10.9.9.9", 1), **given)


def play_rollback(
    scenario: Callable[[RollbackFleet], Awaitable[None]],
    *,
    seed: int = 1,
    settle_s: float = 30.0,
    era: int | None = 1,
) -> None:
    """Run a scenario on a settled fleet; `era` None is a store without the header."""

    async def play(net: VirtualNet) -> None:
        fleet = RollbackFleet(net, seed=seed)
        if era is not None:
            fleet.store.enable_era(era)
        await fleet.start(settle_s=settle_s + fleet.rng.random())
        watching = asyncio.ensure_future(fleet.watch_versions())
        await scenario(fleet)
        watching.cancel()

    in_virtual_time(play)


def play_store(scenario: Callable[[StoreStandIn, ObjectStore], Awaitable[None]]) -> None:
    """Run a scenario with a store in era 1 and a client that has read it once."""

    async def play(net: VirtualNet) -> None:
        stand_in = StoreStandIn(Address(STORE_HOST, STORE))
        stand_in.delay_s = STORE_ANSWER_S
        stand_in.enable_era()
        await start_in(Process(STORE_HOST), stand_in.server.start(stand_in.address))
        store = ObjectStore(stand_in.address, now=net.loop.time)
        await store.read_configuration()
        await scenario(stand_in, store)

    in_virtual_time(play)
