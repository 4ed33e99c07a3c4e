"""Build a caller and gates of a chain in one process, without sockets."""

from collections.abc import Callable, Iterator
from random import Random

from daisywharf import CallClass, Contract, Importance
from daisywharf._call._caller import Caller
from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._gate import Gate
from daisywharf._call._hop import HOP_ENVIRON_KEY, Hop, to_header
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._call._wsgi import Environ, StartResponse, run_app
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._signals._spans import SpanRecord, SpanRole
from daisywharf._topology import Address, Target

CUSTOMER = "counter"
CALL_CLASS = "orders"
CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class Chain:
    """Hold a caller and one gate per service; each service calls the next one."""

    def __init__(self, *services: str, slots: int = 4) -> None:
        self.gates = [
            Gate(self._app(rest), target_id=f"{name}-1", incarnation=1, slots=slots, service=name)
            for name, *rest in (services[place:] for place in range(len(services)))
        ]
        self.gate_by_id = {gate.target_id: gate for gate in self.gates}
        self.caller = Caller(
            SnapshotHolder(_snapshot(services)), name="test", rng=Random(1), send=self._send
        )

    def enter(self, traceparent: str | None = None) -> CallReply:
        """Send one request to the first service."""
        return self.caller.enter(
            self.gates[0].service, customer=CUSTOMER, call_class=CALL_CLASS, traceparent=traceparent
        )

    def _app(self, rest: list[str]) -> Callable[[Environ, StartResponse], list[bytes]]:
        def app(environ: Environ, start_response: StartResponse) -> list[bytes]:
            if rest:
                self.caller.call(rest[0])
            start_response("200 OK", [])
            return [b"{}"]

        return app

    def _send(self, target: Target, request: CallRequest, hop: Hop) -> CallReply:
        environ = {
            "REQUEST_METHOD": request.method,
            "PATH_INFO": request.path,
            HOP_ENVIRON_KEY: to_header(hop),
        }
        return run_app(self.gate_by_id[target.target_id], environ)


def chain_of(spans: list[SpanRecord]) -> list[tuple[SpanRole, str]]:
    """Return the role and service of each span of a trace without branches, root first."""
    return [(span.role, str(span.attributes["daisywharf.service"])) for span in _ordered(spans)]


def _ordered(spans: list[SpanRecord]) -> Iterator[SpanRecord]:
    known = {span.span_id for span in spans}
    span_by_parent = {
        span.parent_span_id if span.parent_span_id in known else None: span for span in spans
    }
    parent: str | None = None
    while parent in span_by_parent:
        span = span_by_parent[parent]
        parent = span.span_id
        yield span


def _snapshot(services: tuple[str, ...]) -> Snapshot:
    call_class = CallClass(
        name=CallClassName(CALL_CLASS),
        services=tuple(ServiceName(name) for name in services),
        importance=Importance.CRITICAL,
        rate_per_second=1_000.0,
        burst=1_000.0,
        deadline_ms=3_000,
        idempotent=True,
        retries=2,
    )
    contract = Contract(CustomerId(CUSTOMER), {call_class.name: call_class})
    return Snapshot(
        vm=VmId("vm-1"),
        zone=ZoneName("perth-1"),
        sequence=1,
        contract_by_customer={contract.customer: contract},
        targets_by_service={ServiceName(name): (_target(name),) for name in services},
    )


def _target(service: str) -> Target:
    return Target(
        target_id=TargetId(f"{service}-1"),
        service=ServiceName(service),
        vm=VmId("vm-1"),
        zone=ZoneName("perth-1"),
        incarnation=Incarnation(1),
        address=Address("127.0.0.1", 1_024),
        slots=4,
        connections=16,
    )
