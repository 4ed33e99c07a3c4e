"""Severe overload: rejected calls of a deep service, unknown chains, waiting at a gate."""

from collections import Counter
from random import Random

import pytest

from builders_mesh import (
    Client,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    daemon_at_rest,
    eventually,
    in_loop,
    member,
    route,
)
from builders_severe_overload import (
    REJECTING,
    RecordingChannel,
    ask_times,
    call_of,
    daemon_with_gates,
    daemon_with_recording_channel,
    gate_with_runs,
    outcomes,
    rejecting_surge,
    report_share,
    surge_in_the_first_second,
    total,
    whole_fraction,
)
from builders_target_announcements import ReportingWorld
from builders_virtual_fleet import VirtualFleet
from daisywharf._configuration import RouteName
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._ids import RequestId, ServiceName, TargetId
from daisywharf._mesh._daemon import MeshDaemon
from daisywharf._mesh._frames import CallResult, GateLoad, Report, StatusUpdate, Unanswered
from daisywharf._mesh._learned import LearnedCalls, restore_learned_calls
from daisywharf._overload._actions import CallId, Refuse
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._chain import (
    UNKNOWN_S,
    ChainState,
    Step,
    is_unknown,
    record_request,
    record_rows,
    visits_of,
)
from daisywharf._overload._chain_chance import (
    FULL_FRACTION,
    MIN_CHANCE,
    MIN_SHARE,
    PROBE_SHARE,
    SPARE_FRACTION,
    Rejections,
    chance_of,
    is_worth_starting,
    record_start,
    rejected_share,
)
from daisywharf._overload._origins import Origins
from daisywharf._overload._random_retry_after import EARLIEST_FRACTION
from daisywharf._overload._run_times import MAX_ROUTES, RunTimes, min_time_s, record_run
from daisywharf._overload._slots import expire
from daisywharf._routing._placement import LOAD_LIFETIME_S, place, service_rejected_share
from virtual_net import VirtualNet, in_virtual_time

SEEDS = [1, 2, 3, 4, 5]
DEEP, MIDDLE, STOCK = ServiceName("deep"), ServiceName("middle"), ServiceName("stock")


@pytest.mark.parametrize("seed", SEEDS)
def test_rejections_of_a_deep_service_waste_at_most_half_as_much_work(seed: int) -> None:
    before = rejecting_surge(follows_chance=False, seed=seed)
    after = rejecting_surge(follows_chance=True, seed=seed)
    for name, surge in (("before", before), ("after", after)):
        checks = surge.outcome_by_importance[Importance.HIGH]
        print(
            f"seed {seed} {name}: {total(surge, 'thrown_away'):.0f} requests and"
            f" {total(surge, 'wasted_s'):.1f} s thrown away, {total(surge, 'whole'):.0f} whole,"
            f" one-call requests {whole_fraction(checks):.4f}"
        )
    assert total(after, "thrown_away") <= 0.5 * total(before, "thrown_away")
    assert total(after, "wasted_s") <= 0.5 * total(before, "wasted_s")


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_of_one_call_are_served_as_before(seed: int) -> None:
    """Guard against refusing all requests that reach a rejecting service."""
    before, after = (
        rejecting_surge(follows_chance=follows, seed=seed).outcome_by_importance[Importance.HIGH]
        for follows in (False, True)
    )
    # Two standard deviations of the share among some 4,500 requests.
    assert whole_fraction(after) >= whole_fraction(before) - 0.02
    assert after.unlikely == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_are_admitted_again_half_a_second_after_the_rejections(seed: int) -> None:
    surge = rejecting_surge(follows_chance=True, seed=seed)
    assert max(surge.refused_as_unlikely_at) <= REJECTING.ends_s + 0.5


# The share that a gate measures.


def _rejections(*, calls: int, is_rejected: bool, per_s: float = 100.0) -> Rejections:
    rejections = Rejections(now=0.0)
    for number in range(calls):
        record_start(rejections, is_rejected=is_rejected, now=number / per_s)
    return rejections


