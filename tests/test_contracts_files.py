"""Contract files: valid ones are parsed, and each fault of an invalid one is reported."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisywharf import ConfigurationError, ErrorKind, Importance
from daisywharf._contracts import (
    contract_from_json,
    contract_to_json,
    load_contract,
    load_contract_file,
)
from daisywharf._documents._faults import DocumentError, Fault
from daisywharf._ids import CallClassName, Version
from daisywharf._limits import MAX_CONTRACT_BYTES

CONTRACTS = Path(__file__).parent.parent / "contracts"
SERVICES_BY_DEPLOYMENT = {
    "karri-ridge": {"catalogue", "orders", "drawings", "stock"},
    "scheldezand": {"berthdesk", "bookhouse", "paperwharf", "lockwatch"},
}
GOOD = b"""\
customer: counter-staff
classes:
  - name: place-order
    services: [orders, stock]
    importance: critical
    rate_per_second: 12.5
    burst: 25
    deadline_ms: 3000
    idempotent: false
    retries: 2
"""


def _faults(content: bytes) -> tuple[Fault, ...]:
    with pytest.raises(DocumentError) as caught:
        load_contract(content, file_name="c.yaml")
    assert caught.value.kind is ErrorKind.INVALID_CONTRACT
    return caught.value.faults


def test_a_contract_is_parsed_as_written_and_survives_its_encoding_for_the_platform() -> None:
    contract = load_contract(GOOD, file_name="c.yaml")
    order = contract.classes_by_name[CallClassName("place-order")]
    assert (order.importance, order.services) == (Importance.CRITICAL, ("orders", "stock"))
    assert (order.rate_per_second, order.deadline_ms, order.idempotent) == (12.5, 3000, False)
    stored = contract_from_json(contract_to_json(contract), Version(7))
    assert (stored.classes_by_name, stored.version) == (contract.classes_by_name, 7)


@pytest.mark.parametrize("deployment", SERVICES_BY_DEPLOYMENT)
def test_shipped_contracts_are_valid_and_name_all_services(deployment: str) -> None:
    paths = sorted((CONTRACTS / deployment).glob("*.yaml"))
    contracts = [load_contract_file(path) for path in paths]
    assert [contract.customer for contract in contracts] == [path.stem for path in paths]
    classes = [
        call_class for contract in contracts for call_class in contract.classes_by_name.values()
    ]
    assert {
        name for call_class in classes for name in call_class.services
    } == SERVICES_BY_DEPLOYMENT[deployment]
    assert all(
        call_class.importance <= Importance.HIGH
        for call_class in classes
        if not call_class.idempotent
    )


def test_each_fault_is_reported_once_with_line_path_value_and_advice() -> None:
    content = GOOD.replace(b"critical", b"vital").replace(b"12.5", b"-1").replace(b"3000", b"3s")
    content += b"    retires: 2\n"
    messages = [str(fault) for fault in _faults(content)]
    assert messages == [
        "c.yaml:5: classes[0].importance is 'vital'; write one of: critical, high, low, normal",
        "c.yaml:6: classes[0].rate_per_second is -1; write a number above 0 up to 10_000_000",
        "c.yaml:8: classes[0].deadline_ms is '3s'; write a whole number from 1 to 3_600_000",
        "c.yaml:11: classes[0].retires is unknown; use one of: burst, deadline_ms, idempotent, "
        "importance, name, rate_per_second, retries, services",
    ]


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        (b"customer: counter-staff", b"customer: no", "customer"),
        (b"customer: counter-staff", b"customer: 'a b'", "customer"),
        (b"customer: counter-staff\n", b"", "customer"),
        (b"[orders, stock]", b"orders", "classes[0].services"),
        (b"[orders, stock]", b"[]", "classes[0].services"),
        (b"[orders, stock]", b"[orders, {a: b}]", "classes[0].services[1]"),
        (b"[orders, stock]", b"[orders, orders]", "classes[0].services[1]"),
        (b"12.5", b".nan", "classes[0].rate_per_second"),
        (b"12.5", b"true", "classes[0].rate_per_second"),
        (b"25", b"2026-99-99", "classes[0].burst"),
        (b"false", b"maybe", "classes[0].idempotent"),
        (b"    retries: 2", b"    retries: 2\n    retries: 3", "classes[0].retries"),
        (b"  - name", b"  - 7\n  - name", "classes[0]"),
    ],
)
def test_a_single_fault_names_its_path(old: bytes, new: bytes, path: str) -> None:
    assert [fault.path for fault in _faults(GOOD.replace(old, new))] == [path]


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[" * 5000,
        b"a: &a [x]\nb: *a",
        b"\xff\xfe\x00",
        b"a: b: c",
        b"--- 1\n--- 2\n",
        b"!!x y",
    ],
)
def test_a_document_that_is_no_contract_is_reported(content: bytes) -> None:
    assert _faults(content)


def test_a_document_over_the_size_limit_is_refused() -> None:
    assert len(_faults(b"#" * (MAX_CONTRACT_BYTES + 1))) == 1


def test_a_class_named_twice_is_a_fault_beside_others() -> None:
    repeated = GOOD + GOOD.split(b"classes:\n")[1].replace(b"12.5", b"0")
    paths = [fault.path for fault in _faults(repeated)]
    assert sorted(paths) == ["classes[1].name", "classes[1].rate_per_second"]


@pytest.mark.parametrize("content", [b"", b"{}", b"null", b"[" * 9999, b'{"customer": "a"}'])
def test_a_stored_contract_that_is_malformed_is_refused(content: bytes) -> None:
    with pytest.raises(ConfigurationError) as caught:
        contract_from_json(content, Version(1))
    assert caught.value.kind is ErrorKind.INVALID_CONTRACT


@settings(derandomize=True, deadline=None, database=None, max_examples=150)
@given(st.integers(0, len(GOOD)), st.integers(0, 30), st.binary(max_size=12))
def test_any_damage_to_a_file_is_read_or_reported(start: int, length: int, put: bytes) -> None:
    content = GOOD[:start] + put + GOOD[start + length :]
    try:
        load_contract(content, file_name="c.yaml")
    except DocumentError as error:
        assert error.faults
