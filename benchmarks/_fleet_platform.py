"""A stand-in for the platform on the fleet benchmark's virtual clock."""

from collections.abc import Callable

import msgspec

from daisywharf._contract import Contract
from daisywharf._fleet._actions import (
    ContactsRead,
    ContactWritten,
    ContractsRead,
    ListContacts,
    ListContracts,
    PlatformAction,
    PlatformFailed,
    PlatformResult,
    WatchContracts,
    WriteContact,
)
from daisywharf._fleet._messages import ContractRecord, Member
from daisywharf._ids import CustomerId, Version

ANSWER_S = 0.005
TIMEOUT_S = 5.0

Schedule = Callable[[float, Callable[[], None]], None]
Answer = Callable[[PlatformResult], None]


class PendingWatch(msgspec.Struct):
    """Hold a watch that isn't answered yet."""

    action: WatchContracts
    answer: Answer
    is_answered: bool = False


class StandInPlatform:
    """Store contracts and contacts, count calls, and fail during an outage."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.version = 0
        self.record_by_customer: dict[CustomerId, ContractRecord] = {}
        self.deleted_by_customer: dict[CustomerId, ContractRecord] = {}
        self.contact_by_slot: dict[tuple[str, int], Member] = {}
        self.pending_watches: list[PendingWatch] = []
        self.is_down = False
        self.reads = 0
        self.writes = 0

    def write(self, contract: Contract) -> Version:
        """Store a contract, answer the watches, and return its version."""
        self.version += 1
        version = Version(self.version)
        versioned_contract = msgspec.structs.replace(contract, version=version)
        self.record_by_customer[contract.customer] = ContractRecord(
            contract.customer, version, versioned_contract
        )
        self.deleted_by_customer.pop(contract.customer, None)
        self._notify()
        return version

    def delete(self, customer: CustomerId) -> Version:
        """Delete a contract, answer the watches, and return the deletion's version."""
        self.version += 1
        version = Version(self.version)
        self.record_by_customer.pop(customer, None)
        self.deleted_by_customer[customer] = ContractRecord(customer, version, None)
        self._notify()
        return version

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; its beginning fails the pending watches."""
        self.is_down = is_down
        if is_down:
            pending, self.pending_watches = self.pending_watches, []
            for watch in pending:
                watch.is_answered = True
                watch.answer(PlatformFailed(watch.action))

    def call(self, action: PlatformAction, answer: Answer, *, is_reachable: bool) -> None:
        """Perform an action and answer after a delay; unreachable callers time out."""
        if not is_reachable:
            self.schedule(TIMEOUT_S, lambda: answer(PlatformFailed(action)))
            return
        self._count(action)
        if self.is_down:
            self.schedule(ANSWER_S, lambda: answer(PlatformFailed(action)))
        elif isinstance(action, WatchContracts):
            self._watch(action, answer)
        else:
            result = self._result(action)
            self.schedule(ANSWER_S, lambda: answer(result))

    def _count(self, action: PlatformAction) -> None:
        if isinstance(action, WriteContact):
            self.writes += 1
        else:
            self.reads += 1

    def _result(self, action: PlatformAction) -> PlatformResult:
        if isinstance(action, ListContracts):
            records = tuple(self.record_by_customer.values())
            return ContractsRead(records, Version(self.version), whole=True)
        if isinstance(action, ListContacts):
            return ContactsRead(tuple(self.contact_by_slot.values()))
        if isinstance(action, WriteContact):
            self.contact_by_slot[(action.member.zone, action.slot)] = action.member
        return ContactWritten()

    def _watch(self, action: WatchContracts, answer: Answer) -> None:
        watch = PendingWatch(action, answer)
        if action.after < self.version:
            self._answer(watch)
            return
        self.pending_watches.append(watch)
        self.schedule(action.timeout_s, lambda: self._end(watch))

    def _end(self, watch: PendingWatch) -> None:
        if not watch.is_answered:
            self.pending_watches.remove(watch)
            self._answer(watch)

    def _notify(self) -> None:
        pending, self.pending_watches = self.pending_watches, []
        for watch in pending:
            self._answer(watch)

    def _answer(self, watch: PendingWatch) -> None:
        """Answer a watch with all records newer than the version it watches from."""
        watch.is_answered = True
        records = [*self.record_by_customer.values(), *self.deleted_by_customer.values()]
        changes = tuple(record for record in records if record.version > watch.action.after)
        result = ContractsRead(changes, Version(self.version), whole=False)
        self.schedule(ANSWER_S, lambda: watch.answer(result))