def test_the_share_follows_a_change_within_some_tens_of_calls() -> None:
    rejections = _rejections(calls=60, is_rejected=True)
    assert rejected_share(rejections, now=0.6) > 0.85
    for number in range(50):
        record_start(rejections, is_rejected=False, now=0.6 + number / 100.0)
    assert rejected_share(rejections, now=1.1) < 0.15


def test_the_share_of_few_calls_a_second_is_measured_too() -> None:
    """Guard against a share that decays faster than a service with few calls confirms it."""
    rng = Random(3)
    rejections = Rejections(now=0.0)
    shares = []
    for number in range(200):
        record_start(rejections, is_rejected=rng.random() < 0.55, now=number / 15.0)
        shares.append(rejected_share(rejections, now=number / 15.0))
    assert sum(shares[20:]) / len(shares[20:]) > 0.4


def test_the_share_decays_while_no_calls_come() -> None:
    rejections = _rejections(calls=60, is_rejected=True)
    assert rejected_share(rejections, now=3.0) < 0.1


def test_a_single_rejected_call_isn_t_a_failing_target() -> None:
    rejections = _rejections(calls=30, is_rejected=False)
    record_start(rejections, is_rejected=True, now=0.3)
    assert rejected_share(rejections, now=0.3) < 0.1


# The chance of a chain.


def test_the_chance_falls_with_each_visit_and_names_the_service() -> None:
    visits = {MIDDLE: 1.0, DEEP: 4.0}
    found = chance_of(visits, {DEEP: 0.55, MIDDLE: 0.05})
    assert found.service == DEEP
    assert found.chance == pytest.approx(0.45**4)


@pytest.mark.parametrize(("visits", "is_admitted"), [(1.0, True), (2.0, False), (4.0, False)])
def test_requests_that_call_a_rejecting_service_once_are_worth_starting(
    visits: float, is_admitted: bool
) -> None:
    chance = chance_of({DEEP: visits}, {DEEP: 0.55}).chance
    assert is_worth_starting(chance, occupied_fraction=1.0, draw=0.5) is is_admitted


def test_a_small_share_refuses_no_long_chain() -> None:
    """Guard against refusing whole routes for what a full target rejects now and then."""
    assert chance_of({DEEP: 27.0}, {DEEP: 0.09}).chance == 1.0


def test_probes_are_a_small_share() -> None:
    rng = Random(1)
    probes = sum(
        is_worth_starting(0.01, occupied_fraction=1.0, draw=rng.random()) for _ in range(10_000)
    )
    assert probes / 10_000 == pytest.approx(PROBE_SHARE, abs=0.01)
    assert is_worth_starting(MIN_CHANCE, occupied_fraction=1.0, draw=0.99)


def test_a_small_chance_is_worth_starting_where_the_services_above_have_spare_capacity() -> None:
    """Guard against refusing requests of which a few would be served at nobody's cost."""
    assert is_worth_starting(0.001, occupied_fraction=SPARE_FRACTION, draw=0.99)
    assert not is_worth_starting(0.001, occupied_fraction=FULL_FRACTION, draw=0.99)
    middle = (SPARE_FRACTION + FULL_FRACTION) / 2
    assert is_worth_starting(0.51 * MIN_CHANCE, occupied_fraction=middle, draw=0.99)
    assert not is_worth_starting(0.49 * MIN_CHANCE, occupied_fraction=middle, draw=0.99)


# The share of a service, and what an entry makes of it.


def test_an_entry_refuses_a_chain_that_would_fail_apart_from_probes() -> None:
    daemon = daemon_with_gates(0.55, 0.5, 0.6)
    answers = [exchange.answer for exchange in ask_times(daemon, 400)]
    refused = outcomes(daemon)["low-chance"]
    assert refused / 400 == pytest.approx(1.0 - PROBE_SHARE, abs=0.03)
    # The probes find no target of `front` here, and are refused for that.
    assert outcomes(daemon)["no-target"] == 400 - refused
    for answer in answers:
        assert answer is not None
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: " in answer


def test_refused_clients_that_name_no_deadline_come_back_at_spread_times() -> None:
    """Guard against 20 ms for all of them, after which they return together and too early."""
    daemon = daemon_with_gates(0.55, 0.5, 0.6)
    answers = [exchange.answer or b"" for exchange in ask_times(daemon, 50, time_left_ms=None)]
    times = [float(answer.partition(b"Retry-After: ")[2].split()[0]) for answer in answers]
    objective_s = route().aim_s
    assert min(times) >= EARLIEST_FRACTION * objective_s - 0.001
    assert max(times) - min(times) > 0.1 * objective_s


