"""Orders whose target is killed, paused or asked to exit, in real processes."""

import signal
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from benchmarks._processes import Processes, eventually
from benchmarks._processes_fleet import (
    apply_contract,
    one_class_contract,
    start_daemon,
    start_target,
)

from small_fleet import ORDERER, HttpAnswer, SmallFleet

pytestmark = pytest.mark.processes

WORK_MS = 500
STOPPED_S = 6.5


class Shop:
    """Run a daemon and one orders target, and hold the orders in flight."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.platform = processes.start("platform", "platform-standin").strip()
        self.daemon = start_daemon(processes, "vm-1", zone="perth-1", platform=self.platform)
        self.fleet = SmallFleet(processes, self.platform, self.daemon, self.daemon)
        self.pool = ThreadPoolExecutor(4)
        apply_contract(
            self.platform, one_class_contract(ORDERER, service="orders", idempotent=False)
        )
        self.start_target()

    def start_target(self) -> None:
        """Start the target and wait until orders succeed."""
        start_target(self.processes, "orders-1", "orders", self.daemon, "--work-ms", str(WORK_MS))
        eventually(lambda: self.order().status == 200)

    def order(self, key: str | None = None) -> HttpAnswer:
        """Place an order and wait for its outcome."""
        headers = {} if key is None else {"Idempotency_Key": key}
        return self.fleet.order(self.daemon, **headers)

    def order_running(self, key: str) -> "Future[HttpAnswer]":
        """Place an order and return once its target runs it."""
        placed = self.pool.submit(self.order, key)
        eventually(lambda: self.state_of(key) == "running")
        return placed

    def state_of(self, key: str) -> str:
        """Return the state of an order, looked up by its key."""
        path = f"/orders/{key}?customer={ORDERER}"
        state: str = self.fleet.send_request(self.daemon, "GET", path).document["state"]
        return state

    def runs(self) -> int:
        """Return how many orders the target has run, including the one placed to ask."""
        ran: int = self.order().document["ran"]
        return ran


@pytest.fixture(scope="module")
def shop(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Shop]:
    processes = Processes(tmp_path_factory.mktemp("shop"))
    started = Shop(processes)
    yield started
    processes.stop_all()
    started.pool.shutdown(wait=False, cancel_futures=True)


def test_an_order_whose_target_was_killed_is_unknown_and_never_run_again(shop: Shop) -> None:
    placed = shop.order_running("killed-1")
    shop.processes.stop("orders-1", signal.SIGKILL)
    answered = placed.result()
    assert (answered.kind, answered.document["ran"]) == ("outcome-unknown", "unknown")
    shop.start_target()
    before = shop.runs()
    again = shop.order("killed-1")
    assert (again.kind, again.document["ran"]) == ("outcome-unknown", "unknown")
    assert shop.runs() == before + 1


def test_a_target_that_was_stopped_for_a_while_runs_nothing_stale(shop: Shop) -> None:
    before = shop.runs()
    process = shop.processes.process_by_name["orders-1"]
    process.send_signal(signal.SIGSTOP)
    resume_timer = threading.Timer(STOPPED_S, process.send_signal, [signal.SIGCONT])
    resume_timer.start()
    stale = [placed.result() for placed in [shop.pool.submit(shop.order) for _ in range(3)]]
    assert all(answer.status != 200 for answer in stale)
    resume_timer.join()
    later: list[HttpAnswer] = []
    eventually(lambda: later.append(shop.order()) or later[-1].status == 200)
    time.sleep(WORK_MS / 1_000.0)
    answered = sum(answer.status == 200 for answer in later)
    unknown = sum(answer.status != 200 and answer.document["ran"] != "no" for answer in later)
    assert shop.runs() - before - answered - 1 <= unknown


def test_a_target_that_is_asked_to_exit_answers_what_it_runs(shop: Shop) -> None:
    placed = [shop.order_running(f"ending-{number}") for number in range(2)]
    assert shop.processes.stop("orders-1") == 0
    assert [order.result().status for order in placed] == [200, 200]
    assert shop.order().document["ran"] == "no"
    shop.start_target()
