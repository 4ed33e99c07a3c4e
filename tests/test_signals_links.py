"""Links between daemons: heartbeats of both paces, and the closing of silent and idle links."""

import time
from collections.abc import Iterator

import pytest
from benchmarks._processes import eventually

from daisywharf._daemon import _links
from daisywharf._daemon._frames import FleetFrame
from daisywharf._daemon._links import Links
from daisywharf._fleet._messages import DrainRequest, Member
from daisywharf._ids import Incarnation, TargetId, VmId, ZoneName
from daisywharf._outcomes._link import (
    CALLS_PACE,
    CONTROL_PACE,
    CloseLink,
    LinkState,
    SendHeartbeat,
    link_tick,
    record_echo,
    record_sent,
)
from daisywharf._topology import Address

KEYS = ("a-shared-key",)
ANYWHERE = Address("127.0.0.1", 0)


class Peer:
    """Hold the links of one daemon and the frames that it received."""

    def __init__(self, vm: str) -> None:
        self.received: list[FleetFrame] = []
        self.member = Member(VmId(vm), ZoneName("perth-1"), Incarnation(1), ANYWHERE)
        self.links = Links(
            me=lambda: self.member,
            keys=KEYS,
            on_frame=lambda link, frame: self.received.append(frame),
            on_unreachable=lambda address: None,
        )
        address = self.links.start(ANYWHERE)
        self.member = Member(self.member.vm, self.member.zone, self.member.incarnation, address)

    def send_to(self, other: "Peer") -> None:
        """Send a frame to another peer."""
        frame = FleetFrame(DrainRequest(self.member, TargetId("orders-1")))
        self.links.send(other.member.address, frame)


@pytest.fixture
def peers() -> Iterator[tuple[Peer, Peer]]:
    both = (Peer("vm-1"), Peer("vm-2"))
    yield both
    for peer in both:
        peer.links.stop()


@pytest.mark.parametrize(("pace", "heartbeats"), [(CALLS_PACE, 10), (CONTROL_PACE, 3)])
def test_a_link_sends_heartbeats_at_its_pace(pace: _links.LinkPace, heartbeats: int) -> None:
    state = LinkState(now=0.0, pace=pace)
    sent = 0
    for step in range(1, 37):
        record_sent(state, now=step / 12)
        for action in link_tick(state, now=step / 12, pending_calls=0):
            assert isinstance(action, SendHeartbeat)
            record_echo(state, action.sequence)
            sent += 1
    assert abs(sent - heartbeats) <= 1


def test_a_silent_link_between_daemons_is_closed_after_its_limit() -> None:
    state = LinkState(now=0.0, pace=CONTROL_PACE)
    record_sent(state, now=0.1)
    closed_at = [
        step / 4
        for step in range(1, 20)
        if any(isinstance(a, CloseLink) for a in link_tick(state, now=step / 4, pending_calls=0))
    ]
    assert closed_at == [CONTROL_PACE.silence_limit_s + 0.25]


def test_a_link_between_daemons_sends_no_heartbeats_once_its_frames_are_confirmed() -> None:
    state = LinkState(now=0.0, pace=CONTROL_PACE)
    heartbeats = []
    for step in range(1, 400):
        now = step / 4
        if step in (40, 200):
            record_sent(state, now=now - 0.1)
        for action in link_tick(state, now=now, pending_calls=0):
            assert isinstance(action, SendHeartbeat)
            heartbeats.append(now)
            record_echo(state, action.sequence)
    assert heartbeats == [10.0, 50.0]


def test_a_link_that_was_idle_gets_the_full_silence_limit_for_its_next_frame() -> None:
    state = LinkState(now=0.0, pace=CONTROL_PACE)
    for step in range(1, 100):
        assert link_tick(state, now=step / 4, pending_calls=0) == []
    record_sent(state, now=24.9)
    closed_at = [
        step / 4
        for step in range(100, 140)
        if any(isinstance(a, CloseLink) for a in link_tick(state, now=step / 4, pending_calls=0))
    ]
    assert closed_at == [28.0]


def test_frames_pass_both_ways_over_one_link(peers: tuple[Peer, Peer]) -> None:
    first, second = peers
    first.send_to(second)
    eventually(lambda: len(second.received) == 1)
    second.send_to(first)
    eventually(lambda: len(first.received) == 1)
    assert len(first.links.open_links) == len(second.links.open_links) == 1


def test_a_link_whose_echoes_stop_is_closed_and_counted(
    peers: tuple[Peer, Peer], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = peers
    first.send_to(second)
    eventually(lambda: len(second.received) == 1)
    monkeypatch.setattr(_links, "record_echo", lambda state, sequence: None)
    eventually(lambda: first.links.counts.silent_links + second.links.counts.silent_links > 0)
    eventually(lambda: not first.links.open_links and not second.links.open_links)


def test_an_idle_link_is_closed_by_the_daemon_that_opened_it(
    peers: tuple[Peer, Peer], monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = peers
    first.send_to(second)
    eventually(lambda: len(second.received) == 1)
    (opened,) = first.links.open_links
    (accepted,) = second.links.open_links
    assert (opened.is_opened_here, accepted.is_opened_here) == (True, False)
    opened.last_used_at = time.monotonic() - _links.IDLE_TIMEOUT_S
    eventually(lambda: not first.links.open_links and not second.links.open_links)
    assert opened.close_reason == "the link was idle"
    assert first.links.counts.silent_links == 0
