"""Track the other daemons: merge their records, keep a link to each, and update their targets."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from daisywharf._ids import VmId, ZoneName
from daisywharf._limits import MAX_NAME_CHARS
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import Frame, Hello, Members, RewriteRecord
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._memory_budget import MemoryBudget
from daisywharf._mesh._model import MemberRecord, check_member, is_newer, parse_address
from daisywharf._mesh._services import Services
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._topology import Address

# Daemons to which a receiver forwards another daemon's changed record. The origin also sends the
# record to all daemons itself.
GOSSIP_FANOUT: Final = 3
# Full record lists that this daemon requests in one period. When many links open at once, as when
# daemons start, every peer would otherwise send its list, and the bytes grow with the cube of the
# fleet's size.
MAX_MEMBER_LISTS_PER_PERIOD: Final = 3
MEMBER_LIST_PERIOD_S: Final = 1.0
# Sent as `Hello.known_members` when no list is wanted: more members than any fleet has.
NO_LIST_MEMBER_COUNT: Final = 1_000_000
MAX_UNUSABLE_VMS: Final = 256
# A daemon that is unreachable for this long is removed; it is added again when it comes back.
FORGET_AFTER_S: Final = 60.0


class Membership:
    """Hold the records of all daemons, including this one, and the links to the others."""

    def __init__(
        self,
        own: MemberRecord,
        *,
        services: Services,
        now: Callable[[], float],
        rng: Random,
        on_frame: Callable[[OutLink, Frame], None],
        version: Callable[[], int],
        memory: MemoryBudget,
    ) -> None:
        self.own = own
        self.memory = memory
        self.services = services
        self.now = now
        self.rng = rng
        self.record_by_vm: dict[VmId, MemberRecord] = {own.vm: own}
        self.link_by_vm: dict[VmId, OutLink] = {}
        self.seed_links: dict[Address, OutLink] = {}
        # The VMs that sent a hello, by the open link that they sent it on.
        self.vm_by_incoming_link: dict[FrameProtocol, VmId] = {}
        self._vm_by_address: dict[str, VmId] = {own.address: own.vm}
        self._unreachable_since: dict[VmId, float] = {}
        self._on_frame = on_frame
        self._version = version
        self._lists_requested = 0
        # VMs of which an unusable record was logged.
        self._unusable_vms: set[VmId] = set()
        self._list_period_began_at = float("-inf")

    def publish_own(self, own: MemberRecord) -> None:
        """Store this daemon's changed record and send it to all other daemons."""
        self.own = own
        self.record_by_vm[own.vm] = own
        self.services.update_target(own, is_reachable=True, now=self.now())
        for link in self.link_by_vm.values():
            link.send(Members((own,)))

    def merge(self, records: Iterable[MemberRecord]) -> bool:
        """Merge received records; return whether one is newer than this daemon's own record."""
        changed = []
        is_superseded = False
        for record in self.usable(records):
            if record.vm == self.own.vm:
                is_superseded = is_superseded or is_newer(record, self.own)
            elif self._is_update(record):
                self._apply(record)
                changed.append(record)
        if changed:
            up = [link for link in self.link_by_vm.values() if link.is_up]
            for link in self.rng.sample(up, min(GOSSIP_FANOUT, len(up))):
                link.send(Members(tuple(changed)))
        return is_superseded

    def usable(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Return the records whose values can be used; each VM's first unusable one is logged."""
        usable = []
        for record in records:
            try:
                check_member(record)
            except ValueError as error:
                self._log_unusable(record.vm, error)
            else:
                usable.append(record)
        return usable

    def _log_unusable(self, vm: VmId, error: ValueError) -> None:
        name = VmId(vm[:MAX_NAME_CHARS])
        if name not in self._unusable_vms and len(self._unusable_vms) < MAX_UNUSABLE_VMS:
            self._unusable_vms.add(name)
            log_event(Event.ENTRY_UNREADABLE, entry=name, error=str(error))

    def _is_update(self, record: MemberRecord) -> bool:
        if not is_newer(record, self.record_by_vm.get(record.vm)):
            return False
        holder = self.record_by_vm.get(self._vm_by_address.get(record.address, record.vm))
        return holder is None or holder.vm == record.vm or self._takes_address(record, holder)

    def _takes_address(self, record: MemberRecord, holder: MemberRecord) -> bool:
        """Return whether a record replaces another daemon's with the same address.

        An entry of the store may have the address of a running daemon by mistake. A daemon that
        sent a hello knows its own address; among those that did, and among those that didn't, the
        address belongs to the daemon that started last.
        """
        if holder.vm == self.own.vm:
            return False
        heard = self.vm_by_incoming_link.values()
        has_record_greeted, has_holder_greeted = record.vm in heard, holder.vm in heard
        if has_record_greeted != has_holder_greeted:
            return has_record_greeted
        return holder.started_ms < record.started_ms

    def _apply(self, record: MemberRecord) -> None:
        known = self.record_by_vm.get(record.vm)
        if known is not None and known.address != record.address:
            self.forget(record.vm)
        self.record_by_vm[record.vm] = record
        holder = self._vm_by_address.get(record.address)
        if holder is not None and holder != record.vm:
            self.forget(holder)
        self._vm_by_address[record.address] = record.vm
        link = self.link_by_vm.get(record.vm) or self._open_link(record)
        self.services.update_target(record, is_reachable=link.is_up, now=self.now())

    def _open_link(self, record: MemberRecord) -> OutLink:
        address = parse_address(record.address)
        vm = record.vm
        link = OutLink(
            address,
            now=self.now,
            on_up=lambda link: self._on_link_up(vm, link),
            on_down=lambda link: self._on_link_down(vm),
            on_frame=self._on_frame,
            on_silent=self._probe_all_links,
            memory=self.memory,
        )
        self.link_by_vm[vm] = link
        self._unreachable_since[vm] = self.now()
        link.tick(now=self.now())
        return link

    def open_seed_link(self, address: Address) -> None:
        """Open a link to a seed, a daemon of which only the address is known.

        The link is closed once a record with that address arrives.
        """
        if address in self.seed_links or str(address) in self._vm_by_address:
            return
        self.seed_links[address] = OutLink(
            address,
            now=self.now,
            on_up=self.send_hello,
            on_down=lambda _link: None,
            on_frame=self._on_frame,
            memory=self.memory,
        )

    def send_hello(self, link: OutLink) -> None:
        """Send this daemon's record; ask for all records unless enough peers were just asked."""
        known = len(self.record_by_vm) if self._may_request_list() else NO_LIST_MEMBER_COUNT
        link.send(Hello(self.own, known, self._version()))

    def _may_request_list(self) -> bool:
        """Count a request for a full list; return whether the period's limit allows it."""
        now = self.now()
        if now - self._list_period_began_at >= MEMBER_LIST_PERIOD_S:
            self._list_period_began_at, self._lists_requested = now, 0
        self._lists_requested += 1
        return self._lists_requested <= MAX_MEMBER_LISTS_PER_PERIOD

    def _on_link_up(self, vm: VmId, link: OutLink) -> None:
        self.send_hello(link)
        self._unreachable_since.pop(vm, None)
        log_event(Event.LINK_OPENED, peer=vm)
        record = self.record_by_vm.get(vm)
        if record is not None:
            self.services.update_target(record, is_reachable=True, now=self.now())

    def _on_link_down(self, vm: VmId) -> None:
        self._unreachable_since.setdefault(vm, self.now())
        record = self.record_by_vm.get(vm)
        if record is not None:
            self.services.update_target(record, is_reachable=False, now=self.now())
            log_event(Event.DAEMON_LOST, peer=vm)

    def _probe_all_links(self) -> None:
        """Ping all links: whatever silenced one of them may have affected the others as well."""
        for link in self.link_by_vm.values():
            link.probe()

    def request_rewrites(self, kept: set[VmId]) -> None:
        """Ask the daemons whose records the store has lost to write them again.

        `kept` holds the VMs whose records the store still has.
        """
        for vm, link in self.link_by_vm.items():
            if vm not in kept:
                link.send(RewriteRecord())

    def vm_of_address(self, address: Address) -> VmId | None:
        """Return the VM whose daemon listens for links at an address, or None if unknown."""
        return self._vm_by_address.get(str(address))

    def open_links_in_zone(self) -> dict[VmId, OutLink]:
        """Return the open links to the other daemons of this zone, by VM."""
        return {
            vm: link
            for vm, link in self.link_by_vm.items()
            if link.is_up and self.record_by_vm[vm].zone == self.own.zone
        }

    def tick(self, *, now: float) -> None:
        """Reopen and check links, and remove daemons that have been unreachable for long."""
        for vm, since in list(self._unreachable_since.items()):
            if now - since > FORGET_AFTER_S:
                self.forget(vm)
        for link in list(self.link_by_vm.values()):
            link.tick(now=now)
        for address, link in list(self.seed_links.items()):
            if str(address) in self._vm_by_address:
                link.close()
                del self.seed_links[address]
            else:
                link.tick(now=now)

    def forget(self, vm: VmId) -> None:
        """Remove a daemon's record, target and link."""
        record = self.record_by_vm.pop(vm, None)
        if record is not None:
            self.services.update_target(record, is_reachable=False, now=self.now())
            if self._vm_by_address.get(record.address) == vm:
                del self._vm_by_address[record.address]
        self._drop_link(vm)

    def _drop_link(self, vm: VmId) -> None:
        self._unreachable_since.pop(vm, None)
        link = self.link_by_vm.pop(vm, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close all links."""
        for link in [*self.link_by_vm.values(), *self.seed_links.values()]:
            link.close()


def open_links_by_zone(membership: Membership) -> dict[ZoneName, dict[VmId, OutLink]]:
    """Return the open links to the other daemons, by zone and VM."""
    links_by_zone: dict[ZoneName, dict[VmId, OutLink]] = {}
    for vm, link in membership.link_by_vm.items():
        if link.is_up:
            zone = membership.record_by_vm[vm].zone
            links_by_zone.setdefault(zone, {})[vm] = link
    return links_by_zone
