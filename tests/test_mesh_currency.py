"""Which daemon probes the store when the last confirmation of the version in force is too old."""

from daisywharf._ids import VmId
from daisywharf._mesh._confirmation import (
    MAX_UNCONFIRMED_S,
    PROBE_STAGGER_S,
    WATCH_WAIT_S,
    Confirmation,
    is_probe_due,
    probe_rank,
    record_confirmed,
    retry_delay_s,
)

VMS = [VmId(f"vm-{n}") for n in range(5)]


def _rank(own: VmId) -> int:
    return probe_rank(own, [vm for vm in VMS if vm != own])


def test_no_probe_is_due_while_the_last_confirmation_is_recent() -> None:
    state = Confirmation()
    record_confirmed(state, at=10.0)
    record_confirmed(state, at=9.0)
    assert not is_probe_due(state, rank=0, now=10.0 + WATCH_WAIT_S)
    assert is_probe_due(state, rank=0, now=10.01 + MAX_UNCONFIRMED_S)


def test_a_daemon_without_any_confirmation_probes_at_once() -> None:
    assert is_probe_due(Confirmation(), rank=99, now=0.0)


def test_the_daemons_after_the_watchers_probe_one_by_one() -> None:
    assert [_rank(vm) for vm in VMS] == [0, 0, 0, 1, 2]
    state = Confirmation()
    record_confirmed(state, at=10.0)
    first_at = 10.01 + MAX_UNCONFIRMED_S
    assert [is_probe_due(state, rank=_rank(vm), now=first_at) for vm in VMS[2:]] == [
        True,
        False,
        False,
    ]
    assert is_probe_due(state, rank=_rank(VMS[4]), now=first_at + 2 * PROBE_STAGGER_S)


def test_a_daemon_whose_watchers_are_unreachable_probes_first() -> None:
    assert probe_rank(VMS[4], VMS[2:4]) == 0


def test_daemons_of_a_large_zone_retry_an_unavailable_store_one_by_one() -> None:
    assert retry_delay_s(0.2, daemons=1) == 0.2
    assert retry_delay_s(0.8, daemons=200) == 200 * PROBE_STAGGER_S
