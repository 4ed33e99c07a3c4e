"""An order that reaches a restarted target over a real connection."""

from msgspec.structs import replace

from builders_calls import TARGET, Wire, send_order
from daisywharf import ErrorKind
from daisywharf._call._exchange import error_in
from daisywharf._http_server import HttpServer
from daisywharf._ids import Incarnation
from daisywharf._topology import Address


def test_a_restarted_target_s_refusal_reaches_the_caller_as_not_run() -> None:
    wire = Wire()
    server = HttpServer(wire.gate, address=Address("127.0.0.1", 0), threads=4)
    server.start()
    former = replace(TARGET, address=server.address, incarnation=Incarnation(0))
    error = error_in(send_order(None, target=former))
    server.stop()
    assert error is not None
    assert error.kind is ErrorKind.WRONG_INCARNATION
    assert wire.runs == 0
