"""Run a test with the store's stand-in and its client on loopback."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from benchmarks._platform_store import StoreStandIn

from builders_mesh import free_address, in_loop
from daisywharf.platform._store import ObjectStore


def with_store(play: Callable[[StoreStandIn, ObjectStore], Awaitable[None]]) -> None:
    """Run `play` on an event loop of its own."""

    async def scenario() -> None:
        stand_in = StoreStandIn(free_address())
        await stand_in.server.start(stand_in.address)
        await play(stand_in, ObjectStore(stand_in.address, now=time.monotonic))
        stand_in.server.stop()
        for connection in list(stand_in.server.connections):
            connection.close()
        await asyncio.sleep(0)

    in_loop(scenario)
