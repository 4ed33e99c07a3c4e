"""The interface behind which the platform's store stands for the data path."""

from typing import Protocol

import msgspec

from daisywharf._configuration import Configuration
from daisywharf._mesh._learned import Learned
from daisywharf._mesh._model import MemberRecord


class ConfigurationRead(msgspec.Struct, frozen=True):
    """Hold the configuration, if there is one, and the revision from which to watch."""

    configuration: Configuration | None
    revision: int


class Store(Protocol):
    """Keep what must last; each call raises `PlatformError` within a few seconds."""

    async def read_configuration(self) -> ConfigurationRead:
        """Read the latest configuration."""

    async def watch_configuration(
        self, *, after: int, wait_s: float, within_s: float
    ) -> ConfigurationRead:
        """Wait for a configuration newer than a revision; return none when the wait ends.

        The call fails where its answer isn't here in `within_s`, which includes the wait.

        The error kind gone says that the history after the revision is lost.
        """

    async def write_member(self, record: MemberRecord) -> MemberRecord | None:
        """Keep a daemon's own record; return that of an earlier process which it replaced."""

    async def read_learned(self) -> Learned:
        """Read what the fleet has learned of its calls; nothing where it has kept nothing."""

    async def write_learned(self, learned: Learned) -> None:
        """Keep what the fleet has learned."""

    async def list_members(self) -> list[MemberRecord]:
        """Read the records of all daemons."""
