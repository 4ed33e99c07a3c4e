"""The routing benchmark meets its stated targets at a fixed seed."""

import pytest
from benchmarks._fake_service import Fault
from benchmarks.routing import fleet_connections, run_case, shortfalls


@pytest.mark.parametrize("fault", [Fault.FAILING, Fault.LYING, Fault.LOST])
def test_calls_avoid_faulty_targets(fault: Fault) -> None:
    assert shortfalls([run_case(fault, "daisywharf", seed=1)], []) == []


def test_the_check_finds_the_shortfalls_of_random_choice() -> None:
    case = run_case(Fault.FAILING, "random", seed=1)
    case = type(case)(
        case.fault, "daisywharf", case.calm, case.first_second, case.later, case.later
    )
    assert len(shortfalls([case], [])) >= 2


@pytest.mark.parametrize("vms", [30, 300])
def test_connections_stay_under_the_announced_number(vms: int) -> None:
    assert shortfalls([], [fleet_connections(vms, is_wide=True)]) == []
