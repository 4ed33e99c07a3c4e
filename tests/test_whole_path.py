"""One request through separate processes: platform, two daemons, two targets and a caller."""

import pytest
from benchmarks._processes import Processes, eventually

from small_fleet import SmallFleet, start_small_fleet

pytestmark = pytest.mark.processes


def test_an_order_passes_through_the_chain_and_its_complete_answer_is_returned(
    small_fleet: SmallFleet,
) -> None:
    for daemon in (small_fleet.first, small_fleet.second):
        answered = small_fleet.order(daemon)
        assert answered.status == 200, answered
        assert answered.document["service"] == "orders"
        assert answered.document["below"] == ["stock"]


def test_a_stopped_target_is_no_longer_called_and_each_process_exits_cleanly(
    processes: Processes,
) -> None:
    fleet = start_small_fleet(processes)
    assert processes.stop("orders-1") == 0
    eventually(lambda: fleet.order(fleet.first).status == 503)
    refused = fleet.order(fleet.first)
    assert (refused.kind, refused.document["ran"]) == ("no-target", "no")
    assert refused.retry_after is not None
    assert processes.stop("vm-1") == 0


def test_an_operator_drains_a_target_from_any_daemon(processes: Processes) -> None:
    fleet = start_small_fleet(processes)
    assert fleet.send_request(fleet.first, "POST", "/targets/orders-1/drain").status == 200
    eventually(lambda: fleet.order(fleet.first).status == 503)
    eventually(lambda: fleet.order(fleet.second).status == 503)


def test_an_unknown_target_can_t_be_drained(small_fleet: SmallFleet) -> None:
    answered = small_fleet.send_request(small_fleet.first, "POST", "/targets/none/drain")
    assert answered.kind == "no-target"
