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
from daisywharf._mesh._load_relay import enqueue_load
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._model import MemberRecord
from daisywharf._mesh._reporting import Reporter
from daisywharf._mesh._retry_permits import RetryPermits
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._mesh._team_reports import TeamReports
from daisywharf._mesh._watching import WatchReport
from daisywharf._overload._chain import record_rows
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
        self._vm_by_link: dict[FrameProtocol, VmId] = {}

    def receive_on_own_link(self, link: OutLink, frame: Frame) -> None:
        """Handle a frame on a link that this daemon opened."""
        if isinstance(frame, StatusUpdate):
            self._record_status(frame, link.send)
        else:
            vm = self.membership.vm_of_address(link.address)
            self._receive_on_any_link(frame, link.send, source=vm or str(link.address))

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
            if record.vm == own and record.started_ms < self.membership.own.started_ms:
                # A departure that this VM's earlier process acknowledged also applies before the
                # store has been read, and while the store is unavailable.
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
        self.merge((hello.member,))
        if hello.version < self.in_force.version:
            link.send(self.in_force.status())
        self.in_force.record_offered_version(hello.version, link.send)

    def _receive_report(self, link: FrameProtocol, report: Report) -> None:
        vm = self._vm_by_link.get(link)
        if vm is not None:
            record_rows(self.entry.chain, vm, report.calls_below)
            record_counts(self.entry.origins, report.service, report.entered)
            self._receive_status(link, report.status)

    def _receive_status(self, link: FrameProtocol, status: StatusUpdate) -> None:
        vm = self._vm_by_link.get(link)
        if vm is None:
            return
        self.sync.report_by_vm[vm] = WatchReport(status.is_watching, self.now())
        target = self.entry.services.target_of(vm)
        if target is not None and status.load is not None:
            self.entry.record_load(target.service, target.target_id, status.load)
        self._record_status(status, link.send)

    def _queue_load_to_relay(self, link: FrameProtocol, status: StatusUpdate) -> None:
        vm = self._vm_by_link.get(link)
        target = None if vm is None else self.entry.services.target_of(vm)
        if target is not None and status.load is not None:
            enqueue_load(self.reporter.relay_queue, target.target_id, status.load, now=self.now())

    def _record_status(self, status: StatusUpdate, send: Send) -> None:
        self.sync.record_peer_confirmation(status, version=self.in_force.version)
        self.in_force.record_offered_version(status.version, send)
