"""Know the other daemons: merge what they say, keep a link to each, follow their targets."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from daisywharf._ids import VmId
from daisywharf._mesh._frames import Frame, Hello, Members, RewriteRecord
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._model import MemberRecord, is_newer, parse_address
from daisywharf._mesh._services import Services
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._topology import Address

# Daemons to which news of others are passed on, beside the origin's own word to all.
GOSSIP_FANOUT: Final = 3
# Daemons that are asked for all records in a second: where many links are opened at once, as by
# daemons that start, each would send them all, and their bytes grow with the fleet's cube.
MAX_MEMBER_LISTS_PER_PERIOD: Final = 3
MEMBER_LIST_PERIOD_S: Final = 1.0
# Says in a greeting that nothing is wanted: it is more than any fleet has.
NO_LIST_MEMBER_COUNT: Final = 1_000_000
# A daemon that can't be reached for this long is forgotten; its return makes it known again.
FORGET_AFTER_S: Final = 60.0


class Membership:
    """Hold the records of all daemons and the links to them."""

    def __init__(
        self,
        own: MemberRecord,
        *,
        services: Services,
        now: Callable[[], float],
        rng: Random,
        on_frame: Callable[[OutLink, Frame], None],
        version: Callable[[], int],
    ) -> None:
        self.own = own
        self.services = services
        self.now = now
        self.rng = rng
        self.record_by_vm: dict[VmId, MemberRecord] = {own.vm: own}
        self.link_by_vm: dict[VmId, OutLink] = {}
        self.seed_links: dict[Address, OutLink] = {}
        self._vm_by_address: dict[str, VmId] = {own.address: own.vm}
        self._unreachable_since: dict[VmId, float] = {}
        self._on_frame = on_frame
        self._version = version
        self._lists_requested = 0
        self._list_period_began_at = float("-inf")

    def announce(self, own: MemberRecord) -> None:
        """Say something new of this daemon to all others."""
        self.own = own
        self.record_by_vm[own.vm] = own
        self.services.update_target(own, is_reachable=True, now=self.now())
        for link in self.link_by_vm.values():
            link.send(Members((own,)))

    def merge(self, records: Iterable[MemberRecord]) -> bool:
        """Take in records; return whether this daemon's own was contradicted by a newer one."""
        changed = []
        is_superseded = False
        for record in records:
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

    def _is_update(self, record: MemberRecord) -> bool:
        if not is_newer(record, self.record_by_vm.get(record.vm)):
            return False
        # An address that is used again belongs to whoever started there last.
        holder = self.record_by_vm.get(self._vm_by_address.get(record.address, record.vm))
        return holder is None or holder.vm == record.vm or holder.started_ms < record.started_ms

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
        )
        self.link_by_vm[vm] = link
        self._unreachable_since[vm] = self.now()
        link.tick(now=self.now())
        return link

    def open_seed(self, address: Address) -> None:
        """Ask a daemon of which only the address is known."""
        if address in self.seed_links or str(address) in self._vm_by_address:
            return
        self.seed_links[address] = OutLink(
            address,
            now=self.now,
            on_up=self.send_hello,
            on_down=lambda _link: None,
            on_frame=self._on_frame,
        )

    def send_hello(self, link: OutLink) -> None:
        """Say who this is; ask for what others there are, unless enough were asked just now."""
        known = len(self.record_by_vm) if self._may_request_list() else NO_LIST_MEMBER_COUNT
        link.send(Hello(self.own, known, self._version()))

    def _may_request_list(self) -> bool:
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
        """Ask for signs of life on all links: what silenced one may have met the others as well."""
        for link in self.link_by_vm.values():
            link.probe()

    def request_rewrites(self, kept: set[VmId]) -> None:
        """Tell the daemons whose records aren't among those that the store kept."""
        for vm, link in self.link_by_vm.items():
            if vm not in kept:
                link.send(RewriteRecord())

    def vm_of_address(self, address: Address) -> VmId | None:
        """Return whose links are at an address, if that is known."""
        return self._vm_by_address.get(str(address))

    def open_links_in_zone(self) -> dict[VmId, OutLink]:
        """Return the links to the zone's other daemons that are up."""
        return {
            vm: link
            for vm, link in self.link_by_vm.items()
            if link.is_up and self.record_by_vm[vm].zone == self.own.zone
        }

    def tick(self, *, now: float) -> None:
        """Keep the links up and forget who has been gone for long."""
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
        """Drop a daemon that is gone."""
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
