"""Watch the platform's contracts and write contacts, from a few daemons of each zone."""

from collections.abc import Iterable
from random import Random
from typing import Final

from daisywharf._fleet._actions import (
    WATCH_TIMEOUT_S,
    ContactsRead,
    ContractsRead,
    FleetAction,
    ListContacts,
    ListContracts,
    PlatformAction,
    PlatformFailed,
    PlatformResult,
    WatchContracts,
    WriteContact,
)
from daisywharf._fleet._choosing import (
    CONTACT,
    WATCHER,
    has_role,
    is_view_settled,
    peers,
    record_other_zone_member,
    send,
    vms_with_role,
)
from daisywharf._fleet._confirming import CopyState, copy_state, record_platform_read
from daisywharf._fleet._merging import merge_contract
from daisywharf._fleet._messages import ContractRecord, Gossip, Scope
from daisywharf._fleet._model import FleetState, Outstanding, PlatformTask

FIRST_READ_DELAY_S: Final = 2.0
FIRST_READ_JITTER_S: Final = 1.0
ANSWER_TIMEOUT_S: Final = 15.0
BASE_READ_BACKOFF_S: Final = 0.5
MAX_CONTRACTS_BACKOFF_S: Final = 4.0
BASE_WRITE_BACKOFF_S: Final = 2.0
MAX_CONTACTS_BACKOFF_S: Final = 120.0
CONTACTS_PERIOD_S: Final = 60.0
CONTACT_WRITE_DELAY_S: Final = 5.0
CONTACT_RENEWAL_S: Final = 900.0
FALLBACK_CHECK_PERIOD_S: Final = 5.0


