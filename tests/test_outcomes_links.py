"""A silent link is detected in bounded time; a slow peer or a local pause isn't taken for one."""

from typing import Any

import pytest

from daisywharf._outcomes import _link, _pause
from daisywharf._outcomes._link import (
    CloseLink,
    LinkState,
    SendHeartbeat,
    TryNewConnection,
    link_tick,
    record_probe_answer,
)
from daisywharf._outcomes._pause import PauseState, may_start, pause_tick

TICK_S = 0.1
SILENT_BOUND_S = 2.0


class LinkRun:
    """Tick one link; echoes arrive after `echo_s` seconds, or not at all from `silent_from` on."""

    def __init__(self, *, echo_s: float = 0.01, silent_from: float = float("inf")) -> None:
        self.state = LinkState(now=0.0)
        self.echo_s = echo_s
        self.silent_from = silent_from
        self.closed_at: float | None = None
        self.probed_at: list[float] = []
        self.echoes: list[tuple[float, int]] = []

    def run(self, start: float, until: float, *, is_probe_answered: bool = True) -> None:
        """Tick from `start` to `until`, in seconds."""
        for step in range(round((until - start) / TICK_S)):
            now = start + step * TICK_S
            for due, sequence in [echo for echo in self.echoes if echo[0] <= now]:
                self.echoes.remove((due, sequence))
                _link.record_echo(self.state, sequence)
            for action in link_tick(self.state, now=now, pending_calls=1):
                self._act(action, now, is_probe_answered)

    def _act(self, action: _link.LinkAction, now: float, is_probe_answered: bool) -> None:
        match action:
            case SendHeartbeat(sequence) if now < self.silent_from:
                self.echoes.append((now + self.echo_s, sequence))
            case TryNewConnection():
                self.probed_at.append(now)
                if is_probe_answered and record_probe_answer(self.state, now=now):
                    self.closed_at = now
            case CloseLink():
                self.closed_at = now


def _silent_link_is_closed_in_time() -> None:
    link = LinkRun(silent_from=3.0)
    link.run(0.0, 10.0)
    assert link.closed_at is not None
    assert link.probed_at
    assert link.closed_at - 3.0 <= SILENT_BOUND_S


def _delayed_echoes_do_not_keep_a_link() -> None:
    link = LinkRun(silent_from=3.0)
    link.run(0.0, 2.5)
    link.echo_s = 1.2
    link.run(2.5, 10.0, is_probe_answered=False)
    assert link.closed_at is not None
    assert link.closed_at - 3.0 <= SILENT_BOUND_S


def _own_pause_closes_nothing() -> None:
    link = LinkRun()
    link.run(0.0, 3.0)
    link.run(33.0, 36.0)
    assert link.closed_at is None


SCENARIOS = [
    _silent_link_is_closed_in_time,
    _delayed_echoes_do_not_keep_a_link,
    _own_pause_closes_nothing,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_only_a_silent_link_is_closed(scenario: Any) -> None:
    scenario()


def test_a_peer_that_echoes_is_kept_however_slow_its_calls_are() -> None:
    link = LinkRun(echo_s=0.2)
    link.run(0.0, 60.0)
    assert link.closed_at is None
    assert not link.probed_at


def test_an_idle_silent_link_is_closed_without_a_probe() -> None:
    state = LinkState(now=0.0)
    actions = [link_tick(state, now=step * TICK_S, pending_calls=0) for step in range(30)]
    assert [CloseLink()] in actions
    assert not any(TryNewConnection() in some for some in actions)


def _count_echo_on_arrival(state: Any, sequence: int) -> None:
    state.last_alive_at = state.ticked_at


def _never_close(_state: Any) -> list[Any]:
    return []


MUTATIONS: dict[str, tuple[str, Any, Any]] = {
    "a late echo counts as fresh": (
        "record_echo",
        _count_echo_on_arrival,
        _delayed_echoes_do_not_keep_a_link,
    ),
    "a silent link is kept": ("_close", _never_close, _silent_link_is_closed_in_time),
    "an own pause counts as silence": ("PAUSE_LIMIT_S", float("inf"), _own_pause_closes_nothing),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_broken_link_check_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    attribute, mutant, scenario = MUTATIONS[name]
    monkeypatch.setattr(_link, attribute, mutant)
    with pytest.raises(AssertionError):
        scenario()


def _paused_process_starts_nothing_stale() -> None:
    state = PauseState(now=0.0)
    assert _pause.may_start(state, deadline=40.0, now=0.1)
    # The thread that runs calls resumes before the tick that detects the pause.
    assert not _pause.may_start(state, deadline=40.0, now=30.0)
    assert pause_tick(state, now=30.0) == 30.0
    assert _pause.may_start(state, deadline=40.0, now=30.1)
    pause_tick(state, now=39.9)
    assert not _pause.may_start(state, deadline=40.0, now=40.0)


def test_a_paused_process_starts_nothing_stale() -> None:
    _paused_process_starts_nothing_stale()


@pytest.mark.parametrize("ignored", ["deadline", "pause"])
def test_a_start_that_ignores_the_clock_is_caught(
    ignored: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def mutant(state: PauseState, *, deadline: float, now: float) -> bool:
        if ignored == "deadline":
            return may_start(state, deadline=float("inf"), now=now)
        return now < deadline

    monkeypatch.setattr(_pause, "may_start", mutant)
    with pytest.raises(AssertionError):
        _paused_process_starts_nothing_stale()
