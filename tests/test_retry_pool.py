"""Retries over a fleet: pooled per zone, and bounded whichever daemon keeps the pool."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from builders_mesh import Client, MeshWorld, TargetStandIn, eventually, in_loop
from daisywharf._ids import ServiceName
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._routing._fleet_retry_budget import (
    LARGE_FLEET_DAEMONS,
    FleetRetryBudget,
    ZoneRetryPool,
    collect_deposit,
    deposit,
    record_first_attempt,
    spend_own_retry,
    spend_pooled_retry,
)

STOCK = ServiceName("stock")
CATALOGUE = ServiceName("catalogue")
# The users' bounds.
RATIO = 0.2
EXTRA = 213.0
WINDOW_S = 10.0
# Visits of a browse page with its downstream calls.
PAGE = {CATALOGUE: 1.0, STOCK: 4.0}
ZONES = 3
DAEMONS_PER_ZONE = 4
DAEMONS = ZONES * DAEMONS_PER_ZONE


class Fleet:
    """Hold budgets and pools, and the times of first requests and retries."""

    def __init__(self, daemons: int, *, extra: float) -> None:
        self.daemons = daemons
        self.extra = extra
        self.budgets = [
            FleetRetryBudget(ratio=RATIO, extra=extra, window_s=WINDOW_S) for _ in range(daemons)
        ]
        self.pools = [ZoneRetryPool(window_s=WINDOW_S) for _ in range(daemons)]
        self.firsts: list[float] = []
        self.retries: list[tuple[float, float]] = []

    def first(self, daemon: int, *, now: float) -> None:
        record_first_attempt(self.budgets[daemon], STOCK, now=now)
        self.firsts.append(now)

    def deposit(self, daemon: int, keeper: int, *, now: float) -> None:
        services = (STOCK, CATALOGUE)
        credits = collect_deposit(self.budgets[daemon], services, daemons=self.daemons, now=now)
        deposit(self.pools[keeper], credits, now=now)

    def retry(self, daemon: int, keeper: int, *, now: float, visits: float = 1.0) -> bool:
        visits_by_service = {STOCK: visits}
        granted = spend_own_retry(
            self.budgets[daemon], visits_by_service, daemons=self.daemons, now=now
        ) or spend_pooled_retry(self.pools[keeper], visits_by_service, now=now)
        if granted:
            self.retries.append((now, visits))
        return granted

    def restart(self, daemon: int) -> None:
        self.budgets[daemon] = FleetRetryBudget(ratio=RATIO, extra=self.extra, window_s=WINDOW_S)
        self.pools[daemon] = ZoneRetryPool(window_s=WINDOW_S)

    def excess_retries(self, *, now: float) -> float:
        """Return by how many calls the last window exceeds the users' bound."""
        spent = sum(count for at, count in self.retries if at > now - WINDOW_S)
        firsts = max(
            sum(start < at <= start + WINDOW_S for at in self.firsts)
            for start in (now - WINDOW_S, now - 1.5 * WINDOW_S, now - 2.0 * WINDOW_S)
        )
        return spent - RATIO * firsts - self.extra


class PooledRetries(RuleBasedStateMachine):
    """Change each daemon's view of which daemon keeps its zone's pool at any time."""

    daemons_known = DAEMONS

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.fleet = Fleet(DAEMONS, extra=10.0)
        self.fleet.daemons = self.daemons_known
        self.keeper_by_daemon = [daemon - daemon % DAEMONS_PER_ZONE for daemon in range(DAEMONS)]

    @rule(daemon=st.integers(0, DAEMONS - 1), count=st.integers(1, 20))
    def requests(self, daemon: int, count: int) -> None:
        for _ in range(count):
            self.fleet.first(daemon, now=self.now)

    @rule(visits=st.sampled_from([0.5, 1.0, 4.0]), times=st.integers(1, 30))
    def retry_all(self, visits: float, times: int) -> None:
        for daemon in range(DAEMONS):
            for _ in range(times):
                if not self.fleet.retry(
                    daemon, self.keeper_by_daemon[daemon], now=self.now, visits=visits
                ):
                    break

    @rule(daemon=st.integers(0, DAEMONS - 1), place=st.integers(0, DAEMONS_PER_ZONE - 1))
    def change_keeper(self, daemon: int, place: int) -> None:
        self.keeper_by_daemon[daemon] = daemon - daemon % DAEMONS_PER_ZONE + place

    @rule(steps=st.integers(1, 12))
    def pass_time(self, steps: int) -> None:
        for _ in range(steps):
            self.now += 1.0
            for daemon, keeper in enumerate(self.keeper_by_daemon):
                self.fleet.deposit(daemon, keeper, now=self.now)

    @invariant()
    def the_fleet_stays_within_its_bound(self) -> None:
        assert self.fleet.excess_retries(now=self.now) <= 1e-6


