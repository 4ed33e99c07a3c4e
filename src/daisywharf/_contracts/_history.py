"""Keep a history of each customer's replaced and deleted contracts.

An edit adds the contract to the history before it replaces it. So no replaced contract is missing
if the editing process crashes, up to the size limit of the history.
"""

from typing import Final

import msgspec

from daisywharf._contracts._files import stored_from_json
from daisywharf._contracts._schema import StoredContract, WrittenClass
from daisywharf._errors import ConfigurationError, ErrorKind, PlatformError
from daisywharf._ids import CustomerId, EditId, Version
from daisywharf._limits import MAX_BODY_BYTES
from daisywharf._objects._interface import ObjectKind, Platform, PlatformObject

MAX_HISTORY_ENTRIES: Final = 20
MAX_ATTEMPTS: Final = 8

HISTORY: Final = ObjectKind.CONTRACT_HISTORY


class HistoryEntry(msgspec.Struct, frozen=True):
    """Hold a contract that was replaced or deleted, and the id of the edit that wrote it.

    `contract` is None if the stored one was malformed.
    """

    version: Version
    edit_id: EditId
    contract: StoredContract | None


def classes_of_entry(entry: HistoryEntry) -> tuple[WrittenClass, ...]:
    """Return an entry's classes; empty if its contract was malformed."""
    return () if entry.contract is None else entry.contract.classes


def readable_contract(body: bytes) -> StoredContract | None:
    """Decode a stored contract; return None if it is malformed."""
    try:
        return stored_from_json(body)
    except ConfigurationError:
        return None


class History(msgspec.Struct, frozen=True):
    """Hold a customer's replaced contracts, oldest first; `is_cut` if older ones were dropped."""

    entries: tuple[HistoryEntry, ...] = ()
    is_cut: bool = False


class _VersionedHistory(msgspec.Struct, frozen=True):
    history: History
    # None if the platform has no history object yet.
    version: Version | None


def read_history(platform: Platform, customer: CustomerId, *, timeout_s: float) -> History:
    """Return a customer's history; empty if no contract was replaced yet.

    Raise `PlatformError`, and `ConfigurationError` (invalid contract) if it is malformed.
    """
    return _read(platform, customer, timeout_s).history


def record_replaced(
    platform: Platform, replaced: PlatformObject, *, edit_id: EditId, timeout_s: float
) -> None:
    """Add a contract that is about to be replaced to the history, unless it is there already.

    Raise as `read_history`, and `PlatformError` (unavailable) if others keep changing it.
    """
    customer = CustomerId(replaced.name)
    entry = HistoryEntry(replaced.version, replaced.edit_id, readable_contract(replaced.body))
    for _ in range(MAX_ATTEMPTS):
        stored = _read(platform, customer, timeout_s)
        if any(existing.version == entry.version for existing in stored.history.entries):
            return
        body = _encode(stored.history, entry)
        try:
            if stored.version is None:
                platform.create(HISTORY, customer, body, edit_id=edit_id, timeout_s=timeout_s)
            else:
                platform.update(
                    HISTORY,
                    customer,
                    body,
                    if_version=stored.version,
                    edit_id=edit_id,
                    timeout_s=timeout_s,
                )
            return
        except PlatformError as error:
            # Reading again resolves each of these: a concurrent change, a history that was created
            # or deleted in between, and a lost answer.
            if error.kind not in _REREAD_KINDS:
                raise
    message = f"history of {customer!r} changed during each of {MAX_ATTEMPTS} attempts; try again"
    raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, message)


_REREAD_KINDS: Final = (
    ErrorKind.PLATFORM_CONFLICT,
    ErrorKind.PLATFORM_GONE,
    ErrorKind.PLATFORM_OUTCOME_UNKNOWN,
)


def _read(platform: Platform, customer: CustomerId, timeout_s: float) -> _VersionedHistory:
    try:
        found = platform.get(HISTORY, customer, timeout_s=timeout_s)
    except PlatformError as error:
        if error.kind is ErrorKind.PLATFORM_GONE:
            return _VersionedHistory(History(), None)
        raise
    try:
        return _VersionedHistory(msgspec.json.decode(found.body, type=History), found.version)
    except (msgspec.DecodeError, ValueError) as error:
        message = f"history of {customer!r} is malformed: {error}; delete the object"
        raise ConfigurationError(ErrorKind.INVALID_CONTRACT, message) from error


def _encode(history: History, entry: HistoryEntry) -> bytes:
    entries = sorted((*history.entries, entry), key=lambda existing: existing.version)
    is_cut = history.is_cut or len(entries) > MAX_HISTORY_ENTRIES
    entries = entries[-MAX_HISTORY_ENTRIES:]
    body = msgspec.json.encode(History(tuple(entries), is_cut))
    while len(body) > MAX_BODY_BYTES:
        entries = entries[1:]
        body = msgspec.json.encode(History(tuple(entries), True))
    return body
