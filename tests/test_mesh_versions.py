"""Daemons of two versions side by side: frames and fields that one of them doesn't know."""

import msgspec
import pytest

from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import (
    LENGTH_BYTES,
    UNKNOWN_MS,
    Frame,
    GateLoad,
    Ping,
    StatusUpdate,
    decode_frame,
    encode_frame,
    is_unknown_kind,
)
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._links import ANSWERED_FRAMES
from daisywharf._mesh._memory_budget import MemoryBudget
from daisywharf._overload._start_rate import record_no_limit
from daisywharf.platform._headers import PlatformDialect


class _Transport:
    """A fake transport that records whether it was closed."""

    def __init__(self) -> None:
        self.is_closed = False

    def abort(self) -> None:
        self.is_closed = True

    def get_extra_info(self, _name: str) -> str:
        return "127.0.0.1"


def _framed(content: object) -> bytes:
    body = msgspec.msgpack.encode(content)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def _receive(*parts: bytes) -> tuple[list[Frame], bool]:
    """Return the frames that a link decodes from these chunks, and whether it closed."""
    received: list[Frame] = []
    link = FrameProtocol(lambda _link, frame: received.append(frame), lambda _link: None)
    transport = _Transport()
    link.transport = transport  # type: ignore[assignment]
    for part in parts:
        link.data_received(part)
    return received, transport.is_closed


def test_a_frame_of_an_unknown_kind_is_ignored_and_later_ones_are_received() -> None:
    newer = _framed([99, "whatever", {"it": "holds"}])
    received, is_closed = _receive(
        encode_frame(Ping()) + newer[:3], newer[3:] + encode_frame(Ping())
    )
    assert received == [Ping(), Ping()]
    assert not is_closed


def test_fields_that_a_newer_version_adds_at_the_end_are_ignored() -> None:
    newer = _framed([12, 7, True, [1, 2, 3, 2.5, 7.5, 0.55, "added"], 40, 6, "added as well"])
    received, is_closed = _receive(newer)
    load = GateLoad(1, 2, 3, 2.5, 7.5, 0.55)
    assert received == [StatusUpdate(7, True, load, confirmed_age_ms=40, store_era=6)]
    assert not is_closed


def test_a_load_of_a_version_without_a_rate_limit_field_is_decoded() -> None:
    received, is_closed = _receive(_framed([12, 7, True, [1, 2, 3, 2.5], 40]))
    assert received == [StatusUpdate(7, True, GateLoad(1, 2, 3, 2.5, None), confirmed_age_ms=40)]
    assert not is_closed


def test_a_status_of_a_version_without_a_confirmation_field_is_decoded() -> None:
    received, is_closed = _receive(_framed([12, 7, True, None]))
    assert received == [StatusUpdate(7, True, None, confirmed_age_ms=UNKNOWN_MS)]
    assert not is_closed


def test_a_status_of_a_version_without_a_store_era_field_is_decoded() -> None:
    received, is_closed = _receive(_framed([12, 7, True, None, 40]))
    assert received == [StatusUpdate(7, True, None, confirmed_age_ms=40, store_era=0)]
    assert not is_closed


def test_a_load_of_a_version_without_a_rejected_share_rejects_nothing() -> None:
    received, is_closed = _receive(_framed([12, 7, True, [1, 2, 3, 2.5, 7.5], 40]))
    load = GateLoad(1, 2, 3, 2.5, 7.5, 0.0)
    assert received == [StatusUpdate(7, True, load, confirmed_age_ms=40)]
    assert not is_closed


@pytest.mark.parametrize("content", [[12, "seven"], {"kind": 12}, [], ["News", 7], 5])
def test_a_malformed_frame_closes_its_link(content: object) -> None:
    received, is_closed = _receive(_framed(content) + encode_frame(Ping()))
    assert received == []
    assert is_closed


def test_bytes_that_are_not_messagepack_close_their_link() -> None:
    body = b"\xc1\xc1"
    assert not is_unknown_kind(body)
    _, is_closed = _receive(len(body).to_bytes(LENGTH_BYTES, "big") + body)
    assert is_closed


def test_no_answer_is_awaited_for_frames_that_an_older_daemon_ignores() -> None:
    """Otherwise a link to an older daemon would count as silent and be closed repeatedly."""
    last_of_first_release = 13
    assert all(kind.__struct_config__.tag <= last_of_first_release for kind in ANSWERED_FRAMES)


def test_a_frame_is_decoded_as_it_was_encoded() -> None:
    status = StatusUpdate(3, False, None)
    assert decode_frame(encode_frame(status)[LENGTH_BYTES:]) == status


def test_a_load_without_limit_and_rejections_takes_two_more_bytes() -> None:
    """Loads make up most of the bytes that daemons of a large fleet send each other."""
    without = len(msgspec.msgpack.encode([1, 2, 3, 2.5]))
    gate = Gate(dialect=PlatformDialect(), now=lambda: 1.0, memory=MemoryBudget(max_bytes=1e6))
    record_no_limit(gate.slots.rate, reported_at=1.0)
    reported = gate.load()
    load = GateLoad(1, 2, 3, 2.5, reported.limit_per_s, reported.rejected_share)
    assert len(msgspec.msgpack.encode(load)) == without + 2
