"""The frames that travel on the links between the project's processes."""

import msgspec

from daisywharf._call._demand import Demand
from daisywharf._call._snapshot import Snapshot
from daisywharf._fleet._messages import FleetMessage, Member
from daisywharf._ids import ServiceName


class Challenge(msgspec.Struct, frozen=True, tag="challenge"):
    """Open a link: the accepting side names a nonce."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Answer a challenge with a proof and a nonce; a library on the VM has no member."""

    nonce: bytes
    proof: bytes
    member: Member | None = None


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """Prove that the accepting side holds the key as well."""

    proof: bytes


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Ask the other end to echo a sequence number."""

    sequence: int


class HeartbeatEcho(msgspec.Struct, frozen=True, tag="echo"):
    """Answer a heartbeat."""

    sequence: int


class FleetFrame(msgspec.Struct, frozen=True, tag="fleet"):
    """Carry a message of the fleet."""

    message: FleetMessage


class Subscribe(msgspec.Struct, frozen=True, tag="subscribe"):
    """Ask for snapshots; no services means all."""

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
