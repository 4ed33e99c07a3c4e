"""Concurrent edits and lost answers: no accepted edit is lost, applied twice or over another.

An edit over a version that its operator had not read would silently undo another operator's edit;
a retry after a lost answer could apply an edit a second time.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from builders_edits import (
    CUSTOMER,
    TIMEOUT_S,
    ScriptedPlatform,
    WriteFault,
    call_of,
    contract_changes,
    contract_of_burst,
    writes_by,
)
from daisywharf import ErrorKind, PlatformError
from daisywharf._contracts._edits import (
    EditConflictError,
    EditOutcome,
    apply_contract,
    delete_contract,
    read_contract,
)
from daisywharf._contracts._history import MAX_HISTORY_ENTRIES, read_history
from daisywharf._ids import EditId, Version
from daisywharf._objects._interface import ObjectKind

FAULTS = st.lists(st.sampled_from(WriteFault), max_size=6)
OPERATORS = st.sampled_from(["anna", "bram"])


class RacingEdits(RuleBasedStateMachine):
    """Two operators edit a contract, each from the version last read, on a faulty platform.

    Scripted faults lose or delay writes, and `interfere` edits the contract between two calls of
    an attempt. The invariants check the platform's log of changes and the history.
    """

    @initialize()
    def start(self) -> None:
        self.platform = ScriptedPlatform()
        self.platform.interfere = self._edit_without_faults
        self.read_by_operator = {"anna": Version(0), "bram": Version(0)}
        self.accepted_by_edit: dict[str, Version] = {}
        self.refused: set[str] = set()
        self.unknown: dict[str, tuple[float, Version]] = {}
        self.edits = 0

    @rule(operator=OPERATORS)
    def read(self, operator: str) -> None:
        current = read_contract(self.platform.inner, CUSTOMER, timeout_s=TIMEOUT_S)
        self.read_by_operator[operator] = current.version if current else Version(0)

    @rule(operator=OPERATORS, faults=FAULTS, races=st.lists(st.booleans(), max_size=9))
    def edit(self, operator: str, faults: list[WriteFault], races: list[bool]) -> None:
        self.edits += 1
        self.platform.interferences.extend(races)
        self._apply(f"e-{self.edits}", self.edits, self.read_by_operator[operator], faults)

    @rule(faults=FAULTS)
    def repeat_an_unknown_edit(self, faults: list[WriteFault]) -> None:
        for edit_id, (burst, base) in list(self.unknown.items())[:1]:
            del self.unknown[edit_id]
            self._apply(edit_id, burst, base, faults)

    @rule(operator=OPERATORS, faults=FAULTS)
    def delete(self, operator: str, faults: list[WriteFault]) -> None:
        self.edits += 1
        self.platform.script.extend(faults)
        try:
            call = call_of(self.platform, f"e-{self.edits}")
            delete_contract(call, CUSTOMER, if_version=self.read_by_operator[operator])
        except PlatformError:
            pass
        self._settle()

    @invariant()
    def each_accepted_edit_was_made_once_and_each_refused_one_never(self) -> None:
        changes = contract_changes(self.platform.inner)
        for edit_id, version in self.accepted_by_edit.items():
            assert [change.version for change in writes_by(edit_id, changes)] == [version]
        for edit_id in self.refused:
            assert not writes_by(edit_id, changes)
        for edit_id in self.unknown:
            assert len(writes_by(edit_id, changes)) <= 1

    @invariant()
    def the_history_has_every_replaced_contract_in_order(self) -> None:
        changes = contract_changes(self.platform.inner)
        written = [change.version for change in changes if change.object]
        current = read_contract(self.platform.inner, CUSTOMER, timeout_s=TIMEOUT_S)
        replaced = [version for version in written if not current or version != current.version]
        history = read_history(self.platform.inner, CUSTOMER, timeout_s=TIMEOUT_S)
        recorded = [entry.version for entry in history.entries if entry.version in replaced]
        assert recorded == replaced[-MAX_HISTORY_ENTRIES:]

    def _edit_without_faults(self) -> None:
        self.edits += 1
        current = read_contract(self.platform.inner, CUSTOMER, timeout_s=TIMEOUT_S)
        base = current.version if current else Version(0)
        contract = contract_of_burst(self.edits, version=base)
        applied = apply_contract(call_of(self.platform.inner, f"e-{self.edits}"), contract)
        self.accepted_by_edit[f"e-{self.edits}"] = applied.version

    def _apply(self, edit_id: str, burst: float, base: Version, faults: list[WriteFault]) -> None:
        self.platform.script.extend(faults)
        contract = contract_of_burst(burst, version=base)
        try:
            applied = apply_contract(call_of(self.platform, edit_id), contract)
        except EditConflictError as error:
            self.refused.add(edit_id)
            assert error.yours or error.current_version != base
        except PlatformError as error:
            if error.kind is ErrorKind.PLATFORM_OUTCOME_UNKNOWN:
                self.unknown[edit_id] = (burst, base)
            else:
                self.refused.add(edit_id)
        else:
            assert applied.outcome is not EditOutcome.UNCHANGED
            self.accepted_by_edit[edit_id] = applied.version
            assert self._version_before(applied.version) == base
        self._settle()

    def _version_before(self, version: Version) -> Version:
        earlier = [
            change for change in contract_changes(self.platform.inner) if change.version < version
        ]
        return earlier[-1].version if earlier and earlier[-1].object else Version(0)

    def _settle(self) -> None:
        self.platform.script.clear()
        self.platform.interferences.clear()
        self.platform.land_late_writes()


RacingEdits.TestCase.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=120, stateful_step_count=15
)
TestRacingEdits = RacingEdits.TestCase


def test_a_conflict_shows_the_changes_of_both_edits() -> None:
    platform = ScriptedPlatform()
    first = apply_contract(call_of(platform, "e-1"), contract_of_burst(1))
    apply_contract(call_of(platform, "e-2"), contract_of_burst(2, version=first.version))
    try:
        apply_contract(call_of(platform, "e-3"), contract_of_burst(3, version=first.version))
    except EditConflictError as error:
        conflict = error
    assert [str(difference) for difference in conflict.theirs] == ["place-order.burst: 1 -> 2"]
    assert [str(difference) for difference in conflict.yours] == ["place-order.burst: 1 -> 3"]


def test_repeating_an_edit_that_was_replaced_since_reports_so() -> None:
    platform = ScriptedPlatform()
    first = apply_contract(call_of(platform, "e-1"), contract_of_burst(1))
    apply_contract(call_of(platform, "e-2"), contract_of_burst(2, version=first.version))
    again = apply_contract(call_of(platform, "e-1"), contract_of_burst(1))
    assert (again.outcome, again.version) == (EditOutcome.REPLACED_SINCE, first.version)


def test_a_new_contract_replaces_a_malformed_one() -> None:
    platform = ScriptedPlatform()
    broken = platform.inner.create(
        ObjectKind.CONTRACT, CUSTOMER, b"broken", edit_id=EditId("x"), timeout_s=TIMEOUT_S
    )
    applied = apply_contract(call_of(platform, "e-1"), contract_of_burst(1, version=broken.version))
    assert applied.outcome is EditOutcome.UPDATED
