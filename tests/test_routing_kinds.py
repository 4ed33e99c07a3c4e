"""The outcome that each error kind records for a target."""

import pytest

from builders_routing import build_router, build_target, build_targets
from daisywharf._errors import ErrorKind
from daisywharf._routing._kinds import outcome_of
from daisywharf._routing._router import CallOutcome, record_outcome, record_start

TARGET = build_target(0)


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        (None, CallOutcome.SUCCEEDED),
        (ErrorKind.SHED, CallOutcome.REFUSED),
        (ErrorKind.CONNECT_FAILED, CallOutcome.FAILED),
        (ErrorKind.TIMED_OUT, CallOutcome.TIMED_OUT),
        (ErrorKind.BAD_REQUEST, CallOutcome.CANCELLED),
    ],
)
def test_a_kind_is_the_target_s_doing_or_not(kind: ErrorKind | None, outcome: CallOutcome) -> None:
    assert outcome_of(kind) is outcome


@pytest.mark.parametrize("kind", [ErrorKind.BAD_REQUEST, ErrorKind.CANCELLED, ErrorKind.TOO_LATE])
def test_a_customer_s_faults_eject_no_target(kind: ErrorKind) -> None:
    router = build_router(build_targets(6))
    for _ in range(100):
        record_start(router, TARGET.target_id, now=0.0)
        record_outcome(router, TARGET.target_id, outcome_of(kind), latency_s=0.001, now=0.0)
    record = router.record_by_id[TARGET.target_id]
    assert not record.is_ejected
    assert record.failed_fraction == record.refused_fraction == 0.0


def test_calls_given_up_after_long_make_a_silent_target_dearer() -> None:
    router = build_router(build_targets(6))
    record = router.record_by_id[TARGET.target_id]
    for outcome, latency_s in [(CallOutcome.SUCCEEDED, 0.01), (CallOutcome.CANCELLED, 2.0)]:
        record_start(router, TARGET.target_id, now=0.0)
        record_outcome(router, TARGET.target_id, outcome, latency_s=latency_s, now=0.0)
    assert record.latency_s is not None
    assert record.latency_s > 0.1
