"""Schedule a daemon's stop, and decide which requests it still accepts.

Load pattern: a daemon is stopped under load, and requests arrive on open connections until its
process exits. Some are clients' requests, others calls of requests that still run at the local
target; nothing in a request identifies its sender. An accepted request that is still running at
the exit is lost, whoever sent it.
"""

from typing import Final

import msgspec

# A stopping daemon accepts requests for this long, if its grace period allows: clients check
# readiness every second and stop using a daemon after its second failed check.
MIN_STOPPING_S: Final = 2.6
# With a short grace period, requests are accepted for this fraction of it, without the margin.
ACCEPT_FRACTION: Final = 0.5
# The gate stays open for this long, so that a healthy target keeps serving during the stop. The
# rest of `MIN_STOPPING_S` lets other entries learn that the daemon leaves, and lets calls end.
OPEN_WHILE_STOPPING_S: Final = 1.8
# With a short grace period, the gate stays open for this fraction of it; the other three quarters
# are left for the calls that run.
OPEN_GRACE_FRACTION: Final = 0.25
# The time left of the grace period when running calls are cut off: the exit itself takes a moment.
STOP_MARGIN_S: Final = 0.7
# An accepted request has to reach its deadline this long before running calls are cut off, so that
# its answer is on its way by then.
ANSWER_MARGIN_S: Final = 0.1


class StopSchedule(msgspec.Struct, frozen=True):
    """Hold when a stopping daemon closes its gate, refuses requests, and cuts off running ones."""

    gate_closes_at: float
    accepts_until: float
    ends_at: float


def schedule_stop(*, grace_s: float, now: float) -> StopSchedule:
    """Return the schedule of a stop that begins now, with a grace period in seconds."""
    running_s = max(0.0, grace_s - STOP_MARGIN_S)
    return StopSchedule(
        gate_closes_at=now + min(OPEN_WHILE_STOPPING_S, OPEN_GRACE_FRACTION * grace_s, running_s),
        accepts_until=now + min(MIN_STOPPING_S, ACCEPT_FRACTION * running_s),
        ends_at=now + running_s,
    )


def can_accept(
    schedule: StopSchedule, *, deadline: float, is_target_busy: bool, now: float
) -> bool:
    """Return whether a stopping daemon accepts a request.

    Clients know by `accepts_until` that the daemon stops. After that it accepts only what may be a
    call of a request that runs at the local target and surely ends in time, at its deadline at the
    latest.
    """
    if now < schedule.accepts_until:
        return True
    return is_target_busy and deadline <= schedule.ends_at - ANSWER_MARGIN_S
