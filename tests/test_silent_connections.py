"""Connections that fall silent while new ones work."""

import asyncio

from benchmarks._platform_store import StoreStandIn

from daisywharf._errors import PlatformError
from daisywharf._topology import Address
from daisywharf.platform._store import ObjectStore
from virtual_net import Process, VirtualNet, in_virtual_time, start_in


def test_after_a_call_on_a_silent_connection_the_next_one_opens_a_new_one() -> None:
    async def use(net: VirtualNet, stand_in: StoreStandIn) -> float:
        store = ObjectStore(stand_in.address, now=net.loop.time)
        watch = asyncio.ensure_future(
            store.watch_configuration(after=stand_in.revision, era=None, wait_s=1.0, within_s=1.35)
        )
        # Opens a second connection, which is idle when both go silent.
        await store.list_members()
        await asyncio.sleep(0.9)
        net.silence(lambda _one, _other: True)
        try:
            await watch
        except PlatformError:
            failed_at = net.loop.time()
        await store.read_configuration()
        return net.loop.time() - failed_at

    async def scenario(net: VirtualNet) -> None:
        stand_in = StoreStandIn(Address("10.200.0.1", 8309))
        await start_in(Process("10.200.0.1"), stand_in.server.start(stand_in.address))
        took_s = await start_in(Process("10.1.0.1"), use(net, stand_in))
        assert took_s < 0.1

    in_virtual_time(scenario)
