"""Traces across real processes."""

import json

import pytest
from benchmarks._processes import Processes, address_in, eventually, write_settings
from benchmarks._processes_fleet import apply_contract, one_class_contract, start_target

from builders_signals import CALLER_TRACEPARENT, chain_of
from daisywharf._signals._spans import SpanRole
from daisywharf._signals._trace_file import read_trace_file

pytestmark = pytest.mark.processes


def test_a_request_through_three_processes_leaves_one_trace(processes: Processes) -> None:
    directory = processes.directory
    platform = processes.start("platform", "platform-standin").strip()
    settings = write_settings(directory, "vm-1", zone="perth-1", platform=platform)
    traced = json.loads(settings.read_text()) | {"traces": {"file": str(directory / "vm-1.spans")}}
    settings.write_text(json.dumps(traced))
    daemon = processes.start("vm-1", "daemon", "--settings", str(settings))
    for name, more in (("stock", ()), ("orders", ("--next", "stock"))):
        start_target(processes, name, name, daemon, *more, "--traces", str(directory / name))
    apply_contract(platform, one_class_contract("counter", service="orders", idempotent=True))

    def is_answered() -> bool:
        url = f"http://{address_in(daemon, 'http')}/call/orders/"
        headers = {
            "Daisywharf-Customer": "counter",
            "Daisywharf-Class": "work",
            "traceparent": CALLER_TRACEPARENT,
        }
        return processes.http.request("GET", url, headers=headers).status == 200

    eventually(is_answered)
    for name in ("vm-1", "orders", "stock"):
        assert processes.stop(name) == 0
    files = ("vm-1.spans", "orders", "stock")
    spans = [span for name in files for span in read_trace_file(directory / name)]
    succeeded = [span for span in spans if "error.type" not in span.attributes]
    assert {span.trace_id for span in spans} == {CALLER_TRACEPARENT[3:35]}
    assert {span.process for span in succeeded} == {"vm-1", "orders", "stock"}
    assert chain_of(succeeded) == [
        (SpanRole.ENTRY, "orders"),
        (SpanRole.ATTEMPT, "orders"),
        (SpanRole.GATE, "orders"),
        (SpanRole.ATTEMPT, "stock"),
        (SpanRole.GATE, "stock"),
    ]
