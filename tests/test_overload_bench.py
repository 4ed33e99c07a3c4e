"""The overload benchmark meets its stated targets in a small fixed set of runs."""

from functools import cache

import msgspec
import pytest
from benchmarks._overload_figures import Figures, figures_of, worst_customer_loss
from benchmarks._overload_observations import Observations
from benchmarks._overload_run import Scenario, load_of, run
from benchmarks._overload_world import KARRI_RIDGE, SCHELDEZAND

from daisywharf._ids import ServiceName

MIN_GOODPUT_RATIO = 0.95
MIN_IMPORTANT_SUCCESS_RATIO = 0.999
MAX_WASTED_WORK_RATIO = 0.02
MAX_REFUSAL_DELAY_MS = 1.0
MAX_ATTEMPTS_PER_CALL = 1.1
MAX_RETRIES = 3
MAX_CUSTOMER_LOSS_RATIO = 0.02
MAX_RECOVERY_S_BY_NAME = {"karri-ridge": 2.0, "scheldezand": 1.0}

SHORT = Scenario(deployment=KARRI_RIDGE, surge_s=2.0, before_s=3.5, after_s=4.5)
SCENARIO_BY_NAME = {
    "karri-ridge-surge-3": msgspec.structs.replace(SHORT, surge=3.0, seed=21),
    "karri-ridge-slow-stock": msgspec.structs.replace(
        SHORT, surge=2.0, slow_service=ServiceName("stock"), slow_factor=1.5, seed=22
    ),
    "scheldezand-surge-6": msgspec.structs.replace(
        SHORT, deployment=SCHELDEZAND, surge=6.0, client_retries=1, heed=0.0, seed=23
    ),
    "scheldezand-deep": msgspec.structs.replace(
        SHORT, deployment=SCHELDEZAND, surge=2.0, depth=7, heed=1.0, seed=24
    ),
}

each_scenario = pytest.mark.parametrize("name", SCENARIO_BY_NAME)


@cache
def observations_of(scenario: Scenario) -> Observations:
    return run(scenario)


def figures(name: str) -> Figures:
    scenario = SCENARIO_BY_NAME[name]
    return figures_of(scenario, load_of(scenario), observations_of(scenario))


@each_scenario
def test_goodput_stays_near_what_capacity_allows(name: str) -> None:
    assert figures(name).goodput_ratio >= MIN_GOODPUT_RATIO


@each_scenario
def test_important_requests_succeed(name: str) -> None:
    assert figures(name).important_fits
    assert figures(name).important_success_ratio >= MIN_IMPORTANT_SUCCESS_RATIO


@each_scenario
def test_no_gate_refuses_a_request_while_it_admits_a_less_important_one(name: str) -> None:
    assert figures(name).priority_inversions == 0


@each_scenario
def test_service_is_normal_soon_after_the_surge(name: str) -> None:
    deployment_name = SCENARIO_BY_NAME[name].deployment.name
    assert figures(name).recovery_seconds <= MAX_RECOVERY_S_BY_NAME[deployment_name]


@each_scenario
def test_little_work_is_wasted(name: str) -> None:
    assert figures(name).wasted_work_ratio <= MAX_WASTED_WORK_RATIO


@each_scenario
def test_refusals_are_sent_at_once(name: str) -> None:
    assert figures(name).refusal_delay_ms <= MAX_REFUSAL_DELAY_MS


def test_with_everything_failing_calls_are_hardly_retried() -> None:
    scenario = msgspec.structs.replace(SHORT, surge=1.5, failing=1.0, surge_s=4.0, after_s=1.0)
    observations = observations_of(scenario)
    attempts = (observations.first_calls + observations.retried_calls) / observations.first_calls
    assert attempts <= MAX_ATTEMPTS_PER_CALL
    assert max(result.send.retries for result in observations.results) <= MAX_RETRIES


def test_a_greedy_customer_costs_the_others_little() -> None:
    scenario = msgspec.structs.replace(SCENARIO_BY_NAME["karri-ridge-surge-3"], surge_s=4.0)
    greedy = msgspec.structs.replace(scenario, greedy=4.0)
    loss = worst_customer_loss(scenario, observations_of(scenario), observations_of(greedy))
    assert loss <= MAX_CUSTOMER_LOSS_RATIO


def test_the_same_seed_gives_the_same_figures() -> None:
    sizes = [msgspec.structs.replace(size, slots=5) for size in KARRI_RIDGE.sizes]
    small = msgspec.structs.replace(KARRI_RIDGE, sizes=tuple(sizes))
    scenario = msgspec.structs.replace(SHORT, deployment=small, before_s=0.5, after_s=0.5)
    ends = [[(r.kind, r.ended_at) for r in run(scenario).results] for _ in range(2)]
    assert ends[0] == ends[1]
