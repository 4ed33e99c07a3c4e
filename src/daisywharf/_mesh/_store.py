"""The interface to the platform's store, as the daemons use it."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from daisywharf._configuration import Configuration
from daisywharf._mesh._learned import LearnedCalls
from daisywharf._mesh._model import MemberRecord
from daisywharf._mesh._store_era import EraState


class ConfigurationRead(msgspec.Struct, frozen=True):
    """Hold the configuration, or None if there is none, and the revision to watch from.

    The revision is valid in the store's era `era` only.
    """

    configuration: Configuration | None
    revision: int
    era: int | None = None


class Store(Protocol):
    """Keep state that outlives the daemons; each call raises `PlatformError` on failure.

    A call fails within a few seconds if the store doesn't answer. A response of an older era than
    `era_state` holds counts as none. `on_new_era` is called with the earlier era when a response
    names a new one.
    """

    era_state: EraState
    on_new_era: Callable[[int | None], None]

    async def read_configuration(self) -> ConfigurationRead:
        """Read the latest configuration."""

    async def watch_configuration(
        self, *, after: int, era: int | None, wait_s: float, within_s: float
    ) -> ConfigurationRead:
        """Wait `wait_s` seconds for a configuration newer than a revision, which is of `era`.

        Returns one without a configuration if the wait ends first. Raises `PlatformError` if there
        is no answer in `within_s` seconds, which include the wait, and with the kind
        `PLATFORM_GONE` if the store no longer has the history after the revision, or is in another
        era.
        """

    async def write_member(self, record: MemberRecord) -> MemberRecord | None:
        """Write a daemon's own record.

        If an earlier process's record is found there, returns that and writes nothing; the next
        call replaces it.
        """

    async def is_member_stored(self, record: MemberRecord) -> bool:
        """Read a daemon's own record; return whether it is stored as given."""

    async def read_learned_calls(self) -> LearnedCalls:
        """Read what the fleet has learned about its calls; empty if nothing was written."""

    async def write_learned_calls(self, learned: LearnedCalls) -> None:
        """Write what the fleet has learned about its calls."""

    async def list_members(self) -> list[MemberRecord]:
        """Read the records of all daemons."""
