"""Admission at a gate: which calls are admitted, queued and refused."""

from builders_overload import (
    build_busy_level,
    build_context,
    build_gate,
    build_id,
    find_number,
    run_requests,
)
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._overload._actions import Admit, Enqueue, Refuse
from daisywharf._overload._admission import (
    AdmissionState,
    answer_level,
    cancel,
    finish,
    offer,
    resume,
    start_draining,
    suspend,
    tick,
)


def test_a_call_without_a_slot_waits_until_one_is_free() -> None:
    state = build_gate(1)
    assert offer(state, build_id(1), build_context(1), now=0.0) == [Admit(build_id(1))]
    assert offer(state, build_id(2), build_context(2), now=0.0) == [Enqueue(build_id(2))]
    assert finish(state, build_id(1), now=0.1, succeeded=True) == [Admit(build_id(2))]


def test_the_most_important_waiting_call_starts_first() -> None:
    state = build_gate(1)
    offer(state, build_id(1), build_context(1), now=0.0)
    offer(state, build_id(2), build_context(2, Importance.LOW), now=0.0)
    offer(state, build_id(3), build_context(3, Importance.CRITICAL), now=0.001)
    assert finish(state, build_id(1), now=0.002, succeeded=True) == [Admit(build_id(3))]


def test_the_newest_starts_first_once_calls_have_waited_long() -> None:
    state = build_gate(1)
    for number in (1, 2, 3):
        offer(state, build_id(number), build_context(number), now=0.0)
    assert finish(state, build_id(1), now=0.5, succeeded=True) == [Admit(build_id(3))]


def test_a_full_queue_refuses_its_least_important_call() -> None:
    state = build_gate(1)
    for number in (1, 2, 3):
        offer(state, build_id(number), build_context(number, Importance.LOW), now=0.0)
    actions = offer(state, build_id(4), build_context(4, Importance.HIGH), now=0.0)
    refused = [action.call_id for action in actions if isinstance(action, Refuse)]
    assert refused == [build_id(2)]
    assert Enqueue(build_id(4)) in actions


def test_a_call_that_cannot_end_in_time_is_refused_at_once() -> None:
    state = build_gate(2)
    for number in range(5):
        offer(state, build_id(number), build_context(number), now=0.0)
        finish(state, build_id(number), now=1.0, succeeded=True)
    late = offer(state, build_id(9), build_context(9, deadline=1.3), now=1.0)
    assert late == [Refuse(build_id(9), ErrorKind.TOO_LATE, 0.0)]


def test_a_waiting_call_is_refused_once_its_deadline_has_passed() -> None:
    state = build_gate(1)
    offer(state, build_id(1), build_context(1), now=0.0)
    offer(state, build_id(2), build_context(2, deadline=0.5), now=0.0)
    assert tick(state, now=0.4) == []
    assert tick(state, now=0.51) == [Refuse(build_id(2), ErrorKind.TOO_LATE, 0.0)]


def test_a_cancelled_call_leaves_the_queue() -> None:
    state = build_gate(1)
    offer(state, build_id(1), build_context(1), now=0.0)
    offer(state, build_id(2), build_context(2), now=0.0)
    offer(state, build_id(3), build_context(3), now=0.0)
    cancel(state, build_id(2), now=0.01)
    assert finish(state, build_id(1), now=0.02, succeeded=True) == [Admit(build_id(3))]


def test_a_call_that_waits_for_a_downstream_call_releases_its_slot() -> None:
    state = build_gate(1)
    offer(state, build_id(1), build_context(1), now=0.0)
    offer(state, build_id(2), build_context(2), now=0.0)
    assert suspend(state, build_id(1), now=0.01) == [Admit(build_id(2))]
    resume(state, build_id(1), now=0.02)
    assert finish(state, build_id(1), now=0.03, succeeded=True) == []
    assert set(state.in_flight_by_id) == {build_id(2)}


def test_a_draining_gate_refuses_waiting_and_arriving_calls() -> None:
    state = build_gate(1)
    offer(state, build_id(1), build_context(1), now=0.0)
    offer(state, build_id(2), build_context(2), now=0.0)
    assert [action.call_id for action in start_draining(state, now=0.1)] == [build_id(2)]
    (refusal,) = offer(state, build_id(3), build_context(3), now=0.1)
    assert isinstance(refusal, Refuse) and refusal.kind is ErrorKind.DRAINING


def test_an_entry_refuses_only_what_the_downstream_level_refuses() -> None:
    state = build_gate(100)
    low = build_busy_level(1.5, rank=2.0)
    run_requests(state, Importance.LOW, below=low, start=0.0, count=50)
    run_requests(state, Importance.HIGH, below=low, start=0.5, count=50)
    assert _kind_of(state, 1, Importance.LOW, now=1.01) is ErrorKind.SHED
    assert _kind_of(state, 2, Importance.HIGH, now=1.01) is None


def test_a_level_that_is_not_reported_again_expires() -> None:
    state = build_gate(100)
    run_requests(state, Importance.LOW, below=build_busy_level(1.5, rank=2.0), start=0.0, count=100)
    for step in range(300):
        tick(state, now=1.0 + step * 0.01)
    assert _kind_of(state, 1, Importance.LOW, now=4.0) is None


def test_an_admitted_request_is_not_refused_by_a_level_downstream() -> None:
    state = build_gate(100)
    run_requests(state, Importance.LOW, below=build_busy_level(3.0, rank=0.5), start=0.0, count=50)
    number = find_number(above=0.9)
    context = build_context(number, Importance.LOW, depth=2)
    assert offer(state, build_id(number), context, now=0.5) == [Admit(build_id(number))]


def test_an_overloaded_gate_sheds_the_least_important_demand() -> None:
    state = build_gate(2)
    for number in range(400):
        now = number * 0.005
        importance = Importance.LOW if number % 2 else Importance.CRITICAL
        offer(state, build_id(number), build_context(number, importance), now=now)
        for call_id in list(state.in_flight_by_id)[:1] if number % 2 else []:
            finish(state, call_id, now=now, succeeded=True)
    level = answer_level(state, now=2.0)
    assert level.load > 1.0
    assert level.refuses(Importance.LOW, 60_000)
    assert not level.refuses(Importance.CRITICAL, 0)


def test_refused_callers_are_told_to_resend_at_different_times() -> None:
    state = build_gate(1)
    times = []
    for number in range(300):
        actions = offer(state, build_id(number), build_context(number), now=0.0)
        times += [action.retry_after_s for action in actions if isinstance(action, Refuse)]
    assert min(times) >= 1.0
    assert max(times) <= 31.0
    assert len({round(time) for time in times}) > 20


def _kind_of(
    state: AdmissionState, number: int, importance: Importance, *, now: float
) -> ErrorKind | None:
    context = build_context(number, importance, depth=0)
    actions = offer(state, build_id(number), context, now=now)
    kinds = [a.kind for a in actions if isinstance(a, Refuse) and a.call_id == build_id(number)]
    return kinds[0] if kinds else None
