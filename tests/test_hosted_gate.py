"""A target that can't embed a gate, whose gate runs in its VM's daemon."""

import gzip
import json
from collections.abc import Iterator

import pytest
import urllib3
from benchmarks._processes import address_in, eventually
from benchmarks._processes_fleet import apply_contract, one_class_contract
from msgspec.structs import replace

from daisywharf import RequestError
from daisywharf._call._wsgi import Environ, StartResponse, headers_of
from daisywharf._daemon._announcement import Announcement
from daisywharf._embedded._target import Announcer
from daisywharf._http_server import HttpServer
from daisywharf._topology import Address, GateHost
from small_fleet import HttpAnswer, SmallFleet

pytestmark = pytest.mark.processes

CUSTOMER = "plain-customer"
COMPRESSED = gzip.compress(b"a whole answer " * 40)


class PlainTarget:
    """Run a plain HTTP service that uses nothing of daisywharf except two of its headers."""

    def __init__(self, fleet: SmallFleet) -> None:
        self.fleet = fleet
        self.daemon = address_in(fleet.first, "http")
        self.server = HttpServer(self._app, address=Address("127.0.0.1", 0), threads=4)
        self.server.start()
        host, _, port = self.daemon.rpartition(":")
        self.announcer = Announcer(Address(host, int(port)))
        self.announcement = Announcement(
            target_id="plain-1",
            service="plain",
            incarnation=1,
            address=self.server.address,
            slots=2,
            connections=8,
            gate=GateHost.DAEMON,
        )

    def _app(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        if environ["PATH_INFO"] == "/packed":
            cookies = [("Set-Cookie", "a=1; Path=/"), ("Set-Cookie", "b=2, c")]
            start_response("200 OK", [("Content-Encoding", "gzip"), *cookies])
            return [COMPRESSED]
        headers = headers_of(environ)
        below = urllib3.request(
            "GET",
            f"http://{self.daemon}/onward/stock/count",
            headers={"Daisywharf-Onward": headers["Daisywharf-Onward"]},
        )
        start_response("200 OK", [("Content-Type", "application/json")])
        answer = {"below": json.loads(below.data), "status_below": below.status}
        return [json.dumps(answer).encode()]


@pytest.fixture(scope="module")
def plain(small_fleet: SmallFleet) -> Iterator[PlainTarget]:
    """Announce a plain target to one daemon, under a contract of its own."""
    target = PlainTarget(small_fleet)
    contract = one_class_contract(CUSTOMER, service="plain", idempotent=False)
    apply_contract(small_fleet.platform, contract)
    target.announcer.announce(target.announcement)

    def has_share() -> bool:
        # A customer without a share yet has a burst of four requests at each daemon.
        target.announcer.announce(target.announcement)
        return all(place_order(small_fleet, small_fleet.second).status == 200 for _ in range(6))

    eventually(has_share)
    yield target
    target.announcer.withdraw(target.announcement)
    target.server.stop()


def place_order(fleet: SmallFleet, daemon: str) -> HttpAnswer:
    """Place an order at the plain service through a daemon."""
    return fleet.send_request(
        daemon, "POST", "/call/plain/x", Daisywharf_Customer=CUSTOMER, Daisywharf_Class="work"
    )


def test_a_request_passes_another_daemon_s_gate_and_continues_with_an_onward_call(
    small_fleet: SmallFleet, plain: PlainTarget
) -> None:
    served: list[HttpAnswer] = []

    def answers() -> bool:
        plain.announcer.announce(plain.announcement)
        answered = place_order(small_fleet, small_fleet.second)
        if answered.status == 200:
            served.append(answered)
        return bool(served)

    eventually(answers)
    (answered,) = served
    assert answered.document["status_below"] == 200
    assert answered.document["below"]["service"] == "stock"


def test_a_compressed_answer_and_its_cookies_are_returned_unchanged(
    small_fleet: SmallFleet, plain: PlainTarget
) -> None:
    plain.announcer.announce(plain.announcement)
    eventually(lambda: place_order(small_fleet, small_fleet.second).status == 200)
    reply = small_fleet.processes.http.request(
        "POST",
        f"http://{address_in(small_fleet.second, 'http')}/call/plain/packed",
        headers={"Daisywharf-Customer": CUSTOMER, "Daisywharf-Class": "work"},
        decode_content=False,
    )
    assert reply.data == COMPRESSED
    assert reply.headers.getlist("Content-Length") == [str(len(COMPRESSED))]
    assert reply.headers.getlist("Set-Cookie") == ["a=1; Path=/", "b=2, c"]
    assert "Daisywharf-Hop-Answer" not in reply.headers


def test_an_onward_call_without_a_request_is_refused(
    small_fleet: SmallFleet, plain: PlainTarget
) -> None:
    answered = small_fleet.send_request(
        small_fleet.first, "POST", "/onward/stock/count", Daisywharf_Onward="forged"
    )
    assert (answered.status, answered.kind) == (400, "bad-request")


def test_an_order_whose_target_accepts_no_connection_is_not_run(
    small_fleet: SmallFleet, plain: PlainTarget
) -> None:
    plain.announcer.announce(plain.announcement)
    plain.server.stop()
    # The contract is new; its shares arrive shortly after it.
    eventually(lambda: place_order(small_fleet, small_fleet.second).kind != "rate-exceeded")
    refused = place_order(small_fleet, small_fleet.second)
    assert refused.status == 503
    assert refused.document["ran"] == "no"


def test_a_target_of_another_vm_can_t_be_announced(plain: PlainTarget) -> None:
    elsewhere = replace(plain.announcement, address=Address("10.9.8.7", 80))
    with pytest.raises(RequestError, match="10.9.8.7.*not this VM"):
        plain.announcer.announce(elsewhere)
