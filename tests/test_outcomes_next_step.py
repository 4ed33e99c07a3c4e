"""What follows an attempt: non-idempotent requests run once, and refused ones haven't run."""

from hypothesis import given
from hypothesis import strategies as st

from daisywharf._outcomes._next_step import (
    MAX_GATES_TRIED,
    AttemptEnd,
    NextStep,
    Progress,
    next_step,
    record_end,
    step_without_retry,
)

RAN = (AttemptEnd.ANSWERED, AttemptEnd.FAILED_BY_TARGET, AttemptEnd.OUTCOME_UNKNOWN)


class RequestHistory:
    """Hold a request's history: the ends of its attempts, and its final step."""

    def __init__(self) -> None:
        self.ends: list[AttemptEnd] = []
        self.final: NextStep | None = None


def _run_attempts(
    ends: list[AttemptEnd], *, is_idempotent: bool, max_attempts: int, has_budget: bool
) -> RequestHistory:
    """End attempts in these ways until the request gets its final answer; return its history."""
    progress, history = Progress(), RequestHistory()
    for end in ends:
        history.ends.append(end)
        record_end(progress, end)
        step = next_step(
            progress,
            end,
            is_idempotent=is_idempotent,
            max_attempts=max_attempts,
            time_left_s=1.0,
        )
        if step is NextStep.REPEAT and not has_budget:
            step = step_without_retry(progress, end)
        if step not in (NextStep.REPEAT, NextStep.ANOTHER_GATE):
            history.final = step
            break
    return history


ENDS = st.lists(st.sampled_from(AttemptEnd), min_size=1, max_size=12)


@given(
    ends=ENDS, is_idempotent=st.booleans(), max_attempts=st.integers(1, 4), has_budget=st.booleans()
)
def test_only_requests_that_have_not_run_are_refused(
    ends: list[AttemptEnd], is_idempotent: bool, max_attempts: int, has_budget: bool
) -> None:
    history = _run_attempts(
        ends, is_idempotent=is_idempotent, max_attempts=max_attempts, has_budget=has_budget
    )
    if history.final is NextStep.REFUSE:
        assert not any(end in RAN for end in history.ends)


@given(ends=ENDS, max_attempts=st.integers(1, 4))
def test_a_non_idempotent_request_is_never_sent_again_after_it_may_have_run(
    ends: list[AttemptEnd], max_attempts: int
) -> None:
    history = _run_attempts(ends, is_idempotent=False, max_attempts=max_attempts, has_budget=True)
    assert not any(end in RAN for end in history.ends[:-1])


@given(ends=ENDS, is_idempotent=st.booleans(), max_attempts=st.integers(1, 4))
def test_attempts_and_gates_are_bounded(
    ends: list[AttemptEnd], is_idempotent: bool, max_attempts: int
) -> None:
    history = _run_attempts(
        ends, is_idempotent=is_idempotent, max_attempts=max_attempts, has_budget=True
    )
    refused = history.ends.count(AttemptEnd.REFUSED_BY_GATE)
    assert refused <= MAX_GATES_TRIED
    assert len(history.ends) - refused <= max_attempts


def test_a_ready_answer_is_passed_on_whatever_time_is_left() -> None:
    progress = Progress()
    record_end(progress, AttemptEnd.ANSWERED)
    step = next_step(
        progress, AttemptEnd.ANSWERED, is_idempotent=False, max_attempts=1, time_left_s=-1.0
    )
    assert step is NextStep.PASS_ON


def test_a_request_turned_away_after_it_may_have_run_is_a_failure() -> None:
    history = _run_attempts(
        [AttemptEnd.OUTCOME_UNKNOWN, AttemptEnd.TURNED_AWAY_BY_TARGET],
        is_idempotent=True,
        max_attempts=2,
        has_budget=True,
    )
    assert history.final is NextStep.FAIL


def test_a_retry_that_can_t_end_in_time_isn_t_started() -> None:
    progress = Progress()
    record_end(progress, AttemptEnd.OUTCOME_UNKNOWN)
    step = next_step(
        progress,
        AttemptEnd.OUTCOME_UNKNOWN,
        is_idempotent=True,
        max_attempts=3,
        time_left_s=0.01,
    )
    assert step is NextStep.FAIL
