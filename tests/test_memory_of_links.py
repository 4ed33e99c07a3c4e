"""Large frames between daemons count towards the memory budget, and are skipped if it is full."""

import asyncio
import tracemalloc
from typing import Any

import pytest

from builders_mesh import (
    Client,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    ask_without_reading,
    eventually,
    in_loop,
    route,
)
from daisywharf._configuration import ClientLimits
from daisywharf._errors import ErrorKind
from daisywharf._mesh._frame_protocol import LARGE_FRAME_BYTES, FrameProtocol
from daisywharf._mesh._frames import (
    Answered,
    Call,
    Frame,
    GateLoad,
    Ping,
    Unanswered,
    decode_frame,
    encode_frame,
)
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._memory_budget import MemoryBudget, add_buffered

BIG = 2_000_000
LOAD = GateLoad(1, 0, 10, 0.0)


def _call(call_id: int, size: int = BIG) -> Call:
    return Call(
        call_id=call_id,
        target_id="t-1",
        request_id="id",
        caller_service="s",
        route="r s",
        time_left_ms=5_000,
        max_wait_ms=1_000,
        importance=1,
        sub_order=5,
        is_idempotent=False,
        head=b"POST / HTTP/1.1",
        body=b"b" * size,
    )


def _answer(call_id: int, size: int = BIG) -> Answered:
    return Answered(call_id, 200, b"OK", b"", b"a" * size, True, False, LOAD)


class Link:
    """The receiving end of a link: the frames that it got, and those that it sent."""

    def __init__(self, *, max_bytes: float) -> None:
        self.memory = MemoryBudget(max_bytes=max_bytes)
        self.got: list[Frame] = []
        self.sent: list[Frame] = []
        self.protocol = FrameProtocol(
            lambda _link, frame: self.got.append(frame), lambda _link: None, memory=self.memory
        )
        link: Any = self.protocol
        link.send = self.sent.append

    def receive(self, *frames: Frame, chunk_bytes: int = 60_000) -> int:
        """Receive frames in chunks; return the most bytes that the budget counted meanwhile."""
        data = b"".join(encode_frame(frame) for frame in frames)
        most = 0
        for place in range(0, len(data), chunk_bytes):
            self.protocol.data_received(data[place : place + chunk_bytes])
            most = max(most, self.memory.buffered_bytes)
        return most


@pytest.mark.parametrize("call_id", [1, 127, 128, 255, 256, 65_535, 65_536, 2**32])
@pytest.mark.parametrize("chunk_bytes", [7, 60_000, 10**9])
def test_a_call_that_doesn_t_fit_into_memory_is_refused_and_never_held(
    call_id: int, chunk_bytes: int
) -> None:
    link = Link(max_bytes=LARGE_FRAME_BYTES)
    size = LARGE_FRAME_BYTES + 3_000
    most = link.receive(Ping(), _call(call_id, size), Ping(), chunk_bytes=chunk_bytes)
    assert link.got == [Ping(), Ping()]
    assert link.sent == [Unanswered(call_id, ErrorKind.MEMORY_FULL, False, None)]
    assert most == link.memory.buffered_bytes == 0


def test_an_answer_that_doesn_t_fit_into_memory_ends_its_call_with_an_unknown_outcome() -> None:
    link = Link(max_bytes=BIG * 0.4)
    link.receive(_answer(300), Ping())
    assert link.got == [Unanswered(300, ErrorKind.TOO_LARGE, True, None), Ping()]
    assert not link.sent


def test_frames_that_fit_are_counted_while_they_arrive_and_handed_on_whole() -> None:
    link = Link(max_bytes=BIG * 1.2)
    most = link.receive(_call(1), _answer(2), _call(3, 10), Ping())
    assert link.got == [_call(1), _answer(2), _call(3, 10), Ping()]
    assert BIG <= most <= BIG + 1_000
    assert link.memory.buffered_bytes == 0


