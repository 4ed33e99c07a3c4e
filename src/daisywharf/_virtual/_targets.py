"""Fake targets: slots behind a gate, service times, and network delays."""

from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from daisywharf._ids import ServiceName, TargetId, ZoneName
from daisywharf._overload._actions import AdmissionAction
from daisywharf._overload._rates import RateState
from daisywharf._routing._retries import RetryRatio
from daisywharf._routing._router import RouterState, update_targets
from daisywharf._topology import Target
from daisywharf._virtual._loop import VirtualLoop, call_later
from daisywharf._virtual._messages import CallerRules, Gate

FIXED_WORK_FRACTION = 0.6


class Delays(msgspec.Struct, frozen=True):
    """Set the one-way network delays in seconds."""

    within_zone_s: float
    between_zones_s: float
    client_s: float


class FakeTarget:
    """Hold one target: its gate, its calls, and its routing state for the services it calls."""

    def __init__(self, target: Target, gate: Gate) -> None:
        self.target = target
        self.gate = gate
        self.call_by_id: dict[object, object] = {}
        self.router_by_service: dict[ServiceName, RouterState] = {}
        self.retry_ratio = RetryRatio()


Observer = Callable[[FakeTarget, AdmissionAction, object], None]


class Message(msgspec.Struct, frozen=True):
    """Hold a message in transit; `lost` runs when its sender detects that it did not arrive."""

    caller: FakeTarget
    target: FakeTarget
    delay_s: float
    deliver: Callable[[], None]
    lost: Callable[[], None]


SendMessage = Callable[["Fakes", Message], None]


class Fakes:
    """Hold the targets of all services under one clock; `work_s_by_service` are mean times.

    `first_calls` counts the calls from target to target without their retries, `retried_calls` the
    retries. A call from target to target fails to connect with probability `failing_fraction`.
    """

    def __init__(
        self,
        *,
        rng: Random,
        delays: Delays,
        rules: CallerRules,
        work_s_by_service: dict[ServiceName, float],
    ) -> None:
        self.loop = VirtualLoop()
        self.rates = RateState()
        self.rng = rng
        self.delays = delays
        self.rules = rules
        self.work_s_by_service = work_s_by_service
        self.slow_factor_by_service: dict[ServiceName, float] = {}
        self.failing_fraction = 0.0
        self.target_by_id: dict[TargetId, FakeTarget] = {}
        self.ids_by_service: dict[ServiceName, list[TargetId]] = {}
        self.call_numbers = count()
        self.first_calls = 0
        self.retried_calls = 0
        self.observe: Observer = _ignore
        self.send_message: SendMessage = _send_message


def _ignore(_target: FakeTarget, _action: AdmissionAction, _call: object) -> None:
    return


def _send_message(fakes: Fakes, message: Message) -> None:
    call_later(fakes.loop, message.delay_s, message.deliver)


def add_target(fakes: Fakes, target: Target, gate: Gate) -> None:
    """Add a target to its service."""
    fakes.target_by_id[target.target_id] = FakeTarget(target, gate)
    fakes.ids_by_service.setdefault(target.service, []).append(target.target_id)


def router_for(fakes: Fakes, caller: FakeTarget, service: ServiceName) -> RouterState:
    """Return the routing state of a caller for a service; create it on first use."""
    router = caller.router_by_service.get(service)
    if router is None:
        name = str(caller.target.target_id)
        router = RouterState(service=service, zone=caller.target.zone, caller=name)
        targets = [fakes.target_by_id[i].target for i in fakes.ids_by_service[service]]
        update_targets(router, targets, now=fakes.loop.now)
        caller.router_by_service[service] = router
    return router


def service_time_s(fakes: Fakes, service: ServiceName) -> float:
    """Draw the service time of one call in seconds: a fixed fraction plus an exponential rest."""
    mean_s = fakes.work_s_by_service[service] * fakes.slow_factor_by_service.get(service, 1.0)
    return mean_s * (FIXED_WORK_FRACTION + (1.0 - FIXED_WORK_FRACTION) * fakes.rng.expovariate(1.0))


def network_delay_s(fakes: Fakes, from_zone: ZoneName, to_zone: ZoneName) -> float:
    """Return the one-way delay in seconds of a message between two zones."""
    return fakes.delays.within_zone_s if from_zone == to_zone else fakes.delays.between_zones_s


def entries_in(fakes: Fakes, service: ServiceName, zone: ZoneName) -> list[FakeTarget]:
    """Return the targets where requests from a zone enter: those in it, or all if it has none."""
    everywhere = [fakes.target_by_id[target_id] for target_id in fakes.ids_by_service[service]]
    return [entry for entry in everywhere if entry.target.zone == zone] or everywhere
