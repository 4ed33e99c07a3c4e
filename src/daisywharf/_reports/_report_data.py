"""What log lines say of a span of time: how requests ended, what gates held, what happened."""

from collections.abc import Iterable
from typing import Final

import msgspec

from daisywharf._signals._events import Event
from daisywharf._signals._read_log import LogLine, parse_line

# Events of single requests: their counts are in the lines that sum them up.
REQUEST_EVENT_NUMBERS: Final = range(700, 800)
# A line this far from most others was written by a clock that is off: a clock that was never set
# begins in 1970.
MAX_CLOCK_DEVIATION_S: Final = 86_400.0


class RequestTotals(msgspec.Struct, frozen=True):
    """Hold how requests of one route ended at one VM in a period that ends at `at_s`."""

    at_s: float
    zone: str
    route: str
    served: int
    refused: int
    failed: int
    given_up: int


class GateSample(msgspec.Struct, frozen=True):
    """Hold what one gate held at a time."""

    at_s: float
    service: str
    running: int
    waiting: int
    limit: int
    level: float


class ReportData(msgspec.Struct, frozen=True):
    """Hold all that a report shows; times are in seconds after the first line."""

    ends: list[RequestTotals]
    gates: list[GateSample]
    incidents: list[LogLine]
    lasts_s: float
    started_at: float
    left_out: int


def read_report_data(lines: Iterable[str]) -> ReportData:
    """Read the lines that a report needs, whatever their order.

    Lines of other programs, and those of clocks that are over a day off, are left out.
    """
    all_lines = [line for line in map(parse_line, lines) if line is not None]
    all_lines.sort(key=lambda line: line.time)
    median_time = all_lines[len(all_lines) // 2].time if all_lines else 0.0
    kept_lines = [
        line for line in all_lines if abs(line.time - median_time) <= MAX_CLOCK_DEVIATION_S
    ]
    first_time = kept_lines[0].time if kept_lines else 0.0
    ends: list[RequestTotals] = []
    gates: list[GateSample] = []
    incidents = []
    for line in kept_lines:
        fields = line.fields | {"at_s": line.time - first_time}
        if line.number == Event.REQUESTS_COUNTED.value.number:
            ends.append(msgspec.convert(fields, RequestTotals))
        elif line.number == Event.GATE_COUNTED.value.number:
            gates.append(msgspec.convert(fields, GateSample))
        elif line.number not in REQUEST_EVENT_NUMBERS:
            incidents.append(line)
    lasts_s = kept_lines[-1].time - first_time if kept_lines else 0.0
    return ReportData(ends, gates, incidents, lasts_s, first_time, len(all_lines) - len(kept_lines))
