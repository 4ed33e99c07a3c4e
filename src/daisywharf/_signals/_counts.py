"""Count calls by outcome, in a bounded number of series."""

import threading
from collections.abc import Callable
from typing import Final, TypeVar

import msgspec

from daisywharf._errors import ErrorKind, RequestError

MAX_SERIES: Final = 512
OTHER_LABEL: Final = "other"
ANSWERED: Final = "answered"

Reply = TypeVar("Reply")

# Errors of requests whose customer or class was sent by an external caller and matches no contract.
# Such names aren't used as labels.
UNVERIFIED_LABEL_KINDS: Final = frozenset({ErrorKind.UNKNOWN_CUSTOMER, ErrorKind.NOT_IN_CONTRACT})


class RequestLabels(msgspec.Struct, frozen=True, order=True):
    """Identify one series: a customer, a call class and an outcome."""

    customer: str
    call_class: str
    outcome: str


class RequestCounts:
    """Count finished requests by customer, call class and outcome; thread-safe.

    Once there are `max_series` series, new ones are counted under `other`.
    """

    def __init__(self, *, max_series: int = MAX_SERIES) -> None:
        self.max_series = max_series
        self.count_by_labels: dict[RequestLabels, int] = {}
        self._lock = threading.Lock()

    def add(self, customer: str, call_class: str, kind: ErrorKind | None) -> None:
        """Count one request that was answered (`kind` is None) or failed."""
        outcome = ANSWERED if kind is None else kind.value
        if kind in UNVERIFIED_LABEL_KINDS:
            customer = call_class = OTHER_LABEL
        labels = RequestLabels(customer, call_class, outcome)
        with self._lock:
            if labels not in self.count_by_labels and self._is_full():
                labels = RequestLabels(OTHER_LABEL, OTHER_LABEL, outcome)
            self.count_by_labels[labels] = self.count_by_labels.get(labels, 0) + 1

    def _is_full(self) -> bool:
        return len(self.count_by_labels) >= self.max_series


def run_counted(
    counts: RequestCounts, customer: str, call_class: str, run: Callable[[], Reply]
) -> Reply:
    """Return the result of `run` and count its outcome; an unexpected exception is `internal`."""
    kind: ErrorKind | None = ErrorKind.INTERNAL
    try:
        reply = run()
        kind = None
        return reply
    except RequestError as error:
        kind = error.kind
        raise
    finally:
        counts.add(customer, call_class, kind)


class OutcomeCounts:
    """Count calls by outcome; thread-safe."""

    def __init__(self) -> None:
        self.count_by_outcome: dict[str, int] = {}
        self._lock = threading.Lock()

    def add(self, kind: ErrorKind | None) -> None:
        """Count one call that was answered (`kind` is None) or failed."""
        self.add_label(ANSWERED if kind is None else kind.value)

    def add_label(self, label: str) -> None:
        """Count one call under an outcome or another label, such as the name of an action."""
        with self._lock:
            self.count_by_outcome[label] = self.count_by_outcome.get(label, 0) + 1
