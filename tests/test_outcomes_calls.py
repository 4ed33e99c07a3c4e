"""A caller and a gate agree on an order's outcome, whatever is lost between them."""

import time

import pytest
from msgspec.structs import replace

from builders_calls import TARGET, Wire, send_order
from daisywharf import ErrorKind, RequestError
from daisywharf._call._exchange import error_in
from daisywharf._errors import Ran
from daisywharf._ids import IdempotencyKey
from daisywharf._outcomes._claim import SendUnderClaim
from daisywharf._outcomes._ticket import Ticket


def permit_of_key(*, is_first_use: bool) -> SendUnderClaim:
    key = IdempotencyKey("k.1")
    ticket = Ticket(key, TARGET.target_id, TARGET.incarnation, time.time() + 60.0)
    return SendUnderClaim(ticket, is_first_use)


@pytest.mark.parametrize("fate", ["lost", "cut"])
def test_a_lost_answer_is_returned_by_the_same_gate(fate: str) -> None:
    wire = Wire(fate)
    assert send_order(wire).body == b"run 1"
    assert wire.runs == 1


def test_a_call_that_did_not_arrive_is_burnt_and_never_runs() -> None:
    wire = Wire("held")
    with pytest.raises(RequestError) as caught:
        send_order(wire)
    assert caught.value.kind is ErrorKind.CONNECT_FAILED
    request, hop = wire.undelivered[0]
    assert error_in(wire.deliver(request, hop)) is not None
    assert wire.runs == 0


@pytest.mark.parametrize("fate", ["lost", "cut", "held"])
def test_a_call_under_a_key_is_sent_again_and_runs_once(fate: str) -> None:
    wire = Wire(fate)
    assert send_order(wire, permit_of_key(is_first_use=True)).body == b"run 1"
    for request, hop in wire.undelivered:
        assert wire.deliver(request, hop).body == b"run 1"
    assert wire.runs == 1


def test_an_order_that_met_a_restarted_target_was_not_run() -> None:
    wire = Wire("restarted")
    reply = send_order(wire)
    error = error_in(reply)
    assert error is not None
    assert (error.kind, error.answer.ran) == (ErrorKind.WRONG_INCARNATION, Ran.NO)
    assert wire.runs == 0


def test_an_order_whose_target_restarted_after_the_run_is_unknown() -> None:
    wire = Wire("lost", "restarted")
    with pytest.raises(RequestError) as caught:
        send_order(wire)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert wire.runs == 1
    assert wire.sends == 2


@pytest.mark.parametrize(
    ("is_first_use", "kind"),
    [(True, ErrorKind.CONNECT_FAILED), (False, ErrorKind.OUTCOME_UNKNOWN)],
)
def test_only_a_first_use_of_a_key_is_reported_as_not_run_without_its_gate(
    is_first_use: bool, kind: ErrorKind
) -> None:
    with pytest.raises(RequestError) as caught:
        send_order(Wire("unsent"), permit_of_key(is_first_use=is_first_use))
    assert caught.value.kind is kind


def test_a_resolve_is_retried_until_the_gate_answers() -> None:
    wire = Wire("lost", "unsent", "lost")
    assert send_order(wire).body == b"run 1"
    assert wire.sends == 4


@pytest.mark.parametrize(("stopped_s", "runs"), [(0.0, 1), (4.0, 1), (8.0, 0), (30.0, 0)])
def test_a_call_that_lay_in_a_stopped_target_s_buffer_is_not_run_late(
    stopped_s: float, runs: int
) -> None:
    wire = Wire("held", "unsent", "unsent")
    wire.stopped_s = stopped_s
    with pytest.raises(RequestError):
        send_order(wire, permit_of_key(is_first_use=True), deadline_s=0.3)
    request, hop = wire.undelivered[0]
    wire.deliver(request, replace(hop, time_left_ms=5_000.0))
    assert wire.runs == runs
