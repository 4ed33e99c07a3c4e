"""Build a virtual fleet of daemons that share the quotas of teams.

The daemons' `TeamReports` are real. The network delivers their frames after a random delay, and a
step of the loop is 10 ms of virtual time. Each daemon's clock has another offset.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Collection
from math import exp
from random import Random
from types import SimpleNamespace
from typing import cast

from daisywharf._configuration import ClientLimits, Configuration, Team
from daisywharf._ids import TeamName, Version, VmId, ZoneName
from daisywharf._mesh._frames import TeamReport
from daisywharf._mesh._membership import Membership
from daisywharf._mesh._model import MemberRecord
from daisywharf._mesh._team_reports import TeamReports
from daisywharf._overload._team_quota import QuotaBounds, refund, try_spend
from daisywharf._overload._team_usage import RunId

STEP_S = 0.01
STEPS_PER_TICK = 5
BOUNDS = QuotaBounds()
LINK_LIMIT_S = 2.0  # a silent link is taken for down after this time


def team(name: str = "t", *, rate: float = 100.0, burst: float | None = None) -> Team:
    """Build a team with a quota; its burst is one second of its rate."""
    return Team(TeamName(name), (), None, rate, rate if burst is None else burst)


def configuration_of(*teams: Team, version: int = 1) -> Configuration:
    """Build a configuration of these teams, without routes."""
    return Configuration(Version(version), (), ClientLimits(), {}, teams)


class VirtualLink:
    """The link of one virtual daemon to another."""

    def __init__(self, fleet: "VirtualFleet", source: int, destination: int) -> None:
        self.fleet = fleet
        self.source = source
        self.destination = destination

    @property
    def is_up(self) -> bool:
        return self.fleet.is_link_up(self.source, self.destination)

    def send(self, frame: TeamReport, _encoded: bytes = b"") -> None:
        self.fleet.transmit(self.source, self.destination, frame)


class VirtualDaemon:
    """One daemon of a virtual fleet."""

    def __init__(self, fleet: "VirtualFleet", number: int) -> None:
        self.number = number
        self.vm = fleet.vms[number]
        self.clock_offset = fleet.rng.uniform(0.0, 1e6)
        own = fleet.record_by_vm[self.vm]
        links = {
            vm: VirtualLink(fleet, number, other)
            for other, vm in enumerate(fleet.vms)
            if other != number
        }
        membership = SimpleNamespace(own=own, record_by_vm=fleet.record_by_vm, link_by_vm=links)
        self.rng = Random(fleet.rng.getrandbits(32))
        self.reports = TeamReports(
            membership=cast(Membership, membership),
            bounds=BOUNDS,
            run=RunId(self.rng.getrandbits(31)),
            now=self.clock(fleet.now),
        )

    def clock(self, now: float) -> float:
        """Return this daemon's time at a time of the fleet."""
        return now + self.clock_offset


