"""One daemon: its servers, gate and links, and its start and shutdown."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

from msgspec.structs import replace

from daisywharf._configuration import Configuration
from daisywharf._ids import TargetId, VmId
from daisywharf._mesh._announcements import (
    Verdict,
    check_announcement,
    is_born_in_the_future,
)
from daisywharf._mesh._counts import daemon_metrics, request_metrics, team_metrics
from daisywharf._mesh._departures import (
    Departure,
    Departures,
    departure_of,
    record_departure,
    with_departure,
)
from daisywharf._mesh._dialect import Dialect
from daisywharf._mesh._entry import Entry
from daisywharf._mesh._fair_shares import FairShares, fair_share_metrics
from daisywharf._mesh._frames import Call, CallResult, Frame
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._http_server import Exchange, HttpServer
from daisywharf._mesh._in_force import InForce
from daisywharf._mesh._incoming import IncomingCalls
from daisywharf._mesh._learned import restore_learned_calls, snapshot_learned_calls
from daisywharf._mesh._links import LinkServer, OutLink
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._memory_budget import MemoryBudget, max_buffered_bytes
from daisywharf._mesh._model import (
    MemberRecord,
    Readiness,
    TargetAnnouncement,
    TargetDeparture,
    TargetRecord,
)
from daisywharf._mesh._peers import Peers
from daisywharf._mesh._pending import GateChannel
from daisywharf._mesh._reporting import Reporter
from daisywharf._mesh._retry_permits import RetryPermits
from daisywharf._mesh._running import keep_running
from daisywharf._mesh._services import Services
from daisywharf._mesh._settings import MeshSettings
from daisywharf._mesh._stopping import StopSchedule, can_accept, schedule_stop
from daisywharf._mesh._store import Store
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._mesh._summaries import Summaries
from daisywharf._mesh._team_reports import TeamReports
from daisywharf._mesh._zone_calls import end_idle_spills, zone_call_metrics
from daisywharf._outcomes._pause import PAUSE_LIMIT_S, PauseState, pause_tick
from daisywharf._overload._actions import CallId
from daisywharf._overload._start_rate import limit_or_infinity
from daisywharf._overload._team_quota import QuotaBounds
from daisywharf._overload._team_usage import RunId
from daisywharf._routing._fleet_retry_budget import FleetRetryBudget
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._signals._metrics import Metric

# The store's name in log lines that give the source of a configuration.
STORE_SOURCE: Final = "the store"
TICK_S: Final = 0.05  # waiting calls are refused at most this late
SWEEP_PERIOD_S: Final = 0.5
# A daemon that hasn't found any target in this time reports ready anyway and refuses what it can't
# serve: a refusal tells the client why.
READY_WITHOUT_TARGETS_S: Final = 3.0
# The daemon's record is written at the target's first announcement, or after this time without one.
FIRST_WRITE_AFTER_S: Final = 1.0
# Retry-After of a refusal for lack of memory: by then clients have read a few answers.
MEMORY_FULL_RETRY_AFTER_S: Final = 1.0
# A target's departure is acknowledged within this time, or not at all: targets wait for a second.
KEEP_WITHIN_S: Final = 0.7
KEEP_CHECK_S: Final = 0.005
MS_PER_S: Final = 1000.0
# A process is told from earlier ones of its VM by its start, in milliseconds of 24 days.
RUN_IDS: Final = 2**31


class LocalGateChannel:
    """Submit calls to this daemon's own gate."""

    def __init__(self, gate: Gate) -> None:
        self.gate = gate

    def submit(self, call: Call, on_result: Callable[[CallResult], None]) -> object:
        """Submit a call to the gate; return the id that `cancel` accepts."""
        return self.gate.submit(call, on_result)

    def cancel(self, call_id: object) -> None:
        """Cancel a call."""
        if isinstance(call_id, CallId):
            self.gate.cancel(call_id)