def test_an_entry_admits_a_chain_that_would_fail_while_the_services_above_have_capacity() -> None:
    daemon = daemon_with_gates(0.55, 0.5, 0.6, front_occupied=8)
    ask_times(daemon, 50)
    assert "low-chance" not in outcomes(daemon)


def test_a_full_service_above_that_rejects_single_calls_counts_as_full() -> None:
    """Guard against admitting doomed requests because a full target above refused a call too."""
    daemon = daemon_with_gates(0.55, 0.5, 0.6)
    load = GateLoad(20, 0, 20, 3.0, None, 0.5 * MIN_SHARE)
    daemon.entry.record_load(ServiceName("front"), TargetId("f-0"), load)
    ask_times(daemon, 50)
    assert outcomes(daemon)["low-chance"] >= 40


def test_requests_that_call_the_rejecting_service_once_are_admitted() -> None:
    daemon = daemon_with_gates(0.55, 0.5, 0.6, visits=1.0)
    ask_times(daemon, 50)
    assert "low-chance" not in outcomes(daemon)


def test_a_target_s_own_call_is_never_refused_for_its_chance() -> None:
    daemon = daemon_with_gates(0.9, 0.9, is_client_route=False)
    ask_times(daemon, 50)
    assert "low-chance" not in outcomes(daemon)


@pytest.mark.parametrize("shares", [(1.0, 0.0, 0.0), (1.0, 0.0), (0.9, *[0.02] * 19)])
def test_one_bad_target_of_many_refuses_no_requests(shares: tuple[float, ...]) -> None:
    daemon = daemon_with_gates(*shares)
    ask_times(daemon, 50)
    assert "low-chance" not in outcomes(daemon)


def test_a_gate_that_stops_reporting_is_forgotten() -> None:
    daemon = daemon_with_gates(0.0, 0.0)
    report_share(daemon, 0, 0.9)
    placement = daemon.services.placement_of(STOCK)
    now = daemon.entry.now()
    report_share(daemon, 1, 0.9, age_s=0.0)
    assert service_rejected_share(placement, now=now + 0.1) == pytest.approx(0.9)
    assert service_rejected_share(placement, now=now + LOAD_LIFETIME_S + 0.1) == 0.0


def test_daemons_of_an_older_version_report_no_rejections() -> None:
    """Their gates count as taking calls, so requests are admitted as before the upgrade."""
    daemon = daemon_with_gates(0.0, 0.0, 0.55)
    placement = daemon.services.placement_of(STOCK)
    assert service_rejected_share(placement, now=daemon.entry.now()) == 0.0


def test_a_target_that_rejects_more_than_others_gets_few_calls() -> None:
    daemon = daemon_with_gates(0.55, 0.0, 0.0)
    assert _chosen(daemon, times=400)["t-0"] < 30


def test_targets_that_all_reject_share_the_calls() -> None:
    daemon = daemon_with_gates(*[0.55] * 8)
    chosen = _chosen(daemon, times=800)
    assert min(chosen[f"t-{n}"] for n in range(8)) > 60


def _chosen(daemon: MeshDaemon, *, times: int) -> Counter[TargetId]:
    placement, now, rng = daemon.services.placement_of(STOCK), daemon.entry.now(), Random(5)
    chosen: Counter[TargetId] = Counter()
    for _ in range(times):
        candidate = place(placement, "s", excluded=set(), now=now, rng=rng)
        assert candidate is not None
        chosen[candidate.record.target.target_id] += 1
    return chosen


# What a gate counts as rejected.


