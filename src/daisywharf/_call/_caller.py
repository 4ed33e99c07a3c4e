"""The embedded caller's side: make calls under a contract from any process."""

import time
from collections.abc import Sequence
from http import HTTPStatus
from random import Random
from secrets import token_hex
from typing import Final

from msgspec.structs import replace

from daisywharf._call._attempts import call_with_retries
from daisywharf._call._demand import DemandCounter
from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._gate_admission import GateAdmission, enter_gate, leave_gate
from daisywharf._call._keyed import ClaimKey, any_target, call_under_key, refuse_claims, secrets_of
from daisywharf._call._parties import CallerState, Clock, SendCall, note_clock_gap
from daisywharf._call._scope import Scope, current_scope, waiting_below
from daisywharf._call._snapshot import SnapshotHolder, call_class_of, share_in
from daisywharf._context import RequestContext
from daisywharf._contract import CallClass
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CallClassName, CustomerId, IdempotencyKey, RequestId, ServiceName
from daisywharf._overload._admission import AdmissionState
from daisywharf._overload._rates import BucketKey, RateState, take_token
from daisywharf._routing._resends import RESEND_WINDOW_S, ResendState, note_send
from daisywharf._signals._counts import RequestCounts, counted
from daisywharf._signals._spans import SpanRole, describe_span, in_span
from daisywharf._signals._traceparent import valid_traceparent
from daisywharf._topology import Target

MS_PER_S: Final = 1_000.0
ENTRY_SLOTS: Final = 1_000_000
# Shares follow demand within seconds, so a longer wait would outlast its cause.
MAX_RATE_WAIT_S: Final = 5.0
# A contract that has just come into force gets its shares within this time.
NO_SHARE_WAIT_S: Final = 1.0
# An entry with a small share, or none yet, still takes a few requests at once.
MIN_BURST: Final = 4.0


