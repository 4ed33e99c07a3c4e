"""What a run of the overload bench sees of gates and clients."""

import msgspec

from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind
from daisywharf._ids import TargetId
from daisywharf._overload._actions import AdmissionAction, Admit, Enqueue, Refuse
from daisywharf._virtual._chain import ChainCall
from daisywharf._virtual._clients import SendResult
from daisywharf._virtual._targets import Fakes, FakeTarget

INVERSION_SPAN_S = 0.01


class GateTimes(msgspec.Struct):
    """Hold when a gate last admitted and last refused for load, by importance."""

    admitted_at: list[float]
    refused_at: list[float]


class Watch:
    """Hold the results of all sends and the events at the gates."""

    def __init__(self) -> None:
        self.results: list[SendResult] = []
        self.times_by_target: dict[TargetId, GateTimes] = {}
        self.enqueued_at: dict[int, float] = {}
        self.refused_wait_s: list[float] = []
        self.inversions = 0
        self.first_calls = 0
        self.retried_calls = 0
        self.refusals_by_depth: dict[int, int] = {}


def report(watch: Watch, result: SendResult) -> None:
    """Keep the end of a send."""
    watch.results.append(result)


def observe(
    watch: Watch, fakes: Fakes, target: FakeTarget, action: AdmissionAction, call: object
) -> None:
    """Keep what matters of a gate's action."""
    if not isinstance(call, ChainCall):
        return
    now = fakes.loop.now
    if isinstance(action, Enqueue):
        watch.enqueued_at[call.call_id.attempt] = now
        return
    waited_since = watch.enqueued_at.pop(call.call_id.attempt, now)
    times = watch.times_by_target.get(target.target.target_id)
    if times is None:
        never = [float("-inf")] * len(Importance)
        times = watch.times_by_target[target.target.target_id] = GateTimes(never, list(never))
    importance = call.context.importance
    if isinstance(action, Admit):
        watch.inversions += any(_is_near(at, now) for at in times.refused_at[:importance])
        times.admitted_at[importance] = now
    elif isinstance(action, Refuse):
        depth = call.context.depth
        watch.refusals_by_depth[depth] = watch.refusals_by_depth.get(depth, 0) + 1
        watch.refused_wait_s.append(now - waited_since)
        if action.kind is ErrorKind.SHED:
            watch.inversions += any(_is_near(at, now) for at in times.admitted_at[importance + 1 :])
            times.refused_at[importance] = now


def _is_near(earlier: float, now: float) -> bool:
    return now - earlier < INVERSION_SPAN_S