@pytest.mark.parametrize(
    ("status", "headers", "is_counted"),
    [
        (503, {"Not-Executed": "1"}, True),
        (421, {"Not-Executed": "1"}, False),
        (503, {"Not-Executed": "1", "Server-Leaving": "1"}, False),
        (500, {}, False),
        (200, {}, False),
    ],
)
def test_a_gate_counts_answers_of_a_target_that_rejects(
    status: int, headers: dict[str, str], is_counted: bool
) -> None:
    """Guard against counting what a target rejects because it leaves or was replaced."""

    async def scenario() -> None:
        world = MeshWorld(route(max_attempts=1))
        target = TargetStandIn(lambda seen: seen.answer(status, **headers))
        daemon = await world.add(target)
        await world.settle()
        client = Client(daemon)
        await client.ask()
        assert (daemon.gate.rejected_share() > 0.0) is is_counted
        await world.close()

    in_loop(scenario)


# Reports.


def test_other_daemons_learn_when_rejections_start_and_end() -> None:
    async def scenario() -> None:
        world = MeshWorld(route(max_attempts=1))
        is_rejecting = True

        def behave(seen: SeenRequest) -> None:
            if is_rejecting:
                seen.answer(503, Not_Executed="1")
            else:
                seen.answer()

        near = await world.add(TargetStandIn(behave))
        far = await world.add(zone="b")
        await world.settle()
        client = Client(near)

        def share() -> float:
            return far.services.rejected_share_by_service(now=far.now()).get(STOCK, 0.0)

        for _ in range(20):
            await client.ask()
        await eventually(lambda: share() > 0.5)
        is_rejecting = False
        for _ in range(60):
            await client.ask()
        await eventually(lambda: share() < 0.1)
        await world.close()

    in_loop(scenario)


def test_a_changed_share_is_relayed_without_waiting_for_the_next_report() -> None:
    reporter = daemon_at_rest().reporter
    for share, is_urgent in ((0.05, False), (0.5, True), (0.55, False), (0.2, True), (0.0, True)):
        reporter.is_relay_urgent = False
        reporter.queue_load(TargetId("t-9"), GateLoad(0, 0, 20, 3.0, None, share), now=1.0)
        assert reporter.is_relay_urgent is is_urgent, share
    assert not reporter.relayed_share_by_target


def test_daemons_of_a_large_fleet_know_within_half_a_second_that_rejections_ended() -> None:
    """Guard against shares that wait for reports and relays, which take a second."""

    async def scenario(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone={"a": 14, "b": 13, "c": 13})
        await fleet.start()
        world = ReportingWorld(fleet)
        await world.start()
        service = ServiceName("stock-0")

        def shares() -> list[float]:
            daemons = [vm.daemon for vm in fleet.vm_by_name.values() if vm.daemon is not None]
            return [
                daemon.services.rejected_share_by_service(now=fleet.now).get(service, 0.0)
                for daemon in daemons
            ]

        per_s = 50.0 * len(fleet.vm_by_name)
        await world.load(per_s=per_s, lasts_s=1.0)
        assert max(shares()) == 0.0
        for target in world.target_by_vm.values():
            target.rejected_share = 0.55
        await world.load(per_s=per_s, lasts_s=0.5)
        known_after = shares()
        await world.load(per_s=per_s, lasts_s=2.0)
        lasting = shares()
        for target in world.target_by_vm.values():
            target.rejected_share = 0.0
        await world.load(per_s=per_s, lasts_s=0.5)
        print(f"after 0.5 s {min(known_after)} to {max(known_after)}")
        print(f"lasting {min(lasting)} to {max(lasting)}, 0.5 s after the end {max(shares())}")
        assert min(known_after) > 0.3
        assert min(lasting) > 0.45
        assert max(lasting) < 0.65
        assert chance_of({service: 4.0}, {service: max(shares())}).chance >= MIN_CHANCE

    in_virtual_time(scenario)


ROUTE = RouteName("r")


# Unknown call chains at the start.


@pytest.mark.parametrize("seed", SEEDS)
def test_a_surge_in_the_first_second_throws_fewer_requests_away(seed: int) -> None:
    before = surge_in_the_first_second(strict_when_unknown=False, seed=seed)
    after = surge_in_the_first_second(strict_when_unknown=True, seed=seed)
    for name, surge in (("before", before), ("after", after)):
        print(
            f"seed {seed} {name}: {total(surge, 'thrown_away'):.0f} thrown away,"
            f" {total(surge, 'whole'):.0f} whole, {len(surge.shed_shallow_at)} shallow refused"
        )
    assert total(after, "thrown_away") <= 0.5 * total(before, "thrown_away")
    first_at = after.chain.first_requested_at[RouteName("NORMAL 0")]
    assert max(after.shed_shallow_at) - first_at < UNKNOWN_S


