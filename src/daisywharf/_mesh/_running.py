"""Keep a daemon's parts running that have no end."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event

# An error that comes back at each start costs little at this pace; a change is still in time.
RESTART_DELAY_S: Final = 0.5


async def keep_running(part: Callable[[], Awaitable[None]]) -> None:
    """Run a part; begin it anew after an error that it didn't expect."""
    while True:
        try:
            await part()
        except Exception as error:
            log_event(Event.UNEXPECTED_ERROR, part=part.__qualname__, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)
