"""An in-memory platform, for demonstrations, tests and the stand-in."""

import threading
from collections import deque
from typing import Final

from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import EditId, Version
from daisywharf._limits import MAX_BODY_BYTES, MAX_NAME_CHARS
from daisywharf._objects._interface import Change, Changes, Listing, ObjectKind, PlatformObject

MAX_HISTORY_CHANGES: Final = 4_096


class EmbeddedPlatform:
    """Hold objects by kind and name, and for each kind its latest changes for watches.

    A watch from before the retained `max_history_changes` fails with `PlatformError` (gone).
    """

    def __init__(self, *, max_history_changes: int = MAX_HISTORY_CHANGES) -> None:
        self._condition = threading.Condition()
        self._version = 0
        self._object_by_name: dict[ObjectKind, dict[str, PlatformObject]] = {
            kind: {} for kind in ObjectKind
        }
        self._history_by_kind: dict[ObjectKind, deque[Change]] = {
            kind: deque() for kind in ObjectKind
        }
        self._dropped_version_by_kind = dict.fromkeys(ObjectKind, 0)
        self._max_history_changes = max_history_changes

    def get(self, kind: ObjectKind, name: str, *, timeout_s: float) -> PlatformObject:
        """Return one object."""
        with self._condition:
            return self._get_existing(kind, name)

    def list(self, kind: ObjectKind, *, prefix: str = "", timeout_s: float) -> Listing:
        """Return all objects of a kind whose names start with `prefix`, ordered by name."""
        with self._condition:
            by_name = self._object_by_name[kind]
            names = sorted(name for name in by_name if name.startswith(prefix))
            return Listing(tuple(by_name[name] for name in names), Version(self._version))

    def create(
        self, kind: ObjectKind, name: str, body: bytes, *, edit_id: EditId, timeout_s: float
    ) -> PlatformObject:
        """Write an object that doesn't exist yet, and return it with its version."""
        _check_sizes(name, body)
        with self._condition:
            existing = self._object_by_name[kind].get(name)
            if existing is not None:
                message = (
                    f"{kind.value}/{name} exists at version {existing.version}; read and update"
                )
                raise PlatformError(ErrorKind.PLATFORM_CONFLICT, message)
            return self._write(kind, name, body, edit_id)

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
        _check_sizes(name, body)
        with self._condition:
            self._check_version(kind, name, if_version)
            return self._write(kind, name, body, edit_id)

    def delete(
        self, kind: ObjectKind, name: str, *, if_version: Version, edit_id: EditId, timeout_s: float
    ) -> Version:
        """Delete an object that is still at `if_version`, and return the deletion's version."""
        with self._condition:
            self._check_version(kind, name, if_version)
            del self._object_by_name[kind][name]
            return self._record_change(kind, name, None)

    def watch(self, kind: ObjectKind, *, after: Version, timeout_s: float) -> Changes:
        """Return the changes after a version, or none if `timeout_s` passes without any."""
        with self._condition:
            self._condition.wait_for(lambda: self._can_answer_watch(kind, after), timeout_s)
            self._check_retained(kind, after)
            history = self._history_by_kind[kind]
            changes = tuple(change for change in history if change.version > after)
            return Changes(changes, Version(self._version))

    def _can_answer_watch(self, kind: ObjectKind, after: Version) -> bool:
        """Return whether a watch needn't wait: there are changes, or it can't resume at `after`."""
        history = self._history_by_kind[kind]
        return (
            after > self._version
            or after < self._dropped_version_by_kind[kind]
            or bool(history and history[-1].version > after)
        )

    def _check_retained(self, kind: ObjectKind, after: Version) -> None:
        # A version newer than the current one comes from a platform whose state was lost.
        oldest = self._dropped_version_by_kind[kind]
        if oldest <= after <= self._version:
            return
        message = f"changes after version {after} aren't kept (kept: {oldest} to {self._version})"
        raise PlatformError(ErrorKind.PLATFORM_GONE, f"{message}; list {kind.value} again")

    def _get_existing(self, kind: ObjectKind, name: str) -> PlatformObject:
        existing = self._object_by_name[kind].get(name)
        if existing is None:
            message = f"{kind.value}/{name} doesn't exist; list {kind.value} to see what exists"
            raise PlatformError(ErrorKind.PLATFORM_GONE, message)
        return existing

    def _check_version(self, kind: ObjectKind, name: str, if_version: Version) -> None:
        existing = self._get_existing(kind, name)
        if existing.version == if_version:
            return
        message = (
            f"{kind.value}/{name} is at version {existing.version}, not {if_version}; read again"
        )
        raise PlatformError(ErrorKind.PLATFORM_CONFLICT, message)

    def _write(self, kind: ObjectKind, name: str, body: bytes, edit_id: EditId) -> PlatformObject:
        version = Version(self._version + 1)
        new_object = PlatformObject(kind, name, version, edit_id, body)
        self._object_by_name[kind][name] = new_object
        self._record_change(kind, name, new_object)
        return new_object

    def _record_change(
        self, kind: ObjectKind, name: str, new_object: PlatformObject | None
    ) -> Version:
        self._version += 1
        version = Version(self._version)
        history = self._history_by_kind[kind]
        history.append(Change(kind, name, version, new_object))
        if len(history) > self._max_history_changes:
            self._dropped_version_by_kind[kind] = history.popleft().version
        self._condition.notify_all()
        return version


def _check_sizes(name: str, body: bytes) -> None:
    if not 0 < len(name) <= MAX_NAME_CHARS:
        message = f"object name {name[:40]!r} has {len(name)} characters; use 1 to {MAX_NAME_CHARS}"
        raise PlatformError(ErrorKind.BAD_REQUEST, message)
    if len(body) > MAX_BODY_BYTES:
        message = f"object {name!r} has {len(body)} bytes; write at most {MAX_BODY_BYTES}"
        raise PlatformError(ErrorKind.TOO_LARGE, message)
