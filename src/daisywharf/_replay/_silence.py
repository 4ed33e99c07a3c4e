"""Make links silent, and detect them by the production code that watches links."""

from functools import partial
from typing import Final

import msgspec

from daisywharf._ids import TargetId
from daisywharf._outcomes._link import CloseLink, LinkState, TryNewConnection, link_tick
from daisywharf._virtual._loop import call_later
from daisywharf._virtual._targets import Fakes, Message

LINK_TICK_PERIOD_S: Final = 0.1
CONNECT_DELAY_S: Final = 0.001


class LinkKey(msgspec.Struct, frozen=True):
    """Identify the link from a caller to a target."""

    caller: TargetId
    target: TargetId


class SilentLink:
    """Hold a silent link and the messages lost on it."""

    def __init__(self, *, now: float) -> None:
        self.state = LinkState(now=now)
        self.undelivered: list[Message] = []
        self.is_reconnecting = False


class Network:
    """Hold all links used so far, and the silent ones."""

    def __init__(self) -> None:
        self.used_links: set[LinkKey] = set()
        self.silent_by_key: dict[LinkKey, SilentLink] = {}


def send_message(network: Network, fakes: Fakes, message: Message) -> None:
    """Deliver a message after its delay, or lose it if its link is silent."""
    key = LinkKey(message.caller.target.target_id, message.target.target.target_id)
    network.used_links.add(key)
    silent = network.silent_by_key.get(key)
    if silent is None:
        call_later(fakes.loop, message.delay_s, message.deliver)
    else:
        silent.undelivered.append(message)


def silence_links(network: Network, fakes: Fakes, target: TargetId) -> None:
    """Make all open links to a target silent; connections opened later work."""
    for key in sorted(network.used_links, key=lambda key: (key.caller, key.target)):
        if key.target == target and key not in network.silent_by_key:
            network.silent_by_key[key] = SilentLink(now=fakes.loop.now)
            _tick(network, fakes, key)


def _tick(network: Network, fakes: Fakes, key: LinkKey) -> None:
    silent = network.silent_by_key[key]
    if silent.is_reconnecting:
        return
    actions = link_tick(silent.state, now=fakes.loop.now, pending_calls=len(silent.undelivered))
    if any(isinstance(action, CloseLink | TryNewConnection) for action in actions):
        silent.is_reconnecting = True
        delay_s = CONNECT_DELAY_S + 2 * fakes.delays.between_zones_s
        call_later(fakes.loop, delay_s, partial(_reconnect, network, key))
        return
    call_later(fakes.loop, LINK_TICK_PERIOD_S, partial(_tick, network, fakes, key))


def _reconnect(network: Network, key: LinkKey) -> None:
    silent = network.silent_by_key.pop(key)
    for message in silent.undelivered:
        message.lost()
