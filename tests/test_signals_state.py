"""Size of a daemon's snapshot of a fleet of 3,000 daemons, and which changes rebuild it.

A change of demand alone must not rebuild it.
"""

import pytest
from benchmarks import state
from benchmarks.state import StateFigures

from daisywharf._fleet._messages import Scope, ZoneDemand
from daisywharf._fleet._services import view_version
from daisywharf._fleet._store import drop, put
from daisywharf._ids import VmId, ZoneName
from daisywharf._limits import MAX_FRAME_BYTES


@pytest.fixture(scope="module")
def figures() -> StateFigures:
    """Build one daemon's view of 3,000 daemons."""
    return state.measure(daemons=3_000, zones=15, services=220, customers=50)


def test_a_snapshot_of_the_whole_fleet_fits_in_a_frame(figures: StateFigures) -> None:
    assert figures.whole_frame_kb * state.BYTES_PER_KB < MAX_FRAME_BYTES


def test_the_view_takes_a_small_part_of_the_memory_allowance(figures: StateFigures) -> None:
    assert figures.view_kb + figures.snapshot_kb < 32_000 / 4


def test_demand_alone_changes_no_view_that_callers_see() -> None:
    view = state.build_state(daemons=30, zones=3, services=5, customers=2)
    before = view_version(view)
    demand = state.DemandSource(view, peers=10)
    put(view.store_by_scope[Scope.DEMAND], demand.records()[0], copies=0)
    zone_demand = ZoneDemand(ZoneName("zone-01"), 1, VmId("vm-01-0000"), ())
    put(view.store_by_scope[Scope.SUMMARIES], zone_demand, copies=0)
    assert view_version(view) == before


def test_a_target_that_is_new_or_gone_changes_the_view() -> None:
    view = state.build_state(daemons=30, zones=3, services=5, customers=2)
    members = view.store_by_scope[Scope.MEMBERS]
    record = next(iter(members.record_by_key.values()))
    versions = [view_version(view)]
    put(members, record, copies=0)
    versions.append(view_version(view))
    drop(members, record.key)
    versions.append(view_version(view))
    drop(members, record.key)
    versions.append(view_version(view))
    assert len(set(versions)) == 3
    assert versions[2] == versions[3]
