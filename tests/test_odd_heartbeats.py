"""Another writer's heartbeat about a sound target costs nothing but itself."""

import asyncio
import json
from typing import Any, Final

import pytest

from builders_mesh import NOWHERE, announcement, daemon_at_rest, in_loop
from daisywharf._ids import TargetId
from daisywharf._mesh._announcements import MAX_BORN_AHEAD_MS, Verdict, check_announcement
from daisywharf._mesh._model import Readiness, TargetDeparture
from daisywharf.platform._control import control_handler

DEEP: Final = b"[" * 100_000 + b"]" * 100_000
HEARTBEAT: Final[dict[str, Any]] = {
    "service": "stock",
    "address": str(NOWHERE),
    "zone": "a",
    "version": "v1",
    "slots": 10,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1_000,
    "born": 1,
}
ODD_HEARTBEATS: Final[dict[str, dict[str, Any]]] = {
    "large-sequence": {"sequence": 10**30},
    "large-born": {"born": 10**30},
    "future-born": {"born": MAX_BORN_AHEAD_MS + 10**12},
    "zone": {"zone": 7},
    "version": {"version": None},
    "port": {"address": "127.0.0.1:99999"},
    "long-port": {"address": "127.0.0.1:" + "9" * 5_000},
    "state": {"state": "resting"},
    "no-zone-version-cold": {"zone": ..., "version": ..., "coldRemainingMs": ...},
    "nested": {"more": "DEEP"},
    "number": {"more": "HUGE"},
    "sound-but-ahead": {},
}


class Answer:
    """Stand in for an exchange of the control address; `status` is what was answered."""

    def __init__(self, target_id: str, body: bytes) -> None:
        self.request_target = f"/-/instances/{target_id}/heartbeat".encode()
        self.body = body
        self.status = 0

    def respond(self, status: int, *, lines: bytes = b"", body: bytes = b"") -> None:
        """Keep the status."""
        self.status = status


def _heartbeat(changes: dict[str, Any]) -> bytes:
    fields = {name: value for name, value in (HEARTBEAT | changes).items() if value is not ...}
    body = json.dumps(fields).encode()
    return body.replace(b'"DEEP"', DEEP).replace(b'"HUGE"', b"9" * 5_000)


@pytest.mark.parametrize("name", ODD_HEARTBEATS)
def test_another_writer_s_heartbeat_doesn_t_hide_the_target_s_departure(name: str) -> None:
    """It is about a sound target, which then reports that it drains, by its own lower count."""

    async def scenario() -> None:
        daemon = daemon_at_rest()
        await daemon.start()
        daemon.handle_announcement(announcement(NOWHERE, sequence=5))
        handle = control_handler(
            service=lambda: daemon.settings.service,
            handle_announcement=daemon.handle_announcement,
            handle_departure=daemon.handle_departure,
            is_departure_kept=daemon.is_departure_kept,
        )
        exchange: Any = Answer("t-1", _heartbeat(ODD_HEARTBEATS[name]))
        handle(exchange)
        is_accepted = name in ("sound-but-ahead", "number")
        assert exchange.status == (200 if is_accepted else 400)
        assert daemon.gate.is_open
        known = daemon.gate.announcement
        assert known is not None
        assert (known.address, known.born_ms) == (NOWHERE, 1)
        draining: Any = Answer("t-1", _heartbeat({"state": "draining", "sequence": 6}))
        handle(draining)
        assert not daemon.gate.is_open
        assert await daemon.is_departure_kept()
        await asyncio.sleep(0)
        target = daemon.membership.own.target
        assert target is not None
        assert target.readiness is Readiness.DRAINING
        # Nothing that was accepted prevents the daemon's end.
        await daemon.stop()
        assert daemon.stopped.is_set()

    in_loop(scenario)


def test_a_deregistration_from_the_future_binds_no_incarnation() -> None:
    async def scenario() -> None:
        daemon = daemon_at_rest()
        future_ms = MAX_BORN_AHEAD_MS + 10**12
        verdict = daemon.handle_departure(TargetDeparture(TargetId("t-1"), future_ms, 9))
        assert verdict is Verdict.BORN_IN_THE_FUTURE
        daemon.handle_announcement(announcement(NOWHERE, sequence=5))
        assert daemon.gate.is_open
        daemon.close()

    in_loop(scenario)


def test_a_departure_counts_whatever_its_sequence() -> None:
    ahead = announcement(NOWHERE, sequence=1_000)
    draining = announcement(NOWHERE, sequence=6, readiness=Readiness.DRAINING)
    left = announcement(NOWHERE, sequence=7, readiness=Readiness.LEFT)
    assert check_announcement(ahead, draining) is Verdict.TAKEN
    assert check_announcement(draining, left) is Verdict.TAKEN
    assert check_announcement(left, draining) is Verdict.LATE
    assert check_announcement(ahead, announcement(NOWHERE, sequence=7)) is Verdict.LATE


def test_a_daemon_ends_though_a_step_of_its_stop_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        daemon = daemon_at_rest()
        await daemon.start()

        def fail(_record: object) -> None:
            raise OverflowError("integer out of range")

        monkeypatch.setattr(daemon.membership, "publish_own", fail)
        with pytest.raises(OverflowError):
            await daemon.stop()
        assert daemon.stopped.is_set()

    in_loop(scenario)