class PooledRetriesOfALargeFleet(PooledRetries):
    """Make the same daemons count as members of a large fleet, which pools everything."""

    daemons_known = LARGE_FLEET_DAEMONS + 1

    def __init__(self) -> None:
        super().__init__()
        # The daemons' share of the extra retries, scaled to the size of the large fleet.
        self.fleet.extra = 10.0 * DAEMONS / self.daemons_known


PooledRetriesOfALargeFleet.TestCase.settings = PooledRetries.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestPooledRetries = PooledRetries.TestCase
TestPooledRetriesOfALargeFleet = PooledRetriesOfALargeFleet.TestCase


def test_a_page_whose_target_fails_is_retried_in_a_fleet_of_hundreds() -> None:
    """Replay the large karri-mesh: 195 daemons, 105 stock checks and one failure per second.

    One daemon's own requests earn 1.4 visits of stock per window, and a page needs four.
    """
    fleet = Fleet(195, extra=EXTRA)
    granted = wanted = 0
    for step in range(4_000):
        now = step * 0.01
        fleet.first(step * 7 % 195, now=now)
        if step % 100 == 0:
            for daemon in range(195):
                fleet.deposit(daemon, daemon - daemon % 39, now=now)
            if now > WINDOW_S:
                wanted += 1
                daemon = step * 31 % 195
                granted += fleet.retry(daemon, daemon - daemon % 39, now=now, visits=4.0)
    assert granted == wanted == 29


def test_a_retry_that_exceeds_the_daemon_s_own_credit_is_paid_from_the_zone_s_pool() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        failing = TargetStandIn(lambda seen: seen.answer(500, b""))
        await world.add(failing)
        await world.add(TargetStandIn())
        await world.settle()
        for daemon in world.daemons:
            daemon.retry_permits.budget.extra = 0.0
            daemon.retry_permits.tick(now=daemon.now())
        keeper = max(world.daemons, key=lambda daemon: daemon.settings.vm)
        deposit(keeper.retry_permits.pool, {STOCK: 20.0}, now=keeper.now())
        asker = min(world.daemons, key=lambda daemon: daemon.settings.vm)
        results = [await Client(asker).ask() for _ in range(12)]
        assert [r.status for r in results if isinstance(r, HttpAnswer)] == [200] * 12
        assert failing.seen
        await world.close()

    in_loop(scenario)


def test_without_an_answer_of_the_keeper_the_target_s_failure_is_passed_on() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        targets = [TargetStandIn(lambda seen: seen.answer(500, b"its own")) for _ in range(2)]
        for target in targets:
            await world.add(target)
        await world.settle()
        asker, keeper = sorted(world.daemons, key=lambda daemon: daemon.settings.vm)
        asker.retry_permits.budget.extra = 0.0
        keeper.retry_permits.handle_request = lambda frame, send: None  # type: ignore[method-assign]
        results: list[object] = []
        Client(asker).send("/r/x", results.append)
        await eventually(lambda: bool(results))
        (got,) = results
        assert isinstance(got, HttpAnswer)
        assert (got.status, got.body) == (500, b"its own")
        assert sum(len(target.seen) for target in targets) == 1
        await world.close()

    in_loop(scenario)
