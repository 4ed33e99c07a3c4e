"""What entries learn: which routes carry calls, the calls of a run, the visits of a chain."""

from random import Random

from builders_mesh import route
from daisywharf._configuration import RouteName, SplitPart
from daisywharf._ids import ServiceName, VmId
from daisywharf._mesh._learned import (
    drop_restored,
    is_learned_calls_writer,
    restore_learned_calls,
    snapshot_learned_calls,
)
from daisywharf._overload._calls_below import (
    CallCounts,
    Callee,
    CallsBelow,
    Kind,
    calls_below,
    end_period,
    record_call,
    record_half_run,
)
from daisywharf._overload._chain import ChainState, Step, chain_level, record_rows, visits_of
from daisywharf._overload._origins import (
    Origins,
    RouteCount,
    classify_routes,
    is_call,
    is_request,
    record_counts,
)
from daisywharf._overload._random_retry_after import random_retry_after_s
from daisywharf._routing._fleet_retry_budget import (
    FleetRetryBudget,
    record_first_attempt,
    spend_own_retry,
)
from daisywharf._routing._split import SplitState, next_part

SERVICES = [ServiceName(name) for name in ("catalogue", "orders", "drawings", "stock")]
BROWSE, LOOKUP = RouteName("browse"), RouteName("lookup")


def _origins(*, seconds: float) -> Origins:
    """Record browsing by clients on every VM, and lookups made only by catalogue's targets."""
    origins = Origins(now=0.0)
    for step in range(int(seconds * 2)):
        for service in SERVICES:
            counts = [RouteCount(BROWSE, 10)]
            if service == "catalogue":
                counts.append(RouteCount(LOOKUP, 40))
            record_counts(origins, service, tuple(counts))
        classify_routes(origins, now=(step + 1) * 0.5)
    return origins


def test_routes_that_only_one_service_s_vms_send_are_calls() -> None:
    origins = _origins(seconds=1.0)
    assert is_call(origins, LOOKUP)
    assert not is_call(origins, BROWSE)


def test_a_route_counts_as_clients_only_once_it_is_seen_everywhere() -> None:
    origins = _origins(seconds=1.0)
    assert is_request(origins, BROWSE)
    assert not is_request(origins, LOOKUP)
    assert not is_request(origins, RouteName("never-seen"))


def test_few_requests_classify_no_route() -> None:
    origins = Origins(now=0.0)
    for service in SERVICES:
        record_counts(origins, service, (RouteCount(BROWSE, 10),))
    record_counts(origins, SERVICES[0], (RouteCount(LOOKUP, 6),))
    classify_routes(origins, now=0.5)
    assert not is_call(origins, LOOKUP)


def test_the_calls_of_two_kinds_of_runs_are_distinguished() -> None:
    rng = Random(3)
    counts = CallCounts(now=0.0)
    index, download, sync = Kind("index drawings"), Kind("download drawings"), Callee("sync stock")
    for period in range(40):
        for kind, mean, calls in ((index, 30, 4), (download, 4, 0)):
            for _ in range(max(0, int(rng.gauss(mean, mean**0.5)))):
                record_half_run(counts, kind)
                record_half_run(counts, kind)
                for _ in range(calls):
                    record_call(counts, sync)
        end_period(counts, now=(period + 1) * 0.5)
    found = {kind: calls for kind, _, calls in calls_below(counts)}
    assert abs(found[index] - 4.0) < 0.2
    assert found.get(download, 0.0) < 0.4


def _row(route_name: str, service: str, callee: str, at: str, calls: float) -> CallsBelow:
    return CallsBelow(service, route_name, at, callee, calls)


def test_visits_multiply_down_the_chain() -> None:
    chain = ChainState()
    record_rows(chain, "vm-1", (_row("browse", "catalogue", "lookup", "orders", 1.0),))
    record_rows(chain, "vm-2", (_row("lookup", "orders", "index", "drawings", 1.0),))
    record_rows(chain, "vm-3", (_row("index", "drawings", "sync", "stock", 4.0),))
    visits = visits_of(chain, Step(BROWSE, ServiceName("catalogue")), now=1.0)
    assert visits == {"catalogue": 1.0, "orders": 1.0, "drawings": 1.0, "stock": 4.0}


def test_the_visits_of_a_route_that_seems_to_call_itself_are_bounded() -> None:
    chain = ChainState()
    record_rows(chain, "vm-1", (_row("browse", "catalogue", "browse", "catalogue", 2.0),))
    visits = visits_of(chain, Step(BROWSE, ServiceName("catalogue")), now=1.0)
    assert visits[ServiceName("catalogue")] < 10_000