class VirtualFleet:
    """Daemons in four zones, and the requests that they let pass or refused, by team."""

    def __init__(self, *teams: Team, size: int = 87, zones: int = 4, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.steps = 0
        self.size = size
        self.vms = [VmId(f"vm-{number:03d}") for number in range(size)]
        self.zone_of = [number % zones for number in range(size)]
        self.record_by_vm = {
            vm: MemberRecord(vm, ZoneName(f"z-{zone}"), "127.0.0.1:9", 1, 0, False, None)
            for vm, zone in zip(self.vms, self.zone_of, strict=True)
        }
        self.configuration = configuration_of(*teams)
        self.down: set[int] = set()
        self.cut_from: set[int] = set()
        self.cut_at = 0.0
        self.lost_fraction = 0.0
        self.repeated_fraction = 0.0
        self.delay_s = lambda: self.rng.uniform(0.001, 0.03)
        self.arrivals: dict[int, list[tuple[int, int, TeamReport]]] = defaultdict(list)
        self.passed_by_team: dict[TeamName, list[float]] = defaultdict(list)
        self.refused_by_team: dict[TeamName, list[float]] = defaultdict(list)
        self.retry_after_s: list[float] = []
        self.demand: list[tuple[TeamName, int, float]] = []
        self.daemons = [VirtualDaemon(self, number) for number in range(size)]
        for daemon in self.daemons:
            daemon.reports.put_in_force(self.configuration, now=daemon.clock(0.0))

    # The network.

    def is_cut(self, one: int, other: int) -> bool:
        """Return whether a partition separates two daemons."""
        return (one in self.cut_from) != (other in self.cut_from)

    def is_link_up(self, one: int, other: int) -> bool:
        """Return whether a daemon takes its link to another for up."""
        if other in self.down:
            return False
        return not self.is_cut(one, other) or self.now - self.cut_at < LINK_LIMIT_S

    def transmit(self, source: int, destination: int, frame: TeamReport) -> None:
        """Deliver a frame after a delay, or not, or twice."""
        if self.is_cut(source, destination) or self.rng.random() < self.lost_fraction:
            return
        copies = 2 if self.rng.random() < self.repeated_fraction else 1
        for _ in range(copies):
            step = self.steps + max(1, round(self.delay_s() / STEP_S))
            self.arrivals[step].append((source, destination, frame))

    def cut(self, numbers: Collection[int]) -> None:
        """Cut these daemons off from the others."""
        self.cut_from, self.cut_at = set(numbers), self.now

    def heal(self) -> None:
        """End the partition."""
        self.cut_from = set()

    def restart(self, number: int) -> None:
        """Replace a daemon's process, which knows the members and the configuration."""
        self.down.discard(number)
        daemon = self.daemons[number] = VirtualDaemon(self, number)
        daemon.reports.put_in_force(self.configuration, now=daemon.clock(self.now))

    def put_in_force(self, *teams: Team, numbers: Collection[int] | None = None) -> None:
        """Put other quotas in force at some daemons, or at all."""
        self.configuration = configuration_of(*teams, version=self.configuration.version + 1)
        for number in range(self.size) if numbers is None else numbers:
            daemon = self.daemons[number]
            daemon.reports.put_in_force(self.configuration, now=daemon.clock(self.now))

    # Time and requests.

    def set_demand(self, name: str, per_s: float, at: Collection[int]) -> None:
        """Let a team's clients send this many requests per second, evenly to these daemons."""
        self.demand = [item for item in self.demand if item[0] != name]
        if per_s:
            self.demand += [(TeamName(name), number, per_s / len(at)) for number in at]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def _step(self) -> None:
        self.steps += 1
        self.now = self.steps * STEP_S
        for source, destination, frame in self.arrivals.pop(self.steps, ()):
            if destination not in self.down:
                daemon = self.daemons[destination]
                daemon.reports.receive(self.vms[source], frame, now=daemon.clock(self.now))
        for name, number, per_s in self.demand:
            for _ in range(poisson(self.rng, per_s * STEP_S)):
                self.ask(name, number)
        for daemon in self.daemons[self.steps % STEPS_PER_TICK :: STEPS_PER_TICK]:
            if daemon.number not in self.down:
                daemon.reports.tick(now=daemon.clock(self.now))

    def ask(self, name: str, number: int, *, time_left_s: float = 5.0) -> float | None:
        """Send one request; return None if it passed, else its Retry-After."""
        if number in self.down:
            return 0.0
        daemon = self.daemons[number]
        wait_s = try_spend(
            daemon.reports.quotas,
            TeamName(name),
            time_left_s=time_left_s,
            now=daemon.clock(self.now),
            rng=daemon.rng,
        )
        if wait_s is None:
            self.passed_by_team[TeamName(name)].append(self.now)
        else:
            self.refused_by_team[TeamName(name)].append(self.now)
        return wait_s

    def refund(self, name: str, number: int) -> None:
        """Refuse unrun the request that passed last."""
        self.passed_by_team[TeamName(name)].pop()
        refund(self.daemons[number].reports.quotas, TeamName(name))

    # What is to be judged.

    def passed(self, name: str = "t", *, since: float = 0.0) -> int:
        """Return how many requests of a team have passed since a time."""
        return sum(at >= since for at in self.passed_by_team[TeamName(name)])

    def refused_fraction(self, name: str = "t", *, since: float = 0.0) -> float:
        """Return the part of a team's requests that was refused since a time."""
        refused = sum(at >= since for at in self.refused_by_team[TeamName(name)])
        return refused / max(1, refused + self.passed(name, since=since))

    def largest_window(self, name: str = "t", *, since: float = 0.0) -> int:
        """Return the largest number of requests that passed in any window."""
        times = [at for at in self.passed_by_team[TeamName(name)] if at >= since]
        return max(
            (
                bisect_left(times, at + BOUNDS.window_s - 1e-9) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )


def bound_of(given: Team) -> float:
    """Return how many requests of a team may pass in one window."""
    quota = given.rate_per_s * BOUNDS.window_s + given.burst
    return quota * (1.0 + BOUNDS.overrun) + BOUNDS.tolerance


def poisson(rng: Random, mean: float) -> int:
    """Draw from a Poisson distribution with a small mean."""
    count, product, limit = 0, rng.random(), exp(-mean)
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def sample(fleet: VirtualFleet, count: int) -> list[int]:
    """Choose some daemons of a fleet."""
    return fleet.rng.sample(range(fleet.size), count)
