"""A platform wrapper that injects faults and counts calls, for tests and the stand-in."""

import threading
import time
from collections.abc import Callable
from enum import Enum
from typing import Final, TypeVar

import msgspec

from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import EditId, Version
from daisywharf._objects._interface import (
    Changes,
    Listing,
    ObjectKind,
    Platform,
    PlatformObject,
)

RATE_WINDOW_S: Final = 1.0

Result = TypeVar("Result")


class Verb(Enum):
    """The calls of the platform's interface."""

    GET = "get"
    LIST = "list"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    WATCH = "watch"


WRITES: Final = frozenset({Verb.CREATE, Verb.UPDATE, Verb.DELETE})


class WatchFault(Enum):
    """The fault of each watch: `silent` fails at its timeout, `closed` at once."""

    NONE = "none"
    SILENT = "silent"
    CLOSED = "closed"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configure the injected faults.

    All calls are refused (`down`), delayed by `slow_s`, or refused beyond `calls_per_second`.
    The answers to the next `lose_answers` calls and `lose_write_answers` writes are lost after
    the call has taken effect.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_write_answers: int = 0
    watches: WatchFault = WatchFault.NONE
    calls_per_second: int | None = None


class Counts(msgspec.Struct, frozen=True):
    """Hold the number of calls by verb, and of those that were refused."""

    calls_by_verb: dict[Verb, int]
    refused: int


class AnswerLostError(PlatformError):
    """Report that a call was run, or a watch waited, but its answer was lost."""


class FaultyPlatform:
    """Wrap a platform and inject the configured faults into its calls; thread-safe."""

    def __init__(self, platform: Platform, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._platform = platform
        self._clock = clock
        self._condition = threading.Condition()
        self._faults = Faults()
        self._answers_to_lose = 0
        self._write_answers_to_lose = 0
        self._window_started_at = clock()
        self._calls_in_window = 0
        self._calls_by_verb = dict.fromkeys(Verb, 0)
        self._refused = 0

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults; watches that wait because of `silent` fail if it is no longer set."""
        with self._condition:
            self._faults = faults
            self._answers_to_lose = faults.lose_answers
            self._write_answers_to_lose = faults.lose_write_answers
            self._condition.notify_all()

    def counts(self) -> Counts:
        """Return the counts of calls so far."""
        with self._condition:
            return Counts(dict(self._calls_by_verb), self._refused)

    def get(self, kind: ObjectKind, name: str, *, timeout_s: float) -> PlatformObject:
        """Return one object."""
        return self._run(Verb.GET, lambda: self._platform.get(kind, name, timeout_s=timeout_s))

    def list(self, kind: ObjectKind, *, prefix: str = "", timeout_s: float) -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""
        return self._run(
            Verb.LIST, lambda: self._platform.list(kind, prefix=prefix, timeout_s=timeout_s)
        )

    def create(
        self, kind: ObjectKind, name: str, body: bytes, *, edit_id: EditId, timeout_s: float
    ) -> PlatformObject:
        """Write an object that doesn't exist yet, and return it with its version."""
        return self._run(
            Verb.CREATE,
            lambda: self._platform.create(kind, name, body, edit_id=edit_id, timeout_s=timeout_s),
        )

    def update(
        self,
        kind: ObjectKind,
        name: str,
        body: bytes,
        *,
        if_version: Version,
        edit_id: EditId,
        timeout_s: float,
    ) -> PlatformObject:
        """Overwrite an object that is still at `if_version`, and return it with its new version."""
        return self._run(
            Verb.UPDATE,
            lambda: self._platform.update(
                kind, name, body, if_version=if_version, edit_id=edit_id, timeout_s=timeout_s
            ),
        )

    def delete(
        self, kind: ObjectKind, name: str, *, if_version: Version, edit_id: EditId, timeout_s: float
    ) -> Version:
        """Delete an object that is still at `if_version`, and return the deletion's version."""
        return self._run(
            Verb.DELETE,
            lambda: self._platform.delete(
                kind, name, if_version=if_version, edit_id=edit_id, timeout_s=timeout_s
            ),
        )

    def watch(self, kind: ObjectKind, *, after: Version, timeout_s: float) -> Changes:
        """Return the changes after a version, or none if `timeout_s` passes without any."""

        def wait() -> Changes:
            self._apply_watch_fault(timeout_s)
            return self._platform.watch(kind, after=after, timeout_s=timeout_s)

        return self._run(Verb.WATCH, wait)

    def _run(self, verb: Verb, call: Callable[[], Result]) -> Result:
        self._admit(verb)
        result = call()
        if self._should_lose_answer(verb):
            unknown = ErrorKind.PLATFORM_OUTCOME_UNKNOWN
            kind = unknown if verb in WRITES else ErrorKind.PLATFORM_UNAVAILABLE
            raise AnswerLostError(kind, f"the answer to a {verb.value} was lost; read again")
        return result

    def _admit(self, verb: Verb) -> None:
        with self._condition:
            self._calls_by_verb[verb] += 1
            refusal = self._refusal_error()
            if refusal is not None:
                self._refused += 1
                raise refusal
            slow_s = self._faults.slow_s
        if slow_s > 0:
            time.sleep(slow_s)

    def _refusal_error(self) -> PlatformError | None:
        unavailable = ErrorKind.PLATFORM_UNAVAILABLE
        if self._faults.down:
            return PlatformError(unavailable, "the platform is down; retry later")
        now = self._clock()
        if now - self._window_started_at >= RATE_WINDOW_S:
            self._window_started_at = now
            self._calls_in_window = 0
        self._calls_in_window += 1
        limit_per_s = self._faults.calls_per_second
        if limit_per_s is None or self._calls_in_window <= limit_per_s:
            return None
        message = f"more than {limit_per_s} calls per second; call less often"
        return PlatformError(unavailable, message, retry_after_s=RATE_WINDOW_S)

    def _should_lose_answer(self, verb: Verb) -> bool:
        """Return whether to lose the answer to this call; if so, one fewer is left to lose."""
        with self._condition:
            if self._answers_to_lose > 0:
                self._answers_to_lose -= 1
                return True
            if verb in WRITES and self._write_answers_to_lose > 0:
                self._write_answers_to_lose -= 1
                return True
            return False

    def _apply_watch_fault(self, timeout_s: float) -> None:
        """Wait and fail as configured for watches; return at once if no fault is configured."""
        with self._condition:
            fault = self._faults.watches
            if fault is WatchFault.NONE:
                return
            if fault is WatchFault.SILENT:
                self._condition.wait_for(
                    lambda: self._faults.watches is not WatchFault.SILENT, timeout_s
                )
        message = f"the watch was aborted ({fault.value}); watch again"
        raise AnswerLostError(ErrorKind.PLATFORM_UNAVAILABLE, message)
