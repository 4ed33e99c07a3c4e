"""Take in what other daemons send."""

from collections.abc import Callable

from daisywharf._ids import VmId
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    Call,
    Cancel,
    Deposit,
    Frame,
    Hello,
    Loads,
    MayRepeat,
    Members,
    NewConfiguration,
    News,
    PassOn,
    Ping,
    Pong,
    Report,
    WantConfiguration,
    WantRepeat,
    WriteAgain,
)
from daisywharf._mesh._in_force import InForce
from daisywharf._mesh._incoming import IncomingCalls
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._load_board import note_heard
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._model import MemberRecord
from daisywharf._mesh._repeats import Repeats
from daisywharf._mesh._reporting import Reporter
from daisywharf._mesh._spread import Send
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._mesh._watching import WatchReport
from daisywharf._overload._chain import record_rows
from daisywharf._overload._origins import record_counts


class Peers:
    """Hold which VM is at the other end of each link that was opened to this daemon."""

    def __init__(
        self,
        *,
        membership: Membership,
        sync: StoreSync,
        in_force: InForce,
        incoming: IncomingCalls,
        reporter: Reporter,
        repeats: Repeats,
        renew: Callable[[int], None],
        take_earlier: Callable[[MemberRecord], None],
        now: Callable[[], float],
    ) -> None:
        self.membership = membership
        self.sync = sync
        self.in_force = in_force
        self.entry = in_force.entry
        self.incoming = incoming
        self.reporter = reporter
        self.repeats = repeats
        self.renew = renew
        self.take_earlier = take_earlier
        self.now = now
        self._vm_by_link: dict[FrameProtocol, VmId] = {}

    def take_on_own_link(self, link: OutLink, frame: Frame) -> None:
        """Take a frame on a link that this daemon opened."""
        if isinstance(frame, News):
            self._hear_news(frame, link.send)
        else:
            vm = self.membership.vm_at(link.address)
            self._take_anywhere(frame, link.send, source=vm or str(link.address))

    def take(self, link: FrameProtocol, frame: Frame) -> None:
        """Take a frame on a link that another daemon opened."""
        if isinstance(frame, Call):
            self.incoming.take(link, frame)
        elif isinstance(frame, Cancel):
            self.incoming.cancel(link, frame.call_id)
        elif isinstance(frame, Report | News | Hello | Ping):
            link.send(Pong())
            self._take_sign_of_life(link, frame)
        elif isinstance(frame, Loads):
            self.reporter.hear_loads(frame)
            self._take_news(link, frame.news)
        elif isinstance(frame, PassOn):
            self._take_news(link, frame.news)
            self._note_to_pass_on(link, frame.news)
        else:
            vm = self._vm_by_link.get(link)
            self._take_anywhere(frame, link.send, source=vm or "a link without a hello")

    def lose(self, link: FrameProtocol) -> None:
        """Forget a link that ended."""
        self._vm_by_link.pop(link, None)
        self.incoming.lose(link)

    def merge(self, records: tuple[MemberRecord, ...]) -> None:
        """Take in records of members."""
        own = self.membership.own.vm
        for record in records:
            if record.vm == own and record.started_ms < self.membership.own.started_ms:
                # A leaving that this VM's earlier process acknowledged binds before the store is
                # read, and while it can't be.
                self.take_earlier(record)
        if self.membership.merge(records):
            # A record of an earlier process, written by a clock that was ahead of this one.
            self.renew(max(record.started_ms for record in records if record.vm == own))

    def _take_anywhere(self, frame: Frame, send: Send, *, source: str) -> None:
        if isinstance(frame, Members):
            self.merge(frame.records)
        elif isinstance(frame, NewConfiguration):
            self.in_force.take(frame, source=source)
        elif isinstance(frame, WantConfiguration):
            self.in_force.send_to(send)
        elif isinstance(frame, WriteAgain):
            self.sync.write(self.membership.own)
        elif isinstance(frame, Deposit):
            self.repeats.hear_deposit(frame)
        elif isinstance(frame, WantRepeat):
            self.repeats.hear_question(frame, send)
        elif isinstance(frame, MayRepeat):
            self.repeats.hear_answer(frame)

    def _take_sign_of_life(self, link: FrameProtocol, frame: Report | News | Hello | Ping) -> None:
        if isinstance(frame, Hello):
            self._take_hello(link, frame)
        elif isinstance(frame, Report):
            self._take_report(link, frame)
        elif isinstance(frame, News):
            self._take_news(link, frame)

    def _take_hello(self, link: FrameProtocol, hello: Hello) -> None:
        self._vm_by_link[link] = hello.member.vm
        known = self.membership.record_by_vm
        if hello.known_members < len(known):
            link.send(Members(tuple(known.values())))
        self.merge((hello.member,))
        if hello.version < self.in_force.version:
            link.send(self.in_force.news())
        self.in_force.hear_version(hello.version, link.send)

    def _take_report(self, link: FrameProtocol, report: Report) -> None:
        vm = self._vm_by_link.get(link)
        if vm is not None:
            record_rows(self.entry.chain, vm, report.calls_below)
            record_counts(self.entry.origins, report.service, report.entered)
            self._take_news(link, report.news)

    def _take_news(self, link: FrameProtocol, news: News) -> None:
        vm = self._vm_by_link.get(link)
        if vm is None:
            return
        self.sync.report_by_vm[vm] = WatchReport(news.is_watching, self.now())
        target = self.entry.services.target_of(vm)
        if target is not None and news.load is not None:
            self.entry.hear(target.service, target.target_id, news.load)
        self._hear_news(news, link.send)

    def _note_to_pass_on(self, link: FrameProtocol, news: News) -> None:
        vm = self._vm_by_link.get(link)
        target = None if vm is None else self.entry.services.target_of(vm)
        if target is not None and news.load is not None:
            note_heard(self.reporter.board, target.target_id, news.load, now=self.now())

    def _hear_news(self, news: News, send: Send) -> None:
        self.sync.hear_confirmed(news, version=self.in_force.version)
        self.in_force.hear_version(news.version, send)
