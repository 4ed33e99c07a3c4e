"""What log lines say of a span of time: how requests ended, what gates held, what happened."""

from collections.abc import Iterable
from typing import Final

import msgspec

from daisywharf._signals._events import Event
from daisywharf._signals._read_log import LogLine, read_line

# Events of single requests: their counts are in the lines that sum them up.
REQUEST_NUMBERS: Final = range(700, 800)
# A line this far from most others was written by a clock that is off: a clock that was never set
# begins in 1970.
MOST_AWAY_S: Final = 86_400.0


class Ends(msgspec.Struct, frozen=True):
    """Hold how requests of one route ended at one VM in a period that ends at `at_s`."""

    at_s: float
    zone: str
    route: str
    served: int
    refused: int
    failed: int
    given_up: int


class GateState(msgspec.Struct, frozen=True):
    """Hold what one gate held at a time."""

    at_s: float
    service: str
    running: int
    waiting: int
    limit: int
    level: float


class Day(msgspec.Struct, frozen=True):
    """Hold all that a report shows; times are in seconds after the first line."""

    ends: list[Ends]
    gates: list[GateState]
    incidents: list[LogLine]
    lasts_s: float
    started_at: float
    left_out: int


def read_day(lines: Iterable[str]) -> Day:
    """Read the lines that a report needs, whatever their order.

    Lines of other programs, and those of clocks that are over a day off, are left out.
    """
    all_read = [found for found in map(read_line, lines) if found is not None]
    all_read.sort(key=lambda line: line.time)
    usual = all_read[len(all_read) // 2].time if all_read else 0.0
    read = [line for line in all_read if abs(line.time - usual) <= MOST_AWAY_S]
    first = read[0].time if read else 0.0
    ends: list[Ends] = []
    gates: list[GateState] = []
    incidents = []
    for line in read:
        fields = line.fields | {"at_s": line.time - first}
        if line.number == Event.REQUESTS_COUNTED.value.number:
            ends.append(msgspec.convert(fields, Ends))
        elif line.number == Event.GATE_COUNTED.value.number:
            gates.append(msgspec.convert(fields, GateState))
        elif line.number not in REQUEST_NUMBERS:
            incidents.append(line)
    lasts_s = read[-1].time - first if read else 0.0
    return Day(ends, gates, incidents, lasts_s, first, len(all_read) - len(read))
