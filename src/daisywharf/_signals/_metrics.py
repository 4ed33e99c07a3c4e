"""Write metrics in the exposition format, from numbers that their holders keep anyway."""

from collections.abc import Iterable
from enum import Enum
from typing import Final

import msgspec

MAX_LABEL_CHARS: Final = 128


class MetricKind(Enum):
    """Name the kinds of metrics that are written."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Sample(msgspec.Struct, frozen=True):
    """Hold a value with its labels."""

    value: float
    labels: dict[str, str] = {}


class Metric(msgspec.Struct, frozen=True):
    """Hold a metric's name, which ends in its unit, what it counts, and its samples."""

    name: str
    kind: MetricKind
    help: str
    samples: tuple[Sample, ...]


class Exposition(msgspec.Struct, frozen=True):
    """Hold written metrics and their content type."""

    content_type: str
    body: bytes


def counter(name: str, text: str, *samples: Sample) -> Metric:
    """Describe a number that only grows."""
    return Metric(name, MetricKind.COUNTER, text, samples)


def gauge(name: str, text: str, *samples: Sample) -> Metric:
    """Describe a number that grows and falls."""
    return Metric(name, MetricKind.GAUGE, text, samples)


def render(metrics: Iterable[Metric]) -> Exposition:
    """Write metrics in the exposition format."""
    # Imported by the first scrape, so that a daemon that nobody scrapes doesn't hold it.
    from aioprometheus.collectors import Counter, Gauge, Registry
    from aioprometheus.formats.text import TextFormatter

    registry = Registry()
    for metric in metrics:
        collector_type = Counter if metric.kind is MetricKind.COUNTER else Gauge
        collector = collector_type(metric.name, metric.help, registry=registry)
        for sample in metric.samples:
            collector.set(_escaped(sample.labels), sample.value)
    formatter = TextFormatter()
    content_type: str = formatter.get_headers()["Content-Type"]
    return Exposition(content_type, formatter.marshall(registry))


def _escaped(labels: dict[str, str]) -> dict[str, str]:
    return {name: _escape(value[:MAX_LABEL_CHARS]) for name, value in labels.items()}


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
