"""Decide what follows the end of an attempt: pass on, try another gate, retry, refuse or fail.

This module keeps two guarantees: a non-idempotent request is never sent again once it may have
run, and a request is reported as refused only if it hasn't run.
"""

from enum import Enum
from typing import Final

import msgspec

# Gates that may refuse a request before its caller gets the refusal: each costs a round trip.
MAX_GATES_TRIED: Final = 3
# A retry can't finish in less time than this, so it isn't started.
MIN_RETRY_S: Final = 0.03


class AttemptEnd(Enum):
    """Name how an attempt ended."""

    ANSWERED = "answered"
    FAILED_BY_TARGET = "failed-by-target"
    TURNED_AWAY_BY_TARGET = "turned-away-by-target"
    REFUSED_BY_GATE = "refused-by-gate"
    OUTCOME_UNKNOWN = "outcome-unknown"


class NextStep(Enum):
    """Name what follows an attempt.

    A `REPEAT` is a retry, which the retry budget must allow; else `step_without_retry` decides.
    """

    PASS_ON = "pass-on"
    ANOTHER_GATE = "another-gate"
    REPEAT = "repeat"
    REFUSE = "refuse"
    FAIL = "fail"


class Progress(msgspec.Struct):
    """Hold the progress of a request; `attempts` counts only those that reached a target."""

    attempts: int = 0
    gates_tried: int = 0
    may_have_run: bool = False


def record_end(progress: Progress, end: AttemptEnd) -> None:
    """Record the end of an attempt."""
    if end is AttemptEnd.REFUSED_BY_GATE:
        progress.gates_tried += 1
        return
    progress.attempts += 1
    if end is not AttemptEnd.TURNED_AWAY_BY_TARGET:
        progress.may_have_run = True


def next_step(
    progress: Progress,
    end: AttemptEnd,
    *,
    is_idempotent: bool,
    max_attempts: int,
    time_left_s: float,
) -> NextStep:
    """Return what follows an attempt; call `record_end` first."""
    if end is AttemptEnd.ANSWERED:
        return NextStep.PASS_ON
    if end is AttemptEnd.REFUSED_BY_GATE:
        may_try_another_gate = progress.gates_tried < MAX_GATES_TRIED and time_left_s > 0.0
        return NextStep.ANOTHER_GATE if may_try_another_gate else step_without_retry(progress, end)
    may_retry = is_idempotent or not progress.may_have_run
    if may_retry and progress.attempts < max_attempts and time_left_s >= MIN_RETRY_S:
        return NextStep.REPEAT
    return step_without_retry(progress, end)


def step_without_retry(progress: Progress, end: AttemptEnd) -> NextStep:
    """Return what follows if no further attempt is made."""
    if end is AttemptEnd.FAILED_BY_TARGET:
        return NextStep.PASS_ON
    return NextStep.FAIL if progress.may_have_run else NextStep.REFUSE