class Caller:
    """Route calls to targets under the contracts of a snapshot; safe to share by threads."""

    def __init__(
        self,
        holder: SnapshotHolder,
        *,
        name: str,
        clock: Clock = time.monotonic,
        rng: Random | None = None,
        send: SendCall | None = None,
        claim_key: ClaimKey = refuse_claims,
        keys: Sequence[str] = (),
    ) -> None:
        self._state = CallerState(holder, caller=name, clock=clock, rng=rng or Random(), send=send)
        self._rates = RateState()
        self._resends = ResendState()
        # An entry has no slots of its own: only the windows to loaded services bound it.
        self._entry = GateAdmission(AdmissionState(slots=ENTRY_SLOTS), clock=clock)
        self.counts = RequestCounts()
        self._claim_key = claim_key
        self.secrets = secrets_of(keys)
        self.demand = DemandCounter()

    def call(
        self,
        service: str,
        path: str = "/",
        *,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        idempotent: bool | None = None,
    ) -> CallReply:
        """Call a service within the present request; raise `RequestError`."""
        scope = current_scope.get()
        if scope is None:
            message = f"call to {service!r} outside any request; use `enter` for a new one"
            raise RequestError(ErrorKind.BAD_REQUEST, message)
        context = _below(scope, idempotent=idempotent)
        request = CallRequest(ServiceName(service), method, path, context, headers or {}, body)
        with waiting_below(scope):
            return self._pass(scope, request)

    def enter(
        self,
        service: str,
        path: str = "/",
        *,
        customer: str,
        call_class: str,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        key: str | None = None,
        traceparent: str | None = None,
    ) -> CallReply:
        """Start a new request under a customer's contract; raise `RequestError`."""

        def run(below: str | None) -> CallReply:
            context = self._admit(service, customer, call_class, key, below)
            describe_span(context, retries=context.retries, now=self._state.clock())
            request = CallRequest(ServiceName(service), method, path, context, headers or {}, body)
            return self._enter_window(request)

        def run_in_span() -> CallReply:
            return in_span(
                SpanRole.ENTRY,
                run,
                traceparent=valid_traceparent(traceparent),
                service=service,
                customer=customer,
                call_class=call_class,
            )

        return counted(self.counts, customer, call_class, run_in_span)

    def target_for_key(
        self, customer: CustomerId, call_class: CallClassName, service: ServiceName
    ) -> Target:
        """Choose the target that a key to be minted names; raise `RequestError`."""
        call_class_of(self._state.holder.current, customer, call_class, service)
        return any_target(self._state, service)

    def note_clock_gap(self) -> None:
        """Distrust what was learned of targets before this process was stopped."""
        note_clock_gap(self._state, now=self._state.clock())

    @property
    def retries(self) -> int:
        """Return how many retries this caller has made."""
        return self._state.retries

    def close(self) -> None:
        """Close the connections to targets."""
        self._state.silence.stop()
        self._state.connections.close()

    def _admit(
        self,
        service: str,
        customer: str,
        name: str,
        key: str | None,
        traceparent: str | None,
    ) -> RequestContext:
        now = self._state.clock()
        snapshot = self._state.holder.current
        bucket = BucketKey(CustomerId(customer), CallClassName(name))
        call_class = call_class_of(
            snapshot, bucket.customer, bucket.call_class, ServiceName(service)
        )
        share = share_in(snapshot, bucket.customer, bucket.call_class)
        self.demand.count(bucket)
        with self._state.lock:
            wait_s = take_token(
                self._rates,
                bucket,
                rate_per_second=call_class.rate_per_second * share,
                burst=max(call_class.burst * share, min(call_class.burst, MIN_BURST)),
                now=now,
            )
        if wait_s > 0:
            message = (
                f"customer {customer!r} is beyond {call_class.rate_per_second:g} requests/s "
                f"of class {name!r}, of which {share:.1%} may enter here"
            )
            longest_s = MAX_RATE_WAIT_S if share > 0.0 else NO_SHARE_WAIT_S
            raise RequestError(
                ErrorKind.RATE_EXCEEDED, message, retry_after_s=min(wait_s, longest_s)
            )
        request_id = RequestId(token_hex(12))
        return RequestContext(
            request_id=request_id,
            customer=bucket.customer,
            call_class=bucket.call_class,
            importance=call_class.importance,
            deadline=now + call_class.deadline_ms / MS_PER_S,
            retries=self._retries_left(bucket.customer, request_id, call_class, key, now),
            idempotent=call_class.idempotent,
            key=None if key is None else IdempotencyKey(key),
            traceparent=traceparent,
        )

    def _retries_left(
        self,
        customer: CustomerId,
        request_id: RequestId,
        call_class: CallClass,
        key: str | None,
        now: float,
    ) -> int:
        if key is None:
            return call_class.retries
        with self._state.lock:
            send = note_send(
                self._resends,
                customer,
                request_id,
                retries=call_class.retries,
                now=now,
                key=IdempotencyKey(key),
            )
        # A repeated order asks for its first answer and runs once, so it is never refused here.
        if send.is_within_budget or not call_class.idempotent:
            return send.retries_left
        message = (
            f"request {key!r} was sent {send.resends + 1} times; the contract of {customer!r} "
            f"allows {call_class.retries} retries in all"
        )
        raise RequestError(ErrorKind.RETRIES_SPENT, message, retry_after_s=RESEND_WINDOW_S)

    def _enter_window(self, request: CallRequest) -> CallReply:
        # The window refuses at once what a service further down would refuse anyway.
        admitted = enter_gate(self._entry, request.context)
        scope = Scope(request.context)
        scope.refusals = admitted.refusals
        succeeded = False
        try:
            context = _below(scope, idempotent=request.context.idempotent)
            reply = self._pass(scope, replace(request, context=context))
            succeeded = reply.status < HTTPStatus.INTERNAL_SERVER_ERROR
            return reply
        finally:
            below = scope.level_below
            leave_gate(self._entry, admitted.call_id, succeeded=succeeded, below=below)

    def _pass(self, scope: Scope, request: CallRequest) -> CallReply:
        state = self._state
        if request.context.deadline <= state.clock():
            raise RequestError(ErrorKind.TOO_LATE, f"no time is left for {request.service!r}")
        key = request.context.key
        if key is None or request.context.idempotent:
            return call_with_retries(state, scope, request)
        return call_under_key(
            state, scope, request, key=key, claim_key=self._claim_key, secrets=self.secrets
        )


def _below(scope: Scope, *, idempotent: bool | None) -> RequestContext:
    context = scope.context
    return RequestContext(
        request_id=context.request_id,
        customer=context.customer,
        call_class=context.call_class,
        importance=context.importance,
        deadline=context.deadline,
        retries=context.retries,
        idempotent=context.idempotent if idempotent is None else idempotent,
        depth=context.depth + 1,
        key=context.key if context.depth == 0 else None,
        traceparent=context.traceparent,
        refusals=scope.refusals,
    )
