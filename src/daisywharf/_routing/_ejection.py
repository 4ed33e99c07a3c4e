"""Eject failing targets, and probe them until they answer again."""

from collections.abc import Collection
from typing import Final

from daisywharf._routing._record import TargetRecord, freshness, start_slowly

# Failures in a row, or smoothed fraction of failed calls, from which a target counts as failing.
MIN_FAILURES_TO_EJECT: Final = 3
MIN_FAILED_FRACTION_TO_EJECT: Final = 0.6
# Another target's failed fraction must be lower by this: if every target fails, ejecting some would
# only load the others.
FAILED_FRACTION_MARGIN: Final = 0.3
MAX_EJECTED_FRACTION: Final = 0.5
# Each ejection lasts twice as long as the last one, within these limits.
FIRST_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 20.0
PROBE_TIMEOUT_S: Final = 5.0


def record_answer(record: TargetRecord, *, now: float) -> None:
    """Record an answer; one to a probe readmits the ejected target with a slow start."""
    record.failures_in_a_row = 0
    if record.is_probing:
        record.is_ejected = False
        record.is_probing = False
        record.failed_fraction = 0.0
        start_slowly(record, now=now)
    elif not record.is_ejected and now >= record.warm_at:
        record.ejections = 0


def record_failure(record: TargetRecord, peers: Collection[TargetRecord], *, now: float) -> None:
    """Record a failure; eject a target that keeps failing while another peer does better.

    At most half of `peers` are ejected at a time.
    """
    record.failures_in_a_row += 1
    if record.is_ejected:
        # Calls sent before the ejection may still fail; only a failed probe extends it.
        if record.is_probing:
            _eject(record, now=now)
        return
    is_failing = (
        record.failures_in_a_row >= MIN_FAILURES_TO_EJECT
        or record.failed_fraction >= MIN_FAILED_FRACTION_TO_EJECT
    )
    if is_failing and _may_eject_another(peers) and _has_better_peer(record, peers, now):
        _eject(record, now=now)


def is_probe_due(record: TargetRecord, *, now: float) -> bool:
    """Return whether an ejected target is due for a probe."""
    return record.is_ejected and now >= record.probe_at


def record_probe(record: TargetRecord, *, now: float) -> None:
    """Record a probe, and allow no second one until the first has had time to end."""
    record.is_probing = True
    record.probe_at = now + PROBE_TIMEOUT_S


def _may_eject_another(peers: Collection[TargetRecord]) -> bool:
    ejected = sum(peer.is_ejected for peer in peers)
    return ejected + 1 <= MAX_EJECTED_FRACTION * len(peers)


def _has_better_peer(record: TargetRecord, peers: Collection[TargetRecord], now: float) -> bool:
    limit = record.failed_fraction - FAILED_FRACTION_MARGIN
    return any(peer.failed_fraction * freshness(peer, now) <= limit for peer in peers)


def _eject(record: TargetRecord, *, now: float) -> None:
    duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.ejections)
    record.ejections += 1
    record.is_ejected = True
    record.is_probing = False
    record.probe_at = now + duration_s
