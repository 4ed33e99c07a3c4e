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
def test_each_kind_records_its_outcome(kind: ErrorKind | None, outcome: CallOutcome) -> None:
    assert outcome_of(kind) is outcome


@pytest.mark.parametrize("kind", [ErrorKind.BAD_REQUEST, ErrorKind.CANCELLED, ErrorKind.TOO_LATE])
def test_a_customer_s_errors_eject_no_target(kind: ErrorKind) -> None:
    router = build_router(build_targets(6))
    for _ in range(100):
        record_start(router, TARGET.target_id, now=0.0)
        record_outcome(router, TARGET.target_id, outcome_of(kind), latency_s=0.001, now=0.0)
    record = router.record_by_id[TARGET.target_id]
    assert not record.is_ejected
    assert record.failed_fraction == record.refused_fraction == 0.0


def test_calls_abandoned_late_raise_the_latency_of_a_silent_target() -> None:
    router = build_router(build_targets(6))
    record = router.record_by_id[TARGET.target_id]
    for outcome, latency_s in [(CallOutcome.SUCCEEDED, 0.01), (CallOutcome.CANCELLED, 2.0)]:
        record_start(router, TARGET.target_id, now=0.0)
        record_outcome(router, TARGET.target_id, outcome, latency_s=latency_s, now=0.0)
    assert record.latency_s is not None
    assert record.latency_s > 0.1
