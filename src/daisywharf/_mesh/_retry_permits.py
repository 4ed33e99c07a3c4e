"""Permit retries, from this daemon's own budget or from the budget that its zone has pooled."""

from collections.abc import Callable, Iterable
from typing import Final

from daisywharf._ids import ServiceName, VmId
from daisywharf._mesh._distribution import Send
from daisywharf._mesh._frames import RetryDecision, RetryDeposit, RetryRequest
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._membership import Membership
from daisywharf._routing._fleet_retry_budget import (
    FleetRetryBudget,
    ZoneRetryPool,
    collect_deposit,
    deposit,
    spend_own_retry,
    spend_pooled_retry,
)

DEPOSIT_PERIOD_S: Final = 1.0
# A daemon of the same zone replies within a millisecond; a stalled one delays a retry this long.
REPLY_TIMEOUT_S: Final = 0.1

OnDecided = Callable[[bool], None]


def pool_owner(vms: Iterable[VmId]) -> VmId:
    """Return the VM whose daemon owns the pool: the last, because the first watch the store."""
    return max(vms)


class PoolRequest:
    """Hold one request to the pool's owner that has no reply yet."""

    def __init__(self, on_decided: OnDecided, *, sent_at: float) -> None:
        self.on_decided = on_decided
        self.sent_at = sent_at


class RetryPermits:
    """Hold this daemon's budget, the zone's pool if it owns it, and pending pool requests."""

    def __init__(
        self,
        budget: FleetRetryBudget,
        *,
        membership: Membership,
        services: Callable[[], Iterable[ServiceName]],
        now: Callable[[], float],
    ) -> None:
        self.budget = budget
        self.membership = membership
        self.services = services
        self.now = now
        self.pool = ZoneRetryPool(window_s=budget.window_s)
        self.request_by_number: dict[int, PoolRequest] = {}
        self._last_request_number = 0
        self._deposited_at = now()

    def decide(self, visits: dict[ServiceName, float], on_decided: OnDecided) -> None:
        """Decide whether to retry a request that makes `visits` calls at each service.

        Passes the decision to `on_decided`: at once, or when the pool's owner has replied. Without
        a reply the retry is denied after `REPLY_TIMEOUT_S`.
        """
        now = self.now()
        daemons = len(self.membership.record_by_vm)
        if spend_own_retry(self.budget, visits, daemons=daemons, now=now):
            on_decided(True)
            return
        owner = self._owner_link()
        if owner is None:
            on_decided(spend_pooled_retry(self.pool, visits, now=now))
            return
        self._last_request_number += 1
        self.request_by_number[self._last_request_number] = PoolRequest(on_decided, sent_at=now)
        owner.send(RetryRequest(self._last_request_number, visits))

    def tick(self, *, now: float) -> None:
        """Deposit unused credit, and deny requests that got no reply in time."""
        late = [
            number
            for number, request in self.request_by_number.items()
            if now - request.sent_at > REPLY_TIMEOUT_S
        ]
        for number in late:
            self.request_by_number.pop(number).on_decided(False)
        if now - self._deposited_at >= DEPOSIT_PERIOD_S:
            self._deposited_at = now
            self._deposit(now=now)

    def handle_deposit(self, frame: RetryDeposit) -> None:
        """Add the credit that another daemon of the zone deposits in the pool."""
        deposit(self.pool, frame.credits, now=self.now())

    def handle_request(self, frame: RetryRequest, send: Send) -> None:
        """Reply to a daemon of the zone that asks for a retry from the pool."""
        is_allowed = spend_pooled_retry(self.pool, frame.visits, now=self.now())
        send(RetryDecision(frame.number, is_allowed))

    def handle_reply(self, frame: RetryDecision) -> None:
        """Apply the owner's reply; a late one is ignored because the retry was denied already."""
        request = self.request_by_number.pop(frame.number, None)
        if request is not None:
            request.on_decided(frame.is_allowed)

    def _deposit(self, *, now: float) -> None:
        daemons = len(self.membership.record_by_vm)
        credits = collect_deposit(self.budget, self.services(), daemons=daemons, now=now)
        owner = self._owner_link()
        if owner is None:
            deposit(self.pool, credits, now=now)
        else:
            owner.send(RetryDeposit(credits))

    def _owner_link(self) -> OutLink | None:
        """Return the link to the pool's owner, or None if this daemon owns the pool."""
        own, zone = self.membership.own.vm, self.membership.open_links_in_zone()
        return zone.get(pool_owner([own, *zone]))
