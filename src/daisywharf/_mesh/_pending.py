"""A request at its entry until it is answered, and its log lines."""

import asyncio
from typing import Final, Protocol

from daisywharf._configuration import Route, Team
from daisywharf._context import sub_order_of
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._ids import RequestId, ServiceName, TargetId
from daisywharf._mesh._dialect import RequestHead
from daisywharf._mesh._frames import Answered, Call, OnCallResult
from daisywharf._mesh._http_server import Exchange
from daisywharf._outcomes._next_step import Progress
from daisywharf._overload._chain import ChainLevel
from daisywharf._overload._chain_chance import Chance
from daisywharf._routing._placement import Candidate
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

MS_PER_S: Final = 1000.0
NO_TEAM: Final = "none"


class GateChannel(Protocol):
    """Send calls to one gate: over the link to its daemon, or directly to the local gate."""

    def submit(self, call: Call, on_result: OnCallResult) -> object:
        """Send a call; return the id that `cancel` accepts."""

    def cancel(self, call_id: object) -> None:
        """Cancel a call whose result nobody waits for any more."""


class PendingRequest:
    """Hold one request, and its attempts so far, until it is answered."""

    def __init__(
        self,
        exchange: Exchange,
        head: RequestHead,
        route: Route,
        service: ServiceName,
        *,
        version: int,
        deadline: float,
        is_from_target: bool,
        team: Team | None = None,
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.route = route
        self.service = service
        self.version = version
        self.deadline = deadline
        self.is_from_target = is_from_target
        self.team = team
        # Whether a token of the team's quota is spent for this request.
        self.is_counted = False
        self.sub_order = sub_order_of(RequestId(head.request_id))
        self.excluded: set[TargetId] = set()
        self.progress = Progress()
        self.last_error_kind = ErrorKind.NO_TARGET
        self.sent_at = 0.0
        self.spill_share = 0.0  # of the calls of its route, when the last attempt was placed
        self.candidate: Candidate | None = None
        self.channel: GateChannel | None = None
        self.call_id: object = None
        self.timer: asyncio.TimerHandle | None = None
        # Failed answer of an earlier attempt; returned to the client if no retry does better.
        self.failed_answer: Answered | None = None

    @property
    def importance(self) -> Importance:
        """Return the team's importance if it has one, else the route's."""
        importance = None if self.team is None else self.team.importance
        return self.route.importance if importance is None else importance

    @property
    def team_name(self) -> str:
        """Return the name of the team for log lines, or "none"."""
        return NO_TEAM if self.team is None else self.team.name

    @property
    def target(self) -> str:
        """Return the id of the target of the last attempt, or "none"."""
        return "none" if self.candidate is None else self.candidate.record.target.target_id

    @property
    def target_zone(self) -> str:
        """Return the zone of the target of the last attempt, or "none"."""
        return "none" if self.candidate is None else self.candidate.record.target.zone

    def elapsed_ms(self, now: float) -> float:
        """Return the milliseconds since the request arrived."""
        return round((now - self.exchange.arrived_at) * MS_PER_S, 1)


def log_shed(pending: PendingRequest, strictest: ChainLevel, *, age_s: float) -> None:
    """Log a request that was shed because a service of its call chain is overloaded."""
    log_event(
        Event.REQUEST_SHED,
        request=pending.head.request_id,
        route=pending.route.name,
        service=pending.service,
        team=pending.team_name,
        importance=pending.importance,
        level=round(strictest.level, 3),
        loaded=strictest.service,
        age_s=round(age_s, 3),
        version=pending.version,
    )


def log_over_share(pending: PendingRequest, *, team_per_s: float, fair_per_s: float) -> None:
    """Log which rates decided that a team's request was shed, beside the line of `log_shed`."""
    log_event(
        Event.REQUEST_OVER_SHARE,
        request=pending.head.request_id,
        route=pending.route.name,
        team=pending.team_name,
        importance=pending.importance,
        team_per_s=round(team_per_s, 2),
        fair_per_s=round(fair_per_s, 2),
        version=pending.version,
    )


def log_unlikely(pending: PendingRequest, chance: Chance) -> None:
    """Log a request that was refused because its call chain would most probably fail."""
    log_event(
        Event.REQUEST_UNLIKELY,
        request=pending.head.request_id,
        route=pending.route.name,
        team=pending.team_name,
        rejecting=chance.service,
        chance=round(chance.chance, 3),
        version=pending.version,
    )


def log_over_quota(pending: PendingRequest, *, wait_s: float, part_per_s: float) -> None:
    """Log a request that exceeds its team's quota."""
    log_event(
        Event.QUOTA_EXCEEDED,
        request=pending.head.request_id,
        route=pending.route.name,
        team=pending.team_name,
        wait_s=round(wait_s, 3),
        part=round(part_per_s, 3),
        version=pending.version,
    )


def log_refused(pending: PendingRequest, kind: ErrorKind, *, now: float) -> None:
    """Log a request that no gate accepted."""
    log_event(
        Event.REQUEST_REFUSED,
        request=pending.head.request_id,
        route=pending.route.name,
        team=pending.team_name,
        service=pending.service,
        kind=kind.value,
        gates_tried=pending.progress.gates_tried,
        held_ms=pending.elapsed_ms(now),
        version=pending.version,
    )


def log_failed(pending: PendingRequest, kind: ErrorKind, cause: str, *, now: float) -> None:
    """Log a request that ran, or may have run, and failed."""
    log_event(
        Event.REQUEST_FAILED,
        request=pending.head.request_id,
        route=pending.route.name,
        team=pending.team_name,
        service=pending.service,
        kind=kind.value,
        cause=cause,
        target=pending.target,
        target_zone=pending.target_zone,
        spill_share=round(pending.spill_share, 3),
        attempts=pending.progress.attempts,
        held_ms=pending.elapsed_ms(now),
        version=pending.version,
    )


def log_retry(pending: PendingRequest) -> None:
    """Log a request that is retried."""
    log_event(
        Event.REQUEST_REPEATED,
        request=pending.head.request_id,
        route=pending.route.name,
        target=pending.target,
        kind=pending.last_error_kind.value,
    )


def log_abandoned(pending: PendingRequest, *, now: float) -> None:
    """Log a request that was abandoned because its client disconnected."""
    log_event(
        Event.REQUEST_GIVEN_UP,
        request=pending.head.request_id,
        route=pending.route.name,
        target=pending.target,
        held_ms=pending.elapsed_ms(now),
    )


def log_answered(pending: PendingRequest, status: int, *, now: float) -> None:
    """Log a request that was served."""
    log_event(
        Event.REQUEST_ANSWERED,
        request=pending.head.request_id,
        route=pending.route.name,
        team=pending.team_name,
        target=pending.target,
        target_zone=pending.target_zone,
        spill_share=round(pending.spill_share, 3),
        status=status,
        held_ms=pending.elapsed_ms(now),
        version=pending.version,
    )
