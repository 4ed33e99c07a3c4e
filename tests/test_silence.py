"""Calls on HTTP connections that go silent, with real gates in this process."""

import threading
from collections.abc import Iterator

import pytest

from daisywharf import ErrorKind, Importance, RequestError
from daisywharf._call._caller import Caller
from daisywharf._call._gate import Gate
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._call._wsgi import Environ, StartResponse
from daisywharf._contract import CallClass, Contract
from daisywharf._http_server import HttpServer
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._outcomes._progress import (
    PROBE_AFTER_S,
    SILENCE_LIMIT_S,
    CallProgress,
    ProbeResult,
    needs_probe,
    record_probe_result,
)
from daisywharf._topology import Address, Target
from relay import Relay

SERVICE = ServiceName("orders")
CUSTOMER = CustomerId("counter")


class Site:
    """Hold a target behind a relay, and a caller that reaches the target only through it."""

    def __init__(self) -> None:
        self.runs = 0
        self.may_answer = threading.Event()
        self.may_answer.set()
        gate = Gate(self._app, target_id="orders-1", incarnation=7, slots=4, service=SERVICE)
        self.server = HttpServer(gate, address=Address("127.0.0.1", 0), threads=20)
        self.server.start()
        self.relay = Relay(self.server.address.host, self.server.address.port)
        self.caller = Caller(SnapshotHolder(self._snapshot()), name="test")

    def call(self, call_class: str) -> bytes:
        """Make one call and return its answer."""
        return self.caller.enter(
            SERVICE, customer=CUSTOMER, call_class=call_class, method="POST", body=b"{}"
        ).body

    def stop(self) -> None:
        """Close everything."""
        self.caller.close()
        self.server.stop()
        self.relay.close()

    def _app(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        self.runs += 1
        run = self.runs
        self.may_answer.wait(20)
        start_response("200 OK", [])
        return [f"run {run}".encode()]

    def _snapshot(self) -> Snapshot:
        target = Target(
            target_id=TargetId("orders-1"),
            service=SERVICE,
            vm=VmId("vm-1"),
            zone=ZoneName("perth-1"),
            incarnation=Incarnation(7),
            address=Address("127.0.0.1", self.relay.port),
            slots=4,
            connections=64,
        )
        classes = {
            CallClassName(name): CallClass(
                name=CallClassName(name),
                services=(SERVICE,),
                importance=Importance.CRITICAL,
                rate_per_second=1_000.0,
                burst=1_000.0,
                deadline_ms=15_000,
                idempotent=name == "read",
                retries=1,
            )
            for name in ("read", "order")
        }
        return Snapshot(
            vm=VmId("vm-1"),
            zone=ZoneName("perth-1"),
            sequence=1,
            contract_by_customer={CUSTOMER: Contract(CUSTOMER, classes)},
            targets_by_service={SERVICE: (target,)},
        )


@pytest.fixture
def site() -> Iterator[Site]:
    """Start a target behind a relay."""
    started = Site()
    yield started
    started.stop()


def test_an_order_whose_answer_was_dropped_gets_it_over_a_new_connection(site: Site) -> None:
    assert site.call("order") == b"run 1"
    site.relay.silence(answers_only=True)
    assert site.call("order") == b"run 2"
    assert site.runs == 2


def test_an_order_that_was_dropped_is_reported_as_not_run(site: Site) -> None:
    assert site.call("order") == b"run 1"
    site.relay.silence()
    with pytest.raises(RequestError) as caught:
        site.call("order")
    assert caught.value.kind in (ErrorKind.CONNECT_FAILED, ErrorKind.NO_TARGET)
    assert caught.value.answer.ran.value == "no"
    assert site.runs == 1


def test_a_slow_target_is_not_taken_for_a_silent_connection(site: Site) -> None:
    site.may_answer.clear()
    threading.Timer(PROBE_AFTER_S + 2 * SILENCE_LIMIT_S, site.may_answer.set).start()
    assert site.call("read") == b"run 1"
    assert site.runs == 1


def test_a_call_is_aborted_after_two_not_open_probes_or_a_long_silence() -> None:
    progress = CallProgress(sent_at=10.0)
    assert not needs_probe(progress, now=10.0 + PROBE_AFTER_S - 0.01)
    assert needs_probe(progress, now=10.0 + PROBE_AFTER_S)
    assert not record_probe_result(progress, ProbeResult.NOT_OPEN, now=11.0)
    assert not record_probe_result(progress, ProbeResult.OPEN, now=11.2)
    assert not record_probe_result(progress, ProbeResult.NOT_OPEN, now=12.0)
    assert record_probe_result(progress, ProbeResult.NOT_OPEN, now=12.2)
    silent = CallProgress(sent_at=10.0)
    assert not record_probe_result(
        silent, ProbeResult.UNREACHABLE, now=10.0 + SILENCE_LIMIT_S - 0.01
    )
    assert record_probe_result(silent, ProbeResult.UNREACHABLE, now=10.0 + SILENCE_LIMIT_S)
