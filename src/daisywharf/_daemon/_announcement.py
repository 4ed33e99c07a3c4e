"""Parse and check the announcements that targets send to the daemon of their VM."""

import msgspec

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import Incarnation, ServiceName, TargetId, VmId, ZoneName
from daisywharf._limits import (
    MAX_ANNOUNCEMENT_BYTES,
    MAX_CONNECTIONS,
    MAX_NAME_CHARS,
    MAX_SLOTS,
)
from daisywharf._topology import Address, GateHost, Target, TargetState, is_ip_address


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a target as it announces itself; `incarnation` increases with each start."""

    target_id: str
    service: str
    incarnation: int
    address: Address
    slots: int
    connections: int
    state: TargetState = TargetState.SERVING
    gate: GateHost = GateHost.TARGET


def read_announcement(body: bytes) -> Announcement:
    """Parse and check an announcement; raise `RequestError` (bad request, too large)."""
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        message = (
            f"announcement has {len(body)} bytes; at most {MAX_ANNOUNCEMENT_BYTES} are accepted"
        )
        raise RequestError(ErrorKind.TOO_LARGE, message)
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except msgspec.MsgspecError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"announcement: {error}") from error
    _check_name("target_id", announcement.target_id)
    _check_name("service", announcement.service)
    _check_number("incarnation", announcement.incarnation, 0, 2**63 - 1)
    _check_number("slots", announcement.slots, 1, MAX_SLOTS)
    _check_number("connections", announcement.connections, 1, MAX_CONNECTIONS)
    _check_host(announcement.address.host)
    _check_number("address.port", announcement.address.port, 1, 65_535)
    return announcement


def target_from(announcement: Announcement, *, vm: VmId, zone: ZoneName, http: Address) -> Target:
    """Return the target that an announcement describes.

    If the daemon runs the target's gate, the target's address is the daemon's own, `http`.
    """
    is_hosted = announcement.gate is GateHost.DAEMON
    return Target(
        target_id=TargetId(announcement.target_id),
        service=ServiceName(announcement.service),
        vm=vm,
        zone=zone,
        incarnation=Incarnation(announcement.incarnation),
        address=http if is_hosted else announcement.address,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state,
        gate=announcement.gate,
        path_prefix=f"/gate/{announcement.target_id}" if is_hosted else "",
    )


def _check_name(field: str, value: str) -> None:
    is_plain = value.replace("-", "").replace("_", "").replace(".", "").isalnum()
    if is_plain and value.isascii() and len(value) <= MAX_NAME_CHARS:
        return
    message = (
        f"announcement: {field} is {value[:MAX_NAME_CHARS]!r}; use 1 to {MAX_NAME_CHARS} "
        "letters, digits, dots, dashes and underscores"
    )
    raise RequestError(ErrorKind.BAD_REQUEST, message)


def _check_host(host: str) -> None:
    if is_ip_address(host):
        return
    shown = host[:MAX_NAME_CHARS]
    message = f"announcement: address.host is {shown!r}; use an IP address, such as 10.0.0.5"
    raise RequestError(ErrorKind.BAD_REQUEST, message)


def _check_number(field: str, value: int, minimum: int, maximum: int) -> None:
    if minimum <= value <= maximum:
        return
    message = f"announcement: {field} is {value}; use a number from {minimum} to {maximum}"
    raise RequestError(ErrorKind.BAD_REQUEST, message)


def check_is_on_this_vm(own_hosts: frozenset[str], *, sender: str, announced: str) -> None:
    """Check that a target runs on the daemon's VM; raise `RequestError` (untrusted peer)."""
    for field, host in (("sender", sender), ("address.host", announced)):
        if host not in own_hosts:
            message = (
                f"announcement: {field} is {host!r}, which is not this VM "
                f"({', '.join(sorted(own_hosts))}); announce to the daemon of the target's own VM"
            )
            raise RequestError(ErrorKind.UNTRUSTED_PEER, message)
