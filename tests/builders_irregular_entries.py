"""Build irregular entries of daemons in the store, and fleets whose store holds them."""

import asyncio
from typing import Any, Final

import msgspec

from builders_mesh import announcement
from builders_virtual_fleet import VirtualFleet
from daisywharf._ids import TargetId
from daisywharf._topology import Address

KIND: Final = "daisywharf-daemons"
TARGET_PORT: Final = 8305
# The four of the finding, by name: the specification of an entry.
FOUR_ENTRIES: Final[dict[str, bytes]] = {
    "nested": b'{"record":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "high-port": b'{"record":["NAME","antwerpen","10.1.0.1:70000",1,0,false,null]}',
    "no-port": b'{"record":["NAME","antwerpen","10.1.0.1",1,0,false,null]}',
    "list": b'["NAME","antwerpen"]',
}
IRREGULAR_ENTRIES: Final[dict[str, bytes]] = {
    **FOUR_ENTRIES,
    "null": b"null",
    "text": b'"nonsense"',
    "no-record": b"{}",
    "few-fields": b'{"record":["NAME"]}',
    "object-record": b'{"record":{"vm":"NAME","address":"10.1.0.1:8301"}}',
    "infinite": b'{"record":["NAME","antwerpen","10.1.0.1:8301",1e999,0,false,null]}',
    "long-number": b'{"record":["NAME","antwerpen","10.1.0.1:8301",' + b"9" * 5_000 + b"]}",
    "no-utf-8": b'{"record":["NAME","\xff\xfe","10.1.0.1:8301",1,0,false,null]}',
    "other-name": b'{"record":["gent-1","gent","10.2.0.1:8301",9999999999999,0,false,null]}',
    "negative": b'{"record":["NAME","antwerpen","10.1.0.1:8301",-1,0,false,null]}',
}
# Names before, between and after those of the daemons of `antwerpen` and `gent`.
PREFIXES: Final = ("a-", "antwerpen-1-", "b-", "z-")


def put_entries(fleet: VirtualFleet, entries: dict[str, bytes], *, prefixes: Any) -> None:
    """Write irregular entries, each under a name with each of the prefixes."""
    for prefix in prefixes:
        for form, specification in entries.items():
            put_entry(fleet, prefix + form, specification)


def put_entry(fleet: VirtualFleet, name: str, specification: bytes) -> None:
    """Write an irregular entry under a name."""
    fleet.store.put(KIND, name, msgspec.Raw(specification.replace(b"NAME", name.encode())))


def announce_targets(fleet: VirtualFleet) -> None:
    """Announce a target on each VM whose daemon runs."""
    for vm in fleet.vm_by_name.values():
        if vm.daemon is not None:
            sent = announcement(
                Address(vm.host, TARGET_PORT),
                target_id=TargetId(f"t-{vm.name}"),
                service="stock-0",
                born_ms=int(fleet.now * 1_000),
                sequence=1,
            )
            vm.process.context.run(vm.daemon.handle_announcement, sent)


async def restart_all(fleet: VirtualFleet) -> None:
    """Kill all daemons, and start them again."""
    fleet.kill(*fleet.vm_by_name)
    await asyncio.sleep(1.3)
    for vm in fleet.vm_by_name.values():
        fleet.start_daemon(vm)


def unknown_targets(fleet: VirtualFleet) -> set[tuple[str, str]]:
    """Return the pairs of a daemon and another VM whose target it doesn't know or can't reach."""
    missing = set()
    for vm in fleet.vm_by_name.values():
        assert vm.daemon is not None
        records, links = vm.daemon.membership.record_by_vm, vm.daemon.membership.link_by_vm
        for peer in fleet.vm_by_name:
            record = records.get(peer)
            is_linked = peer == vm.name or (peer in links and links[peer].is_up)
            if record is None or record.target is None or not is_linked:
                missing.add((vm.name, peer))
    return missing


def put_claim(fleet: VirtualFleet, name: str, *, started_ms: int) -> None:
    """Write an entry that is valid, but has the address of the daemon on `gent-1`."""
    record = b'{"record":["NAME","gent","10.2.0.1:8301",%d,0,false,null]}' % started_ms
    put_entry(fleet, name, record)
