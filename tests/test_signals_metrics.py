"""Metrics: naming rules, bounded labels, and the metrics of daemons and gates."""

import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from builders_signals import Chain
from daisywharf import ErrorKind, RequestError
from daisywharf._daemon._daemon import Daemon
from daisywharf._daemon._metrics import metrics_of
from daisywharf._daemon._platform_actor import PlatformActor, PlatformCounts
from daisywharf._fleet._state import ListContacts, ListContracts
from daisywharf._ids import VmId, ZoneName
from daisywharf._objects._embedded import EmbeddedPlatform
from daisywharf._objects._faults import Faults, FaultyPlatform
from daisywharf._settings import DaemonSettings
from daisywharf._signals._counts import MAX_SERIES, RequestCounts, RequestLabels
from daisywharf._signals._gate_metrics import gate_exposition, gate_stats
from daisywharf._signals._metrics import Metric, MetricKind, Sample, gauge, render
from daisywharf._topology import Address

PAGE = Path(__file__).parent.parent / "docs" / "operating" / "metrics.md"
NAME = re.compile(r"^(daisywharf|process)(_[a-z]+)+$")


@pytest.fixture(scope="module")
def daemon() -> Iterator[Daemon]:
    """Run one daemon in this process."""
    anywhere = Address("127.0.0.1", 0)
    settings = DaemonSettings(VmId("vm-1"), ZoneName("perth-1"), anywhere, anywhere, http_threads=2)
    running = Daemon(settings, platform=EmbeddedPlatform())
    running.start()
    yield running
    running.stop()


@pytest.fixture(scope="module")
def metrics(daemon: Daemon) -> list[Metric]:
    return metrics_of(daemon)


def test_names_are_conventional_and_unique(metrics: list[Metric]) -> None:
    names = [metric.name for metric in metrics]
    assert len(names) == len(set(names))
    assert [name for name in names if not NAME.match(name)] == []


def test_counters_and_only_counters_end_in_total(metrics: list[Metric]) -> None:
    for metric in metrics:
        assert metric.name.endswith("_total") == (metric.kind is MetricKind.COUNTER), metric.name


def test_the_page_lists_each_metric(metrics: list[Metric]) -> None:
    listed = re.findall(r"^\| `([a-z_]+)`", PAGE.read_text(), re.MULTILINE)
    assert sorted(listed) == sorted(metric.name for metric in metrics)


def test_a_scrape_gives_the_exposition_format(daemon: Daemon) -> None:
    reply = urllib3.request("GET", f"http://{daemon.http.address}/metrics")
    lines = reply.data.decode().splitlines()
    assert reply.headers["Content-Type"].startswith("text/plain; version=0.0.4")
    assert "# TYPE daisywharf_link_bytes_total counter" in lines
    assert "daisywharf_draining 0" in lines
    resident = next(line for line in lines if line.startswith("process_resident_memory_bytes "))
    assert float(resident.split()[1]) > 1_000_000


def test_an_entry_is_counted_by_how_it_ended(daemon: Daemon) -> None:
    url = f"http://{daemon.http.address}/call/orders/"
    headers = {"Daisywharf-Customer": 'hostile"name', "Daisywharf-Class": "orders"}
    urllib3.request("GET", url, headers=headers)
    labels = RequestLabels("other", "other", ErrorKind.UNKNOWN_CUSTOMER.value)
    assert daemon.caller.counts.count_by_labels[labels] == 1


def test_calls_to_the_platform_are_counted_by_action_and_failure() -> None:
    counts = PlatformCounts()
    platform = FaultyPlatform(EmbeddedPlatform())
    actor = PlatformActor.start(platform, on_result=lambda result: None, counts=counts).proxy()
    actor.run(ListContracts()).get(timeout=5)
    platform.set_faults(Faults(down=True))
    actor.run(ListContracts()).get(timeout=5)
    actor.run(ListContacts()).get(timeout=5)
    actor.actor_ref.stop()
    assert counts.calls.count_by_outcome == {"list_contracts": 2, "list_contacts": 1}
    assert counts.failures.count_by_outcome == {"list_contracts": 1, "list_contacts": 1}


def test_requests_are_counted_by_customer_class_and_outcome() -> None:
    chain = Chain("orders")
    chain.enter()
    chain.gates[0].drain()
    with pytest.raises(RequestError):
        chain.enter()
    assert chain.caller.counts.count_by_labels == {
        RequestLabels("counter", "orders", "answered"): 1,
        RequestLabels("counter", "orders", "no-target"): 1,
    }


def test_the_number_of_series_is_bounded() -> None:
    counts = RequestCounts()
    for number in range(3 * MAX_SERIES):
        counts.add(f"customer-{number}", "orders", None)
    assert len(counts.count_by_labels) == MAX_SERIES + 1
    assert sum(counts.count_by_labels.values()) == 3 * MAX_SERIES


def test_gate_stats_contain_load_and_outcomes() -> None:
    chain = Chain("orders", slots=3)
    chain.enter()
    chain.gates[0].drain()
    with pytest.raises(RequestError):
        chain.enter()
    stats = gate_stats(chain.gates[0])
    assert (stats.slots, stats.in_flight, stats.waiting) == (3, 0, 0)
    assert (stats.answered, stats.refused_by_kind) == (1, {"draining": 1})


def test_a_target_exposes_the_metrics_of_its_gates() -> None:
    chain = Chain("orders")
    chain.enter()
    lines = gate_exposition(chain.gates).body.decode().splitlines()
    sample = 'daisywharf_gate_calls_total{outcome="answered",service="orders",target="orders-1"} 1'
    assert sample in lines


def test_a_hostile_label_stays_within_its_quotes() -> None:
    body = render([gauge("daisywharf_zone", "Help.", Sample(1, {"zone": 'a"} 1\nforged 2\\'}))])
    assert body.body.decode().splitlines()[2] == 'daisywharf_zone{zone="a\\"} 1\\nforged 2\\\\"} 1'


def test_a_daemon_that_nobody_scrapes_imports_no_aioprometheus() -> None:
    code = "import sys, daisywharf._daemon._daemon; print('aioprometheus' in sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert completed.stdout == "False\n"
