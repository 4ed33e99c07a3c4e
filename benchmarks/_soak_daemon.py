"""Run one daemon for a soak: behind a relay, with a clock that is off, or with a protection broken.

python -m benchmarks._soak_daemon LISTEN CLOCK_OFF_MS [BROKEN]
"""

import asyncio
import sys
from collections.abc import Callable
from typing import Any, Final

from msgspec.structs import replace

from daisywharf._mesh import _daemon, _entry, _repeats
from daisywharf._mesh._announcements import Verdict, judge_announcement
from daisywharf._mesh._clock import wall_ms
from daisywharf._mesh._links import LinkServer
from daisywharf._mesh._model import Readiness, parse_address
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._outcomes._next_step import NextStep, next_step
from daisywharf.platform import _program
from daisywharf.platform._headers import PlatformDialect
from daisywharf.platform._program import main


class _Anything(str):
    """Equal any text."""

    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        return True

    def __ne__(self, other: object) -> bool:
        return False


def _break_whole() -> None:
    """Take any answer for one's own."""
    read = PlatformDialect.read_answer

    def read_any(self: PlatformDialect, headers: Any) -> Any:
        return replace(read(self, headers), request_id=_Anything(), is_signed=True)

    PlatformDialect.read_answer = read_any  # type: ignore[method-assign]


def _break_once() -> None:
    """Repeat what may have run."""
    _entry.next_step = lambda *args, **given: next_step(  # type: ignore[attr-defined]
        *args, **{**given, "is_idempotent": True, "max_attempts": 3}
    )


def _break_not_run() -> None:
    """Refuse where the outcome isn't known."""

    def refuse(*args: Any, **given: Any) -> NextStep:
        step = next_step(*args, **given)
        return NextStep.REFUSE if step is NextStep.FAIL else step

    _entry.next_step = refuse  # type: ignore[attr-defined]
    _entry.Entry._fail = lambda self, pending, kind: self._refuse(  # type: ignore[method-assign]
        pending, kind, now=self.now()
    )


def _break_drain() -> None:
    """Acknowledge a leaving and go on as before."""

    def deaf(known: Any, announcement: Any) -> Any:
        verdict = judge_announcement(known, announcement)
        is_leaving = announcement.readiness is not Readiness.READY
        return Verdict.LATE if is_leaving else verdict

    _daemon.judge_announcement = deaf  # type: ignore[attr-defined]


def _break_stop() -> None:
    """End at SIGTERM without waiting for what runs."""

    async def stop(self: Any) -> None:
        self.close()

    _daemon.MeshDaemon.stop = stop  # type: ignore[method-assign]


def _break_budget() -> None:
    """Repeat without bound."""
    _repeats.spend_own_retry = lambda *args, **given: True  # type: ignore[attr-defined]
    _entry.next_step = lambda *args, **given: next_step(  # type: ignore[attr-defined]
        *args, **{**given, "max_attempts": 9}
    )


def _break_config() -> None:
    """Put in force only what was read at the start."""

    async def never(self: Any, revision: int, *, wait_s: float) -> int | None:
        await asyncio.sleep(3_600.0)
        return revision

    StoreSync._watch = never  # type: ignore[method-assign]


def _break_limit() -> None:
    """Read no limit, and no leaving, in answers."""
    read = PlatformDialect.read_answer

    def read_none(self: PlatformDialect, headers: Any) -> Any:
        head = read(self, headers)
        return replace(head, names_limit=False, most_per_s=None, is_leaving=False)

    PlatformDialect.read_answer = read_none  # type: ignore[method-assign]


BREAKS: Final[dict[str, Callable[[], None]]] = {
    "WHOLE": _break_whole,
    "ONCE": _break_once,
    "NOT-RUN": _break_not_run,
    "DRAIN": _break_drain,
    "STOP": _break_stop,
    "BUDGET": _break_budget,
    "CONFIG": _break_config,
    "LIMIT": _break_limit,
}


def _run(listen: str, clock_off_ms: int, broken: str) -> None:
    address = parse_address(listen)
    start = LinkServer.start
    # Others are told the relay's address, which the settings hold.
    LinkServer.start = lambda self, _: start(self, address)  # type: ignore[method-assign,assignment]
    _program.wall_ms = lambda: wall_ms() + clock_off_ms  # type: ignore[attr-defined]
    if broken:
        BREAKS[broken]()
    main()


if __name__ == "__main__":
    _run(sys.argv[1], int(sys.argv[2]), sys.argv[3] if len(sys.argv) > 3 else "")
