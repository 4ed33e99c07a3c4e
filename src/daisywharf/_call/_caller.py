"""The caller embedded in a process, which makes calls under a contract."""

import time
from collections.abc import Sequence
from functools import partial
from random import Random
from typing import Final

from daisywharf._call._attempts import call_with_retries
from daisywharf._call._caller_state import CallerState, Clock, SendCall, record_clock_gap
from daisywharf._call._demand import DemandCounter
from daisywharf._call._entering import EntryState, NewRequest, admit_request
from daisywharf._call._exchange import CallReply, CallRequest, pipeline
from daisywharf._call._filters import (
    by_key,
    context_below,
    suspending_caller,
    through_window,
    within_deadline,
)
from daisywharf._call._gate_admission import GateAdmission
from daisywharf._call._keyed import ClaimKey, any_target, refuse_claims, secrets_of
from daisywharf._call._scope import Scope, current_scope
from daisywharf._call._snapshot import SnapshotHolder, call_class_of
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CallClassName, CustomerId, IdempotencyKey, ServiceName
from daisywharf._overload._admission import AdmissionState
from daisywharf._signals._counts import RequestCounts, run_counted
from daisywharf._signals._spans import SpanRole, describe_span, in_span
from daisywharf._signals._traceparent import valid_traceparent
from daisywharf._topology import Target

# An entry has no slots of its own; only its windows to loaded services limit it.
ENTRY_SLOTS: Final = 1_000_000


class Caller:
    """Route calls to targets under the contracts of a snapshot; thread-safe."""

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
        self.counts = RequestCounts()
        self.secrets = secrets_of(keys)
        self._state = CallerState(holder, caller=name, clock=clock, rng=rng or Random(), send=send)
        self._entry = EntryState()
        window = GateAdmission(AdmissionState(slots=ENTRY_SLOTS), clock=clock)
        last = partial(call_with_retries, self._state)
        keyed = by_key(self._state, claim_key=claim_key, secrets=self.secrets)
        self._enter = pipeline([through_window(window), within_deadline(clock), keyed], last)
        self._call_below = pipeline([suspending_caller, within_deadline(clock)], last)

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
        """Call a service within the current request and return its answer; raise `RequestError`."""
        scope = current_scope.get()
        if scope is None:
            message = f"call to {service!r} outside any request; use `enter` for a new one"
            raise RequestError(ErrorKind.BAD_REQUEST, message)
        context = context_below(scope, idempotent=idempotent)
        request = CallRequest(ServiceName(service), method, path, context, headers or {}, body)
        return self._call_below(scope, request)

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
        """Start a request under a customer's contract and return its answer; raise `RequestError`.

        `key` is an idempotency key that the customer can resend.
        """

        def run(child_traceparent: str | None) -> CallReply:
            new = NewRequest(
                service=ServiceName(service),
                customer=CustomerId(customer),
                call_class=CallClassName(call_class),
                key=None if key is None else IdempotencyKey(key),
                traceparent=child_traceparent,
            )
            now = self._state.clock()
            context = admit_request(self._entry, self._state.holder.current, new, now=now)
            describe_span(context, retries=context.retries, now=now)
            request = CallRequest(new.service, method, path, context, headers or {}, body)
            return self._enter(Scope(context), request)

        def run_in_span() -> CallReply:
            return in_span(
                SpanRole.ENTRY,
                run,
                traceparent=valid_traceparent(traceparent),
                service=service,
                customer=customer,
                call_class=call_class,
            )

        return run_counted(self.counts, customer, call_class, run_in_span)

    def target_for_key(
        self, customer: CustomerId, call_class: CallClassName, service: ServiceName
    ) -> Target:
        """Choose the target that a new minted key will name; raise `RequestError`."""
        call_class_of(self._state.holder.current, customer, call_class, service)
        return any_target(self._state, service)

    def record_clock_gap(self) -> None:
        """Mark target statistics from before a pause of this process as unreliable."""
        record_clock_gap(self._state, now=self._state.clock())

    @property
    def demand(self) -> DemandCounter:
        """Return the counter of entered requests, which the daemon collects."""
        return self._entry.demand

    @property
    def retries(self) -> int:
        """Return how many retries this caller has made."""
        return self._state.retries

    def close(self) -> None:
        """Close the connections to targets."""
        self._state.silence.stop()
        self._state.connections.close()
