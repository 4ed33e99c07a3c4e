"""Synchronize with the store: the configuration, this daemon's own record, and learned calls."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from math import ceil
from random import Random
from typing import Final, TypeVar

from daisywharf._configuration import Configuration
from daisywharf._errors import DaisywharfError, ErrorKind
from daisywharf._ids import VmId
from daisywharf._mesh._confirmation import (
    PROBE_WAIT_S,
    WATCH_WAIT_S,
    Confirmation,
    expire_confirmation,
    is_probe_due,
    probe_rank,
    record_confirmed,
    retry_delay_s,
)
from daisywharf._mesh._frames import UNKNOWN_MS, StatusUpdate
from daisywharf._mesh._learned import WRITE_PERIOD_S, LearnedCalls, is_learned_calls_writer
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._model import MemberRecord, is_newer
from daisywharf._mesh._pending import MS_PER_S
from daisywharf._mesh._store import ConfigurationRead, Store
from daisywharf._mesh._store_era import MAX_ERA, EraChange, observe_era
from daisywharf._mesh._watching import WATCHERS_PER_ZONE, WatchReport, watchers_before
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# A daemon doesn't watch before this time after its first read of the configuration: by then reports
# of the other daemons have arrived and show whether another watcher is needed.
WATCH_DELAY_S: Final = 1.2
INITIAL_BACKOFF_S: Final = 0.2
# A watch that expires sooner than this after a list is followed by a pause: a part of the store
# that lags behind another one may lack the list's revision for a while.
MIN_LIST_LIFETIME_S: Final = 0.2
# With up to half as much of jitter and the longest call, a lone daemon asks again within the 3 s
# after which the users count it as stable (`stabilityWindowMs`).
MAX_BACKOFF_S: Final = 0.8
# The time beyond its wait in which a watch must be answered. The store answers in 4 ms, and at its
# slowest in 60 times that.
INITIAL_WATCH_MARGIN_S: Final = 0.35
# The margin grows up to this for a store that is slower still.
MAX_WATCH_MARGIN_S: Final = 1.5
# A watch's wait and its longest margin.
CONTACT_LIFETIME_S: Final = WATCH_WAIT_S + MAX_WATCH_MARGIN_S
IDLE_CHECK_S: Final = 0.1  # a daemon that has to probe the store does so at most this late
# Watches are shortened by a random fraction of up to this, so that the waits of a zone's watchers
# drift apart and one of them is always answered soon.
WAIT_JITTER_FRACTION: Final = 0.2
# After a rollback of the store, all daemons write their records again, spread over this time.
REWRITE_SPREAD_S: Final = 1.0
# The watchers then look for records that are still missing: after the daemons that heard of the
# rollback from others, with their periodic reports, have written theirs.
RESTORE_AFTER_S: Final = 2.5
# A write of the earlier era without a response may be executed seconds later, and its condition may
# hold again, as revisions are assigned again. So each daemon reads its record once more.
CHECK_AFTER_S: Final = 5.0
STORE_SOURCE: Final = "the store"


ResultT = TypeVar("ResultT")


class StoreSync:
    """Follow the store's configuration and write this daemon's record to the store."""

    def __init__(
        self,
        store: Store,
        *,
        membership: Membership,
        put_in_force: Callable[[Configuration], None],
        apply_earlier_record: Callable[[MemberRecord], None],
        snapshot_learned_calls: Callable[[], LearnedCalls],
        restore_learned_calls: Callable[[LearnedCalls], None],
        notify_zone: Callable[[], None],
        version: Callable[[], int],
        now: Callable[[], float],
        rng: Random,
    ) -> None:
        self.store = store
        self.membership = membership
        self.put_in_force = put_in_force
        self.apply_earlier_record = apply_earlier_record
        self.snapshot_learned_calls = snapshot_learned_calls
        self.restore_learned_calls = restore_learned_calls
        self.notify_zone = notify_zone
        self.version = version
        self.now = now
        self.rng = rng
        self.report_by_vm: dict[VmId, WatchReport] = {}
        self.confirmation = Confirmation()
        self.contacted_at = float("-inf")
        self.is_watching = False
        self.has_listed = False
        self._was_watcher = False
        self._had_to_probe = False
        self._unavailable_since: float | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._watch_margin_s = INITIAL_WATCH_MARGIN_S
        self._may_watch_at = float("inf")  # until the configuration is first read
        self._unwritten: MemberRecord | None = None
        self._has_to_restore = False
        self._listed_at = float("-inf")
        self._has_to_compare = False
        self._has_to_check = False
        self._has_been_written = False
        # The newest version that the store has shown in its present era.
        self._shown_version = 0
        self._has_work = asyncio.Event()
        self._is_written = asyncio.Event()
        store.on_new_era = self._handle_store_era

    def is_reliable_watcher(self) -> bool:
        """Return whether the others may rely on this daemon's watch."""
        return self.is_watching and self.now() - self.contacted_at < CONTACT_LIFETIME_S

    def confirmed_age_ms(self) -> int:
        """Return the milliseconds since the version in force was known to be the newest.

        Returns `UNKNOWN_MS` if that was never known.
        """
        age_s = self.now() - self.confirmation.confirmed_at
        return UNKNOWN_MS if age_s == float("inf") else ceil(age_s * MS_PER_S)

    def record_peer_confirmation(self, status: StatusUpdate, *, version: int | None) -> None:
        """Record another daemon's confirmation of the version that is in force here.

        `version` is None if no other daemon can confirm what is in force here.
        One from a daemon that hasn't heard of the store's present era says nothing about it.
        """
        is_of_present_era = status.store_era >= (self.store.era_state.era or 0)
        if status.version == version and status.confirmed_age_ms >= 0 and is_of_present_era:
            record_confirmed(self.confirmation, at=self.now() - status.confirmed_age_ms / MS_PER_S)

    def record_peer_era(self, era: int, *, source: str) -> None:
        """Record the highest era of the store that another daemon knows; 0 if it knows none."""
        earlier = self.store.era_state.era
        if not 0 < era <= MAX_ERA:
            return
        change = observe_era(self.store.era_state, era, is_response=False)
        if change is EraChange.NEW:
            self._handle_new_era(earlier, source=source)

    def _handle_store_era(self, earlier: int | None) -> None:
        self._handle_new_era(earlier, source=STORE_SOURCE)
        # Other daemons may watch or write without having noticed. Those that hear of it from here
        # don't pass it on at once, which would cost a frame for each pair of daemons.
        self.notify_zone()

    def _handle_new_era(self, earlier: int | None, *, source: str) -> None:
        """Have everything read and written again that the rolled-back store may have lost."""
        now = self.now()
        era = self.store.era_state.era or 0
        log_event(Event.STORE_ERA_CHANGED, earlier=earlier or 0, era=era, source=source)
        self._shown_version = 0
        expire_confirmation(self.confirmation, now=now)
        self._is_written.clear()
        loop, jitter = asyncio.get_running_loop(), self.rng.random()
        loop.call_later(REWRITE_SPREAD_S * jitter, self._write_again)
        loop.call_later(RESTORE_AFTER_S + REWRITE_SPREAD_S * jitter, self._compare_records)
        loop.call_later(CHECK_AFTER_S + REWRITE_SPREAD_S * jitter, self._check_record)

    def _write_again(self) -> None:
        """Write this daemon's record again, unless that has been done meanwhile."""
        if self._has_been_written and self._unwritten is None and not self._is_written.is_set():
            self.write(self.membership.own)

    def _compare_records(self) -> None:
        """Look for records that the store has lost, if this daemon is one of the watchers."""
        if self._was_watcher:
            self._has_to_restore = self._has_to_compare = True
            self._has_work.set()

    def _check_record(self) -> None:
        self._has_to_check = True
        self._has_work.set()

    @property
    def is_own_record_written(self) -> bool:
        """Return whether the store has this daemon's record as it is now."""
        return self._is_written.is_set()

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._unavailable_since is not None

    def write(self, record: MemberRecord) -> None:
        """Write this daemon's record as soon as the store is available."""
        self._unwritten = record
        self._is_written.clear()
        self._has_work.set()

    async def is_written(self, *, within_s: float) -> bool:
        """Wait until the store has this daemon's record as it is now; return whether it has."""
        try:
            async with asyncio.timeout(within_s):
                await self._is_written.wait()
        except TimeoutError:
            return False
        return True

    async def run_configuration(self) -> None:
        """Read the configuration, and watch it while this daemon is one of the zone's watchers."""
        read: ConfigurationRead | None = None
        while True:
            if read is None:
                read = await self._read()
            wait_s = self._watch_wait_s(now=self.now())
            if wait_s is None:
                await asyncio.sleep(IDLE_CHECK_S)
            else:
                read = await self._watch(read, wait_s=wait_s)

    async def _read(self) -> ConfigurationRead:
        began_at = self.now()
        read = await self._retry_until_answered(self.store.read_configuration)
        self._listed_at = self.now()
        self._apply(read.configuration)
        self._confirm(at=began_at)
        if self._may_watch_at == float("inf"):
            self._may_watch_at = self.now() + WATCH_DELAY_S
        return read

    def _confirm(self, *, at: float) -> bool:
        """Record that a read confirms the version in force; return whether it does.

        A store that was rolled back may lack the newest version. It confirms nothing until that is
        written again.
        """
        is_rolled_back = self.store.era_state.era is not None
        if is_rolled_back and self._shown_version < self.version():
            return False
        record_confirmed(self.confirmation, at=at)
        return True

    def _watch_wait_s(self, *, now: float) -> float | None:
        """Return the seconds to watch or probe the store now, or None if that is left to others."""
        own = self.membership.own.vm
        before = watchers_before(own, self._zone_reports(), now=now)
        is_watcher = before < WATCHERS_PER_ZONE and now >= self._may_watch_at
        self._log_watcher_change(is_watcher, before)
        if is_watcher and self._unavailable_since is None:
            return WATCH_WAIT_S * (1.0 - WAIT_JITTER_FRACTION * self.rng.random())
        must_probe = self._must_probe(now=now)
        self._log_unconfirmed(must_probe)
        if is_watcher or must_probe:
            return PROBE_WAIT_S
        self.is_watching = False
        return None

    def _must_probe(self, *, now: float) -> bool:
        # This daemon's rank matters only once the zone's first daemon has to probe.
        if not is_probe_due(self.confirmation, rank=0, now=now):
            return False
        rank = probe_rank(self.membership.own.vm, self.membership.open_links_in_zone())
        return is_probe_due(self.confirmation, rank=rank, now=now)

    def _log_watcher_change(self, is_watcher: bool, before: int) -> None:
        """Log that this daemon becomes one of the zone's watchers, or is one no longer."""
        if is_watcher != self._was_watcher:
            self._was_watcher = is_watcher
            log_event(Event.WATCH_TAKEN if is_watcher else Event.WATCH_LEFT, others=before)

    def _log_unconfirmed(self, must_probe: bool) -> None:
        """Log that the last confirmation of the version in force has become too old."""
        if must_probe and not self._had_to_probe:
            log_event(Event.CONFIGURATION_UNCONFIRMED, age_s=self.confirmed_age_ms() / MS_PER_S)
        self._had_to_probe = must_probe

    async def _watch(
        self, earlier: ConfigurationRead, *, wait_s: float
    ) -> ConfigurationRead | None:
        """Wait for a newer configuration; return None if the configuration must be listed again."""
        began_at = self.now()
        try:
            read = await self.store.watch_configuration(
                after=earlier.revision,
                era=earlier.era,
                wait_s=wait_s,
                within_s=wait_s + self._watch_margin_s,
            )
        except DaisywharfError as error:
            self.is_watching = False
            if error.kind is ErrorKind.PLATFORM_GONE:
                # The store is available, but its history no longer reaches back to this revision.
                log_event(Event.WATCH_GONE, version=earlier.revision)
                if self.now() - self._listed_at < MIN_LIST_LIFETIME_S:
                    await asyncio.sleep(self._shared_delay_s(MIN_LIST_LIFETIME_S))
                return None
            self._record_failure(error)
            self._watch_margin_s = min(MAX_WATCH_MARGIN_S, self._watch_margin_s * 2.0)
            await self._back_off()
            return earlier
        self._watch_margin_s = INITIAL_WATCH_MARGIN_S
        self.is_watching = wait_s > PROBE_WAIT_S
        if self._record_contact():
            # Done by the task that writes records, so that a new version doesn't wait for them.
            self._has_to_restore = True
            self._has_work.set()
        self._apply(read.configuration)
        # A late answer describes the store at the time when the wait ended.
        is_confirmed = self._confirm(at=min(self.now(), began_at + wait_s))
        self.notify_zone()
        if not is_confirmed and wait_s <= PROBE_WAIT_S:
            # The store has yet to get back the version in force: without a pause, each probe would
            # be followed by the next one.
            await self._back_off()
        return read

    async def _restore_records(self) -> None:
        """Have records written again that the store lost during an outage or a rollback."""
        is_rolled_back, self._has_to_compare = self._has_to_compare, False
        try:
            records = await self.store.list_members()
        except DaisywharfError as error:
            self._record_failure(error)
            self._has_to_compare = is_rolled_back  # done after the outage
            return
        kept = {record.vm for record in records}
        if is_rolled_back:
            # A daemon that started meanwhile may have found no other's record in the store.
            self.membership.merge(records)
            known = self.membership.record_by_vm
            kept = {r.vm for r in records if r.vm not in known or not is_newer(known[r.vm], r)}
        if self.membership.own.vm not in kept:
            self.write(self.membership.own)
        self.membership.request_rewrites(kept)

    async def run_records(self) -> None:
        """Write this daemon's record, read those of all daemons once, and write later changes."""
        if self._unwritten is not None:
            self._has_work.set()
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            if self._has_to_restore:
                self._has_to_restore = False
                await self._restore_records()
            record = self._unwritten
            if record is None and self._has_to_check:
                self._has_to_check = False
                await self._write_if_not_stored()
                record = self._unwritten
            if record is None:
                continue
            earlier = await self._retry_until_answered(partial(self.store.write_member, record))
            if earlier is not None:
                # It may change this daemon's record, which replaces it in the next turn.
                self.apply_earlier_record(earlier)
                self._has_work.set()
                continue
            if self._unwritten is record:
                self._unwritten = None
                self._has_been_written = True
                self._is_written.set()
                if self._has_to_check:
                    self._has_work.set()
            if not self.has_listed:
                records = await self._retry_until_answered(self.store.list_members)
                self.membership.merge(records)
                self.has_listed = True
                self.restore_learned_calls(
                    await self._retry_until_answered(self.store.read_learned_calls)
                )

    async def _write_if_not_stored(self) -> None:
        """Write this daemon's record if the store has another, as from a late write."""
        own = self.membership.own
        if not await self._retry_until_answered(partial(self.store.is_member_stored, own)):
            self.write(self.membership.own)

    async def run_learned_calls(self) -> None:
        """Write the learned calls periodically, if this daemon is the one that does.

        A store that was rolled back gets them again.
        """
        last_written = LearnedCalls()
        written_in_era: int | None = None
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            up = [vm for vm, link in self.membership.link_by_vm.items() if link.is_up]
            learned = self.snapshot_learned_calls()
            era = self.store.era_state.era
            is_written = learned == last_written and written_in_era == era
            is_changed = learned != LearnedCalls() and not is_written
            if (
                is_changed
                and self.has_listed
                and is_learned_calls_writer(self.membership.own.vm, up)
            ):
                await self._retry_until_answered(partial(self.store.write_learned_calls, learned))
                last_written, written_in_era = learned, self.store.era_state.era

    async def _retry_until_answered(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT:
        while True:
            try:
                result = await call()
            except DaisywharfError as error:
                self._record_failure(error)
                await self._back_off()
            else:
                self._record_contact()
                return result

    async def _back_off(self) -> None:
        jittered_s = self._backoff_s * (0.5 + self.rng.random())
        await asyncio.sleep(self._shared_delay_s(jittered_s))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 1.6)

    def _shared_delay_s(self, delay_s: float) -> float:
        daemons = len(self.membership.open_links_in_zone()) + 1
        return retry_delay_s(delay_s, daemons=daemons)

    def _apply(self, configuration: Configuration | None) -> None:
        if configuration is not None:
            self._shown_version = max(self._shown_version, configuration.version)
            self.put_in_force(configuration)

    def _record_contact(self) -> bool:
        """Record that the store answered; return whether it was unavailable before."""
        self.contacted_at = self.now()
        self._backoff_s = INITIAL_BACKOFF_S
        if self._unavailable_since is not None:
            outage_s = round(self.now() - self._unavailable_since, 1)
            self._unavailable_since = None
            log_event(Event.PLATFORM_BACK, outage_s=outage_s)
            return True
        return False

    def _record_failure(self, error: DaisywharfError) -> None:
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
