"""Count the requests that entered through a daemon and are not yet answered."""

import threading
from types import TracebackType


class InFlight:
    """Count the requests inside its context manager; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.count = 0

    def __enter__(self) -> None:
        with self._lock:
            self.count += 1

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with self._lock:
            self.count -= 1
