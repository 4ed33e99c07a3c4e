"""Ask for a repeat: of this daemon's own budget, or of what its zone has pooled."""

from collections.abc import Callable, Iterable
from typing import Final

from daisywharf._ids import ServiceName, VmId
from daisywharf._mesh._frames import RetryDecision, RetryDeposit, RetryRequest
from daisywharf._mesh._links import OutLink
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._spread import Send
from daisywharf._routing._fleet_retry_budget import (
    FleetRetryBudget,
    ZoneRetryPool,
    collect_deposit,
    deposit,
    spend_own_retry,
    spend_pooled_retry,
)

DEPOSIT_S: Final = 1.0
# A daemon of the own zone answers within a millisecond; one that stands still costs its asker this.
ANSWER_S: Final = 0.1

OnDecided = Callable[[bool], None]


def keeper_of(vms: Iterable[VmId]) -> VmId:
    """Return who keeps the pool of these daemons; the first ones watch the store."""
    return max(vms)


class Asking:
    """Hold one question to the pool's keeper."""

    def __init__(self, on_decided: OnDecided, *, asked_at: float) -> None:
        self.on_decided = on_decided
        self.asked_at = asked_at


class Repeats:
    """Hold the own budget, the pool if it is kept here, and the questions to its keeper."""

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
        self.asking_by_number: dict[int, Asking] = {}
        self._last_number = 0
        self._deposited_at = now()

    def take(self, visits: dict[ServiceName, float], on_decided: OnDecided) -> None:
        """Decide on a repeat with its calls below, at once or once the keeper has answered."""
        now = self.now()
        daemons = len(self.membership.record_by_vm)
        if spend_own_retry(self.budget, visits, daemons=daemons, now=now):
            on_decided(True)
            return
        keeper = self._keeper()
        if keeper is None:
            on_decided(spend_pooled_retry(self.pool, visits, now=now))
            return
        self._last_number += 1
        self.asking_by_number[self._last_number] = Asking(on_decided, asked_at=now)
        keeper.send(RetryRequest(self._last_number, visits))

    def tick(self, *, now: float) -> None:
        """Deposit what was earned, and give up questions that got no answer."""
        late = [
            number
            for number, asking in self.asking_by_number.items()
            if now - asking.asked_at > ANSWER_S
        ]
        for number in late:
            self.asking_by_number.pop(number).on_decided(False)
        if now - self._deposited_at >= DEPOSIT_S:
            self._deposited_at = now
            self._deposit(now=now)

    def hear_deposit(self, frame: RetryDeposit) -> None:
        """Take what another daemon of the zone pools here."""
        deposit(self.pool, frame.credits, now=self.now())

    def hear_question(self, frame: RetryRequest, send: Send) -> None:
        """Answer another daemon of the zone."""
        may_repeat = spend_pooled_retry(self.pool, frame.visits, now=self.now())
        send(RetryDecision(frame.number, may_repeat))

    def hear_answer(self, frame: RetryDecision) -> None:
        """Take the keeper's answer; a late one was given up and repeats nothing."""
        asking = self.asking_by_number.pop(frame.number, None)
        if asking is not None:
            asking.on_decided(frame.is_allowed)

    def _deposit(self, *, now: float) -> None:
        daemons = len(self.membership.record_by_vm)
        credits = collect_deposit(self.budget, self.services(), daemons=daemons, now=now)
        keeper = self._keeper()
        if keeper is None:
            deposit(self.pool, credits, now=now)
        else:
            keeper.send(RetryDeposit(credits))

    def _keeper(self) -> OutLink | None:
        """Return the link to the keeper; none where it is this daemon."""
        own, zone = self.membership.own.vm, self.membership.open_links_in_zone()
        return zone.get(keeper_of([own, *zone]))
