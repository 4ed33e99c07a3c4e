"""Keep in step with the store: the configuration in force, and this daemon's own record."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Final, TypeVar

from daisywharf._configuration import Configuration
from daisywharf._errors import DaisywharfError, ErrorKind
from daisywharf._ids import VmId
from daisywharf._mesh._learned import WRITE_PERIOD_S, Learned, writes_learned
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._model import MemberRecord
from daisywharf._mesh._store import Store
from daisywharf._mesh._watching import WATCHERS_A_ZONE, WatchReport, watchers_before
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# A watch that waits longer hides a connection that went silent; each watch is paid for.
WATCH_WAIT_S: Final = 3.0
# Others' reports come in this time after a start, and tell whether one more watcher is needed.
SETTLE_S: Final = 1.2
FIRST_BACKOFF_S: Final = 0.2
LONGEST_BACKOFF_S: Final = 1.0
CONTACT_LIFETIME_S: Final = 4.5  # a wait, and the time that its answer may be late
IDLE_CHECK_S: Final = 0.25


ResultT = TypeVar("ResultT")


class StoreSync:
    """Hold what this daemon knows of the store."""

    def __init__(
        self,
        store: Store,
        *,
        membership: Membership,
        put_in_force: Callable[[Configuration], None],
        take_earlier: Callable[[MemberRecord], None],
        learned: Callable[[], Learned],
        take_learned: Callable[[Learned], None],
        now: Callable[[], float],
        rng: Random,
    ) -> None:
        self.store = store
        self.membership = membership
        self.put_in_force = put_in_force
        self.take_earlier = take_earlier
        self.learned = learned
        self.take_learned = take_learned
        self.now = now
        self.rng = rng
        self.report_by_vm: dict[VmId, WatchReport] = {}
        self.contacted_at = float("-inf")
        self.is_watching = False
        self.has_listed = False
        self._has_turn = False
        self._unavailable_since: float | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._unwritten: MemberRecord | None = None
        self._has_work = asyncio.Event()

    def is_counted_on(self) -> bool:
        """Tell whether the others may rely on this daemon's watch."""
        return self.is_watching and self.now() - self.contacted_at < CONTACT_LIFETIME_S

    @property
    def is_away(self) -> bool:
        """Tell whether the store didn't answer the last call."""
        return self._unavailable_since is not None

    def write(self, record: MemberRecord) -> None:
        """Write this daemon's record as soon as the store takes it."""
        self._unwritten = record
        self._has_work.set()

    async def run_configuration(self) -> None:
        """Read the configuration, and watch it while this daemon is one of those that do."""
        revision: int | None = None
        while True:
            if revision is None:
                read = await self._retried(self.store.read_configuration)
                self._take(read.configuration)
                revision = read.revision
                await asyncio.sleep(SETTLE_S)
            before = watchers_before(self.membership.own.vm, self._zone_reports(), now=self.now())
            self._note_turn(before)
            if before >= WATCHERS_A_ZONE:
                self.is_watching = False
                await asyncio.sleep(IDLE_CHECK_S)
                # What changed meanwhile came from others; the store's history may be shorter.
                continue
            revision = await self._watch(revision)

    def _note_turn(self, before: int) -> None:
        """Log that this daemon begins or ceases to be one of those that watch."""
        has_turn = before < WATCHERS_A_ZONE
        if has_turn != self._has_turn:
            self._has_turn = has_turn
            log_event(Event.WATCH_TAKEN if has_turn else Event.WATCH_LEFT, others=before)

    async def _watch(self, revision: int) -> int | None:
        try:
            read = await self.store.watch_configuration(after=revision, wait_s=WATCH_WAIT_S)
        except DaisywharfError as error:
            self.is_watching = False
            if error.kind is ErrorKind.PLATFORM_GONE:
                # The store is there; only its history is shorter than this watch.
                log_event(Event.WATCH_GONE, version=revision)
                return None
            self._note_failure(error)
            await self._back_off()
            return revision
        self.is_watching = True
        if self._note_contact():
            await self._restore_records()
        self._take(read.configuration)
        return read.revision

    async def _restore_records(self) -> None:
        """Have the records written again that the store lost while it was away."""
        try:
            kept = {record.vm for record in await self.store.list_members()}
        except DaisywharfError as error:
            self._note_failure(error)
            return
        if self.membership.own.vm not in kept:
            self.write(self.membership.own)
        self.membership.ask_to_write(kept)

    async def run_records(self) -> None:
        """Write this daemon's record, then read those of all, and write what changes later."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            record = self._unwritten
            if record is None:
                continue
            earlier = await self._retried(partial(self.store.write_member, record))
            if earlier is not None:
                self.take_earlier(earlier)
            if self._unwritten is record:
                self._unwritten = None
            if not self.has_listed:
                records = await self._retried(self.store.list_members)
                self.has_listed = True
                self.membership.merge(records)
                self.take_learned(await self._retried(self.store.read_learned))

    async def run_learned(self) -> None:
        """Keep what the fleet learns, if this is the daemon that does."""
        kept = Learned()
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            up = [vm for vm, link in self.membership.link_by_vm.items() if link.is_up]
            learned = self.learned()
            is_news = learned not in (kept, Learned())
            if is_news and self.has_listed and writes_learned(self.membership.own.vm, up):
                await self._retried(partial(self.store.write_learned, learned))
                kept = learned

    async def _retried(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT:
        while True:
            try:
                result = await call()
            except DaisywharfError as error:
                self._note_failure(error)
                await self._back_off()
            else:
                self._note_contact()
                return result

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * (0.5 + self.rng.random()))
        self._backoff_s = min(LONGEST_BACKOFF_S, self._backoff_s * 1.6)

    def _take(self, configuration: Configuration | None) -> None:
        if configuration is not None:
            self.put_in_force(configuration)

    def _note_contact(self) -> bool:
        """Note that the store answered; return whether it had been away."""
        self.contacted_at = self.now()
        self._backoff_s = FIRST_BACKOFF_S
        if self._unavailable_since is not None:
            outage_s = round(self.now() - self._unavailable_since, 1)
            self._unavailable_since = None
            log_event(Event.PLATFORM_BACK, outage_s=outage_s)
            return True
        return False

    def _note_failure(self, error: DaisywharfError) -> None:
        if self._unavailable_since is None:
            self._unavailable_since = self.now()
        log_event(Event.PLATFORM_UNAVAILABLE, error=str(error))

    def _zone_reports(self) -> dict[VmId, WatchReport]:
        own = self.membership.own
        return {
            vm: report
            for vm, report in self.report_by_vm.items()
            if vm in self.membership.record_by_vm
            and self.membership.record_by_vm[vm].zone == own.zone
        }
