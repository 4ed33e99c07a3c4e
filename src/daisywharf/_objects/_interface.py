"""The narrow interface behind which the users' object API stands."""

from enum import Enum
from typing import Protocol

import msgspec

from daisywharf._ids import EditId, Version


class ObjectKind(Enum):
    """Name the kinds of objects that the system keeps on the platform."""

    CONTRACT = "contracts"
    CONTRACT_HISTORY = "contract-histories"
    CONTACT = "contacts"
    CLAIM = "claims"
    DRAIN = "drains"


class PlatformObject(msgspec.Struct, frozen=True):
    """Hold one object; `body` is JSON, and `edit_id` names the edit that wrote it."""

    kind: ObjectKind
    name: str
    version: Version
    edit_id: EditId
    body: bytes


class Listing(msgspec.Struct, frozen=True):
    """Hold all objects of a kind, and the version from which to watch."""

    objects: tuple[PlatformObject, ...]
    version: Version


class Change(msgspec.Struct, frozen=True):
    """Report a written object, or a deletion (no object) at a version."""

    kind: ObjectKind
    name: str
    version: Version
    object: PlatformObject | None


class Changes(msgspec.Struct, frozen=True):
    """Hold what changed after a version, in order; empty where a watch ran out of time."""

    changes: tuple[Change, ...]
    version: Version


class Platform(Protocol):
    """Call the object API; each call raises `PlatformError` and takes at most `timeout_s`.

    The kinds of the error: conflict (a condition failed, or the object exists), gone (no such
    object, or a watch version too old), unavailable (not done), outcome unknown (may be done).
    """

    def get(self, kind: ObjectKind, name: str, *, timeout_s: float) -> PlatformObject:
        """Read one object."""

    def list(self, kind: ObjectKind, *, prefix: str = "", timeout_s: float) -> Listing:
        """Read all objects of a kind whose names start with `prefix`."""

    def create(
        self, kind: ObjectKind, name: str, body: bytes, *, edit_id: EditId, timeout_s: float
    ) -> PlatformObject:
        """Write an object that must not exist yet."""

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
        """Write an object that must still be at `if_version`."""

    def delete(
        self, kind: ObjectKind, name: str, *, if_version: Version, edit_id: EditId, timeout_s: float
    ) -> Version:
        """Delete an object that must still be at `if_version`; return the deletion's version."""

    def watch(self, kind: ObjectKind, *, after: Version, timeout_s: float) -> Changes:
        """Wait for changes after a version; return none when `timeout_s` runs out."""
