"""Dispatch the frames that other daemons send."""

from collections.abc import Callable

from daisywharf._ids import VmId
from daisywharf._mesh._distribution import Send
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    Call,
    Cancel,
    ConfigurationCopy,
    ConfigurationRequest,
    Frame,
    Hello,
    Members,
    Ping,
    Pong,
    RelayLoad,
    Report,
    RetryDecision,
    RetryDeposit,
    RetryRequest,
    RewriteRecord,
    StatusUpdate,
    TeamReport,
    ZoneLoads,
)
from daisywharf._mesh._in_force import InForce
from daisywharf._mesh._incoming import IncomingCalls
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._model import MemberRecord, Readiness, is_newer
from daisywharf._mesh._pending import MS_PER_S
from daisywharf._mesh._reporting import Reporter
from daisywharf._mesh._retry_permits import RetryPermits
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._mesh._team_reports import TeamReports
from daisywharf._mesh._watching import WatchReport
from daisywharf._overload._chain import MIN_LEARNED_S, record_rows
from daisywharf._overload._origins import record_counts


class Peers:
    """Dispatch received frames, and track the VM at the other end of each accepted link."""

    def __init__(
        self,
        *,
        membership: Membership,
        sync: StoreSync,
        in_force: InForce,
        incoming: IncomingCalls,
        reporter: Reporter,
        retry_permits: RetryPermits,
        team_reports: TeamReports,
        supersede_record: Callable[[int], None],
        apply_earlier_record: Callable[[MemberRecord], None],
        now: Callable[[], float],
    ) -> None:
        self.membership = membership
        self.sync = sync
        self.in_force = in_force
        self.entry = in_force.entry
        self.incoming = incoming
        self.reporter = reporter
        self.retry_permits = retry_permits
        self.team_reports = team_reports
        self.supersede_record = supersede_record
        self.apply_earlier_record = apply_earlier_record
        self.now = now
        self._vm_by_link = membership.vm_by_incoming_link

    def receive_on_own_link(self, link: OutLink, frame: Frame) -> None:
        """Handle a frame on a link that this daemon opened."""
        if isinstance(frame, StatusUpdate):
            self._record_status(frame, link.send, source=self._name_of(link))
        else:
            self._receive_on_any_link(frame, link.send, source=self._name_of(link))

    def _name_of(self, link: OutLink) -> str:
        return self.membership.vm_of_address(link.address) or str(link.address)

    def receive(self, link: FrameProtocol, frame: Frame) -> None:
        """Handle a frame on a link that another daemon opened."""
        if isinstance(frame, Call):
            self.incoming.submit(link, frame)
        elif isinstance(frame, Cancel):
            self.incoming.cancel(link, frame.call_id)
        elif isinstance(frame, Report | StatusUpdate | Hello | Ping):
            link.send(Pong())
            self._receive_acknowledged(link, frame)
        elif isinstance(frame, ZoneLoads):
            self.reporter.record_relayed_loads(frame)
            self._receive_status(link, frame.status)
        elif isinstance(frame, RelayLoad):
            self._receive_status(link, frame.status)
            self._queue_load_to_relay(link, frame.status)
        elif isinstance(frame, TeamReport):
            sender = self._vm_by_link.get(link)
            if sender is not None:
                self.team_reports.receive(sender, frame, now=self.now())
        else:
            vm = self._vm_by_link.get(link)
            self._receive_on_any_link(frame, link.send, source=vm or "a link without a hello")

    def on_link_lost(self, link: FrameProtocol) -> None:
        """Forget a closed link and the calls that came in on it."""
        self._vm_by_link.pop(link, None)
        self.incoming.cancel_all(link)

    def merge(self, records: tuple[MemberRecord, ...]) -> None:
        """Merge records of daemons, including those of an earlier process on this VM."""
        own = self.membership.own.vm
        records = tuple(self.membership.usable(records))
        for record in records:
            if record.vm == own and record.started_ms != self.membership.own.started_ms:
                # A departure that this VM's earlier process acknowledged also applies before the
                # store has been read, and while the store is unavailable. That process's clock may
                # have been ahead of this one.
                self.apply_earlier_record(record)
        if self.membership.merge(records):
            # An earlier process on this VM wrote the record while its clock was ahead of this one.
            self.supersede_record(max(record.started_ms for record in records if record.vm == own))

    def _receive_on_any_link(self, frame: Frame, send: Send, *, source: str) -> None:
        """Handle a frame that may arrive on either kind of link; `source` names its sender."""
        if isinstance(frame, Members):
            self.merge(frame.records)
        elif isinstance(frame, ConfigurationCopy):
            self.in_force.receive(frame, source=source)
        elif isinstance(frame, ConfigurationRequest):
            self.in_force.send_to(send)
        elif isinstance(frame, RewriteRecord):
            self.sync.write(self.membership.own)
        elif isinstance(frame, RetryDeposit):
            self.retry_permits.handle_deposit(frame)
        elif isinstance(frame, RetryRequest):
            self.retry_permits.handle_request(frame, send)
        elif isinstance(frame, RetryDecision):
            self.retry_permits.handle_reply(frame)

    def _receive_acknowledged(
        self, link: FrameProtocol, frame: Report | StatusUpdate | Hello | Ping
    ) -> None:
        """Handle a frame that was answered with a pong; a ping needs no more than that."""
        if isinstance(frame, Hello):
            self._receive_hello(link, frame)
        elif isinstance(frame, Report):
            self._receive_report(link, frame)
        elif isinstance(frame, StatusUpdate):
            self._receive_status(link, frame)

    def _receive_hello(self, link: FrameProtocol, hello: Hello) -> None:
        self._vm_by_link[link] = hello.member.vm
        known = self.membership.record_by_vm
        if hello.known_members < len(known):
            link.send(Members(tuple(known.values())))
        else:
            self._return_earlier_record(link, hello.member)
        self.merge((hello.member,))
        if hello.version < self.in_force.version:
            link.send(self.in_force.status())
        self.in_force.record_offered_version(hello.version, link.send)

    def _return_earlier_record(self, link: FrameProtocol, member: MemberRecord) -> None:
        """Send a restarted daemon its earlier process's record, if it has to know that.

        The record holds a departure, or it would count as newer than the daemon's own. The store,
        after a rollback, may no longer have it.
        """
        earlier = self.membership.record_by_vm.get(member.vm)
        if earlier is None or earlier.started_ms == member.started_ms:
            return
        target = earlier.target
        has_departure = target is not None and target.readiness is not Readiness.READY
        if has_departure or is_newer(earlier, member):
            link.send(Members((earlier,)))

    def _receive_report(self, link: FrameProtocol, report: Report) -> None:
        vm = self._vm_by_link.get(link)
        if vm is not None:
            self._record_calls_below(vm, report)
            record_counts(self.entry.origins, report.service, report.entered)
            self._receive_status(link, report.status)

    def _record_calls_below(self, vm: VmId, report: Report) -> None:
        chain, peer = self.entry.chain, self.membership.record_by_vm.get(vm)
        record_rows(chain, vm, report.calls_below)
        if peer is not None and report.calls_below:
            earlier_s = (self.membership.own.started_ms - peer.started_ms) / MS_PER_S
            chain.is_learned = chain.is_learned or earlier_s >= MIN_LEARNED_S

    def _receive_status(self, link: FrameProtocol, status: StatusUpdate) -> None:
        vm = self._vm_by_link.get(link)
        if vm is None:
            return
        self.sync.report_by_vm[vm] = WatchReport(status.is_watching, self.now())
        target = self.entry.services.target_of(vm)
        if target is not None and status.load is not None:
            self.entry.record_load(target.service, target.target_id, status.load)
        self._record_status(status, link.send, source=vm)

    def _queue_load_to_relay(self, link: FrameProtocol, status: StatusUpdate) -> None:
        vm = self._vm_by_link.get(link)
        target = None if vm is None else self.entry.services.target_of(vm)
        if target is not None and status.load is not None:
            self.reporter.queue_load(target.target_id, status.load, now=self.now())

    def _record_status(self, status: StatusUpdate, send: Send, *, source: str) -> None:
        self.sync.record_peer_era(status.store_era, source=source)
        self.sync.record_peer_confirmation(status, version=self.in_force.confirmable_version)
        self.in_force.record_offered_version(status.version, send)
