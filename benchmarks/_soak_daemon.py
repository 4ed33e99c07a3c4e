"""Run one daemon for a soak: behind a relay, with a wrong clock, or with one protection disabled.

python -m benchmarks._soak_daemon LISTEN CLOCK_OFFSET_MS [BROKEN_PROMISE]
"""

import asyncio
import sys
from collections.abc import Callable
from typing import Any, Final

from msgspec.structs import replace

from daisywharf._mesh import _daemon, _entry, _retry_permits
from daisywharf._mesh._announcements import Verdict, check_announcement
from daisywharf._mesh._clock import wall_ms
from daisywharf._mesh._links import LinkServer
from daisywharf._mesh._model import Readiness, parse_address
from daisywharf._mesh._store import ConfigurationRead
from daisywharf._mesh._store_sync import StoreSync
from daisywharf._outcomes._next_step import NextStep, next_step
from daisywharf.platform import _program
from daisywharf.platform._headers import PlatformDialect
from daisywharf.platform._program import main


class _AnyText(str):
    """Compare equal to any text."""

    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        return True

    def __ne__(self, other: object) -> bool:
        return False


def _break_whole() -> None:
    """Accept any answer as the answer to the pending request."""
    read = PlatformDialect.read_answer

    def read_unchecked(self: PlatformDialect, headers: Any) -> Any:
        return replace(read(self, headers), request_id=_AnyText(), is_signed=True)

    PlatformDialect.read_answer = read_unchecked  # type: ignore[method-assign]


def _break_once() -> None:
    """Retry calls that may have run."""
    _entry.next_step = lambda *args, **kwargs: next_step(  # type: ignore[attr-defined]
        *args, **{**kwargs, "is_idempotent": True, "max_attempts": 3}
    )


def _break_not_run() -> None:
    """Refuse requests whose outcome is unknown instead of failing them."""

    def refuse_instead_of_fail(*args: Any, **kwargs: Any) -> NextStep:
        step = next_step(*args, **kwargs)
        return NextStep.REFUSE if step is NextStep.FAIL else step

    _entry.next_step = refuse_instead_of_fail  # type: ignore[attr-defined]
    _entry.Entry._fail = lambda self, pending, kind: self._refuse(  # type: ignore[method-assign]
        pending, kind, now=self.now()
    )


def _break_drain() -> None:
    """Acknowledge that a target leaves, but keep sending to it."""

    def ignore_leaving(known: Any, announcement: Any) -> Any:
        verdict = check_announcement(known, announcement)
        is_leaving = announcement.readiness is not Readiness.READY
        return Verdict.LATE if is_leaving else verdict

    _daemon.check_announcement = ignore_leaving  # type: ignore[attr-defined]


def _break_stop() -> None:
    """Exit at SIGTERM without waiting for pending requests."""

    async def stop(self: Any) -> None:
        self.close()

    _daemon.MeshDaemon.stop = stop  # type: ignore[method-assign]


def _break_budget() -> None:
    """Retry without a budget."""
    _retry_permits.spend_own_retry = lambda *args, **kwargs: True  # type: ignore[attr-defined]
    _entry.next_step = lambda *args, **kwargs: next_step(  # type: ignore[attr-defined]
        *args, **{**kwargs, "max_attempts": 9}
    )


def _break_config() -> None:
    """Keep the configuration read at the start and ignore later versions."""

    async def report_no_change(
        self: Any, earlier: ConfigurationRead, *, wait_s: float
    ) -> ConfigurationRead | None:
        await asyncio.sleep(3_600.0)
        return earlier

    StoreSync._watch = report_no_change  # type: ignore[method-assign]


def _break_limit() -> None:
    """Ignore the limit and the leaving that targets announce in answers."""
    read = PlatformDialect.read_answer

    def read_without_limit(self: PlatformDialect, headers: Any) -> Any:
        head = read(self, headers)
        return replace(head, names_limit=False, most_per_s=None, is_leaving=False)

    PlatformDialect.read_answer = read_without_limit  # type: ignore[method-assign]


BREAK_BY_PROMISE: Final[dict[str, Callable[[], None]]] = {
    "WHOLE": _break_whole,
    "ONCE": _break_once,
    "NOT-RUN": _break_not_run,
    "DRAIN": _break_drain,
    "STOP": _break_stop,
    "BUDGET": _break_budget,
    "CONFIG": _break_config,
    "LIMIT": _break_limit,
}


def _run(listen: str, clock_offset_ms: int, broken_promise: str) -> None:
    address = parse_address(listen)
    start_server = LinkServer.start
    # Listen behind the relay; the settings give other daemons the relay's address.
    LinkServer.start = lambda self, _: start_server(self, address)  # type: ignore[method-assign,assignment]
    _program.wall_ms = lambda: wall_ms() + clock_offset_ms  # type: ignore[attr-defined]
    if broken_promise:
        BREAK_BY_PROMISE[broken_promise]()
    main()


if __name__ == "__main__":
    _run(sys.argv[1], int(sys.argv[2]), sys.argv[3] if len(sys.argv) > 3 else "")
