"""Log, every few seconds, how requests ended at this entry and the load of the gate."""

from typing import Final

from daisywharf._mesh._counts import OutcomeLabels, OutcomeTotals, RequestStats, add_outcome
from daisywharf._mesh._gate import Gate
from daisywharf._overload._start_rate import StartRate
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# Short enough to plot an incident; one line per route and period is cheap next to its requests.
SUMMARY_PERIOD_S: Final = 2.0


class Summaries:
    """Write summary lines of the counts since the previous ones."""

    def __init__(self, counts: RequestStats, gate: Gate, *, now: float) -> None:
        self.counts = counts
        self.gate = gate
        self._last_started_count = 0
        self._count_by_labels: dict[OutcomeLabels, int] = {}
        self._written_at = now

    def tick(self, *, now: float) -> None:
        """Write the lines if they are due."""
        if now - self._written_at >= SUMMARY_PERIOD_S:
            self.write(now=now)

    def write(self, *, now: float) -> None:
        """Write a line per route with requests that ended since the last one, and the gate's."""
        period_s = round(now - self._written_at, 2)
        self._written_at = now
        for (route, service), totals in self._totals_since().items():
            log_event(
                Event.REQUESTS_COUNTED,
                route=route,
                service=service,
                period_s=period_s,
                served=totals.served,
                refused=totals.refused,
                failed=totals.failed,
                given_up=totals.given_up,
            )
        announcement = self.gate.announcement
        if announcement is not None:
            load = self.gate.load()
            log_event(
                Event.GATE_COUNTED,
                target=announcement.target_id,
                service=announcement.service,
                running=load.running,
                waiting=load.waiting,
                limit=load.limit,
                level=load.level,
                started=self.gate.started_count - self._last_started_count,
                per_s=_limit_field(self.gate.slots.rate),
            )
            self._last_started_count = self.gate.started_count

    def _totals_since(self) -> dict[tuple[str, str], OutcomeTotals]:
        totals_by_route: dict[tuple[str, str], OutcomeTotals] = {}
        for labels, count in self.counts.count_by_labels.items():
            new = count - self._count_by_labels.get(labels, 0)
            if new:
                self._count_by_labels[labels] = count
                route, service, outcome = labels
                add_outcome(
                    totals_by_route.setdefault((route, service), OutcomeTotals()), outcome, new
                )
        return totals_by_route


def _limit_field(rate: StartRate) -> float | str:
    """Return the rate limit in calls per second, "any" if there is none, or "unknown"."""
    if rate.limit_per_s is None:
        return "unknown"
    return rate.limit_per_s if rate.is_limited else "any"