def test_a_low_mean_of_calls_is_treated_as_noise() -> None:
    chain = ChainState()
    record_rows(chain, "vm-1", (_row("download", "drawings", "sync", "stock", 0.3),))
    visits = visits_of(chain, Step(RouteName("download"), ServiceName("drawings")), now=1.0)
    assert visits == {"drawings": 1.0}


def test_the_strictest_level_in_the_chain_applies() -> None:
    levels = {ServiceName("catalogue"): 3.0, ServiceName("stock"): 2.4}
    deep = chain_level({ServiceName("catalogue"): 1.0, ServiceName("stock"): 4.0}, levels)
    assert (deep.level, deep.service) == (2.4, "stock")
    assert chain_level({ServiceName("catalogue"): 1.0}, levels).level == 3.0


def test_a_fleet_of_daemons_stays_within_the_retry_ratio() -> None:
    budgets = [FleetRetryBudget(ratio=0.2, extra=50.0, window_s=10.0) for _ in range(16)]
    stock = ServiceName("stock")
    retries = firsts = 0
    for step in range(2_000):
        now = step * 0.01
        budget = budgets[step % 16]
        record_first_attempt(budget, stock, now=now)
        firsts += now > 10.0
        retries += now > 10.0 and spend_own_retry(budget, {stock: 1.0}, daemons=16, now=now)
    assert 0 < retries <= 0.2 * firsts + 50.0


def test_a_retry_is_charged_for_its_downstream_calls() -> None:
    budget = FleetRetryBudget(ratio=0.0, extra=5.0, window_s=10.0)
    visits = {ServiceName("catalogue"): 1.0, ServiceName("stock"): 4.0}
    assert not spend_own_retry(budget, visits, daemons=1, now=0.0)
    assert spend_own_retry(budget, {ServiceName("catalogue"): 1.0}, daemons=1, now=0.0)


def test_parts_get_consecutive_requests_in_proportion_to_their_weights() -> None:
    parts = (SplitPart(ServiceName("new"), 10.0), SplitPart(ServiceName("old"), 90.0))
    split, rng = SplitState(), Random(1)
    chosen = [next_part(split, route(parts=parts), rng=rng) for _ in range(100)]
    assert 9 <= chosen.count(ServiceName("new")) <= 11


def test_daemons_don_t_all_start_with_the_same_part() -> None:
    parts = (SplitPart(ServiceName("new"), 50.0), SplitPart(ServiceName("old"), 50.0))
    first = {next_part(SplitState(), route(parts=parts), rng=Random(s)) for s in range(20)}
    assert len(first) == 2


def test_a_part_without_weight_gets_no_request() -> None:
    weights = {"a": 1.0, "b": 1.0, "emptied": 0.0}
    parts = tuple(SplitPart(ServiceName(name), weight) for name, weight in weights.items())
    for seed in range(300):
        split, rng = SplitState(), Random(seed)
        chosen = {next_part(split, route(parts=parts), rng=rng) for _ in range(50)}
        assert chosen == {"a", "b"}


def test_refused_callers_resend_at_spread_times_that_still_meet_the_objective() -> None:
    rng = Random(1)
    times = [
        random_retry_after_s(latency_objective_s=1.2, time_left_s=5.0, rng=rng) for _ in range(200)
    ]
    assert max(times) - min(times) > 0.3
    assert max(times) < 0.6
    assert random_retry_after_s(latency_objective_s=10.0, time_left_s=0.6, rng=rng) <= 0.18


def test_what_was_learned_applies_from_the_first_request_after_a_restart() -> None:
    chain, origins = ChainState(), _origins(seconds=1.0)
    record_rows(chain, "vm-1", (_row("browse", "catalogue", "lookup", "orders", 0.93),))
    record_rows(chain, "vm-2", (_row("lookup", "orders", "sync", "stock", 4.2),))
    kept = snapshot_learned_calls(chain, origins)
    fresh, fresh_origins = ChainState(), Origins(now=0.0)
    restore_learned_calls(kept, fresh, fresh_origins)
    visits = visits_of(fresh, Step(BROWSE, ServiceName("catalogue")), now=0.0)
    assert visits == {"catalogue": 1.0, "orders": 1.0, "stock": 4.0}
    assert is_call(fresh_origins, LOOKUP)
    drop_restored(fresh)
    assert visits_of(fresh, Step(BROWSE, ServiceName("catalogue")), now=9.0) == {"catalogue": 1.0}


def test_one_daemon_writes_what_is_learned() -> None:
    vms = [VmId("b"), VmId("a"), VmId("c")]
    writers = [
        vm for vm in vms if is_learned_calls_writer(vm, [other for other in vms if other != vm])
    ]
    assert writers == ["a"]
