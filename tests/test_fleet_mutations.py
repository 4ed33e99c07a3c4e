"""Check that the state machines detect deliberately broken rules."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from tests.test_fleet_machine import SETTINGS, RecordsMachine, SharesMachine

from daisywharf._fleet import _merging, _shares

EXAMPLES = 40


def finds_failure(machine: type[RuleBasedStateMachine]) -> bool:
    """Return whether a machine finds a violation; skips shrinking, which isn't needed."""
    machine_settings = settings(SETTINGS, phases=[Phase.generate], max_examples=EXAMPLES)
    try:
        run_state_machine_as_test(machine, settings=machine_settings)  # type: ignore[no-untyped-call]
    except (AssertionError, ExceptionGroup):
        return True
    return False


def test_a_merge_that_takes_older_records_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_merging, "is_newer", lambda store, record: True)
    assert finds_failure(RecordsMachine)


def test_shares_without_holds_are_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("HOLD_IN_ZONE_S", "HOLD_PER_DAEMON_S", "HOLD_ACROSS_ZONES_S", "FRACTION_HOLD_S"):
        monkeypatch.setattr(_shares, name, 0.0)
    assert finds_failure(SharesMachine)


def test_giving_away_a_cut_off_zones_fraction_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_shares, "_reserved_fraction", lambda state, zone, key: 0.0)
    assert finds_failure(SharesMachine)
