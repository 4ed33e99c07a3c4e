"""Collect a report's data from log lines: request outcomes, gate load, and incidents."""

from collections.abc import Iterable
from typing import Final

import msgspec

from daisywharf._signals._events import Event
from daisywharf._signals._read_log import LogLine, parse_line

# Events about single requests aren't incidents: the periodic summaries contain their counts.
REQUEST_EVENT_NUMBERS: Final = range(700, 800)
# A line further than this from the median time comes from a wrong clock: one that was never set
# starts in 1970.
MAX_CLOCK_DEVIATION_S: Final = 86_400.0


class RequestTotals(msgspec.Struct, frozen=True):
    """Hold one VM's counts of a route's requests by outcome, for the period that ends at `at_s`."""

    at_s: float
    zone: str
    route: str
    served: int
    refused: int
    failed: int
    given_up: int


class GateSample(msgspec.Struct, frozen=True):
    """Hold one gate's calls, limit and shedding level at `at_s`.

    `level` is the importance from which requests are refused (0 critical to 3 low, 4 none), plus
    the sub-order as a fraction of the importance.
    """

    at_s: float
    service: str
    running: int
    waiting: int
    limit: int
    level: float


class ReportData(msgspec.Struct, frozen=True):
    """Hold the data of a report.

    `at_s` and `lasts_s` are in seconds after the first line, `started_at` in seconds since 1970.
    `ends` count how requests ended, and `incidents` are the events that concern no single request;
    `left_out` counts the lines that were dropped because of their clock.
    """

    ends: list[RequestTotals]
    gates: list[GateSample]
    incidents: list[LogLine]
    lasts_s: float
    started_at: float
    left_out: int


def read_report_data(lines: Iterable[str]) -> ReportData:
    """Return a report's data from log lines in any order.

    Lines of other programs, and those of clocks that are more than a day off, are left out.
    """
    all_lines = [line for line in map(parse_line, lines) if line is not None]
    all_lines.sort(key=lambda line: line.time)
    median_time = all_lines[len(all_lines) // 2].time if all_lines else 0.0
    plausible_lines = [
        line for line in all_lines if abs(line.time - median_time) <= MAX_CLOCK_DEVIATION_S
    ]
    started_at = plausible_lines[0].time if plausible_lines else 0.0
    totals: list[RequestTotals] = []
    gates: list[GateSample] = []
    incidents = []
    for line in plausible_lines:
        fields = line.fields | {"at_s": line.time - started_at}
        if line.number == Event.REQUESTS_COUNTED.value.number:
            totals.append(msgspec.convert(fields, RequestTotals))
        elif line.number == Event.GATE_COUNTED.value.number:
            gates.append(msgspec.convert(fields, GateSample))
        elif line.number not in REQUEST_EVENT_NUMBERS:
            incidents.append(line)
    lasts_s = plausible_lines[-1].time - started_at if plausible_lines else 0.0
    return ReportData(
        totals, gates, incidents, lasts_s, started_at, len(all_lines) - len(plausible_lines)
    )
