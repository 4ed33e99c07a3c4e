"""What a run of the overload benchmark records at gates and clients."""

import msgspec

from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._ids import TargetId
from daisywharf._overload._actions import AdmissionAction, Admit, Enqueue, Refuse
from daisywharf._virtual._chain import ChainCall
from daisywharf._virtual._clients import SendResult
from daisywharf._virtual._targets import Fakes, FakeTarget

INVERSION_SPAN_S = 0.01
TICK_PERIOD_S = 0.01


class GateTimes(msgspec.Struct):
    """Times of the last events at a gate, indexed by importance (0 is the most important).

    `let_in_at` is the last admission of a call at any depth, `entry_let_in_at` that of a call at
    depth 0, and `refused_at` the last shed call.
    """

    let_in_at: list[float]
    entry_let_in_at: list[float]
    refused_at: list[float]


class Observations:
    """The results of all sends and the events at the gates; times in seconds.

    In an inversion, a gate admits a call within `INVERSION_SPAN_S` before or after it sheds a more
    important one; it is counted at the later event. `inversions_with_calls_below` counts all of
    them. `inversions` leaves out admissions below depth 0, except where the gate later sheds a
    call that is below depth 0 too.
    """

    def __init__(self) -> None:
        self.results: list[SendResult] = []
        self.times_by_target: dict[TargetId, GateTimes] = {}
        self.enqueued_at: dict[int, float] = {}
        self.refused_wait_s: list[float] = []
        self.refusal_delay_s: list[float] = []
        self.inversions = 0
        self.inversions_with_calls_below = 0
        self.first_calls = 0
        self.retried_calls = 0
        self.refusals_by_depth: dict[int, int] = {}


def record_result(observations: Observations, result: SendResult) -> None:
    """Record the result of a send."""
    observations.results.append(result)


def observe(
    observations: Observations,
    fakes: Fakes,
    target: FakeTarget,
    action: AdmissionAction,
    call: object,
) -> None:
    """Record a gate's action on a call: queued, admitted or refused."""
    if not isinstance(call, ChainCall):
        return
    now = fakes.loop.now
    if isinstance(action, Enqueue):
        observations.enqueued_at[call.call_id.attempt] = now
        return
    waited_since = observations.enqueued_at.pop(call.call_id.attempt, now)
    if isinstance(action, Admit):
        _record_admission(observations, target, call, now)
    elif isinstance(action, Refuse):
        depth = call.context.depth
        observations.refusals_by_depth[depth] = observations.refusals_by_depth.get(depth, 0) + 1
        observations.refused_wait_s.append(now - waited_since)
        observations.refusal_delay_s.append(_max_delay_s(action, now - waited_since))
        if action.kind is ErrorKind.SHED:
            _record_refusal(observations, target, call, now)


def _max_delay_s(refusal: Refuse, waited_s: float) -> float:
    # A waiting call that can no longer meet its deadline is refused at the next tick; all other
    # refusals are sent by the event that decides them.
    return min(waited_s, TICK_PERIOD_S) if refusal.kind is ErrorKind.TOO_LATE else 0.0


def _record_admission(
    observations: Observations, target: FakeTarget, call: ChainCall, now: float
) -> None:
    times = _times_of(observations, target)
    importance = call.context.importance
    is_inverted = any(_is_near(at, now) for at in times.refused_at[:importance])
    observations.inversions_with_calls_below += is_inverted
    times.let_in_at[importance] = now
    if call.context.depth == 0:
        observations.inversions += is_inverted
        times.entry_let_in_at[importance] = now


def _record_refusal(
    observations: Observations, target: FakeTarget, call: ChainCall, now: float
) -> None:
    times = _times_of(observations, target)
    importance = call.context.importance
    # A downstream call of a request admitted elsewhere isn't new work, so a new request may be
    # refused while it is admitted. But where a downstream call is refused, no less important
    # call of any depth may be admitted.
    is_entry = call.context.depth == 0
    compared = times.entry_let_in_at if is_entry else times.let_in_at
    observations.inversions += any(_is_near(at, now) for at in compared[importance + 1 :])
    inverted = any(_is_near(at, now) for at in times.let_in_at[importance + 1 :])
    observations.inversions_with_calls_below += inverted
    times.refused_at[importance] = now


def _times_of(observations: Observations, target: FakeTarget) -> GateTimes:
    target_id = target.target.target_id
    times = observations.times_by_target.get(target_id)
    if times is None:
        never = [float("-inf")] * len(Importance)
        times = GateTimes(never, list(never), list(never))
        observations.times_by_target[target_id] = times
    return times


def _is_near(earlier: float, now: float) -> bool:
    return now - earlier < INVERSION_SPAN_S
