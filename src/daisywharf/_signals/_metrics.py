"""Write metrics in the Prometheus exposition format, from counts kept elsewhere."""

from collections.abc import Iterable
from enum import Enum
from typing import Final

import msgspec

MAX_LABEL_CHARS: Final = 128


class MetricKind(Enum):
    """The supported kinds of metrics."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Sample(msgspec.Struct, frozen=True):
    """Hold one value and its labels."""

    value: float
    labels: dict[str, str] = {}


class Metric(msgspec.Struct, frozen=True):
    """Hold a metric's name, which ends in its unit, its help text and its samples."""

    name: str
    kind: MetricKind
    help: str
    samples: tuple[Sample, ...]


class Exposition(msgspec.Struct, frozen=True):
    """Hold encoded metrics and their content type."""

    content_type: str
    body: bytes


def counter(name: str, text: str, *samples: Sample) -> Metric:
    """Return a metric whose value only increases."""
    return Metric(name, MetricKind.COUNTER, text, samples)


def gauge(name: str, text: str, *samples: Sample) -> Metric:
    """Return a metric whose value can increase and decrease."""
    return Metric(name, MetricKind.GAUGE, text, samples)


def render(metrics: Iterable[Metric]) -> Exposition:
    """Return metrics in the exposition format."""
    # Imported at the first scrape: a daemon that is never scraped saves its memory.
    from aioprometheus.collectors import Counter, Gauge, Registry
    from aioprometheus.formats.text import TextFormatter

    registry = Registry()
    for metric in metrics:
        collector_type = Counter if metric.kind is MetricKind.COUNTER else Gauge
        collector = collector_type(metric.name, metric.help, registry=registry)
        for sample in metric.samples:
            collector.set(_escape_labels(sample.labels), sample.value)
    formatter = TextFormatter()
    content_type: str = formatter.get_headers()["Content-Type"]
    return Exposition(content_type, formatter.marshall(registry))


def _escape_labels(labels: dict[str, str]) -> dict[str, str]:
    return {name: _escape_value(value[:MAX_LABEL_CHARS]) for name, value in labels.items()}


def _escape_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
