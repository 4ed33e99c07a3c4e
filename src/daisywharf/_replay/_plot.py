"""Plot a replay over time; needs the optional extra `plot`."""

import math
from collections import Counter
from pathlib import Path
from typing import Any, Final

from daisywharf._figures import new_figure
from daisywharf._replay._outcomes import CallEnd, ReplayResult

SIZE_INCHES: Final = (10.0, 8.0)
MS_PER_S: Final = 1_000.0


def plot_replay(result: ReplayResult, path: Path) -> None:
    """Write a PNG of the offered, complete and refused calls and the latency, per second.

    Raise `ConfigurationError` (invalid settings) if the plotting library is missing.
    """
    figure = new_figure(width=SIZE_INCHES[0], height=SIZE_INCHES[1])
    calls, refused, latency = figure.subplots(3, 1, sharex=True)
    ends = result.ends
    seconds = list(range(math.ceil(max((end.at_s for end in ends), default=0.0)) + 1))
    _draw_calls(calls, ends, seconds)
    _draw_refused(refused, ends, seconds)
    _draw_latency(latency, ends, seconds)
    figure.savefig(path)


def _draw_calls(axes: Any, ends: tuple[CallEnd, ...], seconds: list[int]) -> None:
    axes.plot(seconds, _count_by_second(list(ends), seconds), label="offered")
    whole = [end for end in ends if end.kind is None]
    axes.plot(seconds, _count_by_second(whole, seconds), label="whole and in time")
    axes.set_ylabel("calls a second")
    axes.legend()


def _draw_refused(axes: Any, ends: tuple[CallEnd, ...], seconds: list[int]) -> None:
    for call_class in sorted({end.call_class for end in ends}):
        refused = [e for e in ends if e.kind is not None and e.call_class == call_class]
        axes.plot(seconds, _count_by_second(refused, seconds), label=call_class)
    axes.set_ylabel("refused a second")
    axes.legend()


def _draw_latency(axes: Any, ends: tuple[CallEnd, ...], seconds: list[int]) -> None:
    latencies_by_second: dict[int, list[float]] = {}
    for end in ends:
        if end.kind is None:
            latencies_by_second.setdefault(int(end.at_s), []).append(end.latency_s * MS_PER_S)
    for quantile, name in ((0.5, "p50"), (0.99, "p99")):
        values = [_quantile(latencies_by_second.get(second, []), quantile) for second in seconds]
        axes.plot(seconds, values, label=name)
    axes.set_ylabel("whole answers, ms")
    axes.set_xlabel("seconds")
    axes.legend()


def _count_by_second(ends: list[CallEnd], seconds: list[int]) -> list[int]:
    counts = Counter(int(end.at_s) for end in ends)
    return [counts[second] for second in seconds]


def _quantile(values: list[float], quantile: float) -> float:
    return sorted(values)[int(quantile * (len(values) - 1))] if values else math.nan
