"""Build a fleet of daemons and a store on the virtual network, and inject faults into both."""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Any, Final

from benchmarks._platform_store import StoreStandIn

from daisywharf._ids import ServiceName, VmId, ZoneName
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._settings import MeshBounds, MeshSettings
from daisywharf._topology import Address
from daisywharf.platform._headers import PlatformDialect
from daisywharf.platform._store import ObjectStore
from virtual_net import Process, VirtualNet, start_in

ENTRY, LINKS, STORE = 8300, 8301, 8309
STORE_HOST: Final = "10.200.0.1"
IN_ZONE_DELAY_S: Final = 0.0002
BETWEEN_ZONES_DELAY_S: Final = 0.0009
STORE_ANSWER_S: Final = 0.004


class VirtualVm:
    """A VM and the daemon that runs there, if any; `starts` counts the daemon's starts.

    The clock of the next daemon that starts there is `clock_offset_ms` ahead.
    """

    def __init__(self, name: str, zone: str, host: str) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.process = Process(host)
        self.daemon: MeshDaemon | None = None
        self.starts = 0
        self.clock_offset_ms = 0

    @property
    def version(self) -> int:
        """Return the version in force, or 0."""
        return 0 if self.daemon is None else self.daemon.version


class VirtualFleet:
    """The VMs and the store of a test; `version` is the newest one written."""

    def __init__(self, net: VirtualNet, *, vms_by_zone: dict[str, int], seed: int = 1) -> None:
        self.net = net
        self.rng = Random(seed)
        net.delay_s = self._delay_s
        self.store = StoreStandIn(Address(STORE_HOST, STORE))
        self.store.delay_s = STORE_ANSWER_S
        self.store_process = Process(STORE_HOST)
        self.vm_by_name = {
            f"{zone}-{number}": VirtualVm(f"{zone}-{number}", zone, f"10.{place}.0.{number}")
            for place, (zone, count) in enumerate(vms_by_zone.items(), start=1)
            for number in range(1, count + 1)
        }
        self.version = 0

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.net.loop.time()

    def _delay_s(self, one: str, other: str) -> float:
        is_near = one.split(".")[:2] == other.split(".")[:2]
        return IN_ZONE_DELAY_S if is_near else BETWEEN_ZONES_DELAY_S

    async def start(self, *, settle_s: float = 8.0) -> None:
        """Start the store and all daemons, and wait `settle_s` for them to find each other."""
        await start_in(self.store_process, self.store.server.start(self.store.address))
        self.change()
        for vm in self.vm_by_name.values():
            self.start_daemon(vm)
        await asyncio.sleep(settle_s)
        assert {vm.version for vm in self.vm_by_name.values()} == {1}

    def change(self) -> int:
        """Write the next version of the configuration, which moves a route; return its number."""
        self.version += 1
        self.write_again()
        return self.version

    def write_again(self) -> None:
        """Write the newest version, as the operator does after a rollback of the store."""
        service = f"stock-{self.version % 2}"
        content = {"version": self.version, "resources": [_route(service)]}
        self.store.put("config", "main", content)

    def start_daemon(self, vm: VirtualVm) -> None:
        """Start a VM's daemon in a new process."""
        vm.starts += 1
        self.net.unpowered_hosts.discard(vm.host)
        vm.process = Process(vm.host)
        vm.process.context.run(self._make, vm)
        assert vm.daemon is not None
        start_in(vm.process, vm.daemon.start())

    def _make(self, vm: VirtualVm) -> None:
        now = self.net.loop.time
        vm.daemon = MeshDaemon(
            self._settings(vm),
            dialect=PlatformDialect(),
            store=ObjectStore(self.store.address, now=now),
            now=now,
            started_ms=int(self.now * 1_000) + vm.clock_offset_ms,
            rng=Random(self.rng.random()),
        )

    def _settings(self, vm: VirtualVm) -> MeshSettings:
        return MeshSettings(
            vm=VmId(vm.name),
            zone=ZoneName(vm.zone),
            service=ServiceName("stock-0"),
            target_address=Address(vm.host, 1),
            entry_address=Address(vm.host, ENTRY),
            links_address=Address(vm.host, LINKS),
            ready_address=Address(vm.host, 1),
            announcements_address=Address(vm.host, 1),
            store_address=self.store.address,
            seeds=(),
            memory_bytes=200e6,
            bounds=MeshBounds(grace_s=6.0, retry_ratio=0.2, retry_window_s=10.0, retry_extra=50.0),
        )

    # Faults.

    def kill(self, *names: str) -> None:
        """Kill daemons."""
        for name in names:
            self.net.kill(self.vm_by_name[name].process)
            self.vm_by_name[name].daemon = None

    def power_off(self, *names: str) -> None:
        """Cut the power of VMs."""
        for name in names:
            self.net.power_off(self.vm_by_name[name].process)
            self.vm_by_name[name].daemon = None

    def suspend(self, *names: str) -> None:
        """Suspend daemons."""
        for name in names:
            self.vm_by_name[name].process.is_suspended = True

    def resume(self, *names: str) -> None:
        """Continue daemons."""
        for name in names:
            self.net.loop.resume(self.vm_by_name[name].process)

    def stop(self, name: str) -> None:
        """Stop a daemon gracefully, as SIGTERM does."""
        vm = self.vm_by_name[name]
        assert vm.daemon is not None
        start_in(vm.process, vm.daemon.stop())

    def silence_store(self) -> None:
        """Drop all packets on the open connections to the store; new connections work."""
        self.net.silence(lambda one, other: STORE_HOST in (one, other))

    def silence_all(self) -> None:
        """Drop all packets on all open connections; new connections work."""
        self.net.silence(lambda _one, _other: True)

    def cut_from_store(self, names: Iterable[str]) -> None:
        """Partition VMs from the store."""
        hosts = frozenset(self.vm_by_name[name].host for name in names)
        self.net.partitions.append((hosts, frozenset({STORE_HOST})))

    def outdated(self, names: Iterable[str] | None = None) -> list[str]:
        """Return the names of VMs whose daemons don't have the newest version in force."""
        wanted = self.vm_by_name if names is None else names
        return [name for name in wanted if self.vm_by_name[name].version < self.version]


def _route(service: str) -> dict[str, Any]:
    return {
        "resourceKind": "routes",
        "metadata": {"name": "orders"},
        "specification": {
            "host": "shop.example",
            "pathPrefix": "/orders/",
            "service": service,
            "kind": "non_idempotent",
            "timeoutMs": 10_000,
            "targetLatencyMs": 400,
            "priority": 1,
        },
    }
