"""Outcomes of the calls of a small trace."""

import msgspec
import pytest

from builders_replay import BROWSE, CONTRACT, ORDER, build_call, build_calls, build_trace
from daisywharf._contracts._schema import WrittenClass, WrittenContract, contract_of
from daisywharf._errors import ErrorKind
from daisywharf._ids import Version
from daisywharf._replay import _run
from daisywharf._replay._run import replay_trace
from daisywharf._replay._trace import SilentLine, SlowLine


def contract_with(written_class: WrittenClass) -> WrittenContract:
    return WrittenContract("builders", (written_class,))


def test_calls_within_the_contract_are_answered_whole() -> None:
    ends = replay_trace(build_trace(build_calls(100))).ends
    assert len(ends) == 100
    assert {end.kind for end in ends} == {None}
    assert all(0.03 < end.latency_s < 0.5 for end in ends)


def test_the_same_trace_replays_to_the_same_ends() -> None:
    trace = build_trace(build_calls(300, period_s=0.004))
    assert replay_trace(trace) == replay_trace(trace)


def test_calls_beyond_the_rate_are_refused_at_the_entry() -> None:
    slow = msgspec.structs.replace(ORDER, rate_per_second=5.0, burst=1.0)
    ends = replay_trace(build_trace(build_calls(100), contract=contract_with(slow))).ends
    refused = [end for end in ends if end.kind is ErrorKind.RATE_EXCEEDED]
    assert len(refused) == pytest.approx(75, abs=3)


def test_a_contract_from_a_file_replaces_the_recorded_one() -> None:
    slow = msgspec.structs.replace(ORDER, rate_per_second=5.0, burst=1.0)
    replacement = contract_of(contract_with(slow), Version(1))
    ends = replay_trace(build_trace(build_calls(100)), [replacement]).ends
    assert sum(end.kind is ErrorKind.RATE_EXCEEDED for end in ends) >= 70


@pytest.mark.parametrize(
    ("contract", "kind"),
    [
        (WrittenContract("others", CONTRACT.classes), ErrorKind.UNKNOWN_CUSTOMER),
        (contract_with(BROWSE), ErrorKind.NOT_IN_CONTRACT),
        (
            contract_with(msgspec.structs.replace(ORDER, services=("stock",))),
            ErrorKind.NOT_IN_CONTRACT,
        ),
    ],
)
def test_calls_outside_every_contract_are_refused(
    contract: WrittenContract, kind: ErrorKind
) -> None:
    ends = replay_trace(build_trace(build_calls(3), contract=contract)).ends
    assert {end.kind for end in ends} == {kind}


def test_a_repeated_order_gets_the_first_run_s_answer_and_runs_once() -> None:
    calls = [build_call(0, at_s, request="r") for at_s in (0.0, 0.01, 2.0)]
    result = replay_trace(build_trace(calls))
    assert [end.kind for end in result.ends] == [None, ErrorKind.STILL_RUNNING, None]
    assert [end.is_resend for end in result.ends] == [False, True, True]
    assert result.ran_twice == 0


@pytest.mark.parametrize("name", ["order", "browse"])
def test_silent_links_delay_calls_by_seconds_but_neither_lose_nor_rerun_any(name: str) -> None:
    calls = build_calls(100, period_s=0.1, name=name)
    silences = (SilentLine(at_s=2.0, target="stock-0"),)
    result = replay_trace(build_trace(calls, silences=silences))
    assert {end.kind for end in result.ends} == {None}
    assert result.ran_twice == 0
    slow = [end for end in result.ends if end.latency_s > 0.5]
    assert slow
    assert all(1.0 < end.at_s < 4.0 and end.latency_s < 2.5 for end in slow)


def test_calls_are_slow_while_a_service_is_slow() -> None:
    slowings = (SlowLine(at_s=2.0, until_s=3.0, service="stock", factor=10.0),)
    ends = replay_trace(build_trace(build_calls(120), slowings=slowings)).ends
    during = [end.latency_s for end in ends if 2.2 <= end.at_s < 2.8 and end.kind is None]
    before = [end.latency_s for end in ends if end.at_s < 1.8]
    assert min(during, default=1.0) > max(before)


def test_no_request_takes_more_retries_than_its_class_allows() -> None:
    calls = build_calls(800, period_s=0.001, name="browse")
    ends = replay_trace(build_trace(calls)).ends
    assert any(end.kind is not None for end in ends)
    assert all(end.retries <= BROWSE.retries for end in ends)


def test_reruns_are_counted_when_no_record_prevents_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_run, "begin_run", lambda _records, _line, admitted, *, now: admitted)
    calls = [build_call(0, at_s, request="r") for at_s in (0.0, 0.01, 2.0)]
    assert replay_trace(build_trace(calls)).ran_twice == 4


def test_an_order_that_failed_below_the_first_target_is_not_run_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The links to all targets of stock go silent in turn: a call lost on one of them is retried
    # on links that are silent as well, and fails below the first target.
    silences = [
        SilentLine(at_s=2.0 + number * 0.5, target=f"stock-{number}") for number in range(3)
    ]
    trace = build_trace(build_calls(60, period_s=0.1), silences=tuple(silences))
    assert replay_trace(trace).ran_twice == 0
    lax_rules = msgspec.structs.replace(_run.REAL_RULES, marks_failure_below=False)
    monkeypatch.setattr(_run, "REAL_RULES", lax_rules)
    assert replay_trace(trace).ran_twice > 0
