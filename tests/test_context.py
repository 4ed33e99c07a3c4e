"""The hop header, which passes a request's context to the next hop and a level back."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daisywharf import ErrorKind, Importance, RequestError
from daisywharf._call._hop import (
    HopAnswer,
    answer_from_header,
    context_in,
    hop_from_header,
    hop_to,
    level_in,
    ticket_in,
    to_header,
    wire_level,
)
from daisywharf._context import RequestContext
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._outcomes._ticket import Ticket
from daisywharf._overload._level import OPEN_LEVEL, Level
from daisywharf._topology import Address, Target

CONTEXT = RequestContext(
    request_id=RequestId("r-1"),
    customer=CustomerId("Schipper Jörg ✓"),
    call_class=CallClassName("order"),
    importance=Importance.CRITICAL,
    deadline=12.5,
    retries=3,
    idempotent=False,
    depth=2,
)
TARGET = Target(
    target_id=TargetId("orders-1"),
    service=ServiceName("orders"),
    vm=VmId("vm-1"),
    zone=ZoneName("perth-1"),
    incarnation=Incarnation(7),
    address=Address("127.0.0.1", 1),
    slots=1,
    connections=1,
)
TICKET = Ticket(IdempotencyKey("key-1"), TARGET.target_id, TARGET.incarnation, 30.0)
HEADER = to_header(hop_to(TARGET, CONTEXT, retries=3, ticket=TICKET, now=10.0, wall_now=1_000.0))


def test_a_hop_keeps_the_context_and_moves_the_deadline_to_the_reader_s_clock() -> None:
    hop = hop_from_header(HEADER)
    read = context_in(hop, now=110.0, wall_now=1_000.2)
    assert read.deadline == pytest.approx(112.5)
    assert (read.request_id, read.customer) == (CONTEXT.request_id, CONTEXT.customer)
    assert read.sub_order == CONTEXT.sub_order
    assert (read.retries, read.idempotent, read.depth) == (3, False, 2)
    assert ticket_in(hop) == TICKET


@pytest.mark.parametrize("value", ['""', "NaN", "Infinity", "-1", '"many"', "9" * 300, "101"])
def test_a_malformed_number_is_a_bad_request_that_shows_it(value: str) -> None:
    assert ",3,2," in HEADER
    with pytest.raises(RequestError, match="Daisywharf-Hop") as caught:
        hop_from_header(HEADER.replace(",3,2,", f",{value},2,"))
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(st.one_of(st.text(max_size=200), st.just("[" * 5_000), st.just("9" * 5_000)))
def test_any_hostile_header_is_a_bad_request(text: str) -> None:
    with pytest.raises(RequestError) as caught:
        hop_from_header(text)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("expiry", ["NaN", "Infinity", "1e400", "-1", "null", '"x"'])
def test_a_ticket_with_a_malformed_expiry_is_a_bad_request(expiry: str) -> None:
    expiry_text = f"{TICKET.expires_at}"
    assert expiry_text in HEADER
    with pytest.raises(RequestError):
        hop_from_header(HEADER.replace(expiry_text, expiry))


def test_a_level_comes_back_on_an_answer() -> None:
    level = Level(2, 1_234, 1.125, ServiceName("stock"))
    answer = HopAnswer("call-1", 7, 0, wire_level(level))
    assert level_in(answer_from_header(to_header(answer))) == level
    assert level_in(HopAnswer("call-1", 7, 0, wire_level(OPEN_LEVEL))) == OPEN_LEVEL


@pytest.mark.parametrize("level", ["[1]", '["x",2,0,""]', '[-1,2,0,"a"]', '[1,2,NaN,"a"]', "9"])
def test_a_malformed_level_is_no_answer(level: str) -> None:
    with pytest.raises(RequestError):
        answer_from_header(f'["call-1",7,0,{level}]')
