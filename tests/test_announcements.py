"""Announcements: valid ones are parsed; a field out of bounds is refused."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisywharf import ErrorKind, RequestError
from daisywharf._daemon._announcement import read_announcement
from daisywharf._limits import MAX_ANNOUNCEMENT_BYTES, MAX_NAME_CHARS, MAX_SLOTS

GOOD = {
    "target_id": "orders-1",
    "service": "orders",
    "incarnation": 7,
    "address": {"host": "10.0.0.5", "port": 8000},
    "slots": 200,
    "connections": 1300,
}


def _kind_of(body: bytes) -> ErrorKind:
    with pytest.raises(RequestError) as caught:
        read_announcement(body)
    assert len(str(caught.value)) < 1000
    return caught.value.kind


def test_a_valid_announcement_is_decoded() -> None:
    assert read_announcement(msgspec.json.encode(GOOD)).slots == 200


@pytest.mark.parametrize(
    "change",
    [
        {"target_id": ""},
        {"target_id": "a/../b"},
        {"target_id": "a\nb"},
        {"service": "n" * (MAX_NAME_CHARS + 1)},
        {"service": "Ünder"},
        {"incarnation": -1},
        {"incarnation": 2**63},
        {"slots": 0},
        {"slots": MAX_SLOTS + 1},
        {"slots": "200"},
        {"connections": 0},
        {"address": {"host": "10.0.0.5", "port": 0}},
        {"address": {"host": "evil.example", "port": 80}},
        {"address": {"host": "10.0.0.5\r\nX: y", "port": 80}},
        {"state": "idle"},
        {"unknown": 1},
    ],
    ids=str,
)
def test_a_field_out_of_bounds_is_a_bad_request(change: dict[str, object]) -> None:
    assert _kind_of(msgspec.json.encode(GOOD | change)) is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("body", [b"", b"[]", b"\xff", b"[" * 4000, b'{"slots": 1e999}'])
def test_a_malformed_body_is_a_bad_request(body: bytes) -> None:
    assert _kind_of(body) is ErrorKind.BAD_REQUEST


def test_a_body_over_the_size_limit_is_too_large() -> None:
    assert _kind_of(b" " * (MAX_ANNOUNCEMENT_BYTES + 1)) is ErrorKind.TOO_LARGE


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(st.integers(0, 160), st.integers(0, 40), st.binary(max_size=12))
def test_a_damaged_body_is_decoded_or_refused(start: int, length: int, put: bytes) -> None:
    good = msgspec.json.encode(GOOD)
    try:
        read_announcement(good[:start] + put + good[start + length :])
    except RequestError as error:
        assert error.kind is ErrorKind.BAD_REQUEST
