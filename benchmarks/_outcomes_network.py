"""A network between entries and targets that loses, delays, duplicates and cuts messages."""

from collections.abc import Callable
from random import Random

import msgspec

from benchmarks._outcomes_clock import Node, Step, VirtualClock

LATENCY_S = 0.002
LATE_COPY_S = 25.0  # latest arrival of a duplicate
PARTITION_POLL_S = 0.05


class Rates(msgspec.Struct):
    """Probabilities (0 to 1) of each fault, of shedding and of an abandoned call.

    `reset` breaks the channel of a message, `cut` shortens an answer, `repeat` delivers a message
    a second time, later, and `mix_up` delivers an answer to all pending calls of its link. `shed`
    is the probability that a gate sheds a call, `give_up` that a caller abandons it.
    """

    reset: float = 0.0
    cut: float = 0.0
    repeat: float = 0.0
    mix_up: float = 0.0
    shed: float = 0.0
    give_up: float = 0.0


class Channel:
    """One connection from an entry to one incarnation of a target; each direction can be silent."""

    def __init__(self, entry: Node, target: Node) -> None:
        self.entry = entry
        self.target = target
        self.drops_to_target = False
        self.drops_to_entry = False
        self.is_broken = False
        self.first_fault_at = float("inf")
        self.break_hooks: list[Step] = []


class Network:
    """Delivers messages; knows which zones are partitioned and the probabilities of faults."""

    def __init__(self, clock: VirtualClock, rng: Random) -> None:
        self.clock = clock
        self.rng = rng
        self.rates = Rates()
        self.partitioned_until_by_zones: dict[frozenset[int], float] = {}

    def is_partitioned(self, first: Node, second: Node) -> bool:
        """Return whether the zones of two nodes are partitioned from each other now."""
        zones = frozenset((first.zone, second.zone))
        return self.clock.now < self.partitioned_until_by_zones.get(zones, 0.0)

    def break_channel(self, channel: Channel) -> None:
        """Reset a connection and run its `break_hooks` at the entry."""
        if channel.is_broken:
            return
        channel.is_broken = True
        channel.first_fault_at = min(channel.first_fault_at, self.clock.now)
        for hook in channel.break_hooks:
            channel.entry.after(LATENCY_S, hook)

    def send(self, channel: Channel, step: Step) -> None:
        """Send a message to the target and run `step` there."""
        if channel.drops_to_target:
            self._maybe_duplicate(channel.target, step, probability=0.5)
            return
        self._transmit(channel, channel.target, step)

    def reply(self, channel: Channel, step: Callable[[bool], None]) -> None:
        """Send an answer to the entry and run `step` there with whether the answer was cut."""
        if channel.is_broken or channel.drops_to_entry:
            return
        if self.rng.random() < self.rates.cut:
            self._transmit(channel, channel.entry, lambda: step(True))
            return
        self._transmit(channel, channel.entry, lambda: step(False))

    def _transmit(self, channel: Channel, receiver: Node, step: Step) -> None:
        # In half of the resets, the message still arrives.
        if self.rng.random() < self.rates.reset:
            if self.rng.random() < 0.5:
                self.clock.after(LATENCY_S, lambda: receiver.do(step))
            self.break_channel(channel)
            return
        self._maybe_duplicate(receiver, step, probability=self.rates.repeat)
        self.clock.after(LATENCY_S, lambda: self._arrive(channel, receiver, step))

    def _arrive(self, channel: Channel, receiver: Node, step: Step) -> None:
        # A partition delays messages until it heals; the entry ignores answers on broken channels.
        if self.is_partitioned(channel.entry, channel.target):
            self.clock.after(PARTITION_POLL_S, lambda: self._arrive(channel, receiver, step))
            return
        receiver.do(step)

    def _maybe_duplicate(self, receiver: Node, step: Step, *, probability: float) -> None:
        if self.rng.random() < probability:
            delay_s = self.rng.uniform(LATENCY_S, LATE_COPY_S)
            self.clock.after(delay_s, lambda: receiver.do(step))