class MeshDaemon:
    """Own the components of one daemon and connect them."""

    def __init__(
        self,
        settings: MeshSettings,
        *,
        dialect: Dialect,
        store: Store,
        now: Callable[[], float],
        started_ms: int,
        rng: Random,
    ) -> None:
        self.settings = settings
        self.now = now
        self.is_stopping = False
        self.memory = MemoryBudget(max_bytes=max_buffered_bytes(settings.memory_bytes))
        self.gate = Gate(
            dialect=dialect, now=now, memory=self.memory, on_target_leaving=self._on_target_leaving
        )
        self.local_channel = LocalGateChannel(self.gate)
        self.services = Services(zone=settings.zone)
        own = MemberRecord(
            settings.vm, settings.zone, str(settings.links_address), started_ms, 0, False, None
        )
        self.membership = Membership(
            own,
            services=self.services,
            now=now,
            rng=rng,
            on_frame=self._receive_on_own_link,
            version=lambda: self.version,
            memory=self.memory,
        )
        self.retry_permits = RetryPermits(
            FleetRetryBudget(
                ratio=settings.bounds.retry_ratio,
                extra=settings.bounds.retry_extra,
                window_s=settings.bounds.retry_window_s,
            ),
            membership=self.membership,
            services=lambda: self.services.placement_by_service,
            now=now,
        )
        self.team_reports = TeamReports(
            membership=self.membership,
            bounds=QuotaBounds(
                settings.bounds.quota_window_s,
                settings.bounds.quota_overrun,
                settings.bounds.quota_tolerance,
            ),
            run=RunId(started_ms % RUN_IDS),
            now=now(),
        )
        self.entry = Entry(
            settings,
            dialect=dialect,
            services=self.services,
            call_counts=self.gate.call_counts,
            memory=self.memory,
            channel_to=self._channel_to,
            retry_permits=self.retry_permits,
            team_reports=self.team_reports,
            fair_shares=FairShares(
                fleet_demand=lambda: self.team_reports.fleet_demand(now=now()), now=now()
            ),
            now=now,
            rng=rng,
        )
        self.sync = StoreSync(
            store,
            membership=self.membership,
            put_in_force=self._put_in_force,
            apply_earlier_record=self._apply_earlier_record,
            snapshot_learned_calls=lambda: snapshot_learned_calls(
                self.entry.chain, self.entry.origins
            ),
            restore_learned_calls=lambda learned: restore_learned_calls(
                learned, self.entry.chain, self.entry.origins
            ),
            notify_zone=self._notify_zone,
            version=lambda: self.version,
            now=now,
            rng=rng,
        )
        self.reporter = Reporter(
            gate=self.gate,
            entry=self.entry,
            membership=self.membership,
            sync=self.sync,
            now=now(),
        )
        self.summaries = Summaries(self.entry.request_stats, self.gate, now=now())
        self.incoming = IncomingCalls(self.gate, has_unnoticed_pause=self._has_unnoticed_pause)
        self.clients = HttpServer(
            self._handle_request,
            now=now,
            memory=self.memory,
            memory_full_lines=lambda: dialect.refusal_lines(
                retry_after_s=MEMORY_FULL_RETRY_AFTER_S
            ),
        )
        self.in_force = InForce(
            entry=self.entry,
            gate=self.gate,
            clients=self.clients,
            membership=self.membership,
            status=self.reporter.status,
            confirmed_age_s=lambda: round(self._confirmed_age_s(), 3),
            now=now,
        )
        self.peers = Peers(
            membership=self.membership,
            sync=self.sync,
            in_force=self.in_force,
            incoming=self.incoming,
            reporter=self.reporter,
            retry_permits=self.retry_permits,
            team_reports=self.team_reports,
            supersede_record=lambda started_ms: self._update_own_record(started_ms=started_ms + 1),
            apply_earlier_record=self._apply_earlier_record,
            now=now,
        )
        self.links = LinkServer(
            on_frame=self.peers.receive, on_lost=self.peers.on_link_lost, memory=self.memory
        )
        self.stopped = asyncio.Event()
        self._pause = PauseState(now=now())
        self._started_at = now()
        self._swept_at = now()
        self._has_written = False
        self._started_ms = started_ms
        self._departures = Departures()
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return self.entry.version

    @property
    def is_ready(self) -> bool:
        """Return whether clients may send requests here."""
        if self.entry.table is None or self.is_stopping:
            return False
        knows_targets = any(p.candidates for p in self.services.placement_by_service.values())
        return knows_targets or self.now() - self._started_at > READY_WITHOUT_TARGETS_S

    async def start(self) -> None:
        """Listen, connect to the seeds, and start to follow the store.

        Raises OSError if an address can't be bound.
        """
        await self.links.start(self.settings.links_address)
        await self.clients.start(self.settings.entry_address)
        for seed in self.settings.seeds:
            self._open_seed_link(seed.host)
        self._tasks = [
            asyncio.ensure_future(keep_running(task))
            for task in (
                self.sync.run_configuration,
                self.sync.run_records,
                self.sync.run_learned_calls,
            )
        ]
        self._tick()

    def _open_seed_link(self, host: str) -> None:
        # All VMs use the same ports.
        address = self.settings.links_address
        if host != address.host:
            self.membership.open_seed_link(type(address)(host, address.port))

    def _channel_to(self, vm: VmId) -> GateChannel | None:
        if vm == self.settings.vm:
            return self.local_channel
        link = self.membership.link_by_vm.get(vm)
        return link if link is not None and link.is_up else None

    def change_settings(self, settings: MeshSettings) -> None:
        """Apply changed settings; addresses stay as they were at the start."""
        self.settings = self.entry.settings = settings
        log_event(Event.SETTINGS_CHANGED, vm=settings.vm)
        for seed in settings.seeds:
            self._open_seed_link(seed.host)

    # Membership and StoreSync are created before the components that handle their events, so these
    # methods look the components up when they are called.

    def _receive_on_own_link(self, link: OutLink, frame: Frame) -> None:
        self.peers.receive_on_own_link(link, frame)

    def _put_in_force(self, configuration: Configuration) -> None:
        self.in_force.put_in_force(configuration, source=STORE_SOURCE)

    def _notify_zone(self) -> None:
        self.in_force.notify_zone()

    # The target on this daemon's VM.

    def handle_announcement(self, announcement: TargetAnnouncement) -> Verdict:
        """Apply an announcement of the target and return the verdict to acknowledge.

        An accepted announcement is in force at the gate when this returns. A rejected one is logged
        as late, whatever the verdict.
        """
        known = self.gate.announcement
        verdict = check_announcement(known, announcement)
        if is_born_in_the_future(announcement.born_ms, now_ms=self._wall_ms()):
            verdict = Verdict.BORN_IN_THE_FUTURE
        if verdict is not Verdict.TAKEN:
            log_event(Event.ANNOUNCEMENT_LATE, target=announcement.target_id, verdict=verdict.value)
            return verdict
        announcement = with_departure(self._departures, announcement)
        if known is not None and _is_same_incarnation(known, announcement):
            sequence = max(known.sequence, announcement.sequence)
            announcement = replace(announcement, sequence=sequence)
        if announcement.readiness is not Readiness.READY:
            self._record_departure(announcement)
        is_changed = known is None or (
            known.target_id,
            known.born_ms,
            known.readiness,
            known.slots,
        ) != (
            announcement.target_id,
            announcement.born_ms,
            announcement.readiness,
            announcement.slots,
        )
        self.gate.handle_announcement(announcement)
        if is_changed:
            self._publish_target(announcement)
        return verdict

    def handle_departure(self, message: TargetDeparture) -> Verdict:
        """Apply a target's message that it has left, also of a target that isn't known here."""
        if is_born_in_the_future(message.born_ms, now_ms=self._wall_ms()):
            return Verdict.BORN_IN_THE_FUTURE
        departure = departure_of(message, now_ms=self._wall_ms())
        record_departure(self._departures, message.target_id, departure)
        known = self.gate.announcement
        if known is None:
            # This process has just started, or the target's announcements were lost. What the
            # target says from now on is judged by this departure, also after another restart.
            self._publish_departure(message.target_id, departure)
        elif known.target_id == message.target_id and known.born_ms <= departure.born_ms:
            self.handle_announcement(
                replace(
                    known,
                    readiness=Readiness.LEFT,
                    cold_s=0.0,
                    born_ms=known.born_ms if message.born_ms is None else message.born_ms,
                    sequence=max(known.sequence + 1, departure.sequence),
                )
            )
        return Verdict.TAKEN

    async def is_departure_kept(self) -> bool:
        """Wait until this daemon's record outlives its process; return whether it does.

        A record outlives the process once the store has it, or peers. A store that names its era
        may be rolled back, so a peer has to have read the record then, if any can be reached.
        """
        if self.sync.store.era_state.era is not None:
            return await self._is_departure_kept_after_rollback()
        has_peers = any(link.is_up for link in self.membership.link_by_vm.values())
        if has_peers and self.sync.is_store_unavailable:
            return True
        return await self.sync.is_written(within_s=KEEP_WITHIN_S) or has_peers

    async def _is_departure_kept_after_rollback(self) -> bool:
        links = [link for link in self.membership.link_by_vm.values() if link.is_up]
        is_read_by_peer = [link.confirm_read() for link in links]
        ends_at = self.now() + KEEP_WITHIN_S
        while True:
            is_at_peer = any(is_read() for is_read in is_read_by_peer)
            is_in_store = self.sync.is_own_record_written
            if is_at_peer and (is_in_store or self.sync.is_store_unavailable):
                return True
            if not links and is_in_store:
                # Without peers, this daemon writes the record again while it runs.
                return True
            if self.now() >= ends_at:
                return is_at_peer
            await asyncio.sleep(KEEP_CHECK_S)

    def _publish_departure(self, target_id: TargetId, departure: Departure) -> None:
        """Publish that a target leaves of which nothing else is known."""
        target = TargetRecord(
            target_id,
            self.settings.service,
            0,
            departure.readiness,
            departure.born_ms,
            departure.sequence,
        )
        log_event(Event.TARGET_LEFT, target=target_id, service=target.service, slots=0)
        self._update_own_record(target=target)

    def _record_departure(self, target: TargetAnnouncement | TargetRecord) -> None:
        departure = Departure(target.readiness, target.born_ms, target.sequence)
        record_departure(self._departures, target.target_id, departure)

    def _wall_ms(self) -> int:
        return self._started_ms + int((self.now() - self._started_at) * MS_PER_S)

    def _on_target_leaving(self) -> None:
        """Treat an answer that marks the target as leaving like an announcement of that."""
        announcement = self.gate.announcement
        if announcement is None or announcement.readiness is not Readiness.READY:
            return
        log_event(Event.TARGET_SAID_LEAVING, target=announcement.target_id)
        leaving = replace(announcement, readiness=Readiness.DRAINING)
        self._record_departure(leaving)
        self.gate.handle_announcement(leaving)
        self._publish_target(leaving)

    def _publish_target(self, announcement: TargetAnnouncement) -> None:
        """Log the announcement, and publish the target in this daemon's record."""
        event = {
            Readiness.READY: Event.TARGET_ANNOUNCED,
            Readiness.DRAINING: Event.TARGET_DRAINING,
            Readiness.LEFT: Event.TARGET_LEFT,
        }[announcement.readiness]
        log_event(
            event,
            target=announcement.target_id,
            service=announcement.service,
            slots=announcement.slots,
        )
        target = TargetRecord(
            announcement.target_id,
            announcement.service,
            announcement.slots,
            announcement.readiness,
            announcement.born_ms,
            announcement.sequence,
            announcement.cold_s,
        )
        self._update_own_record(target=target)

    def _update_own_record(self, **changes: Any) -> None:
        own = self.membership.own
        own = replace(own, revision=own.revision + 1, **changes)
        self.membership.publish_own(own)
        self._has_written = True
        self.sync.write(own)

    def _apply_earlier_record(self, earlier: MemberRecord) -> None:
        """Continue from the record of an earlier process on this VM."""
        if earlier.started_ms >= self.membership.own.started_ms:
            self._update_own_record(started_ms=earlier.started_ms + 1)
        if earlier.target is None or earlier.target.readiness is Readiness.READY:
            return
        self._record_departure(earlier.target)
        announcement = self.gate.announcement
        if announcement is None:
            # The store, after a rollback, may give an earlier departure than a peer does.
            if _is_later(earlier.target, self.membership.own.target):
                # For the next process, should this one end before it hears of its target.
                self._update_own_record(target=earlier.target)
        elif announcement.readiness is Readiness.READY:
            # A late announcement arrived before the record of the acknowledged departure was read.
            leaving = with_departure(self._departures, announcement)
            if leaving is not announcement:
                self.gate.handle_announcement(leaving)
                self._publish_target(leaving)

    # Requests from clients and from the target.

    def _has_unnoticed_pause(self) -> bool:
        """Return whether this process was paused and the next tick has yet to notice it."""
        return self.now() - self._pause.ticked_at > PAUSE_LIMIT_S

    def _handle_request(self, exchange: Exchange) -> None:
        if self._has_unnoticed_pause():
            # It arrived while this process was paused: its client may have left long ago.
            asyncio.get_running_loop().call_later(TICK_S, self._handle_late_request, exchange)
        else:
            self.entry.handle(exchange)

    def _handle_late_request(self, exchange: Exchange) -> None:
        if exchange.is_awaited:
            self.entry.handle(exchange)

    # Time.

    def _tick(self) -> None:
        if self.stopped.is_set():
            return
        # Scheduled before the work, so that an error in the work doesn't stop the ticks.
        asyncio.get_running_loop().call_later(TICK_S, self._tick)
        now = self.now()
        gap_s = pause_tick(self._pause, now=now)
        if gap_s:
            log_event(Event.CLOCK_GAP, gap_s=round(gap_s, 1))
            for link in self.membership.link_by_vm.values():
                link.restart_silence_timer(now=now)
            self.team_reports.restart_silence(now=now)
        self.gate.tick(now=now)
        self.membership.tick(now=now)
        if not self._has_written and now - self._started_at > FIRST_WRITE_AFTER_S:
            self._update_own_record()
        self.in_force.tick(now=now)
        self.reporter.tick(now=now)
        self.retry_permits.tick(now=now)
        self.team_reports.tick(now=now)
        self.summaries.tick(now=now)
        if now - self._swept_at >= SWEEP_PERIOD_S:
            self._swept_at = now
            self.clients.sweep(now=now)
            self.gate.sweep(now=now)
            self._count_unsent()
            end_idle_spills(self.entry.zone_calls, self.services, now=now)

    def _count_unsent(self) -> None:
        for link in self.membership.link_by_vm.values():
            link.count_unsent()
        for protocol in self.links.protocols:
            protocol.count_unsent()

    def metrics(self) -> list[Metric]:
        """Return the metrics of request outcomes and of the daemon's state."""
        load = self.gate.load()
        state = daemon_metrics(
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            level=load.level,
            started=self.gate.started_count,
            limit_per_s=limit_or_infinity(self.gate.slots.rate),
            rejected_share=load.rejected_share,
            version=self.version,
            members=len(self.membership.record_by_vm),
            links_up=sum(link.is_up for link in self.membership.link_by_vm.values()),
            held_bytes=self.memory.buffered_bytes + self.memory.unsent_bytes,
            store_contact_age_s=self.now() - max(self.sync.contacted_at, self._started_at),
            confirmed_age_s=self._confirmed_age_s(),
            store_era=self.sync.store.era_state.era or 0,
        )
        zone = self.settings.zone
        return [
            *request_metrics(self.entry.request_stats, zone=zone),
            *team_metrics(self.team_reports.quotas, bytes_sent=self.team_reports.bytes_sent),
            *fair_share_metrics(self.entry.fair_shares, zone=zone),
            *zone_call_metrics(self.entry.zone_calls, self.services, zone=zone),
            *state,
        ]

    def _confirmed_age_s(self) -> float:
        """Return the time since the version in force was known to be the newest, in seconds."""
        return self.now() - max(self.sync.confirmation.confirmed_at, self._started_at)

    # Shutdown.

    async def stop(self) -> None:
        """Refuse new work, let running calls end within the grace period, and close the daemon."""
        if self.is_stopping:
            return
        self.is_stopping = True
        schedule = schedule_stop(grace_s=self.settings.bounds.grace_s, now=self.now())
        log_event(Event.DAEMON_STOPPING, vm=self.settings.vm, in_flight=len(self.entry.pending))
        try:
            await self._finish_requests(schedule)
            self.summaries.write(now=self.now())
        finally:
            cut_off = len(self.entry.pending)
            self.close()
        log_event(Event.DAEMON_STOPPED, vm=self.settings.vm, cut_off=cut_off)

    async def _finish_requests(self, schedule: StopSchedule) -> None:
        """Wait until all requests have ended, or the schedule ends."""
        self.entry.can_accept = partial(self._can_accept, schedule)
        self.clients.start_closing()
        while self.gate.is_open and self.now() < schedule.gate_closes_at:
            await asyncio.sleep(TICK_S)
        self.gate.start_stopping()
        self._update_own_record(is_leaving=True)
        while self.now() < schedule.ends_at:
            if self.now() >= schedule.accepts_until and self._is_idle():
                break
            await asyncio.sleep(TICK_S)

    def _can_accept(self, schedule: StopSchedule, deadline: float, now: float) -> bool:
        is_target_busy = bool(self.gate.slots.running)
        return can_accept(schedule, deadline=deadline, is_target_busy=is_target_busy, now=now)

    def _is_idle(self) -> bool:
        return not (self.entry.pending or self.gate.calls_by_id or self.clients.unsent_bytes)

    def close(self) -> None:
        """Close servers and links and cancel tasks at once."""
        self.stopped.set()
        self.clients.stop()
        self.clients.close_idle()
        for task in self._tasks:
            task.cancel()
        self.links.stop()
        self.membership.close()


def _is_later(target: TargetRecord, known: TargetRecord | None) -> bool:
    """Return whether a departure is of a later incarnation than the known one, or says more."""
    return known is None or (target.born_ms, target.sequence) > (known.born_ms, known.sequence)


def _is_same_incarnation(one: TargetAnnouncement, other: TargetAnnouncement) -> bool:
    return (one.target_id, one.born_ms) == (other.target_id, other.born_ms)