def tick_watching(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    """Return the platform actions that are due."""
    if state.started_at is None:
        return []
    if not is_view_settled(state, now=now):
        return []
    actions: list[FleetAction] = []
    actions.extend(_tick_contracts(state, now=now, rng=rng))
    actions.extend(_tick_contacts(state, now=now, rng=rng))
    actions.extend(_tick_contact_write(state, now=now, rng=rng))
    return actions


def delay_first_read(state: FleetState, *, now: float, rng: Random) -> None:
    """Delay the first reads randomly, so that daemons started together don't read all at once."""
    delay_s = FIRST_READ_DELAY_S + rng.random() * FIRST_READ_JITTER_S
    state.watching.contracts.next_at = now + delay_s
    state.watching.contacts.next_at = now + delay_s
    state.watching.last_fallback_check_at = now + delay_s


def _begin(task: PlatformTask, action: PlatformAction, *, now: float) -> list[FleetAction]:
    task.outstanding = Outstanding(action, now)
    return [action]


def _is_due(task: PlatformTask, *, now: float, rng: Random, base_s: float, max_s: float) -> bool:
    """Return whether a task may start; one that timed out is backed off as failed."""
    outstanding = task.outstanding
    if outstanding is not None:
        timeout_s = ANSWER_TIMEOUT_S
        if isinstance(outstanding.action, WatchContracts):
            timeout_s += WATCH_TIMEOUT_S
        if now - outstanding.started_at < timeout_s:
            return False
        _back_off(task, now=now, rng=rng, base_s=base_s, max_s=max_s)
    return now >= task.next_at


def _back_off(task: PlatformTask, *, now: float, rng: Random, base_s: float, max_s: float) -> None:
    task.outstanding = None
    max_delay_s = min(max_s, base_s * 2.0 ** min(task.failures, 16))
    task.failures += 1
    task.next_at = now + max_delay_s * (0.5 + 0.5 * rng.random())


def _tick_contracts(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    watching = state.watching
    task = watching.contracts
    is_watcher = has_role(state, WATCHER)
    if not is_watcher and task.outstanding is None:
        watching.version = None
    if not is_watcher and not _must_read_as_fallback(state, now=now, rng=rng):
        return []
    if not _is_due(
        task, now=now, rng=rng, base_s=BASE_READ_BACKOFF_S, max_s=MAX_CONTRACTS_BACKOFF_S
    ):
        return []
    if watching.version is None:
        return _begin(task, ListContracts(), now=now)
    return _begin(task, WatchContracts(watching.version), now=now)


def _must_read_as_fallback(state: FleetState, *, now: float, rng: Random) -> bool:
    """Return whether this daemon reads the contracts though it isn't a watcher.

    While the copy isn't confirmed, about one daemon of the zone does so each period, as the
    watchers may all have failed.
    """
    watching = state.watching
    if now - watching.last_fallback_check_at < FALLBACK_CHECK_PERIOD_S:
        return False
    watching.last_fallback_check_at = now
    if copy_state(state, now=now) is CopyState.CONFIRMED:
        return False
    return rng.random() < 1.0 / (len(peers(state)) + 1)


def _tick_contacts(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    task = state.watching.contacts
    if peers(state) and not has_role(state, WATCHER):
        return []
    if not _is_due(
        task, now=now, rng=rng, base_s=BASE_READ_BACKOFF_S, max_s=MAX_CONTACTS_BACKOFF_S
    ):
        return []
    return _begin(task, ListContacts(), now=now)


def _tick_contact_write(state: FleetState, *, now: float, rng: Random) -> list[FleetAction]:
    watching = state.watching
    task = watching.contact_write
    contact_vms = vms_with_role(state, CONTACT)
    slot = contact_vms.index(state.me.vm) if state.me.vm in contact_vms else None
    if slot != watching.slot:
        watching.slot = slot
        watching.slot_since = now
        watching.written_slot = None
        if not task.failures:
            task.next_at = now + CONTACT_WRITE_DELAY_S * (1.0 + rng.random())
    if slot is None or now - watching.slot_since < CONTACT_WRITE_DELAY_S:
        return []
    if not _is_due(
        task, now=now, rng=rng, base_s=BASE_WRITE_BACKOFF_S, max_s=MAX_CONTACTS_BACKOFF_S
    ):
        return []
    return _begin(task, WriteContact(state.me, slot), now=now)


def handle_platform_result(
    state: FleetState, result: PlatformResult, *, now: float, rng: Random
) -> list[FleetAction]:
    """Handle the result of a platform action."""
    if isinstance(result, PlatformFailed):
        _handle_failure(state, result, now=now, rng=rng)
        return []
    if isinstance(result, ContractsRead):
        return _handle_contracts(state, result, now=now, rng=rng)
    if isinstance(result, ContactsRead):
        _finish(state.watching.contacts, now + CONTACTS_PERIOD_S * (0.5 + rng.random()))
        return _handle_contacts(state, result, now=now)
    state.watching.written_slot = state.watching.slot
    renewal_s = CONTACT_RENEWAL_S * (1.0 + 0.5 * rng.random())
    _finish(state.watching.contact_write, now + renewal_s)
    return []


def _finish(task: PlatformTask, next_at: float) -> None:
    task.outstanding = None
    task.failures = 0
    task.next_at = next_at


def _handle_failure(state: FleetState, result: PlatformFailed, *, now: float, rng: Random) -> None:
    watching = state.watching
    action = result.action
    if isinstance(action, WriteContact):
        task, base_s, max_s = watching.contact_write, BASE_WRITE_BACKOFF_S, MAX_CONTACTS_BACKOFF_S
    elif isinstance(action, ListContacts):
        task, base_s, max_s = watching.contacts, BASE_READ_BACKOFF_S, MAX_CONTACTS_BACKOFF_S
    else:
        task, base_s, max_s = watching.contracts, BASE_READ_BACKOFF_S, MAX_CONTRACTS_BACKOFF_S
        if result.is_gone:
            watching.version = None
    if task.outstanding is not None and task.outstanding.action == action:
        _back_off(task, now=now, rng=rng, base_s=base_s, max_s=max_s)


def _handle_contracts(
    state: FleetState, result: ContractsRead, *, now: float, rng: Random
) -> list[FleetAction]:
    watching = state.watching
    if result.whole:
        _mark_missing_deleted(state, result.records, result)
    for record in result.records:
        merge_contract(state, record)
    watching.version = max(watching.version or result.version, result.version)
    record_platform_read(state, now=now)
    _finish(watching.contracts, now)
    return _tick_contracts(state, now=now, rng=rng) if has_role(state, WATCHER) else []


def _mark_missing_deleted(
    state: FleetState, listed: Iterable[ContractRecord], result: ContractsRead
) -> None:
    """Record contracts as deleted that a listing of the same or a newer version doesn't have."""
    customers = {record.customer for record in listed}
    for stored in list(state.store_by_scope[Scope.CONTRACTS].record_by_key.values()):
        if not isinstance(stored, ContractRecord) or stored.contract is None:
            continue
        if stored.customer not in customers and stored.version <= result.version:
            merge_contract(state, ContractRecord(stored.customer, result.version, None))


def _handle_contacts(state: FleetState, result: ContactsRead, *, now: float) -> list[FleetAction]:
    """Record contacts of other zones; send this daemon's record to unknown ones of its own zone."""
    own_record = state.member_record(state.me.vm)
    actions: list[FleetAction] = []
    for member in result.members:
        record_other_zone_member(state, member, now=now)
        is_peer = member.zone == state.me.zone and member.vm != state.me.vm
        if is_peer and own_record is not None and state.member_record(member.vm) is None:
            actions.append(send(member, Gossip(state.me, (own_record,))))
    return actions
