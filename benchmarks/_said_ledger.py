"""What targets say of themselves in answers, and whether what they got since keeps to it."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

import msgspec

# Of the users' rules LIMIT and DRAIN, and of the site files: `stabilityWindowMs`, `drainMs`.
STABLE_S: Final = 3.0
DRAIN_S: Final = 2.0
WINDOW_S: Final = 4.0
ALLOWED_FACTOR: Final = 1.5
ALLOWED_EXTRA: Final = 5.0
TOLD_BEFORE_S: Final = 0.5

ProcessId = tuple[str, int]


class Limit(msgspec.Struct, frozen=True):
    """Hold that a target names a limit from a time on, in requests a second, or none any more."""

    target: str
    per_s: float | None
    at: float


class Told(msgspec.Struct, frozen=True):
    """Hold that the daemon of a VM passed on an answer in which a target said something."""

    target: str
    vm: str
    process: int
    at: float


class Arrival(msgspec.Struct, frozen=True):
    """Hold that a request, sent at the daemon of a VM, reached a target."""

    target: str
    request: str
    vm: str
    process: int
    sent_at: float
    at: float


class Excuse(msgspec.Struct, frozen=True):
    """Hold that a VM was frozen or cut off for a time."""

    vm: str
    began_at: float
    ended_at: float


class SaidLedger:
    """Hold what targets said, who passed it on, and what reached them; times in seconds."""

    def __init__(self) -> None:
        self.limits: list[Limit] = []
        self.told_limits: list[Told] = []
        self.told_leavings: list[Told] = []
        self.arrivals: list[Arrival] = []
        self.excuses: list[Excuse] = []


def broken_words(ledger: SaidLedger) -> list[str]:
    """Return a line for each word of a target that wasn't kept."""
    return [*_over_limit(ledger), *_after_leaving(ledger)]


def judged_arrivals(ledger: SaidLedger) -> int:
    """Return how many arrivals LIMIT counts."""
    return sum(len(arrivals) for _, arrivals in _spells(ledger))


class Spell(msgspec.Struct, frozen=True):
    """Hold a time in which a target names limits, with each of them."""

    target: str
    since: float
    until: float
    limits: tuple[Limit, ...]


def _spells(ledger: SaidLedger) -> Iterator[tuple[Spell, list[Arrival]]]:
    """Return each time of limits with the arrivals that count in it."""
    for spell in _spells_of_limits(ledger):
        told = _told_by_process(
            told
            for told in ledger.told_limits
            if told.target == spell.target and spell.since <= told.at <= spell.until
        )
        counted = [
            arrival
            for arrival in ledger.arrivals
            if arrival.target == spell.target
            and spell.since <= arrival.at <= spell.until
            and _was_told(ledger, told, arrival, before=arrival.at - TOLD_BEFORE_S)
        ]
        yield spell, sorted(counted, key=lambda arrival: arrival.at)


def _spells_of_limits(ledger: SaidLedger) -> Iterator[Spell]:
    by_target: dict[str, list[Limit]] = defaultdict(list)
    for limit in ledger.limits:
        by_target[limit.target].append(limit)
    for target, limits in by_target.items():
        named: list[Limit] = []
        for limit in [*limits, Limit(target, None, float("inf"))]:
            if limit.per_s is not None:
                named.append(limit)
            elif named:
                yield Spell(target, named[0].at, limit.at, tuple(named))
                named = []


def _told_by_process(told: Iterator[Told]) -> dict[ProcessId, list[float]]:
    at_by_process: dict[ProcessId, list[float]] = defaultdict(list)
    for one in told:
        at_by_process[one.vm, one.process].append(one.at)
    return at_by_process


def _was_told(
    ledger: SaidLedger, told: dict[ProcessId, list[float]], arrival: Arrival, *, before: float
) -> bool:
    """Tell whether the daemon had passed the word on, with no excuse since."""
    since = max(
        (e.ended_at for e in ledger.excuses if e.vm == arrival.vm and e.began_at <= arrival.at),
        default=float("-inf"),
    )
    return any(since <= at <= before for at in told.get((arrival.vm, arrival.process), ()))


def _over_limit(ledger: SaidLedger) -> list[str]:
    lines = []
    for spell, arrivals in _spells(ledger):
        for place, first in enumerate(arrivals):
            start = first.at
            if start < spell.since + STABLE_S or start + WINDOW_S > spell.until:
                continue
            got = sum(1 for arrival in arrivals[place:] if arrival.at <= start + WINDOW_S)
            allowed = ALLOWED_FACTOR * _taken(spell, start) + ALLOWED_EXTRA
            if got > allowed:
                lines.append(
                    f"LIMIT {spell.target}: {got} requests in {WINDOW_S} s from {start:.2f} s on,"
                    f" {start - spell.since:.2f} s after it named its limit; allowed {allowed:.1f}"
                )
                break
    return lines


def _taken(spell: Spell, start: float) -> float:
    """Return how many requests a target says that it takes in a window."""
    ends = [*(limit.at for limit in spell.limits[1:]), float("inf")]
    return sum(
        limit.per_s * max(0.0, min(end, start + WINDOW_S) - max(limit.at, start))
        for limit, end in zip(spell.limits, ends, strict=True)
        if limit.per_s is not None
    )


def _after_leaving(ledger: SaidLedger) -> list[str]:
    lines = []
    by_target: dict[str, list[Told]] = defaultdict(list)
    for told in ledger.told_leavings:
        by_target[told.target].append(told)
    for arrival in ledger.arrivals:
        told_by_process = _told_by_process(iter(by_target.get(arrival.target, ())))
        if _was_told(ledger, told_by_process, arrival, before=arrival.sent_at - DRAIN_S):
            lines.append(
                f"DRAIN {arrival.request}: reached {arrival.target} from {arrival.vm}, which had"
                f" passed on {DRAIN_S} s before it was sent that the target leaves"
            )
    return lines
