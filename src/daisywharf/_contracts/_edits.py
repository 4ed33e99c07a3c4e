"""Apply and delete contracts on the platform, each edit at most once and never over unseen edits.

Every write is conditional on the version that the edit is based on and carries the edit's id.
So a write whose answer was lost can be resent: the retry either finds its own id or conflicts.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final, TypeVar

import msgspec

from daisywharf._contract import Contract
from daisywharf._contracts._differences import Difference, differences
from daisywharf._contracts._files import contract_to_json
from daisywharf._contracts._history import (
    HistoryEntry,
    classes_of_entry,
    read_history,
    readable_contract,
    record_replaced,
)
from daisywharf._contracts._schema import Edit, WrittenClass, written_classes
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._ids import CustomerId, EditId, Version
from daisywharf._objects._interface import ObjectKind, Platform, PlatformObject

MAX_ATTEMPTS: Final = 5
INITIAL_BACKOFF_S: Final = 0.2
CONTRACT: Final = ObjectKind.CONTRACT
NO_CONTRACT_VERSION: Final = Version(0)

Result = TypeVar("Result")


class EditOutcome(Enum):
    """The result of an accepted edit.

    UNCHANGED: the stored classes were already the same, so nothing was written. MADE_BEFORE: an
    earlier attempt of the same edit had taken effect. REPLACED_SINCE: it had, and a later edit has
    replaced its version.
    """

    CREATED = "created"
    UPDATED = "updated"
    UNCHANGED = "unchanged"
    MADE_BEFORE = "made-before"
    REPLACED_SINCE = "replaced-since"


class Applied(msgspec.Struct, frozen=True):
    """Hold the version that an edit got; with `replaced-since`, it is no longer the current one."""

    customer: CustomerId
    version: Version
    edit_id: EditId
    outcome: EditOutcome


class EditConflictError(PlatformError):
    """Report that the current version isn't the one that the edit is based on.

    `theirs` and `yours` are the changes of the current version and of the edit, both relative to
    that base. If the base isn't in the history, `theirs` is empty and `yours` is relative to the
    current version.
    """

    def __init__(
        self,
        customer: CustomerId,
        *,
        current: PlatformObject | None,
        theirs: tuple[Difference, ...],
        yours: tuple[Difference, ...],
    ) -> None:
        version = NO_CONTRACT_VERSION if current is None else current.version
        current_state = "no contract" if current is None else f"version {version}"
        message = (
            f"contract {customer!r}: the platform has {current_state}, "
            "which this edit isn't based on"
        )
        super().__init__(ErrorKind.PLATFORM_CONFLICT, message)
        self.customer = customer
        self.current_version = version
        self.theirs = theirs
        self.yours = yours


class EditCall(msgspec.Struct, frozen=True):
    """Hold what all attempts of an edit share; `pause` sleeps for a number of seconds."""

    platform: Platform
    edit_id: EditId
    edit: Edit
    timeout_s: float
    pause: Callable[[float], None]


def apply_contract(call: EditCall, contract: Contract) -> Applied:
    """Replace the contract at `contract.version`, or create it if that is 0.

    Raise `EditConflictError` if the current version is another one, and `PlatformError` if the
    platform is unavailable (nothing was changed) or the outcome stays unknown (apply the edit again
    with the same id).
    """
    return _retry_while_unknown(call, contract.customer, lambda: _try_to_apply(call, contract))


def _try_to_apply(call: EditCall, contract: Contract) -> Applied:
    current = read_contract(call.platform, contract.customer, timeout_s=call.timeout_s)
    own_edit = _find_own_edit(call, contract.customer, current)
    if own_edit is not None:
        return own_edit
    classes = written_classes(contract)
    if current is not None and _classes_of(current) == classes:
        return _applied(call, current, EditOutcome.UNCHANGED)
    if contract.version != (NO_CONTRACT_VERSION if current is None else current.version):
        raise _conflict(call, contract, current)
    body = contract_to_json(contract, edit=call.edit)
    written = _conflict_as_unknown(lambda: _write(call, contract, current, body))
    outcome = EditOutcome.CREATED if current is None else EditOutcome.UPDATED
    return _applied(call, written, outcome)


def _write(
    call: EditCall, contract: Contract, current: PlatformObject | None, body: bytes
) -> PlatformObject:
    if current is None:
        return call.platform.create(
            CONTRACT, contract.customer, body, edit_id=call.edit_id, timeout_s=call.timeout_s
        )
    record_replaced(call.platform, current, edit_id=call.edit_id, timeout_s=call.timeout_s)
    return call.platform.update(
        CONTRACT,
        contract.customer,
        body,
        if_version=current.version,
        edit_id=call.edit_id,
        timeout_s=call.timeout_s,
    )


def delete_contract(call: EditCall, customer: CustomerId, *, if_version: Version) -> Version:
    """Delete a contract at a version, and return the version that the platform gave the deletion.

    Raise `PlatformError` (gone) if there is no contract, and otherwise as `apply_contract`. If an
    attempt then finds the contract gone, it counts as deleted, at version 0, since that is the
    requested result.
    """
    if read_contract(call.platform, customer, timeout_s=call.timeout_s) is None:
        message = f"there is no contract {customer!r}; see `daisywharf contract list`"
        raise PlatformError(ErrorKind.PLATFORM_GONE, message)
    return _retry_while_unknown(call, customer, lambda: _try_to_delete(call, customer, if_version))


def _try_to_delete(call: EditCall, customer: CustomerId, if_version: Version) -> Version:
    current = read_contract(call.platform, customer, timeout_s=call.timeout_s)
    if current is None:
        return NO_CONTRACT_VERSION
    if current.version != if_version:
        raise EditConflictError(
            customer,
            current=current,
            theirs=_changes_since(call, customer, if_version, current),
            yours=(),
        )
    record_replaced(call.platform, current, edit_id=call.edit_id, timeout_s=call.timeout_s)
    return _conflict_as_unknown(
        lambda: call.platform.delete(
            CONTRACT,
            customer,
            if_version=if_version,
            edit_id=call.edit_id,
            timeout_s=call.timeout_s,
        )
    )


def _conflict_as_unknown(write: Callable[[], Result]) -> Result:
    try:
        return write()
    except PlatformError as error:
        if error.kind not in (ErrorKind.PLATFORM_CONFLICT, ErrorKind.PLATFORM_GONE):
            raise
        # Either another edit came first, or an earlier attempt of this one took effect late; the
        # next attempt reads which of the two.
        raise PlatformError(ErrorKind.PLATFORM_OUTCOME_UNKNOWN, str(error)) from error


def read_contract(
    platform: Platform, customer: CustomerId, *, timeout_s: float
) -> PlatformObject | None:
    """Return the stored object of a contract, or None if there is none."""
    try:
        return platform.get(CONTRACT, customer, timeout_s=timeout_s)
    except PlatformError as error:
        if error.kind is ErrorKind.PLATFORM_GONE:
            return None
        raise


def _applied(call: EditCall, item: PlatformObject, outcome: EditOutcome) -> Applied:
    return Applied(CustomerId(item.name), item.version, call.edit_id, outcome)


def _find_own_edit(
    call: EditCall, customer: CustomerId, current: PlatformObject | None
) -> Applied | None:
    """Return the result of an earlier attempt of this edit that took effect, or None."""
    if current is not None and current.edit_id == call.edit_id:
        return _applied(call, current, EditOutcome.MADE_BEFORE)
    history = read_history(call.platform, customer, timeout_s=call.timeout_s)
    for entry in history.entries:
        if entry.edit_id == call.edit_id:
            return Applied(customer, entry.version, call.edit_id, EditOutcome.REPLACED_SINCE)
    return None


def _conflict(
    call: EditCall, contract: Contract, current: PlatformObject | None
) -> EditConflictError:
    new_classes = written_classes(contract)
    base = _entry_at(call, contract.customer, contract.version)
    current_classes = _classes_of(current)
    if base is None:
        return EditConflictError(
            contract.customer,
            current=current,
            theirs=(),
            yours=differences(current_classes, new_classes),
        )
    base_classes = classes_of_entry(base)
    return EditConflictError(
        contract.customer,
        current=current,
        theirs=differences(base_classes, current_classes),
        yours=differences(base_classes, new_classes),
    )


def _changes_since(
    call: EditCall, customer: CustomerId, version: Version, current: PlatformObject
) -> tuple[Difference, ...]:
    base = _entry_at(call, customer, version)
    return () if base is None else differences(classes_of_entry(base), _classes_of(current))


def _entry_at(call: EditCall, customer: CustomerId, version: Version) -> HistoryEntry | None:
    history = read_history(call.platform, customer, timeout_s=call.timeout_s)
    return next((entry for entry in history.entries if entry.version == version), None)


def _classes_of(item: PlatformObject | None) -> tuple[WrittenClass, ...]:
    stored = None if item is None else readable_contract(item.body)
    return () if stored is None else stored.classes


def _retry_while_unknown(
    call: EditCall, customer: CustomerId, attempt: Callable[[], Result]
) -> Result:
    may_be_applied = False
    for attempt_index in range(MAX_ATTEMPTS):
        try:
            return attempt()
        except PlatformError as error:
            may_be_applied |= error.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN
            # An unavailable platform means that nothing was changed, unless an earlier attempt had
            # an unknown outcome and may have taken effect.
            if not may_be_applied or error.kind not in _RETRYABLE_KINDS:
                raise
        call.pause(INITIAL_BACKOFF_S * 2**attempt_index)
    message = f"edit {call.edit_id} of contract {customer!r} may or may not have taken effect"
    advice = f"repeat it with --edit-id {call.edit_id}"
    raise PlatformError(ErrorKind.PLATFORM_OUTCOME_UNKNOWN, f"{message}; {advice}")


_RETRYABLE_KINDS: Final = (ErrorKind.PLATFORM_OUTCOME_UNKNOWN, ErrorKind.PLATFORM_UNAVAILABLE)
