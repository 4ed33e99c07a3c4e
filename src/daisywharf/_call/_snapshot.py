"""The immutable view of the fleet that callers use to admit and route calls."""

import msgspec

from daisywharf._contract import CallClass, Contract
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CallClassName, CustomerId, ServiceName, VmId, ZoneName
from daisywharf._topology import Target


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Hold the view of the fleet that a daemon sends to the callers on its VM.

    It is only replaced as a whole. A share is the fraction of a contract's rate that may enter
    here, 0 to 1.
    """

    vm: VmId
    zone: ZoneName
    sequence: int
    contract_by_customer: dict[CustomerId, Contract] = {}
    targets_by_service: dict[ServiceName, tuple[Target, ...]] = {}
    share_by_class_by_customer: dict[CustomerId, dict[CallClassName, float]] = {}
    daemons_by_zone: dict[ZoneName, int] = {}


class SnapshotHolder:
    """Hold the current snapshot; replacing the reference needs no lock."""

    def __init__(self, current: Snapshot) -> None:
        self.current = current


def call_class_of(
    snapshot: Snapshot, customer: CustomerId, name: CallClassName, service: ServiceName
) -> CallClass:
    """Return the class of a call; raise `RequestError` (unknown customer, not in contract)."""
    contract = snapshot.contract_by_customer.get(customer)
    if contract is None:
        message = f"customer {customer!r} has no contract in force here; apply one"
        raise RequestError(ErrorKind.UNKNOWN_CUSTOMER, message)
    call_class = contract.classes_by_name.get(name)
    if call_class is None or service not in call_class.services:
        message = (
            f"contract of {customer!r} (version {contract.version}) has no class {name!r} "
            f"for service {service!r}; ask for one of: {', '.join(contract.classes_by_name)}"
        )
        raise RequestError(ErrorKind.NOT_IN_CONTRACT, message)
    return call_class


def share_in(snapshot: Snapshot, customer: CustomerId, name: CallClassName) -> float:
    """Return the fraction of a class's rate that may enter here; 1 if no share is known."""
    return snapshot.share_by_class_by_customer.get(customer, {}).get(name, 1.0)


def is_ready(snapshot: Snapshot) -> bool:
    """Return whether every contract has a share here; a new daemon has none at first."""
    shares = snapshot.share_by_class_by_customer
    return bool(shares) and all(
        share > 0.0 for share_by_class in shares.values() for share in share_by_class.values()
    )
