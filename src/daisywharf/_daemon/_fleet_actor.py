"""The actor that owns one daemon's view of the fleet."""

import time
from collections.abc import Callable, Iterable
from random import Random

import msgspec
import pykka

from daisywharf._call._snapshot import Share, Snapshot, SnapshotHolder
from daisywharf._fleet import _state as fleet
from daisywharf._fleet._messages import FleetMessage
from daisywharf._fleet._services import services_of
from daisywharf._fleet._state import FleetAction, FleetState, FleetStatus, PlatformResult, SendTo
from daisywharf._ids import CallClassName, CustomerId, TargetId
from daisywharf._topology import Target


class FleetActor(pykka.ThreadingActor):
    """Run the fleet's decisions one at a time and hand out snapshots."""

    use_daemon_thread = True

    def __init__(
        self,
        state: FleetState,
        *,
        holder: SnapshotHolder,
        send: Callable[[SendTo], None],
        ask_platform: Callable[[FleetAction], None],
        on_snapshot: Callable[[Snapshot], None],
        rng: Random,
    ) -> None:
        super().__init__()
        self._state = state
        self._holder = holder
        self._send = send
        self._ask_platform = ask_platform
        self._on_snapshot = on_snapshot
        self._rng = rng

    def tick(self) -> None:
        """Do what time asks for."""
        now = time.monotonic()
        self._do(fleet.tick(self._state, now=now, rng=self._rng))
        self._hand_out(now)

    def receive(self, message: FleetMessage) -> None:
        """Take a message of a peer."""
        now = time.monotonic()
        self._do(fleet.receive(self._state, message, now=now, rng=self._rng))

    def announce(self, target: Target) -> None:
        """Take a target's announcement."""
        now = time.monotonic()
        self._do(fleet.announce(self._state, target, now=now))
        self._hand_out(now)

    def withdraw(self, target_id: TargetId) -> None:
        """Let a target leave."""
        now = time.monotonic()
        self._do(fleet.withdraw(self._state, target_id, now=now))
        self._hand_out(now)

    def platform_answered(self, result: PlatformResult) -> None:
        """Take a result of the platform."""
        now = time.monotonic()
        self._do(fleet.platform_answered(self._state, result, now=now, rng=self._rng))

    def leave(self) -> None:
        """Tell peers that this daemon goes."""
        self._do(fleet.leave(self._state, now=time.monotonic()))

    def note_demand(self, customer: CustomerId, call_class: CallClassName, requests: int) -> None:
        """Count requests that entered."""
        now = time.monotonic()
        fleet.note_demand(self._state, customer, call_class, requests=requests, now=now)

    def status(self) -> FleetStatus:
        """Return this daemon's view of the fleet."""
        return fleet.status(self._state, time.monotonic())

    def _do(self, actions: Iterable[FleetAction]) -> None:
        for action in actions:
            if isinstance(action, SendTo):
                self._send(action)
            else:
                self._ask_platform(action)

    def _hand_out(self, now: float) -> None:
        snapshot = _snapshot(self._state, self._holder.current.sequence, now)
        if snapshot == self._holder.current:
            return
        numbered = msgspec.structs.replace(snapshot, sequence=snapshot.sequence + 1)
        self._holder.current = numbered
        self._on_snapshot(numbered)


def _snapshot(state: FleetState, sequence: int, now: float) -> Snapshot:
    contract_by_customer = fleet.contracts_by_customer(state)
    shares = tuple(
        Share(customer, name, fleet.share_of(state, customer, name, now=now))
        for customer, contract in sorted(contract_by_customer.items())
        for name in contract.classes_by_name
    )
    return Snapshot(
        vm=state.me.vm,
        zone=state.me.zone,
        sequence=sequence,
        contract_by_customer=contract_by_customer,
        targets_by_service={
            service: tuple(fleet.targets_of(state, service)) for service in services_of(state)
        },
        shares=shares,
    )
