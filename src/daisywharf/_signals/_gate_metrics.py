"""Metrics of gates, for a daemon and for a target's own process."""

from collections.abc import Iterable, Sequence

import msgspec

from daisywharf._call._gate import Gate
from daisywharf._signals._counts import ANSWERED
from daisywharf._signals._metrics import Exposition, Metric, Sample, counter, gauge, render


class GateStats(msgspec.Struct, frozen=True):
    """Hold one gate's load and its counts of calls since its start.

    The shedding level is `level_importance` (0 critical to 3 low; 4 sheds nothing) and
    `level_sub_order`: calls at or after it in that order are refused.
    """

    target_id: str
    service: str
    slots: int
    limit: float
    in_flight: int
    waiting: int
    load_ratio: float
    level_importance: int
    level_sub_order: int
    answered: int
    refused_by_kind: dict[str, int]


def gate_stats(gate: Gate) -> GateStats:
    """Return a gate's current load and counts."""
    state = gate.admission_state
    level = gate.level
    counts = dict(gate.counts.count_by_outcome)
    return GateStats(
        target_id=gate.target_id,
        service=gate.service,
        slots=state.slots,
        limit=state.limit,
        in_flight=len(state.in_flight_by_id),
        waiting=len(state.waiting_by_id),
        load_ratio=level.load,
        level_importance=level.importance,
        level_sub_order=level.sub_order,
        answered=counts.pop(ANSWERED, 0),
        refused_by_kind=counts,
    )


def gate_exposition(gates: Sequence[Gate]) -> Exposition:
    """Return the metrics of a process's gates in the exposition format; the process serves them."""
    return render(gate_metrics(gate_stats(gate) for gate in gates))


def gate_metrics(stats: Iterable[GateStats]) -> list[Metric]:
    """Return the metrics of gates, ordered by target."""
    gates = sorted(stats, key=lambda gate: gate.target_id)

    def per_gate(field: str) -> list[Sample]:
        return [Sample(getattr(gate, field), _labels(gate)) for gate in gates]

    return [
        counter(
            "daisywharf_gate_calls_total", "Calls by how they ended.", *_outcome_samples(gates)
        ),
        gauge("daisywharf_gate_slots", "Announced slots.", *per_gate("slots")),
        gauge("daisywharf_gate_limit", "Calls that may run at a time.", *per_gate("limit")),
        gauge("daisywharf_gate_calls_in_flight", "Calls that run.", *per_gate("in_flight")),
        gauge("daisywharf_gate_calls_waiting", "Calls that wait.", *per_gate("waiting")),
        gauge(
            "daisywharf_gate_load_ratio",
            "Calls running and waiting for a slot, over the limit.",
            *per_gate("load_ratio"),
        ),
        gauge(
            "daisywharf_gate_level_importance",
            "Importance from which calls are refused: 0 critical to 3 low, 4 none.",
            *per_gate("level_importance"),
        ),
        gauge(
            "daisywharf_gate_level_sub_order",
            "Sub-order (0 to 65535) from which calls of that importance are refused.",
            *per_gate("level_sub_order"),
        ),
    ]


def _labels(gate: GateStats) -> dict[str, str]:
    return {"target": gate.target_id, "service": gate.service}


def _outcome_samples(gates: Iterable[GateStats]) -> list[Sample]:
    samples = []
    for gate in gates:
        counts = {ANSWERED: gate.answered, **gate.refused_by_kind}
        samples += [
            Sample(count, _labels(gate) | {"outcome": outcome})
            for outcome, count in sorted(counts.items())
        ]
    return samples
