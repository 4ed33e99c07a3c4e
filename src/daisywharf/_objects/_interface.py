"""The interface that adapts the users' object API."""

from enum import Enum
from typing import Protocol

import msgspec

from daisywharf._ids import EditId, Version


class ObjectKind(Enum):
    """The kinds of objects that the system stores on the platform.

    A contact is a daemon that other zones can address; a claim ties a caller's idempotency key to
    the target that runs its call.
    """

    CONTRACT = "contracts"
    CONTRACT_HISTORY = "contract-histories"
    CONTACT = "contacts"
    CLAIM = "claims"
    DRAIN = "drains"


class PlatformObject(msgspec.Struct, frozen=True):
    """Hold one object; `body` is JSON, and `edit_id` identifies the edit that wrote it."""

    kind: ObjectKind
    name: str
    version: Version
    edit_id: EditId
    body: bytes


class Listing(msgspec.Struct, frozen=True):
    """Hold the listed objects of a kind, and the version after which to watch."""

    objects: tuple[PlatformObject, ...]
    version: Version


class Change(msgspec.Struct, frozen=True):
    """Hold a written object, or a deletion (`object` is None), and its version."""

    kind: ObjectKind
    name: str
    version: Version
    object: PlatformObject | None


class Changes(msgspec.Struct, frozen=True):
    """Hold the changes after a version, in order; empty if a watch timed out.

    The next watch continues after `version`.
    """

    changes: tuple[Change, ...]
    version: Version


class Platform(Protocol):
    """The object API; each call takes at most `timeout_s` and raises `PlatformError` if it fails.

    The kinds of the error: conflict (a condition failed, or the object exists), gone (no such
    object, or a watch version too old), unavailable (not done), outcome unknown (may be done).
    """

    def get(self, kind: ObjectKind, name: str, *, timeout_s: float) -> PlatformObject:
        """Return one object."""

    def list(self, kind: ObjectKind, *, prefix: str = "", timeout_s: float) -> Listing:
        """Return all objects of a kind whose names start with `prefix`."""

    def create(
        self, kind: ObjectKind, name: str, body: bytes, *, edit_id: EditId, timeout_s: float
    ) -> PlatformObject:
        """Write an object that doesn't exist yet, and return it with its version."""

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

    def delete(
        self, kind: ObjectKind, name: str, *, if_version: Version, edit_id: EditId, timeout_s: float
    ) -> Version:
        """Delete an object that is still at `if_version`, and return the deletion's version."""

    def watch(self, kind: ObjectKind, *, after: Version, timeout_s: float) -> Changes:
        """Return the changes after a version, or none if `timeout_s` passes without any."""
