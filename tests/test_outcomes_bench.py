"""The outcomes benchmark meets its targets in small fixed cases."""

from typing import Any

import pytest
from benchmarks._outcomes_faults import FAULT_BY_NAME
from benchmarks.outcomes import run

from daisywharf._outcomes import _call_events, _once, _resolution

BAD_FIGURES = (
    "ran_twice",
    "ran_after_not_run",
    "wrong_answers",
    "cut_answers",
    "cut_by_shutdown",
    "outcome_unknown_untraced",
)
ORDERS = 3_000


@pytest.mark.parametrize("seed", [1, 2])
def test_no_order_goes_wrong_under_all_faults(seed: int) -> None:
    report = run(orders=ORDERS, seed=seed, faults=list(FAULT_BY_NAME))
    assert [name for name in BAD_FIGURES if report[name]] == []


def test_silent_links_alone_lose_at_most_one_answer_in_a_thousand() -> None:
    report = run(orders=ORDERS, seed=3, faults=["silent"])
    assert report["answered_whole"] >= 0.999 * ORDERS
    assert [name for name in BAD_FIGURES if report[name]] == []


def test_the_same_seed_gives_the_same_figures() -> None:
    first, second = (run(orders=300, seed=4, faults=list(FAULT_BY_NAME)) for _ in range(2))
    assert first == second


def _always_run(*_: Any) -> Any:
    return _once.RunNow()


def _deliver(state: Any, event: Any) -> Any:
    return _resolution._end(state, _call_events.Deliver(event.answer))


@pytest.mark.parametrize(
    ("module", "attribute", "mutant", "figure"),
    [
        (_once, "_decide_resend", _always_run, "ran_twice"),
        (_resolution, "_handle_answer", _deliver, "cut_answers"),
    ],
)
def test_the_ledger_sees_a_broken_protection(
    module: Any, attribute: str, mutant: Any, figure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, attribute, mutant)
    assert run(orders=ORDERS, seed=1, faults=["lost", "silent"])[figure] > 0
