"""Count the processor time of a call's decisions alone, on both sides and without sockets."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

from benchmarks._processes_fleet import one_class_contract
from daisywharf import Importance
from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._gate import Gate
from daisywharf._call._hop import HOP_ANSWER, HOP_ENVIRON_KEY, Hop, HopAnswer, hop_to, to_header
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._call._wsgi import Environ, StartResponse
from daisywharf._context import RequestContext
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._topology import Address, Target

TARGETS = 200
CALLS = 5_000
US_PER_S = 1e6
SERVICE = ServiceName("plain")
CUSTOMER = CustomerId("counter")
RATE_PER_S = 1e9


def decision_figures() -> dict[str, float]:
    """Return the processor time of one call on the caller's side and at the gate."""
    caller = Caller(SnapshotHolder(_snapshot()), name="bench", rng=Random(1), send=_answer_at_once)
    gate = Gate(_empty_app, target_id="plain-0", incarnation=1, slots=16)
    environ = _environ()
    caller_us = _processor_us(lambda: _enter(caller))
    gate_us = _processor_us(lambda: gate(environ, _ignore))
    return {"caller_us": caller_us, "gate_us": gate_us, "sum_ms": (caller_us + gate_us) / 1_000}


def _processor_us(call: Callable[[], Any]) -> float:
    for _ in range(CALLS // 10):
        call()
    started = time.thread_time()
    for _ in range(CALLS):
        call()
    return round((time.thread_time() - started) / CALLS * US_PER_S, 1)


def _enter(caller: Caller) -> None:
    caller.enter("plain", customer=CUSTOMER, call_class="work", method="POST", body=b"{}")


def _answer_at_once(target: Target, request: CallRequest, hop: Hop) -> CallReply:
    to_header(hop)
    answer = HopAnswer(hop.call_id, hop.incarnation, hop.retries)
    return CallReply(200, {HOP_ANSWER: to_header(answer)})


def _empty_app(environ: Environ, start_response: StartResponse) -> list[bytes]:
    start_response("200 OK", [])
    return [b"{}"]


def _ignore(*arguments: Any) -> None:
    return None


def _target(number: int) -> Target:
    return Target(
        target_id=TargetId(f"plain-{number}"),
        service=SERVICE,
        vm=VmId(f"vm-{number}"),
        zone=ZoneName("perth-1"),
        incarnation=Incarnation(1),
        address=Address("127.0.0.1", 1_024 + number),
        slots=16,
        connections=64,
    )


def _snapshot() -> Snapshot:
    contract = one_class_contract(
        CUSTOMER, service=SERVICE, idempotent=True, rate_per_second=RATE_PER_S
    )
    targets = tuple(_target(number) for number in range(TARGETS))
    return Snapshot(
        vm=VmId("vm-0"),
        zone=ZoneName("perth-1"),
        sequence=1,
        contract_by_customer={CUSTOMER: contract},
        targets_by_service={SERVICE: targets},
    )


def _environ() -> Environ:
    context = RequestContext(
        request_id=RequestId("r-1"),
        customer=CUSTOMER,
        call_class=CallClassName("work"),
        importance=Importance.CRITICAL,
        deadline=time.monotonic() + 3_000.0,
        retries=2,
    )
    hop = hop_to(
        _target(0), context, retries=2, ticket=None, now=time.monotonic(), wall_now=time.time()
    )
    return {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/",
        "QUERY_STRING": "",
        HOP_ENVIRON_KEY: to_header(hop),
    }