STEP = Step(ROUTE, ServiceName("front"))
ROWS = (CallsBelow("front", "r", "stock", "s", 4.0),)


def _chain_requested_at_once() -> ChainState:
    chain = ChainState()
    record_request(chain, ROUTE, now=0.0)
    return chain


def test_a_chain_is_unknown_for_two_seconds_or_until_its_calls_are_reported() -> None:
    chain = _chain_requested_at_once()
    assert is_unknown(chain, STEP, now=1.9)
    assert not is_unknown(chain, STEP, now=2.1)
    record_rows(chain, "vm-2", (CallsBelow("back", "other", "stock", "s", 1.0),))
    assert is_unknown(chain, STEP, now=1.0)
    record_rows(chain, "vm-2", ROWS)
    assert not is_unknown(chain, STEP, now=1.0)


def test_reported_calls_count_at_once() -> None:
    """Guard against visits computed before the first report, which were kept for a second."""
    chain = _chain_requested_at_once()
    assert visits_of(chain, STEP, now=0.1) == {"front": 1.0}
    record_rows(chain, "vm-2", ROWS)
    assert visits_of(chain, STEP, now=0.2) == {"front": 1.0, "stock": 4.0}


def test_a_daemon_that_restores_learned_calls_knows_its_chains() -> None:
    chain = _chain_requested_at_once()
    restore_learned_calls(LearnedCalls(), chain, Origins(now=0.0))
    assert is_unknown(chain, STEP, now=0.1)
    other_route = (CallsBelow("back", "other", "stock", "s", 1.0),)
    restore_learned_calls(LearnedCalls(other_route), chain, Origins(now=0.0))
    assert not is_unknown(chain, STEP, now=0.1)


@pytest.mark.parametrize(("earlier_ms", "is_learned"), [(10_000, True), (200, False)])
def test_a_daemon_that_restarts_among_others_knows_its_chains(
    earlier_ms: int, is_learned: bool
) -> None:
    """Guard against refusing requests that make no calls after each restart of one daemon."""
    daemon = daemon_at_rest(started_ms=20_000)
    peer = member("vm-2", started_ms=20_000 - earlier_ms)
    daemon.membership.record_by_vm[peer.vm] = peer
    report = Report(StatusUpdate(1, False, None), ROWS, ServiceName("front"), ())
    daemon.peers._record_calls_below(peer.vm, report)
    assert daemon.entry.chain.is_learned is is_learned


def _daemon_with_unknown_chain(*, is_client_route: bool) -> MeshDaemon:
    daemon = daemon_with_gates(0.0, is_client_route=is_client_route)
    daemon.entry.chain = ChainState()
    report_share(daemon, 0, 0.0, level=0.0)
    return daemon


def test_a_request_of_an_unknown_chain_counts_as_visiting_every_service() -> None:
    daemon = _daemon_with_unknown_chain(is_client_route=True)
    ask_times(daemon, 5)
    assert outcomes(daemon) == {"shed": 5}


def test_a_call_that_isn_t_recognized_yet_is_not_shed_for_another_service() -> None:
    daemon = _daemon_with_unknown_chain(is_client_route=False)
    ask_times(daemon, 5)
    assert outcomes(daemon) == {"no-target": 5}


def test_a_request_of_an_unknown_chain_is_admitted_without_overload() -> None:
    daemon = _daemon_with_unknown_chain(is_client_route=True)
    report_share(daemon, 0, 0.0)
    ask_times(daemon, 5)
    assert outcomes(daemon) == {"no-target": 5}


# Waiting at a gate.


def test_a_call_that_can_t_finish_is_refused_as_too_late() -> None:
    """Guard against slots that are held by calls whose time ends while they run."""
    gate = gate_with_runs(seconds=0.5)
    results: list[CallResult] = []
    gate.submit(call_of(time_left_ms=290), results.append)
    (result,) = results
    assert isinstance(result, Unanswered)
    assert (result.kind, result.has_begun) == (ErrorKind.TOO_LATE, False)


