"""One request through separate processes: platform, two daemons, two targets and a caller."""

import json

import pytest
from benchmarks._processes import Processes, address_in, eventually
from benchmarks._processes_fleet import (
    apply_contract,
    one_class_contract,
    start_daemon,
    start_target,
)

pytestmark = pytest.mark.processes


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
    apply_contract(platform, one_class_contract("counter", service="orders", idempotent=False))

    def order_through(daemon: str) -> tuple[int, bytes]:
        reply = processes.http.request(
            "POST",
            f"http://{address_in(daemon, 'http')}/call/orders/new",
            headers={"Daisywharf-Customer": "counter", "Daisywharf-Class": "work"},
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
