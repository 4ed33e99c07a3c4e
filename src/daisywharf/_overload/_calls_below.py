"""Estimate how many calls one run of a route makes, from counts at the VM where it runs.

Load pattern: a service deep in the chain is overloaded, and only the entry can refuse the requests
that will reach it. A call doesn't identify the request that made it, so the counts of runs and
calls over many short periods are fitted by recursive least squares with exponential forgetting.
"""

from typing import Final, NewType

import msgspec

Kind = NewType("Kind", str)
Callee = NewType("Callee", str)

PERIOD_S: Final = 0.5
# Fraction of a period's weight that remains one period later: about 25 s of memory.
FORGETTING_FACTOR: Final = 0.98
# Initial variance of a coefficient, in (calls per run) squared.
INITIAL_VARIANCE: Final = 1.0
# Bounds of the fit, whose cost grows with the square of the kinds.
MAX_KINDS: Final = 24
MAX_CALLEES: Final = 24
# Smaller means are left out of reports.
MIN_REPORTED_CALLS_PER_RUN: Final = 0.02


class CallsBelow(msgspec.Struct, frozen=True, array_like=True):
    """Report the mean calls to the callee route that one run of the route makes."""

    service: str
    route: str
    callee_service: str
    callee_route: str
    calls: float


class Fit(msgspec.Struct):
    """Hold the least-squares fit of calls by kind of run at one target.

    `place_by_kind` maps a kind to its index in `covariance` and in the coefficients, which are mean
    calls per run, of `calls_by_callee`.
    """

    place_by_kind: dict[Kind, int]
    covariance: list[list[float]]
    calls_by_callee: dict[Callee, list[float]]


class CallCounts:
    """Hold the counts of the current period, and the fit."""

    def __init__(self, *, now: float) -> None:
        self.runs_by_kind: dict[Kind, float] = {}
        self.calls_by_callee: dict[Callee, int] = {}
        self.fit = Fit({}, [], {})
        self.period_started_at = now


def record_half_run(counts: CallCounts, kind: Kind) -> None:
    """Count half a run, as it starts and again as it ends: its calls come in between."""
    counts.runs_by_kind[kind] = counts.runs_by_kind.get(kind, 0.0) + 0.5


def record_call(counts: CallCounts, callee: Callee) -> None:
    """Count a call that some run made."""
    counts.calls_by_callee[callee] = counts.calls_by_callee.get(callee, 0) + 1


def end_period(counts: CallCounts, *, now: float) -> None:
    """Fit the current period's counts if the period is over; ticks may come slightly early."""
    if now - counts.period_started_at < PERIOD_S * 0.9:
        return
    counts.period_started_at = now
    fit = counts.fit
    for kind in counts.runs_by_kind:
        _add_kind(fit, kind)
    for callee in counts.calls_by_callee:
        if len(fit.calls_by_callee) < MAX_CALLEES:
            fit.calls_by_callee.setdefault(callee, [0.0] * len(fit.place_by_kind))
    runs = [counts.runs_by_kind.get(kind, 0.0) for kind in fit.place_by_kind]
    if any(runs):
        _update_fit(fit, runs, counts.calls_by_callee)
    counts.runs_by_kind = {}
    counts.calls_by_callee = {}


def calls_below(counts: CallCounts) -> list[tuple[Kind, Callee, float]]:
    """Return (kind, callee, mean calls per run), without the small means."""
    fit = counts.fit
    return [
        (kind, callee, calls[index])
        for kind, index in fit.place_by_kind.items()
        for callee, calls in fit.calls_by_callee.items()
        if calls[index] >= MIN_REPORTED_CALLS_PER_RUN
    ]


def _add_kind(fit: Fit, kind: Kind) -> None:
    size = len(fit.place_by_kind)
    if kind in fit.place_by_kind or size >= MAX_KINDS:
        return
    fit.place_by_kind[kind] = size
    for row in fit.covariance:
        row.append(0.0)
    fit.covariance.append([0.0] * size + [INITIAL_VARIANCE])
    for calls in fit.calls_by_callee.values():
        calls.append(0.0)


def _update_fit(fit: Fit, runs: list[float], calls_by_callee: dict[Callee, int]) -> None:
    """Do one step of recursive least squares with a period's runs by kind and calls by callee."""
    spread = [sum(p * n for p, n in zip(row, runs, strict=True)) for row in fit.covariance]
    scale = FORGETTING_FACTOR * sum(runs) + sum(s * n for s, n in zip(spread, runs, strict=True))
    gain = [s / scale for s in spread]
    for callee, calls in fit.calls_by_callee.items():
        expected = sum(c * n for c, n in zip(calls, runs, strict=True))
        error = calls_by_callee.get(callee, 0) - expected
        for index, weight in enumerate(gain):
            calls[index] = max(0.0, calls[index] + weight * error)
    for row, weight in zip(fit.covariance, gain, strict=True):
        for index, value in enumerate(spread):
            row[index] = (row[index] - weight * value) / FORGETTING_FACTOR