def test_a_call_waits_until_it_can_t_finish_any_more() -> None:
    gate = gate_with_runs(seconds=0.5, slots=1)
    gate.slots.running.add(CallId(RequestId("other"), 0))
    results: list[CallResult] = []
    gate.submit(call_of(time_left_ms=2_000), results.append)
    assert not expire(gate.slots, now=1.0 + 1.69)
    (refusal,) = expire(gate.slots, now=1.0 + 1.71)
    assert isinstance(refusal, Refuse)
    assert refusal.kind is ErrorKind.TOO_LATE


def test_calls_of_a_route_with_few_runs_may_start_late() -> None:
    gate = gate_with_runs(seconds=0.5, slots=1)
    gate.slots.running.add(CallId(RequestId("other"), 0))
    results: list[CallResult] = []
    gate.submit(call_of(time_left_ms=50, route_name="rare stock"), results.append)
    assert not results


def test_a_route_whose_calls_are_all_refused_is_tried_again() -> None:
    """Guard against a gate that refuses a route for good after its target was slow."""
    times = RunTimes()
    for _ in range(20):
        record_run(times, "r", 3.0, now=0.0)
    assert min_time_s(times, "r", now=0.0) == pytest.approx(1.8)
    assert min_time_s(times, "r", now=6.0) < 0.25


def test_a_fast_run_after_a_pause_keeps_a_route_admitted() -> None:
    """Guard against a first fast run that brings back the run time from before the pause."""
    times = RunTimes()
    for _ in range(20):
        record_run(times, "r", 3.0, now=0.0)
    record_run(times, "r", 0.1, now=6.0)
    assert min_time_s(times, "r", now=6.0) < 0.25


def test_a_slow_run_after_a_pause_confirms_the_run_time_from_before() -> None:
    """Guard against rare calls that are started too late because their run time has faded."""
    times = RunTimes()
    for number in range(20):
        record_run(times, "r", 3.0, now=6.0 * number)
    assert min_time_s(times, "r", now=6.0 * 19) == pytest.approx(1.8)


def test_the_run_times_of_routes_are_kept_apart_and_bounded() -> None:
    times = RunTimes()
    for number in range(2 * MAX_ROUTES):
        record_run(times, f"r{number}", 1.0, now=0.0)
    assert len(times.run_time_by_route) == MAX_ROUTES
    assert min_time_s(times, "r0", now=0.0) == 0.0


def test_only_answers_count_as_runs() -> None:
    """Guard against short rejections that make a route look fast."""

    async def scenario() -> None:
        world = MeshWorld(route(max_attempts=1))
        answers = iter([(503, {"Not-Executed": "1"}), (500, {}), (200, {})])

        def behave(seen: SeenRequest) -> None:
            status, headers = next(answers)
            seen.answer(status, **headers)

        daemon = await world.add(TargetStandIn(behave))
        await world.settle()
        client = Client(daemon)
        for _ in range(3):
            await client.ask()
        assert daemon.gate.run_times.run_time_by_route["r stock"].runs == 1
        await world.close()

    in_loop(scenario)


def _max_wait_ms(*, latency_s: float | None, is_call: bool = False) -> int:
    channel = RecordingChannel()
    daemon = daemon_with_recording_channel(channel)
    if is_call:
        daemon.entry.origins.call_routes = frozenset({ROUTE})
    (candidate,) = daemon.services.placement_of(STOCK).candidates
    if latency_s is not None:
        candidate.latency_by_kind[ROUTE] = latency_s
    ask_times(daemon, 1)
    return channel.calls[0].max_wait_ms


@pytest.mark.parametrize(
    ("latency_s", "is_call", "expected_ms"),
    [(None, False, 300), (0.2, False, 700), (0.9, False, 300), (0.9, True, 2_000)],
    ids=["unknown", "short", "long", "target's call"],
)
def test_a_request_waits_as_long_as_its_objective_and_time_allow(
    latency_s: float | None, is_call: bool, expected_ms: int
) -> None:
    found_ms = _max_wait_ms(latency_s=latency_s, is_call=is_call)
    assert found_ms == pytest.approx(expected_ms, abs=1)
