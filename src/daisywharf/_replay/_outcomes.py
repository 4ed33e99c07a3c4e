"""The outcome of each call of a trace, and a summary per customer and call class."""

from collections import Counter

import msgspec

from daisywharf._errors import ErrorKind
from daisywharf._ids import CallClassName, CustomerId, RequestId

MS_PER_S = 1_000.0


class CallEnd(msgspec.Struct, frozen=True):
    """Hold the end of one call; `kind` is None for a complete answer within the deadline.

    `at_s` is the arrival of the call, in seconds of the trace.
    """

    request_id: RequestId
    customer: CustomerId
    call_class: CallClassName
    at_s: float
    latency_s: float
    kind: ErrorKind | None
    retries: int
    is_resend: bool

    @property
    def outcome(self) -> str:
        """Return the name of the outcome: `whole`, or the kind of error."""
        return "whole" if self.kind is None else self.kind.value


class ReplayResult(msgspec.Struct, frozen=True):
    """Hold the ends of all calls by arrival; `ran_twice` counts non-idempotent reruns."""

    ends: tuple[CallEnd, ...]
    ran_twice: int


class GroupKey(msgspec.Struct, frozen=True, order=True):
    """Identify the calls of one customer and call class."""

    customer: CustomerId
    call_class: CallClassName


class GroupSummary(msgspec.Struct, frozen=True):
    """Summarize the calls of one customer and call class; latencies are of complete answers."""

    customer: CustomerId
    call_class: CallClassName
    offered: int
    whole: int
    refused_by_kind: dict[str, int]
    retries: int
    resends: int
    p50_ms: float
    p99_ms: float


def summarize(ends: tuple[CallEnd, ...]) -> list[GroupSummary]:
    """Summarize by customer and call class, sorted by name."""
    ends_by_group: dict[GroupKey, list[CallEnd]] = {}
    for end in ends:
        ends_by_group.setdefault(GroupKey(end.customer, end.call_class), []).append(end)
    return [_summarize_group(ends_by_group[group]) for group in sorted(ends_by_group)]


def _summarize_group(ends: list[CallEnd]) -> GroupSummary:
    latencies = sorted(end.latency_s for end in ends if end.kind is None)
    refused = Counter(end.outcome for end in ends if end.kind is not None)
    return GroupSummary(
        customer=ends[0].customer,
        call_class=ends[0].call_class,
        offered=len(ends),
        whole=len(latencies),
        refused_by_kind=dict(sorted(refused.items())),
        retries=sum(end.retries for end in ends),
        resends=sum(end.is_resend for end in ends),
        p50_ms=_quantile_ms(latencies, 0.5),
        p99_ms=_quantile_ms(latencies, 0.99),
    )


def _quantile_ms(values: list[float], quantile: float) -> float:
    if not values:
        return 0.0
    return round(values[int(quantile * (len(values) - 1))] * MS_PER_S, 2)
