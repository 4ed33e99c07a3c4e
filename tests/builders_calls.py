"""Builders of callers and gates, connected by a wire that loses calls and answers."""

import time
from collections.abc import Iterator
from io import BytesIO
from random import Random
from typing import Any

from daisywharf._call._caller_state import CallerState, SendCall
from daisywharf._call._exchange import CallReply, CallRequest
from daisywharf._call._gate import Gate
from daisywharf._call._hop import HOP_ENVIRON_KEY, Hop, hop_to, to_header
from daisywharf._call._resolving import TicketedCall, new_permit, send_under_ticket
from daisywharf._call._snapshot import Snapshot, SnapshotHolder
from daisywharf._context import RequestContext
from daisywharf._contract import Importance
from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    VmId,
    ZoneName,
)
from daisywharf._outcomes._claim import SendUnderClaim
from daisywharf._topology import Address, Target

DEADLINE_S = 5.0
TARGET = Target(
    target_id=TargetId("orders-1"),
    service=ServiceName("orders"),
    vm=VmId("vm-1"),
    zone=ZoneName("perth-1"),
    incarnation=Incarnation(1),
    address=Address("127.0.0.1", 1),
    slots=4,
    connections=4,
)


class Wire:
    """Carry calls to a real gate; `fates` lists what happens to each call in order.

    Fates: "unsent" and "held" keep the call from the gate, "restarted" restarts the gate before it,
    "lost" and "cut" lose or truncate the answer, "whole" delivers both. The gate's wall clock runs
    `stopped_s` seconds ahead, as if its process had been paused.
    """

    def __init__(self, *fates: str) -> None:
        self.fates: Iterator[str] = iter(fates)
        self.runs = 0
        self.undelivered: list[tuple[CallRequest, Hop]] = []
        self.sends = 0
        self.stopped_s = 0.0
        self.gate = self._gate(1)

    def __call__(self, target: Target, request: CallRequest, hop: Hop) -> CallReply:
        """Send a call, or raise the error of a broken connection."""
        self.sends += 1
        fate = next(self.fates, "whole")
        if fate == "unsent":
            raise RequestError(ErrorKind.CONNECT_FAILED, fate)
        if fate == "held":
            self.undelivered.append((request, hop))
            raise RequestError(ErrorKind.TIMED_OUT, fate)
        if fate == "restarted":
            self.gate = self._gate(2)
        reply = self.deliver(request, hop)
        if fate == "lost":
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, fate)
        if fate == "cut":
            raise RequestError(ErrorKind.CUT_ANSWER, fate)
        return reply

    def deliver(self, request: CallRequest, hop: Hop) -> CallReply:
        """Deliver a call to the gate and return its reply."""
        statuses: list[str] = []
        headers: dict[str, str] = {}

        def start_response(status: str, pairs: list[tuple[str, str]], *_: Any) -> None:
            statuses.append(status)
            headers.update(pairs)

        environ = {
            "REQUEST_METHOD": request.method,
            "PATH_INFO": request.path,
            "CONTENT_LENGTH": str(len(request.body)),
            "wsgi.input": BytesIO(request.body),
            HOP_ENVIRON_KEY: to_header(hop),
        }
        body = b"".join(self.gate(environ, start_response))
        return CallReply(int(statuses[0].split()[0]), headers, body)

    def _gate(self, incarnation: int) -> Gate:
        return Gate(
            self._app,
            target_id="orders-1",
            service="orders",
            incarnation=incarnation,
            slots=4,
            wall_clock=lambda: time.time() + self.stopped_s,
        )

    def _app(self, _environ: Any, start_response: Any) -> list[bytes]:
        self.runs += 1
        start_response("200 OK", [("Content-Type", "text/plain")])
        return [f"run {self.runs}".encode()]


def send_order(
    wire: SendCall | None,
    permit: SendUnderClaim | None = None,
    *,
    target: Target = TARGET,
    deadline_s: float = DEADLINE_S,
) -> CallReply:
    """Send one order over a wire, or over HTTP if `wire` is None.

    The order runs under the permit, or under a new ticket if `permit` is None.
    """
    state = CallerState(
        SnapshotHolder(Snapshot(TARGET.vm, TARGET.zone, 0)),
        caller="caller",
        clock=time.monotonic,
        rng=Random(1),
        send=wire,
    )
    now = time.monotonic()
    context = RequestContext(
        request_id=RequestId("r-1"),
        customer=CustomerId("counter"),
        call_class=CallClassName("order"),
        importance=Importance.CRITICAL,
        deadline=now + deadline_s,
        retries=0,
        idempotent=False,
    )
    request = CallRequest(ServiceName("orders"), "POST", "/new", context, body=b"bullnose")
    permit = permit or new_permit(request, target, now=now)
    hop = hop_to(target, context, retries=0, ticket=permit.ticket, now=now, wall_now=time.time())
    return send_under_ticket(TicketedCall(state, target, request, permit), hop)
