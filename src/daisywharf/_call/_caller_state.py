"""The state that a caller keeps between calls."""

import threading
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

from daisywharf._call._connections import Connections
from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._hop import Hop
from daisywharf._call._silence import SilenceWatch
from daisywharf._call._snapshot import SnapshotHolder
from daisywharf._call._transport import send_on_new_connection, send_watched
from daisywharf._ids import ServiceName, TargetId
from daisywharf._routing._retries import RetryRatio
from daisywharf._routing._router import (
    CallOutcome,
    RouterState,
    choose,
    record_outcome,
    record_pause,
    record_start,
    update_targets,
)
from daisywharf._topology import Target

Clock = Callable[[], float]


class SendCall(Protocol):
    """Send one attempt of a call and return its complete answer, or raise `RequestError`."""

    def __call__(self, target: Target, request: CallRequest, hop: Hop) -> CallReply:
        """Send the attempt described by `hop`."""


class CallerState:
    """Hold a caller's routers and retry ratios, guarded by one lock, and its connections."""

    def __init__(
        self,
        holder: SnapshotHolder,
        *,
        caller: str,
        clock: Clock,
        rng: Random,
        send: SendCall | None,
    ) -> None:
        self.holder = holder
        self.caller = caller
        self.clock = clock
        self.rng = rng
        self.lock = threading.Lock()
        self.connections = Connections()
        self.silence = SilenceWatch(self.connections, clock=clock)
        self.send: SendCall = send or partial(send_watched, self.silence)
        self.send_on_new_connection: SendCall = send or send_on_new_connection
        self.ratio = RetryRatio()
        self.router_by_service: dict[ServiceName, RouterState] = {}
        self.sequence_by_service: dict[ServiceName, int] = {}
        self.retries = 0


def choose_target(
    state: CallerState,
    service: ServiceName,
    excluded: frozenset[TargetId],
    *,
    now: float,
    is_call: bool = True,
    is_idempotent: bool = True,
) -> Target | None:
    """Choose a target from the current snapshot, or return None; record the call if `is_call`."""
    snapshot = state.holder.current
    with state.lock:
        router = _router(state, service)
        if state.sequence_by_service.get(service) != snapshot.sequence:
            update_targets(
                router,
                snapshot.targets_by_service.get(service, ()),
                now=now,
                callers_by_zone=snapshot.daemons_by_zone,
            )
            state.sequence_by_service[service] = snapshot.sequence
        target = choose(
            router, now=now, rng=state.rng, excluded=excluded, is_idempotent=is_idempotent
        )
        if target is not None and is_call:
            record_start(router, target.target_id, now=now)
    return target


def record_call_start(state: CallerState, target: Target, *, now: float) -> None:
    """Record a call to a target that was not chosen by `choose_target`."""
    with state.lock:
        record_start(_router(state, target.service), target.target_id, now=now)


def record_call_outcome(
    state: CallerState, target: Target, outcome: CallOutcome, *, started_at: float, now: float
) -> None:
    """Record the outcome of a call at its target's router."""
    with state.lock:
        router = _router(state, target.service)
        record_outcome(router, target.target_id, outcome, latency_s=now - started_at, now=now)


def record_clock_gap(state: CallerState, *, now: float) -> None:
    """Mark the routers' statistics from before a pause of this process as unreliable."""
    with state.lock:
        for router in state.router_by_service.values():
            record_pause(router, now=now)


def _router(state: CallerState, service: ServiceName) -> RouterState:
    router = state.router_by_service.get(service)
    if router is None:
        zone = state.holder.current.zone
        router = RouterState(service=service, zone=zone, caller=state.caller)
        state.router_by_service[service] = router
    return router
