"""The actor that owns a daemon's view of the fleet."""

import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import msgspec
import pykka

from daisywharf._call._demand import Demand
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._daemon._actors import log_exceptions
from daisywharf._daemon._claim_sweep import SWEEP_PERIOD_S
from daisywharf._daemon._fleet_events import LoggedFleet, fleet_events
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._messages import FleetMessage
from daisywharf._fleet._services import (
    ViewVersion,
    daemons_by_zone,
    targets_by_service,
    view_version,
)
from daisywharf._fleet._state import (
    FleetAction,
    FleetState,
    FleetStatus,
    PlatformResult,
    SendTo,
    ZoneInForce,
)
from daisywharf._fleet._targets import is_drained, is_target_known
from daisywharf._ids import CustomerId, ServiceName, TargetId
from daisywharf._signals import Event, log_event
from daisywharf._topology import Target

SHARES_PERIOD_S: Final = 0.5
EVENTS_PERIOD_S: Final = 0.5
SHARE_DIGITS: Final = 4


class FleetView(msgspec.Struct, frozen=True):
    """Describe the fleet as this daemon sees it.

    `zones` counts the daemons that have the requested customer's contract; it is empty if no
    customer was requested.
    """

    status: FleetStatus
    is_confirmed: bool
    zones: tuple[ZoneInForce, ...]


class FleetActor(pykka.ThreadingActor):
    """Run the fleet logic one event at a time and publish snapshots."""

    use_daemon_thread = True

    def __init__(
        self,
        state: FleetState,
        *,
        holder: SnapshotHolder,
        send: Callable[[SendTo], None],
        run_platform_action: Callable[[FleetAction], None],
        on_snapshot: Callable[[Snapshot], None],
        rng: Random,
        sweep_claims: Callable[[], None],
    ) -> None:
        super().__init__()
        self._state = state
        self._holder = holder
        self._send = send
        self._run_platform_action = run_platform_action
        self._on_snapshot = on_snapshot
        self._rng = rng
        self._sweep_claims = sweep_claims
        # Randomized, so that watchers that start together sweep at different times.
        self._next_sweep_at = time.monotonic() + rng.uniform(0.5, 1.0) * SWEEP_PERIOD_S
        self._published_version: ViewVersion | None = None
        self._published_at = float("-inf")
        self._logged = LoggedFleet()
        self._events_logged_at = float("-inf")
        self._last_tick_at: float | None = None

    @log_exceptions
    def tick(self) -> None:
        """Run the periodic work: gossip, snapshots, claim sweeps and the log of fleet events."""
        now = time.monotonic()
        self._log_clock_gap(now)
        self._run_actions(fleet.tick(self._state, now=now, rng=self._rng))
        self._publish_snapshot(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_PERIOD_S
            if fleet.status(self._state, now).is_watcher:
                self._sweep_claims()
        if now - self._events_logged_at >= EVENTS_PERIOD_S:
            self._log_changes(now)

    @log_exceptions
    def receive(self, message: FleetMessage) -> None:
        """Handle a message from a peer."""
        now = time.monotonic()
        self._run_actions(fleet.receive(self._state, message, now=now, rng=self._rng))

    def announce(self, target: Target) -> bool:
        """Handle a target's announcement and return whether an operator drained the target."""
        now = time.monotonic()
        self._run_actions(fleet.announce(self._state, target, now=now))
        self._publish_snapshot(now)
        return is_drained(self._state, target)

    def withdraw(self, target_id: TargetId) -> None:
        """Remove a target that announced that it is leaving."""
        now = time.monotonic()
        self._logged.withdrawn.add(target_id)
        self._run_actions(fleet.withdraw(self._state, target_id, now=now))
        self._publish_snapshot(now)

    @log_exceptions
    def platform_answered(self, result: PlatformResult) -> None:
        """Handle the result of an action on the platform."""
        now = time.monotonic()
        self._run_actions(fleet.handle_platform_result(self._state, result, now=now, rng=self._rng))

    def leave(self) -> None:
        """Notify peers that this daemon is leaving the fleet."""
        now = time.monotonic()
        self._run_actions(fleet.leave(self._state, now=now))
        self._log_changes(now)

    def request_drain(self, target_id: TargetId) -> bool:
        """Request a target's drain on whichever VM it runs, and return whether it is known."""
        now = time.monotonic()
        self._run_actions(fleet.request_drain(self._state, target_id, now=now))
        self._publish_snapshot(now)
        return is_target_known(self._state, target_id)

    @log_exceptions
    def record_demand(self, demands: Iterable[Demand]) -> None:
        """Record the demand of requests that entered on this VM."""
        now = time.monotonic()
        for demand in demands:
            fleet.record_demand(
                self._state,
                demand.customer,
                demand.call_class,
                requests=demand.requests,
                now=now,
            )

    def view(self, customer: CustomerId | None) -> FleetView:
        """Return the fleet's status and how many daemons have a customer's contract."""
        now = time.monotonic()
        zones = () if customer is None else fleet.poll_in_force(self._state, customer, now=now)
        return FleetView(
            status=fleet.status(self._state, now),
            is_confirmed=fleet.is_confirmed(self._state),
            zones=zones,
        )

    def _log_clock_gap(self, now: float) -> None:
        gap_s = 0.0 if self._last_tick_at is None else now - self._last_tick_at
        self._last_tick_at = now
        if gap_s >= fleet.PAUSE_THRESHOLD_S:
            log_event(Event.CLOCK_GAP, gap_s=round(gap_s, 1))

    def _log_changes(self, now: float) -> None:
        self._events_logged_at = now
        for fleet_event in fleet_events(self._logged, self._state, now=now):
            log_event(fleet_event.event, **fleet_event.fields)

    def _run_actions(self, actions: Iterable[FleetAction]) -> None:
        for action in actions:
            if isinstance(action, SendTo):
                self._send(action)
            else:
                self._run_platform_action(action)

    def _publish_snapshot(self, now: float) -> None:
        version = view_version(self._state)
        is_same_view = version == self._published_version
        if is_same_view and now - self._published_at < SHARES_PERIOD_S:
            return
        self._published_version = version
        self._published_at = now
        current = self._holder.current
        targets = current.targets_by_service if is_same_view else targets_by_service(self._state)
        snapshot = _snapshot(self._state, targets, current.sequence, now)
        if snapshot == current:
            return
        new_snapshot = msgspec.structs.replace(snapshot, sequence=current.sequence + 1)
        self._holder.current = new_snapshot
        self._on_snapshot(new_snapshot)


def _snapshot(
    state: FleetState,
    targets: dict[ServiceName, tuple[Target, ...]],
    sequence: int,
    now: float,
) -> Snapshot:
    contract_by_customer = fleet.contracts_by_customer(state)
    return Snapshot(
        vm=state.me.vm,
        zone=state.me.zone,
        sequence=sequence,
        contract_by_customer=contract_by_customer,
        targets_by_service=targets,
        share_by_class_by_customer={
            customer: {
                name: round(fleet.share_of(state, customer, name, now=now), SHARE_DIGITS)
                for name in contract.classes_by_name
            }
            for customer, contract in contract_by_customer.items()
        },
        daemons_by_zone=daemons_by_zone(state),
    )
