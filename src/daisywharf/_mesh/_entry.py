"""Take requests in, place each at a gate, and answer each once and for all."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from daisywharf._configuration import Configuration, Route, RouteName
from daisywharf._contract import Importance
from daisywharf._errors import ANSWERS_BY_KIND, ErrorKind
from daisywharf._ids import ServiceName, TargetId, VmId
from daisywharf._mesh._counts import MeshCounts
from daisywharf._mesh._dialect import Dialect, RequestHead
from daisywharf._mesh._frames import Answered, Call, CallResult, GateLoad
from daisywharf._mesh._held import HeldBytes
from daisywharf._mesh._http_server import Exchange
from daisywharf._mesh._pending import (
    MS,
    Pending,
    Way,
    log_answered,
    log_failed,
    log_given_up,
    log_refused,
    log_repeated,
    log_shed,
)
from daisywharf._mesh._repeats import Repeats
from daisywharf._mesh._results import end_of, kind_of
from daisywharf._mesh._routes import RouteTable, find_route
from daisywharf._mesh._services import Services
from daisywharf._mesh._settings import MeshSettings
from daisywharf._outcomes._next_step import (
    AttemptEnd,
    NextStep,
    next_step,
    record_end,
    step_without_retry,
)
from daisywharf._overload._calls_below import CallCounts, Callee, note_call
from daisywharf._overload._chain import ChainState, Step, chain_level, visits_of
from daisywharf._overload._come_back import come_back_s
from daisywharf._overload._origins import (
    Origins,
    RouteCount,
    is_call,
    is_request,
    judge_routes,
)
from daisywharf._overload._pressure import is_shed
from daisywharf._routing._placement import (
    Candidate,
    hear_load,
    note_bad,
    note_ended,
    note_failed_answer,
    note_sent,
    note_success,
    place,
)
from daisywharf._routing._repeat_budget import note_first
from daisywharf._routing._split import SplitState, next_part
from daisywharf._signals._events import SERVED_LINES_PER_S, Event
from daisywharf._signals._log import log_event

# Part of the latency objective that a request may wait for a slot: it has to run in the rest.
PATIENCE_PART: Final = 0.3
# Part of its time that a call of a running request may wait: its request holds slots above.
INNER_PATIENCE_PART: Final = 0.6
# Calls of running requests wait in turn with the more important requests: put before them, they
# cost short requests their objective; put behind, work above them is thrown away.
CALLS_IMPORTANCE: Final = Importance.HIGH
NO_CONFIGURATION_RETRY_S: Final = 0.3
DEFAULT_TIME_LEFT_S: Final = 30.0
# These say that the target takes no calls any more, whatever its record still says.
LEAVING_KINDS: Final = frozenset({ErrorKind.DRAINING, ErrorKind.WRONG_INCARNATION})
# A target that held a request for this long until its time was over counts as failing.
SLOW_ATTEMPT_S: Final = 0.3
# One served request in this time leaves a line.
SAMPLE_PERIOD_S: Final = 1.0 / SERVED_LINES_PER_S


class Entry:
    """Hold what one daemon needs to take requests in."""

    def __init__(
        self,
        settings: MeshSettings,
        *,
        dialect: Dialect,
        services: Services,
        counts: CallCounts,
        held: HeldBytes,
        way_to: Callable[[VmId], Way | None],
        repeats: Repeats,
        now: Callable[[], float],
        rng: Random,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.services = services
        self.counts = counts
        self.held = held
        self.way_to = way_to
        self.repeats = repeats
        self.now = now
        self.rng = rng
        self.table: RouteTable | None = None
        self.chain = ChainState()
        self.origins = Origins(now=now())
        self.entered_by_route: dict[RouteName, int] = {}
        self.split = SplitState()
        # Set where a request may no longer come to its end before the process does.
        self.is_ending = False
        self.pending: set[Pending] = set()
        self.ended = MeshCounts()
        self.sampled_at = float("-inf")

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return 0 if self.table is None else self.table.configuration.version

    def put_in_force(self, configuration: Configuration) -> None:
        """Route by this configuration from now on."""
        self.table = RouteTable(configuration)

    def handle(self, exchange: Exchange) -> None:
        """Take a request in."""
        if self.table is None:
            lines = self.dialect.refusal_lines(retry_after_s=NO_CONFIGURATION_RETRY_S)
            exchange.respond(503, lines=lines)
            return
        head = self.dialect.read_request(exchange.headers)
        path = exchange.target.decode("latin-1").partition("?")[0]
        route = find_route(self.table, host=head.host, path=path)
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
        self._begin(exchange, head, route)

    def _begin(self, exchange: Exchange, head: RequestHead, route: Route) -> None:
        now = exchange.arrived_at
        time_left_s = DEFAULT_TIME_LEFT_S if head.time_left_s is None else head.time_left_s
        pending = Pending(
            exchange,
            head,
            route,
            next_part(self.split, route, rng=self.rng),
            version=self.version,
            deadline=now + min(time_left_s, route.timeout_s),
            is_from_target=is_call(self.origins, route.name),
        )
        self.entered_by_route[route.name] = self.entered_by_route.get(route.name, 0) + 1
        if pending.is_from_target:
            note_call(self.counts, Callee(f"{route.name} {pending.service}"))
        else:
            if is_request(self.origins, route.name):
                note_first(self.repeats.budget, pending.service, now=now)
            cannot = self._cannot_take()
            if cannot is not None:
                self._refuse(pending, cannot, now=now)
                return
            if self._is_shed(pending, now=now):
                return
        self.pending.add(pending)
        exchange.on_gone = lambda: self._give_up(pending)
        pending.timer = asyncio.get_running_loop().call_later(
            max(0.0, pending.deadline - self.now()), self._time_out, pending
        )
        self._send(pending)

    def _cannot_take(self) -> ErrorKind | None:
        """Return why this daemon takes no request of a client at all, if so."""
        if self.is_ending:
            return ErrorKind.DRAINING
        return ErrorKind.MEMORY_FULL if self.held.is_full else None

    def _is_shed(self, pending: Pending, *, now: float) -> bool:
        visits = visits_of(self.chain, Step(pending.route.name, pending.service), now=now)
        strictest = chain_level(visits, self.services.level_by_service(now=now))
        if not is_shed(pending.route.importance, pending.sub_order, level=strictest.level):
            return False
        age_s = self.services.levels_age_s(now=now)
        log_shed(pending, strictest, age_s=age_s)
        self._refuse(pending, ErrorKind.SHED, now=now)
        return True

    # One attempt.

    def _send(self, pending: Pending) -> None:
        now = self.now()
        placement = self.services.placement_of(pending.service)
        while True:
            candidate = place(
                placement, pending.route.name, excluded=pending.excluded, now=now, rng=self.rng
            )
            if candidate is None:
                self._finish_unsent(pending, now=now)
                return
            way = self.way_to(candidate.vm)
            if way is not None:
                break
            pending.excluded.add(candidate.record.target.target_id)
        pending.candidate, pending.way, pending.sent_at = candidate, way, now
        note_sent(candidate, now=now)
        pending.call_id = None
        call_id = way.submit(
            self._call(pending, candidate, now=now), lambda result: self._take(pending, result)
        )
        if pending.way is way and pending.call_id is None:
            pending.call_id = call_id

    def _call(self, pending: Pending, candidate: Candidate, *, now: float) -> Call:
        exchange, route, head = pending.exchange, pending.route, pending.head
        left_s = pending.deadline - now
        if pending.is_from_target:
            patience_s = left_s * INNER_PATIENCE_PART
        else:
            patience_s = route.aim_s * PATIENCE_PART - (now - exchange.arrived_at)
        return Call(
            call_id=0,
            target_id=candidate.record.target.target_id,
            request_id=head.request_id,
            caller_service=self.settings.service,
            route=f"{route.name} {pending.service}",
            time_left_ms=max(0, int(left_s * MS)),
            max_wait_ms=max(1, int(patience_s * MS)),
            importance=CALLS_IMPORTANCE if pending.is_from_target else route.importance,
            sub_order=pending.sub_order,
            is_idempotent=route.is_idempotent,
            head=b"%b %b HTTP/1.1\r\n%b" % (exchange.method, exchange.target, head.passed_on),
            body=exchange.body,
            limit_per_s=candidate.share.per_s,
        )

    def _take(self, pending: Pending, result: CallResult) -> None:
        candidate = pending.candidate
        assert candidate is not None
        now = self.now()
        pending.way = None
        note_ended(candidate)
        if result.load is not None:
            self.hear(pending.service, candidate.record.target.target_id, result.load)
        if isinstance(result, Answered) and result.is_leaving:
            self.services.note_leaving(candidate.record.target)
        end = end_of(result)
        pending.last_kind = kind_of(result)
        self._learn(pending, candidate, end, now=now)
        record_end(pending.progress, end)
        step = next_step(
            pending.progress,
            end,
            is_idempotent=pending.route.is_idempotent,
            max_attempts=pending.route.max_attempts,
            time_left_s=pending.deadline - now,
        )
        if step is NextStep.REPEAT:
            self._ask_to_repeat(pending, end, result, now=now)
        else:
            self._follow(pending, step, result, now=now)

    def _ask_to_repeat(
        self, pending: Pending, end: AttemptEnd, result: CallResult, *, now: float
    ) -> None:
        if isinstance(result, Answered) and not result.is_not_run:
            # Passed on if nothing better comes, or the time is over before that is decided.
            pending.failed_answer = result

        def decide(may_repeat: bool) -> None:
            if pending in self.pending:
                step = NextStep.REPEAT if may_repeat else step_without_retry(pending.progress, end)
                self._follow(pending, step, result, now=self.now())

        visits = visits_of(self.chain, Step(pending.route.name, pending.service), now=now)
        self.repeats.take(visits, decide)

    def _follow(self, pending: Pending, step: NextStep, result: CallResult, *, now: float) -> None:
        if step in (NextStep.ANOTHER_GATE, NextStep.REPEAT):
            if step is NextStep.REPEAT:
                log_repeated(pending)
            assert pending.candidate is not None
            pending.excluded.add(pending.candidate.record.target.target_id)
            self._send(pending)
        elif step is NextStep.PASS_ON and isinstance(result, Answered):
            self._pass_on(pending, result)
        elif step is NextStep.REFUSE:
            self._refuse(pending, pending.last_kind, now=now)
        else:
            self._fail(pending, ErrorKind.OUTCOME_UNKNOWN)

    def _learn(
        self, pending: Pending, candidate: Candidate, end: AttemptEnd, *, now: float
    ) -> None:
        kind = pending.last_kind
        if end is AttemptEnd.ANSWERED:
            latency_s = now - pending.sent_at
            note_success(candidate, pending.route.name, latency_s=latency_s, now=now)
        elif end is AttemptEnd.FAILED_BY_TARGET:
            note_failed_answer(candidate, now=now)
        elif kind in LEAVING_KINDS:
            candidate.is_refusing = True
        elif end in (AttemptEnd.TURNED_AWAY_BY_TARGET, AttemptEnd.OUTCOME_UNKNOWN) or kind in (
            ErrorKind.CONNECT_FAILED,
            ErrorKind.NO_TARGET,
        ):
            note_bad(self.services.placement_of(pending.service), candidate, now=now)

    # The end.

    def _finish_unsent(self, pending: Pending, *, now: float) -> None:
        if pending.progress.may_have_run:
            self._fail(pending, ErrorKind.OUTCOME_UNKNOWN)
        else:
            self._refuse(pending, pending.last_kind, now=now)

    def _refuse(self, pending: Pending, kind: ErrorKind, *, now: float) -> None:
        """Answer a request that hasn't run and never will, with when to come back."""
        time_left_s = (pending.head.time_left_s or 0.0) - (now - pending.exchange.arrived_at)
        retry_after_s = come_back_s(
            aim_s=pending.route.aim_s, time_left_s=time_left_s, rng=self.rng
        )
        if kind is not ErrorKind.SHED or pending.progress.gates_tried:
            log_refused(pending, kind, now=now)
        self._end(pending, outcome=kind.value)
        lines = self.dialect.refusal_lines(retry_after_s=retry_after_s)
        pending.exchange.respond(ANSWERS_BY_KIND[ErrorKind.SHED].status, lines=lines)

    def _fail(self, pending: Pending, kind: ErrorKind) -> None:
        """Answer a request that may have run, with what a target made of it if there is that."""
        if pending.failed_answer is not None:
            self._pass_on(pending, pending.failed_answer)
            return
        log_failed(pending, kind, pending.last_kind.value, now=self.now())
        self._end(pending, outcome=kind.value)
        pending.exchange.respond(ANSWERS_BY_KIND[kind].status)

    def _pass_on(self, pending: Pending, result: Answered) -> None:
        now = self.now()
        self._end(pending, outcome=f"{result.status // 100}xx")
        if result.status < 500:
            self.ended.note_latency(pending.route.name, now - pending.exchange.arrived_at)
            self._log_sample(pending, result.status, now=now)
        else:
            log_failed(pending, ErrorKind.TARGET_FAILED, str(result.status), now=now)
        pending.exchange.respond_raw(result.status, result.reason, result.headers, result.body)

    def _log_sample(self, pending: Pending, status: int, *, now: float) -> None:
        # Served requests are most of all: the budget is looked at before a line is put together.
        if now - self.sampled_at < SAMPLE_PERIOD_S:
            return
        self.sampled_at = now
        log_answered(pending, status, now=now)

    def _time_out(self, pending: Pending) -> None:
        now = self.now()
        if pending.candidate is not None and now - pending.sent_at > SLOW_ATTEMPT_S:
            note_bad(self.services.placement_of(pending.service), pending.candidate, now=now)
        self._cancel_attempt(pending)
        self._fail(pending, ErrorKind.TIMED_OUT)

    def _give_up(self, pending: Pending) -> None:
        log_given_up(pending, now=self.now())
        self._cancel_attempt(pending)
        self._end(pending, outcome=ErrorKind.CANCELLED.value)

    def _cancel_attempt(self, pending: Pending) -> None:
        way, pending.way = pending.way, None
        if way is not None and pending.candidate is not None:
            note_ended(pending.candidate)
            way.cancel(pending.call_id)

    def _end(self, pending: Pending, *, outcome: str) -> None:
        self.ended.note_end(pending.route.name, pending.service, outcome)
        self.pending.discard(pending)
        pending.exchange.on_gone = None
        if pending.timer is not None:
            pending.timer.cancel()

    def take_entered(self) -> tuple[RouteCount, ...]:
        """Return what entered since the last time."""
        entered, self.entered_by_route = self.entered_by_route, {}
        return tuple(RouteCount(route, count) for route, count in entered.items())

    def judge_origins(self, *, now: float) -> None:
        """Decide anew which routes are those of targets' own calls."""
        judge_routes(self.origins, now=now)

    def hear(
        self, service: ServiceName, target_id: TargetId, load: GateLoad, *, age_s: float = 0.0
    ) -> None:
        """Take a load that a gate announced some time ago."""
        hear_load(
            self.services.placement_of(service),
            target_id,
            occupied=load.running + load.waiting,
            limit=load.limit,
            level=load.level,
            heard_at=self.now() - age_s,
            most_per_s=load.limit_per_s,
        )