def test_a_link_that_is_lost_within_a_frame_releases_its_bytes() -> None:
    link = Link(max_bytes=BIG * 2)
    link.protocol.data_received(encode_frame(_call(1))[: BIG // 2])
    assert link.memory.buffered_bytes > BIG
    link.protocol.connection_lost(None)
    assert link.memory.buffered_bytes == 0


def test_a_large_frame_is_held_twice_at_most_while_it_is_received() -> None:
    """Once as it arrives, and once decoded."""
    link = Link(max_bytes=BIG * 10)
    chunks = bytes(encode_frame(_call(1, BIG * 5)))
    tracemalloc.start()
    for place in range(0, len(chunks), 60_000):
        link.protocol.data_received(chunks[place : place + 60_000])
    _, peak = tracemalloc.get_traced_memory()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert link.got == [_call(1, BIG * 5)]
    assert peak < BIG * 5 * 2.3
    assert held < BIG * 5 * 1.1


def test_a_large_frame_is_held_once_beside_its_body_while_it_is_sent() -> None:
    frame = _call(1, BIG * 5)
    tracemalloc.start()
    encoded = encode_frame(frame)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert decode_frame(bytes(encoded[4:])) == frame
    assert peak < BIG * 5 * 1.7


def test_uploads_that_arrive_at_once_from_other_daemons_stay_within_the_gate_s_budget() -> None:
    async def scenario() -> None:
        world = MeshWorld(route(is_idempotent=False))
        held: list[SeenRequest] = []
        gate = await world.add(TargetStandIn(held.append))
        entries = [await world.add() for _ in range(3)]
        await world.settle()
        for daemon in world.daemons:
            daemon.clients.limits = ClientLimits()
        gate.memory.max_bytes = BIG * 1.5
        results: list[Any] = []
        for entry in entries:
            Client(entry).send("/r/x", results.append, method="POST", body=b"u" * BIG)
        await eventually(lambda: len(held) == 1 and len(results) == 2)
        assert gate.memory.buffered_bytes <= BIG * 1.01
        assert [result.status for result in results] == [503, 503]
        held[0].answer()
        await eventually(lambda: len(results) == 3)
        assert results[2].status == 200
        # There is room again, and nothing is counted that has ended.
        assert gate.memory.buffered_bytes == 0
        last = asyncio.ensure_future(Client(entries[0]).ask(method="POST", body=b"u" * BIG))
        await eventually(lambda: len(held) == 2)
        assert held[1].body == b"u" * BIG
        held[1].answer()
        answer = await last
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        await world.close()

    in_loop(scenario)


def test_an_entry_without_room_for_another_copy_refuses_a_body_as_not_run() -> None:
    """Copies that are in transit to gates that refuse them count as well."""

    async def scenario() -> None:
        world = MeshWorld(route(is_idempotent=False))
        target = TargetStandIn()
        await world.add(target)
        entry = await world.add()
        await world.settle()
        held_bytes = int(entry.memory.max_hard_bytes - 1.5 * BIG)
        entry.memory.max_bytes = float("inf")
        add_buffered(entry.memory, held_bytes)
        refused = await Client(entry).ask(method="POST", body=b"u" * BIG)
        assert isinstance(refused, HttpAnswer)
        assert refused.status == 503
        assert not target.seen
        add_buffered(entry.memory, -held_bytes)
        await world.close()

    in_loop(scenario)


# More than the kernel buffers for a reader as slow as these.
ANSWER_BYTES = 10_000_000
SLOW_CLIENTS = 24


@pytest.mark.parametrize("is_remote", [False, True])
def test_many_large_answers_to_clients_that_don_t_read_stay_within_memory(is_remote: bool) -> None:
    """All requests are accepted before the first answer arrives, so none can be refused for it."""

    async def scenario() -> None:
        world = MeshWorld()
        held: list[SeenRequest] = []
        gate = await world.add(TargetStandIn(held.append), slots=2 * SLOW_CLIENTS)
        entry = await world.add() if is_remote else gate
        await world.settle()
        for daemon in world.daemons:
            daemon.memory.max_bytes = 2.0 * ANSWER_BYTES
            daemon.memory.max_overrun_bytes = 3.0 * ANSWER_BYTES
            daemon.memory.max_hard_bytes = 4.0 * ANSWER_BYTES
        address = entry.settings.entry_address
        writers = [
            (await ask_without_reading(address, "/r/x", number=number))[1]
            for number in range(SLOW_CLIENTS)
        ]
        await eventually(lambda: len(held) == SLOW_CLIENTS)
        most = 0
        for seen in held:
            seen.answer(body=b"a" * ANSWER_BYTES)
            for _ in range(50):
                await asyncio.sleep(0.001)
                sums = (d.memory.buffered_bytes + d.memory.unsent_bytes for d in world.daemons)
                most = max(most, *sums)
        await eventually(lambda: not entry.entry.pending)
        # Beyond the bound by what one read brings.
        assert most <= 4.1 * ANSWER_BYTES
        for writer in writers:
            writer.close()
        for daemon in world.daemons:
            await eventually(lambda memory=daemon.memory: memory.buffered_bytes == 0)
        await world.close()

    in_loop(scenario)
