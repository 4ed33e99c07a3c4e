"""Log, every few seconds, how requests ended here and what the gate holds."""

from typing import Final

from daisywharf._mesh._counts import EndCounts, EndLabels, MeshCounts, add_ended
from daisywharf._mesh._gate import Gate
from daisywharf._overload._start_rate import StartRate
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# Fine enough for a plot of an incident; a line a route and period costs little beside its requests.
SUMMARY_S: Final = 2.0


class Summaries:
    """Hold the counts as they were when the last lines were written."""

    def __init__(self, counts: MeshCounts, gate: Gate, *, now: float) -> None:
        self.counts = counts
        self.gate = gate
        self._started = 0
        self._counted: dict[EndLabels, int] = {}
        self._written_at = now

    def tick(self, *, now: float) -> None:
        """Write the lines if it is time."""
        if now - self._written_at >= SUMMARY_S:
            self.write(now=now)

    def write(self, *, now: float) -> None:
        """Write a line for each route with requests that ended since the last lines."""
        period_s = round(now - self._written_at, 2)
        self._written_at = now
        for (route, service), ends in self._ends_since().items():
            log_event(
                Event.REQUESTS_COUNTED,
                route=route,
                service=service,
                period_s=period_s,
                served=ends.served,
                refused=ends.refused,
                failed=ends.failed,
                given_up=ends.given_up,
            )
        notice = self.gate.notice
        if notice is not None:
            load = self.gate.load()
            log_event(
                Event.GATE_COUNTED,
                target=notice.target_id,
                service=notice.service,
                running=load.running,
                waiting=load.waiting,
                limit=load.limit,
                level=load.level,
                started=self.gate.started - self._started,
                per_s=_shown(self.gate.slots.rate),
            )
            self._started = self.gate.started

    def _ends_since(self) -> dict[tuple[str, str], EndCounts]:
        ends_by_route: dict[tuple[str, str], EndCounts] = {}
        for labels, count in self.counts.ended_by_labels.items():
            new = count - self._counted.get(labels, 0)
            if new:
                self._counted[labels] = count
                route, service, outcome = labels
                add_ended(ends_by_route.setdefault((route, service), EndCounts()), outcome, new)
        return ends_by_route


def _shown(rate: StartRate) -> float | str:
    """Return the limit as a line shows it."""
    if rate.limit_per_s is None:
        return "unknown"
    return rate.limit_per_s if rate.is_limited else "any"
