"""One request through separate processes: platform, two daemons, two targets and a caller."""

import json

import pytest
from benchmarks._processes import Processes, address_in, eventually, write_settings

from daisywharf import CallClass, Contract, Importance
from daisywharf._contracts import contract_to_json
from daisywharf._ids import CallClassName, CustomerId, EditId, ServiceName
from daisywharf._platform._http_client import HttpPlatform
from daisywharf._platform._interface import ObjectKind

pytestmark = pytest.mark.processes

CONTRACT = Contract(
    CustomerId("counter"),
    {
        CallClassName("order"): CallClass(
            name=CallClassName("order"),
            services=(ServiceName("orders"),),
            importance=Importance.CRITICAL,
            rate_per_second=100,
            burst=100,
            deadline_ms=3000,
            idempotent=False,
            retries=2,
        )
    },
)


def start_daemon(
    processes: Processes, name: str, *, zone: str, platform: str, peers: tuple[str, ...] = ()
) -> str:
    """Start a daemon from a settings file and return what it wrote once ready."""
    settings = write_settings(processes.directory, name, zone=zone, platform=platform, peers=peers)
    return processes.start(name, "daemon", "--settings", str(settings))


def start_target(processes: Processes, name: str, service: str, daemon: str, *more: str) -> str:
    """Start a stand-in target on a daemon's VM."""
    return processes.start(
        name,
        "target-standin",
        "--service", service,
        "--id", name,
        "--daemon-http", address_in(daemon, "http"),
        "--daemon-links", address_in(daemon, "links"),
        "--key", "a-shared-key",
        *more,
    )  # fmt: skip


def test_an_order_passes_through_the_chain_and_its_whole_answer_comes_back(
    processes: Processes,
) -> None:
    platform = processes.start("platform", "platform-standin").strip()
    first = start_daemon(processes, "vm-1", zone="perth-1", platform=platform)
    second = start_daemon(
        processes, "vm-2", zone="perth-1", platform=platform, peers=(address_in(first, "links"),)
    )
    start_target(processes, "stock-1", "stock", first)
    start_target(processes, "orders-1", "orders", second, "--next", "stock")
    HttpPlatform(platform).create(
        ObjectKind.CONTRACT,
        "counter",
        contract_to_json(CONTRACT),
        edit_id=EditId("edit-1"),
        timeout_s=5.0,
    )

    def order_through(daemon: str) -> tuple[int, bytes]:
        reply = processes.http.request(
            "POST",
            f"http://{address_in(daemon, 'http')}/call/orders/new",
            headers={"Daisywharf-Customer": "counter", "Daisywharf-Class": "order"},
            body=b"{}",
        )
        return reply.status, reply.data

    for daemon in (first, second):
        eventually(lambda daemon=daemon: order_through(daemon)[0] == 200)
        status, body = order_through(daemon)
        answer = json.loads(body)
        assert status == 200, body
        assert (answer["service"], answer["below"]) == ("orders", ["stock"])
    assert processes.stop("orders-1") == 0
    eventually(lambda: order_through(first)[0] == 503)
    assert json.loads(order_through(first)[1])["ran"] == "no"
    assert processes.stop("vm-1") == 0
