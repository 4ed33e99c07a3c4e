"""Keep a daemon's endless tasks running."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# Cheap enough for an error that recurs at each restart, and still prompt after a change.
RESTART_DELAY_S: Final = 0.5


async def keep_running(run: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function again whenever it ends; log unexpected errors."""
    while True:
        try:
            await run()
        except Exception as error:
            log_event(Event.UNEXPECTED_ERROR, part=run.__qualname__, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
