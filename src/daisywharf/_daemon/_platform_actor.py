"""The actors that call the platform, so that its delays block nothing else."""

import time
from collections.abc import Callable
from typing import Final

import msgspec
import pykka

from daisywharf._contracts import contract_from_json
from daisywharf._daemon._claim_sweep import sweep_claims
from daisywharf._errors import DaisywharfError, ErrorKind, PlatformError
from daisywharf._fleet._actions import PlatformAction
from daisywharf._fleet._messages import ContractRecord, Member
from daisywharf._fleet._state import (
    ContactsRead,
    ContactWritten,
    ContractsRead,
    ListContacts,
    ListContracts,
    PlatformFailed,
    PlatformResult,
    WatchContracts,
    WriteContact,
)
from daisywharf._ids import CustomerId, EditId, Version
from daisywharf._objects._interface import ObjectKind, Platform, PlatformObject
from daisywharf._signals import Event, log_event
from daisywharf._signals._counts import OutcomeCounts

CALL_TIMEOUT_S: Final = 6.0

ACTION_NAMES: Final[dict[type[msgspec.Struct], str]] = {
    ListContracts: "list_contracts",
    WatchContracts: "watch_contracts",
    ListContacts: "list_contacts",
    WriteContact: "write_contact",
}


class PlatformCounts:
    """Count calls to the platform, and failed ones, by action."""

    def __init__(self) -> None:
        self.calls = OutcomeCounts()
        self.failures = OutcomeCounts()


class PlatformHealth:
    """Hold when the platform became unreachable; None while it is reachable.

    The time is in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.unreachable_since: float | None = None


class PlatformActor(pykka.ThreadingActor):
    """Run one call to the platform at a time and pass on its result."""

    use_daemon_thread = True

    def __init__(
        self,
        platform: Platform,
        *,
        on_result: Callable[[PlatformResult], None],
        counts: PlatformCounts | None = None,
        health: PlatformHealth | None = None,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._on_result = on_result
        self._counts = counts or PlatformCounts()
        self._health = health or PlatformHealth()

    def sweep_claims(self) -> None:
        """Delete lapsed claims of caller-chosen idempotency keys."""
        self._counts.calls.add_label("sweep_claims")
        sweep_claims(self._platform, now=time.time())

    def run(self, action: PlatformAction) -> None:
        """Run an action on the platform and pass on its result, or `PlatformFailed`."""
        name = ACTION_NAMES[type(action)]
        self._counts.calls.add_label(name)
        try:
            result = _run_action(self._platform, action)
            record_reachable(self._health, now=time.monotonic())
        except Exception as error:
            self._counts.failures.add_label(name)
            record_failure(self._health, action, error, now=time.monotonic())
            is_gone = isinstance(error, PlatformError) and error.kind is ErrorKind.PLATFORM_GONE
            result = PlatformFailed(action, is_gone=is_gone)
        self._on_result(result)


def record_reachable(health: PlatformHealth, *, now: float) -> None:
    """Record a successful call, and log the end of an outage; `now` is in seconds."""
    if health.unreachable_since is not None:
        log_event(Event.PLATFORM_BACK, outage_s=round(now - health.unreachable_since, 1))
        health.unreachable_since = None


def record_failure(
    health: PlatformHealth, action: PlatformAction, error: Exception, *, now: float
) -> None:
    """Record a failed call, and log the start of an outage, a lost watch, or a program error."""
    if not isinstance(error, PlatformError):
        error_text = f"{type(error).__name__}: {error}"
        log_event(Event.UNEXPECTED_ERROR, part=ACTION_NAMES[type(action)], error=error_text)
    elif isinstance(action, WatchContracts) and error.kind is ErrorKind.PLATFORM_GONE:
        log_event(Event.WATCH_GONE, version=action.after)
    elif error.kind is ErrorKind.PLATFORM_UNAVAILABLE and health.unreachable_since is None:
        health.unreachable_since = now
        log_event(Event.PLATFORM_UNAVAILABLE, error=str(error))


def _run_action(platform: Platform, action: PlatformAction) -> PlatformResult:
    if isinstance(action, ListContracts):
        listing = platform.list(ObjectKind.CONTRACT, timeout_s=CALL_TIMEOUT_S)
        records = [
            _read_record(CustomerId(item.name), item.version, item) for item in listing.objects
        ]
        return ContractsRead(_without_unreadable(records), listing.version, whole=True)
    if isinstance(action, WatchContracts):
        changes = platform.watch(
            ObjectKind.CONTRACT, after=action.after, timeout_s=action.timeout_s
        )
        records = [
            _read_record(CustomerId(change.name), change.version, change.object)
            for change in changes.changes
        ]
        return ContractsRead(_without_unreadable(records), changes.version, whole=False)
    if isinstance(action, ListContacts):
        contacts = platform.list(ObjectKind.CONTACT, timeout_s=CALL_TIMEOUT_S)
        return ContactsRead(_read_members(contacts.objects))
    return _write_contact(platform, action)


def _without_unreadable(records: list[ContractRecord | None]) -> tuple[ContractRecord, ...]:
    return tuple(record for record in records if record is not None)


def _read_record(
    customer: CustomerId, version: Version, item: PlatformObject | None
) -> ContractRecord | None:
    if item is None:
        return ContractRecord(customer, version, None)
    try:
        return ContractRecord(customer, version, contract_from_json(item.body, version))
    except DaisywharfError as error:
        # A contract written without the command line may be malformed; the last valid one stays.
        log_event(Event.CONTRACT_UNREADABLE, customer=customer, version=version, error=str(error))
        return None


def _read_members(objects: tuple[PlatformObject, ...]) -> tuple[Member, ...]:
    members = []
    for item in objects:
        try:
            members.append(msgspec.json.decode(item.body, type=Member))
        except msgspec.MsgspecError:
            continue
    return tuple(members)


def _write_contact(platform: Platform, action: WriteContact) -> PlatformResult:
    member = action.member
    body = msgspec.json.encode(member)
    edit_id = EditId(f"{member.vm}-{member.incarnation}")
    name = f"{member.zone}.{action.slot}"
    try:
        current = platform.get(ObjectKind.CONTACT, name, timeout_s=CALL_TIMEOUT_S)
    except PlatformError as error:
        if error.kind is not ErrorKind.PLATFORM_GONE:
            raise
        platform.create(ObjectKind.CONTACT, name, body, edit_id=edit_id, timeout_s=CALL_TIMEOUT_S)
        return ContactWritten()
    platform.update(
        ObjectKind.CONTACT,
        name,
        body,
        if_version=current.version,
        edit_id=edit_id,
        timeout_s=CALL_TIMEOUT_S,
    )
    return ContactWritten()
