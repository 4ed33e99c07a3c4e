"""A caller embedded in a process, connected to the daemon of its VM."""

from collections.abc import Sequence
from typing import Final

from daisywharf._call._caller import Caller
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._embedded._daemon_link import DaemonLink
from daisywharf._ids import ServiceName, VmId, ZoneName
from daisywharf._topology import Address

FIRST_SNAPSHOT_TIMEOUT_S: Final = 5.0


class EmbeddedCaller:
    """Make calls from this process, with snapshots from the VM's daemon."""

    def __init__(
        self,
        *,
        daemon: tuple[str, int],
        name: str,
        keys: Sequence[str] = (),
        services: Sequence[str] = (),
    ) -> None:
        """Connect to `daemon` and wait for its first snapshot; raise `LinkError` if none arrives.

        `daemon` is the host and port of the daemon's links, `keys` are the fleet's shared keys, and
        `services` are the services whose targets the snapshots contain; empty means all.
        """
        holder = SnapshotHolder(Snapshot(VmId(""), ZoneName(""), 0))
        self._caller = Caller(holder, name=f"{name}@{Address(*daemon)}", keys=keys)
        self._link = DaemonLink(
            Address(*daemon),
            holder,
            keys=keys,
            services=tuple(ServiceName(service) for service in services),
            collect_demands=self._caller.demand.read_and_reset,
        )
        self._link.start(wait_s=FIRST_SNAPSHOT_TIMEOUT_S)

    @property
    def caller(self) -> Caller:
        """Return the caller, whose `enter` and `call` make requests."""
        return self._caller

    def close(self) -> None:
        """Close the link and all connections."""
        self._link.stop()
        self._caller.close()
