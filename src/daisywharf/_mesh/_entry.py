"""Accept client requests, place each at a gate, and answer each exactly once."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from daisywharf._configuration import Configuration, Route, RouteName, Team
from daisywharf._contract import Importance
from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind
from daisywharf._ids import ServiceName, TargetId, VmId
from daisywharf._mesh._counts import RequestStats
from daisywharf._mesh._dialect import Dialect, RequestHead
from daisywharf._mesh._fair_shares import FairShares, order_request, record_shed, share_of
from daisywharf._mesh._frames import Answered, Call, CallResult, GateLoad
from daisywharf._mesh._http_server import Exchange
from daisywharf._mesh._memory_budget import MemoryBudget, has_room_for_copy
from daisywharf._mesh._pending import (
    MS_PER_S,
    GateChannel,
    PendingRequest,
    log_abandoned,
    log_answered,
    log_failed,
    log_over_quota,
    log_over_share,
    log_refused,
    log_retry,
    log_shed,
    log_unlikely,
)
from daisywharf._mesh._results import attempt_end_of, error_kind_of
from daisywharf._mesh._retry_permits import RetryPermits
from daisywharf._mesh._routes import RouteTable, find_route
from daisywharf._mesh._services import Services
from daisywharf._mesh._settings import MeshSettings
from daisywharf._mesh._team_keys import find_team
from daisywharf._mesh._team_reports import TeamReports
from daisywharf._mesh._zone_calls import ZoneCalls, record_zone_call
from daisywharf._outcomes._next_step import (
    AttemptEnd,
    NextStep,
    next_step,
    record_end,
    step_without_retry,
)
from daisywharf._overload._calls_below import CallCounts, Callee, record_call
from daisywharf._overload._chain import (
    ChainLevel,
    ChainState,
    Step,
    chain_level,
    is_unknown,
    record_request,
    strictest_level,
    visits_of,
)
from daisywharf._overload._chain_chance import chance_of, is_worth_starting
from daisywharf._overload._level_controller import is_shed
from daisywharf._overload._origins import (
    Origins,
    RouteCount,
    classify_routes,
    is_call,
    is_request,
)
from daisywharf._overload._random_retry_after import random_retry_after_s
from daisywharf._overload._team_quota import part_per_s, refund, try_spend
from daisywharf._routing._fleet_retry_budget import record_first_attempt
from daisywharf._routing._placement import (
    Candidate,
    place,
    record_bytes,
    record_ended,
    record_failed_answer,
    record_failed_call,
    record_load,
    record_sent,
    record_success,
)
from daisywharf._routing._split import SplitState, next_part
from daisywharf._routing._zone_spill import spill_share
from daisywharf._signals._events import SERVED_LINES_PER_S, Event
from daisywharf._signals._log import log_event

# A request may wait for a slot until `LATENCY_MARGIN` times its target's mean latency remain of its
# latency objective, since many runs take longer than the mean; and for this fraction of the
# objective if the latency isn't known or leaves less.
QUEUE_WAIT_FRACTION: Final = 0.3
LATENCY_MARGIN: Final = 1.5
# Calls made by running requests queue together with requests of high importance. Ahead of them,
# they would cost short requests their latency objective; behind them, work already done upstream
# would be wasted.
INNER_CALL_IMPORTANCE: Final = Importance.HIGH
NO_CONFIGURATION_RETRY_AFTER_S: Final = 0.3
DEFAULT_TIME_LEFT_S: Final = 30.0
# Error kinds that mean the target accepts no more calls, even while its record shows it as ready.
LEAVING_KINDS: Final = frozenset({ErrorKind.DRAINING, ErrorKind.WRONG_INCARNATION})
# Kinds that have log events of their own where the entry refuses a request before any attempt.
LOGGED_AT_ENTRY: Final = frozenset({ErrorKind.SHED, ErrorKind.LOW_CHANCE})
# A target that had a request for longer than this when its deadline passed counts as failing.
MIN_SLOW_ATTEMPT_S: Final = 0.3
# At most one served request is logged per period.
SAMPLE_PERIOD_S: Final = 1.0 / SERVED_LINES_PER_S


class Entry:
    """Accept the client requests of one daemon and track them until they are answered."""

    def __init__(
        self,
        settings: MeshSettings,
        *,
        dialect: Dialect,
        services: Services,
        call_counts: CallCounts,
        memory: MemoryBudget,
        channel_to: Callable[[VmId], GateChannel | None],
        retry_permits: RetryPermits,
        fair_shares: FairShares,
        team_reports: TeamReports,
        now: Callable[[], float],
        rng: Random,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.services = services
        self.call_counts = call_counts
        self.memory = memory
        self.channel_to = channel_to
        self.retry_permits = retry_permits
        self.fair_shares = fair_shares
        self.team_reports = team_reports
        self.now = now
        self.rng = rng
        self.table: RouteTable | None = None
        self.chain = ChainState()
        self.origins = Origins(now=now())
        self.entered_by_route: dict[RouteName, int] = {}
        self.split = SplitState()
        # Tells whether a request with this deadline can end, at this time, before the process
        # exits. Replaced when the daemon begins to stop.
        self.can_accept: Callable[[float, float], bool] = lambda _deadline, _now: True
        self.pending: set[PendingRequest] = set()
        self.request_stats = RequestStats()
        self.zone_calls = ZoneCalls()
        self.sampled_at = float("-inf")

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return 0 if self.table is None else self.table.configuration.version

    def put_in_force(self, configuration: Configuration) -> None:
        """Route new requests by this configuration."""
        self.table = RouteTable(configuration)
        self.fair_shares.put_in_force(configuration.teams)
        self.team_reports.put_in_force(configuration, now=self.now())
        keys = self.table.team_keys
        for teams in [] if keys is None else keys.shared_by:
            log_event(Event.KEY_SHARED, teams=", ".join(teams), version=configuration.version)

    def handle(self, exchange: Exchange) -> None:
        """Route a complete request and send it to a gate, or refuse it."""
        table = self.table
        if table is None:
            lines = self.dialect.refusal_lines(retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S)
            exchange.respond(503, lines=lines)
            return
        keys = table.team_keys
        head = self.dialect.read_request(exchange.headers, has_teams=keys is not None)
        path = exchange.request_target.decode("latin-1").partition("?")[0]
        route = find_route(table, host=head.host, path=path)
        if route is None:
            log_event(
                Event.REQUEST_WITHOUT_ROUTE,
                request=head.request_id,
                host=head.host,
                path=path,
                version=self.version,
            )
            exchange.respond(404)
            return
        if keys is None or route.is_public:
            self._begin(exchange, head, route, team=None)
            return
        team = find_team(keys, head.key)
        if team is None:
            self._deny(exchange, head, route)
        else:
            self._begin(exchange, head, route, team=team)

    def _deny(self, exchange: Exchange, head: RequestHead, route: Route) -> None:
        """Refuse a request that needs a team's key and has none, or an unknown one."""
        kind = ErrorKind.MISSING_KEY if head.key is None else ErrorKind.UNKNOWN_KEY
        log_event(
            Event.REQUEST_DENIED,
            request=head.request_id,
            route=route.name,
            kind=kind.value,
            version=self.version,
        )
        self.request_stats.record_end(route.name, route.parts[0].service, kind.value)
        exchange.respond(ANSWERS_BY_KIND[kind].status)

    def _begin(
        self, exchange: Exchange, head: RequestHead, route: Route, *, team: Team | None
    ) -> None:
        now = exchange.arrived_at
        pending = PendingRequest(
            exchange,
            head,
            route,
            next_part(self.split, route, rng=self.rng),
            version=self.version,
            deadline=now + min(_client_time_s(head), route.timeout_s),
            # A target's calls carry no key, so a request that has a team is a client's.
            is_from_target=team is None and is_call(self.origins, route.name),
            team=team,
        )
        record_request(self.chain, route.name, now=now)
        self.entered_by_route[route.name] = self.entered_by_route.get(route.name, 0) + 1
        if pending.is_from_target:
            record_call(self.call_counts, Callee(f"{route.name} {pending.service}"))
        elif team is not None or is_request(self.origins, route.name):
            record_first_attempt(self.retry_permits.budget, pending.service, now=now)
        refusal_kind = self._refusal_kind(pending, now=now)
        if refusal_kind is not None:
            self._refuse(pending, refusal_kind, now=now)
            return
        if team is not None and self._refuse_if_over_quota(pending, team):
            return
        if not pending.is_from_target and (
            self._shed_if_overloaded(pending, now=now) or self._refuse_if_unlikely(pending, now=now)
        ):
            return
        self.pending.add(pending)
        exchange.on_client_gone = lambda: self._abandon(pending)
        pending.timer = asyncio.get_running_loop().call_later(
            max(0.0, pending.deadline - self.now()), self._time_out, pending
        )
        self._send(pending)

    def _refusal_kind(self, pending: PendingRequest, *, now: float) -> ErrorKind | None:
        """Return why this daemon can't accept a request at present, or None."""
        # Whether the target sent the request is inferred from its route, so it doesn't count here:
        # accepting a request by mistake would lose it, or this process with all of its requests.
        if not self.can_accept(pending.deadline, now):
            return ErrorKind.DRAINING
        return ErrorKind.MEMORY_FULL if self.memory.is_full else None

    def _refuse_if_over_quota(self, pending: PendingRequest, team: Team) -> bool:
        """Count the request towards its team's quota; refuse it and return True if it is over."""
        quotas = self.team_reports.quotas
        now = self.now()
        time_left_s = max(0.0, pending.deadline - now)
        wait_s = try_spend(quotas, team.name, time_left_s=time_left_s, now=now, rng=self.rng)
        if wait_s is None:
            pending.is_counted = True
            return False
        log_over_quota(pending, wait_s=wait_s, part_per_s=part_per_s(quotas, team.name))
        self._end(pending, outcome=ErrorKind.OVER_QUOTA.value)
        lines = self.dialect.refusal_lines(retry_after_s=wait_s)
        pending.exchange.respond(ANSWERS_BY_KIND[ErrorKind.OVER_QUOTA].status, lines=lines)
        return True

    def _shed_if_overloaded(self, pending: PendingRequest, *, now: float) -> bool:
        """Refuse the request if a service of its call chain sheds it; return whether it did."""
        team, route_importance = pending.team, pending.route.importance
        if team is not None:
            # Counted here, after the checks that refuse a request whatever the load.
            pending.sub_order = order_request(
                self.fair_shares, team, route_importance, pending.sub_order, now=now
            )
        strictest = self._chain_level(pending, now=now)
        if not is_shed(pending.importance, pending.sub_order, level=strictest.level):
            return False
        age_s = self.services.levels_age_s(now=now)
        log_shed(pending, strictest, age_s=age_s)
        if team is not None:
            record_shed(self.fair_shares, team)
            demand, rate = share_of(self.fair_shares, team, route_importance, level=strictest.level)
            log_over_share(pending, team_per_s=demand, fair_per_s=rate)
        self._refuse(pending, ErrorKind.SHED, now=now)
        return True

    def _chain_level(self, pending: PendingRequest, *, now: float) -> ChainLevel:
        """Return the strictest level of the request's chain, or of all services if unknown."""
        step = Step(pending.route.name, pending.service)
        level_by_service = self.services.level_by_service(now=now)
        # A call of a target that isn't recognized yet must not be refused for another service.
        if self._is_from_client(pending) and is_unknown(self.chain, step, now=now):
            return strictest_level(level_by_service)
        return chain_level(visits_of(self.chain, step, now=now), level_by_service)

    def _is_from_client(self, pending: PendingRequest) -> bool:
        """Return whether a request is known to be a client's."""
        return pending.team is not None or is_request(self.origins, pending.route.name)

    def _refuse_if_unlikely(self, pending: PendingRequest, *, now: float) -> bool:
        """Refuse a client's request that would most probably fail; return whether it did."""
        share_by_service = self.services.rejected_share_by_service(now=now)
        # A route that isn't classified yet may carry targets' own calls.
        if not share_by_service or not self._is_from_client(pending):
            return False
        visits = visits_of(self.chain, Step(pending.route.name, pending.service), now=now)
        chance = chance_of(visits, share_by_service)
        above = [service for service in visits if service not in share_by_service]
        occupied_fraction = self.services.max_occupied_fraction(above, now=now)
        if is_worth_starting(
            chance.chance, occupied_fraction=occupied_fraction, draw=self.rng.random()
        ):
            return False
        log_unlikely(pending, chance)
        self._refuse(pending, ErrorKind.LOW_CHANCE, now=now)
        return True

    # Attempts.

    def _send(self, pending: PendingRequest) -> None:
        """Send an attempt to the best reachable gate, or finish the request if there is none."""
        now = self.now()
        placement = self.services.placement_of(pending.service)
        while True:
            candidate = place(
                placement, pending.route.name, excluded=pending.excluded, now=now, rng=self.rng
            )
            if candidate is None:
                self._finish_unsent(pending, now=now)
                return
            channel = self.channel_to(candidate.vm)
            if channel is not None:
                break
            pending.excluded.add(candidate.record.target.target_id)
        if candidate.vm != self.settings.vm and not has_room_for_copy(
            self.memory, len(pending.exchange.body)
        ):
            # Copies of this body are still in transit to gates that have refused it.
            pending.last_error_kind = ErrorKind.MEMORY_FULL
            self._finish_unsent(pending, now=now)
            return
        pending.candidate, pending.channel, pending.sent_at = candidate, channel, now
        record_sent(candidate, now=now)
        pending.spill_share = spill_share(placement.spill, pending.route.name)
        zone = candidate.record.target.zone
        record_zone_call(self.zone_calls, pending.service, placement, zone, now=now)
        pending.call_id = None
        call_id = channel.submit(
            self._build_call(pending, candidate, now=now),
            lambda result: self._handle_result(pending, result),
        )
        if pending.channel is channel and pending.call_id is None:
            pending.call_id = call_id

    def _build_call(self, pending: PendingRequest, candidate: Candidate, *, now: float) -> Call:
        exchange, route, head = pending.exchange, pending.route, pending.head
        time_left_s = pending.deadline - now
        max_wait_s = self._max_wait_s(pending, candidate, now=now)
        return Call(
            call_id=0,
            target_id=candidate.record.target.target_id,
            request_id=head.request_id,
            caller_service=self.settings.service,
            route=f"{route.name} {pending.service}",
            time_left_ms=max(0, int(time_left_s * MS_PER_S)),
            max_wait_ms=max(1, int(max_wait_s * MS_PER_S)),
            importance=INNER_CALL_IMPORTANCE if pending.is_from_target else pending.importance,
            sub_order=pending.sub_order,
            is_idempotent=route.is_idempotent,
            head=b"%b %b HTTP/1.1\r\n%b%b"
            % (
                exchange.method,
                exchange.request_target,
                head.passed_on,
                b"" if pending.team is None else self.dialect.team_lines(pending.team.name),
            ),
            body=exchange.body,
            limit_per_s=candidate.share.limit_per_s,
            has_team=pending.team is not None,
        )

    def _max_wait_s(self, pending: PendingRequest, candidate: Candidate, *, now: float) -> float:
        """Return how long a call may wait at a gate, in seconds."""
        if pending.is_from_target:
            # The work done for its request is lost without it; the gate refuses it in time.
            return pending.deadline - now
        route = pending.route
        wait_s = route.aim_s * QUEUE_WAIT_FRACTION
        latency_s = candidate.latency_by_kind.get(route.name)
        if latency_s is not None:
            wait_s = max(wait_s, route.aim_s - LATENCY_MARGIN * latency_s)
        return wait_s - (now - pending.exchange.arrived_at)

    def _handle_result(self, pending: PendingRequest, result: CallResult) -> None:
        candidate = pending.candidate
        assert candidate is not None
        now = self.now()
        pending.channel = None
        record_ended(candidate)
        if result.load is not None:
            self.record_load(pending.service, candidate.record.target.target_id, result.load)
        if isinstance(result, Answered):
            self._record_bytes(pending, result)
            if result.is_leaving:
                self.services.record_leaving(candidate.record.target)
        end = attempt_end_of(result)
        pending.last_error_kind = error_kind_of(result)
        self._record_outcome(pending, candidate, end, now=now)
        record_end(pending.progress, end)
        step = next_step(
            pending.progress,
            end,
            is_idempotent=pending.route.is_idempotent,
            max_attempts=pending.route.max_attempts,
            time_left_s=pending.deadline - now,
        )
        if step is NextStep.REPEAT:
            self._request_retry(pending, end, result, now=now)
        else:
            self._apply_step(pending, step, result, now=now)

    def _record_bytes(self, pending: PendingRequest, result: Answered) -> None:
        """Record the bytes that cross zones with a call like this one, apart from framing."""
        request_bytes = len(pending.head.passed_on) + len(pending.exchange.body)
        record_bytes(
            self.services.placement_of(pending.service),
            pending.route.name,
            request_bytes + len(result.headers) + len(result.body),
        )

    def _request_retry(
        self, pending: PendingRequest, end: AttemptEnd, result: CallResult, *, now: float
    ) -> None:
        """Retry the request if the retry budget permits it, or else finish it."""
        if isinstance(result, Answered) and not result.is_not_run:
            # Passed on if no attempt succeeds, or if the deadline passes before the decision.
            pending.failed_answer = result

        def decide(may_retry: bool) -> None:
            if pending in self.pending:
                step = NextStep.REPEAT if may_retry else step_without_retry(pending.progress, end)
                self._apply_step(pending, step, result, now=self.now())

        visits = visits_of(self.chain, Step(pending.route.name, pending.service), now=now)
        self.retry_permits.decide(visits, decide)

    def _apply_step(
        self, pending: PendingRequest, step: NextStep, result: CallResult, *, now: float
    ) -> None:
        if step in (NextStep.ANOTHER_GATE, NextStep.REPEAT):
            if step is NextStep.REPEAT:
                log_retry(pending)
            assert pending.candidate is not None
            pending.excluded.add(pending.candidate.record.target.target_id)
            self._send(pending)
        elif step is NextStep.PASS_ON and isinstance(result, Answered):
            self._pass_on(pending, result)
        elif step is NextStep.REFUSE:
            self._refuse(pending, pending.last_error_kind, now=now)
        else:
            self._fail(pending, ErrorKind.OUTCOME_UNKNOWN)

    def _record_outcome(
        self, pending: PendingRequest, candidate: Candidate, end: AttemptEnd, *, now: float
    ) -> None:
        """Update what is known of a candidate's latency and health after an attempt."""
        kind = pending.last_error_kind
        if end is AttemptEnd.ANSWERED:
            latency_s = now - pending.sent_at
            record_success(candidate, pending.route.name, latency_s=latency_s, now=now)
        elif end is AttemptEnd.FAILED_BY_TARGET:
            record_failed_answer(candidate, now=now)
        elif kind in LEAVING_KINDS:
            candidate.is_refusing = True
        elif end in (AttemptEnd.TURNED_AWAY_BY_TARGET, AttemptEnd.OUTCOME_UNKNOWN) or kind in (
            ErrorKind.CONNECT_FAILED,
            ErrorKind.NO_TARGET,
        ):
            record_failed_call(self.services.placement_of(pending.service), candidate, now=now)

    # Final answers.

    def _finish_unsent(self, pending: PendingRequest, *, now: float) -> None:
        """Answer a request for which no further gate can be tried."""
        if pending.progress.may_have_run:
            self._fail(pending, ErrorKind.OUTCOME_UNKNOWN)
        else:
            self._refuse(pending, pending.last_error_kind, now=now)

    def _refuse(self, pending: PendingRequest, kind: ErrorKind, *, now: float) -> None:
        """Answer that the request hasn't run and won't, with a Retry-After header."""
        if pending.is_counted and pending.team is not None:
            pending.is_counted = False
            refund(self.team_reports.quotas, pending.team.name)
        time_left_s = _client_time_s(pending.head) - (now - pending.exchange.arrived_at)
        retry_after_s = random_retry_after_s(
            latency_objective_s=pending.route.aim_s, time_left_s=time_left_s, rng=self.rng
        )
        if kind not in LOGGED_AT_ENTRY or pending.progress.gates_tried:
            log_refused(pending, kind, now=now)
        self._end(pending, outcome=kind.value)
        lines = self.dialect.refusal_lines(retry_after_s=retry_after_s)
        pending.exchange.respond(ANSWERS_BY_KIND[ErrorKind.SHED].status, lines=lines)

    def _fail(self, pending: PendingRequest, kind: ErrorKind) -> None:
        """Answer a request that may have run: with a target's failed answer if there is one."""
        if pending.failed_answer is not None:
            self._pass_on(pending, pending.failed_answer)
            return
        log_failed(pending, kind, pending.last_error_kind.value, now=self.now())
        self._end(pending, outcome=kind.value)
        pending.exchange.respond(ANSWERS_BY_KIND[kind].status)

    def _pass_on(self, pending: PendingRequest, result: Answered) -> None:
        now = self.now()
        self._end(pending, outcome=f"{result.status // 100}xx")
        if result.status < 500:
            self.request_stats.record_latency(pending.route.name, now - pending.exchange.arrived_at)
            self._log_sample(pending, result.status, now=now)
        else:
            log_failed(pending, ErrorKind.TARGET_FAILED, str(result.status), now=now)
        pending.exchange.respond_raw(result.status, result.reason, result.headers, result.body)

    def _log_sample(self, pending: PendingRequest, status: int, *, now: float) -> None:
        # Most requests are served ones, so the budget is checked before the line is built.
        if now - self.sampled_at < SAMPLE_PERIOD_S:
            return
        self.sampled_at = now
        log_answered(pending, status, now=now)

    def _time_out(self, pending: PendingRequest) -> None:
        """Cancel the attempt and fail a request that has reached its deadline."""
        now = self.now()
        if pending.candidate is not None and now - pending.sent_at > MIN_SLOW_ATTEMPT_S:
            record_failed_call(
                self.services.placement_of(pending.service), pending.candidate, now=now
            )
        self._cancel_attempt(pending)
        self._fail(pending, ErrorKind.TIMED_OUT)

    def _abandon(self, pending: PendingRequest) -> None:
        """Cancel the attempt of a request whose client disconnected."""
        log_abandoned(pending, now=self.now())
        self._cancel_attempt(pending)
        self._end(pending, outcome=ErrorKind.CANCELLED.value)

    def _cancel_attempt(self, pending: PendingRequest) -> None:
        channel, pending.channel = pending.channel, None
        if channel is not None and pending.candidate is not None:
            record_ended(pending.candidate)
            channel.cancel(pending.call_id)

    def _end(self, pending: PendingRequest, *, outcome: str) -> None:
        self.request_stats.record_end(pending.route.name, pending.service, outcome)
        self.pending.discard(pending)
        pending.exchange.on_client_gone = None
        if pending.timer is not None:
            pending.timer.cancel()

    def take_entry_counts(self) -> tuple[RouteCount, ...]:
        """Return the number of requests by route since the previous call, and reset it."""
        entered, self.entered_by_route = self.entered_by_route, {}
        return tuple(RouteCount(route, count) for route, count in entered.items())

    def classify_routes(self, *, now: float) -> None:
        """Update which routes carry targets' own calls rather than client requests."""
        classify_routes(self.origins, now=now)

    def record_load(
        self, service: ServiceName, target_id: TargetId, load: GateLoad, *, age_s: float = 0.0
    ) -> None:
        """Record the load that a gate reported `age_s` seconds ago."""
        record_load(
            self.services.placement_of(service),
            target_id,
            occupied=load.running + load.waiting,
            limit=load.limit,
            level=load.level,
            heard_at=self.now() - age_s,
            limit_per_s=load.limit_per_s,
            rejected_share=load.rejected_share,
        )


def _client_time_s(head: RequestHead) -> float:
    """Return the seconds that the client had left when it sent its request."""
    return DEFAULT_TIME_LEFT_S if head.time_left_s is None else head.time_left_s
