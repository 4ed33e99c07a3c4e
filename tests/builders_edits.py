"""Contracts, edits and a platform with scripted faults for tests."""

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

from daisywharf import CallClass, Contract, ErrorKind, Importance, PlatformError
from daisywharf._contracts._edits import EditCall
from daisywharf._contracts._schema import Edit
from daisywharf._ids import CallClassName, CustomerId, EditId, ServiceName, Version
from daisywharf._objects._embedded import EmbeddedPlatform
from daisywharf._objects._interface import (
    Change,
    Changes,
    Listing,
    ObjectKind,
    Platform,
    PlatformObject,
)

Result = TypeVar("Result")

TIMEOUT_S = 1.0
NO_VERSION = Version(0)
CUSTOMER = CustomerId("builders")


class WriteFault(Enum):
    """What happens to a write."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_BEFORE = "lost before the effect"
    LOST_AFTER = "lost after the effect"
    LATE = "takes effect during a later call"


class ScriptedPlatform:
    """A platform that applies the next fault of `script` to each write.

    Before each `get` and each write it runs `interfere` if the next item of `interferences` is
    true.
    """

    def __init__(self) -> None:
        self.inner = EmbeddedPlatform()
        self.script: deque[WriteFault] = deque()
        self.interferences: deque[bool] = deque()
        self.interfere: Callable[[], None] = lambda: None
        self._late: list[Callable[[], object]] = []

    def get(self, kind: ObjectKind, name: str, *, timeout_s: float) -> PlatformObject:
        self._run_interference()
        found = self._read(lambda: self.inner.get(kind, name, timeout_s=timeout_s))
        self.land_late_writes()
        return found

    def list(self, kind: ObjectKind, *, prefix: str = "", timeout_s: float) -> Listing:
        return self.inner.list(kind, prefix=prefix, timeout_s=timeout_s)

    def create(
        self, kind: ObjectKind, name: str, body: bytes, *, edit_id: EditId, timeout_s: float
    ) -> PlatformObject:
        return self._write(
            lambda: self.inner.create(kind, name, body, edit_id=edit_id, timeout_s=timeout_s)
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
        return self._write(
            lambda: self.inner.update(
                kind, name, body, if_version=if_version, edit_id=edit_id, timeout_s=timeout_s
            )
        )

    def delete(
        self, kind: ObjectKind, name: str, *, if_version: Version, edit_id: EditId, timeout_s: float
    ) -> Version:
        return self._write(
            lambda: self.inner.delete(
                kind, name, if_version=if_version, edit_id=edit_id, timeout_s=timeout_s
            )
        )

    def watch(self, kind: ObjectKind, *, after: Version, timeout_s: float) -> Changes:
        return self.inner.watch(kind, after=after, timeout_s=timeout_s)

    def land_late_writes(self) -> None:
        late, self._late = self._late, []
        for write in late:
            try:
                write()
            except PlatformError:
                continue

    def _run_interference(self) -> None:
        if self.interferences and self.interferences.popleft():
            self.interfere()

    def _read(self, read: Callable[[], PlatformObject]) -> PlatformObject:
        # A late write takes effect after the read, where it is hardest to detect.
        try:
            return read()
        except PlatformError:
            self.land_late_writes()
            raise

    def _write(self, write: Callable[[], Result]) -> Result:
        self._run_interference()
        fault = self.script.popleft() if self.script else WriteFault.NONE
        if fault is WriteFault.UNAVAILABLE:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "scripted")
        if fault is WriteFault.LATE:
            self._late.append(write)
        if fault in (WriteFault.LATE, WriteFault.LOST_BEFORE):
            raise PlatformError(ErrorKind.PLATFORM_OUTCOME_UNKNOWN, "scripted")
        written = write()
        if fault is WriteFault.LOST_AFTER:
            raise PlatformError(ErrorKind.PLATFORM_OUTCOME_UNKNOWN, "scripted")
        return written


def call_of(platform: Platform, edit_id: str) -> EditCall:
    return EditCall(platform, EditId(edit_id), Edit("op", 0.0), TIMEOUT_S, lambda _: None)


def contract_of_burst(burst: float, *, version: Version = NO_VERSION) -> Contract:
    order = CallClass(
        name=CallClassName("place-order"),
        services=(ServiceName("orders"),),
        importance=Importance.CRITICAL,
        rate_per_second=10.0,
        burst=burst,
        deadline_ms=1000,
        idempotent=False,
    )
    return Contract(CUSTOMER, {order.name: order}, version)


def contract_changes(platform: EmbeddedPlatform) -> tuple[Change, ...]:
    return platform.watch(ObjectKind.CONTRACT, after=Version(0), timeout_s=0.0).changes


def writes_by(edit_id: str, changes: Iterable[Change]) -> list[Change]:
    return [change for change in changes if change.object and change.object.edit_id == edit_id]
