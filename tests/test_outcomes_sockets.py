"""Orders over real connections that go silent, or that lead to a restarted target."""

from collections.abc import Iterator

import pytest
from msgspec.structs import replace

from builders_calls import TARGET, Wire, send_order
from builders_relay import Direction, Relay
from daisywharf import ErrorKind, RequestError
from daisywharf._call._exchange import error_in
from daisywharf._http_server import HttpServer
from daisywharf._ids import Incarnation
from daisywharf._topology import Address, Target


class Site:
    """Hold a gate served over HTTP and the relay in front of it."""

    def __init__(self) -> None:
        self.wire = Wire()
        self.server = HttpServer(self.wire.gate, address=Address("127.0.0.1", 0), threads=4)
        self.server.start()
        self.relay = Relay(self.server.address)

    @property
    def target(self) -> Target:
        """Return the target with the relay's address, as callers see it."""
        return replace(TARGET, address=self.relay.address)


@pytest.fixture
def site() -> Iterator[Site]:
    started = Site()
    yield started
    started.relay.close()
    started.server.stop()


def test_an_answer_lost_on_a_silent_connection_is_returned_over_a_new_one(site: Site) -> None:
    site.relay.next_silent_direction = Direction.ANSWERING
    assert send_order(None, target=site.target).body == b"run 1"
    assert site.wire.runs == 1
    assert site.relay.connections > 1


def test_a_call_lost_on_a_silent_connection_was_not_run(site: Site) -> None:
    site.relay.next_silent_direction = Direction.ASKING
    with pytest.raises(RequestError) as caught:
        send_order(None, target=site.target)
    assert caught.value.kind is ErrorKind.CONNECT_FAILED
    assert site.wire.runs == 0
    assert site.relay.connections > 1


def test_a_restarted_target_s_refusal_reaches_the_caller_as_not_run(site: Site) -> None:
    former = replace(site.target, incarnation=Incarnation(0))
    error = error_in(send_order(None, target=former))
    assert error is not None
    assert error.kind is ErrorKind.WRONG_INCARNATION
    assert site.wire.runs == 0
