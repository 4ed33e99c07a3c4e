"""A small stand-in for the platform's claims: outages, and answers lost before or after."""

from collections.abc import Callable

from benchmarks._outcomes_clock import Node
from benchmarks._outcomes_network import Network
from daisywharf._ids import IdempotencyKey
from daisywharf._outcomes._claim import (
    Claim,
    ClaimCreated,
    ClaimEvent,
    ClaimExists,
    ClaimOutcomeUnknown,
    ClaimRead,
    CreateClaim,
    PlatformDown,
    ReadClaim,
)

LATENCY_S = 0.003
TIMEOUT_S = 0.3
LATE_EFFECT_S = 1.0


class ClaimStore:
    """Hold the claims."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.claim_by_name: dict[IdempotencyKey, Claim] = {}
        self.down_until = float("-inf")
        self.lost_fraction = 0.0

    def create(self, node: Node, action: CreateClaim, then: Callable[[ClaimEvent], None]) -> None:
        """Create a claim; the answer may be lost, with the effect before it, late or never."""
        if self.network.clock.now < self.down_until:
            node.after(TIMEOUT_S, lambda: then(PlatformDown()))
            return
        if self.network.rng.random() < self.lost_fraction:
            delay_s = self.network.rng.uniform(0.0, LATE_EFFECT_S)
            if self.network.rng.random() < 0.7:
                self.network.clock.after(delay_s, lambda: self._put_late(action))
            node.after(TIMEOUT_S, lambda: then(ClaimOutcomeUnknown()))
            return
        is_new = self._put(action)
        node.after(LATENCY_S, lambda: then(ClaimCreated() if is_new else ClaimExists()))

    def read(self, node: Node, action: ReadClaim, then: Callable[[ClaimEvent], None]) -> None:
        """Read a claim."""
        if self.network.clock.now < self.down_until:
            node.after(TIMEOUT_S, lambda: then(PlatformDown()))
            return
        event = ClaimRead(self.claim_by_name.get(action.name))
        node.after(LATENCY_S, lambda: then(event))

    def _put_late(self, action: CreateClaim) -> None:
        self._put(action)

    def _put(self, action: CreateClaim) -> bool:
        claim = Claim(action.body, action.edit_id)
        return self.claim_by_name.setdefault(action.name, claim) is claim
