"""The frames on links between daemons, and between a daemon and the libraries on its VM."""

import msgspec

from daisywharf._call._demand import Demand
from daisywharf._call._snapshot import Snapshot
from daisywharf._fleet._messages import FleetMessage, Member
from daisywharf._ids import ServiceName


class Challenge(msgspec.Struct, frozen=True, tag="challenge"):
    """Open a link: the accepting side sends a nonce."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Answer a challenge with a proof and a nonce; `member` is None for a library on the VM."""

    nonce: bytes
    proof: bytes
    member: Member | None = None


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """Prove that the accepting side has the key as well."""

    proof: bytes


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Request an echo of a sequence number from the other end."""

    sequence: int


class HeartbeatEcho(msgspec.Struct, frozen=True, tag="echo"):
    """Answer a heartbeat with its sequence number."""

    sequence: int


class FleetFrame(msgspec.Struct, frozen=True, tag="fleet"):
    """Carry a message between the fleet's daemons."""

    message: FleetMessage


class Subscribe(msgspec.Struct, frozen=True, tag="subscribe"):
    """Subscribe to snapshots with the targets of some services, or of all if none is named."""

    services: tuple[ServiceName, ...] = ()


class DemandReport(msgspec.Struct, frozen=True, tag="demand"):
    """Report the requests that entered through a library since its last report."""

    demands: tuple[Demand, ...]


Frame = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | HeartbeatEcho
    | FleetFrame
    | Subscribe
    | Snapshot
    | DemandReport
)
