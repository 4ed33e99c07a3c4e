"""One run of the overload benchmark: usual load, a surge, and the time after it."""

from itertools import count
from random import Random

import msgspec

from benchmarks._overload_capacity import (
    Allowed,
    allowed_rates,
    demands_of,
    service_seconds,
    usual_capacity,
)
from benchmarks._overload_gates import GATE_FACTORY_BY_POLICY, RULES_BY_POLICY
from benchmarks._overload_observations import Observations, observe, record_result
from benchmarks._overload_world import Deployment, call_class_of, chain_of
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    VmId,
)
from daisywharf._topology import Address, Target
from daisywharf._virtual._chain import apply_actions
from daisywharf._virtual._clients import ClientRequest, ClientRules, Clients, send_request
from daisywharf._virtual._loop import call_later, run_until
from daisywharf._virtual._targets import Fakes, add_target

TICK_PERIOD_S = 0.01
USUAL_LOAD_FRACTION = 0.6  # of the capacity
MAX_CRITICAL_GROWTH = 3.0  # factor by which a surge raises critical requests at most
WARM_UP_S = 2.0
CONTRACT_MARGIN = 1.5  # rate of a contract over the mean demand of its customer in the surge
GREEDY_CUSTOMER = CustomerId("customer-0")


class Scenario(msgspec.Struct, frozen=True):
    """One run; times are in seconds.

    `surge` is the offered load over capacity during the surge, `greedy` the factor on the demand
    of `GREEDY_CUSTOMER`, `heed` the fraction of requests whose client waits as Retry-After asks,
    and `failing` the fraction of calls below an entry that fail. With `holds`, a call keeps its
    slot while it waits for a call below.
    """

    deployment: Deployment
    policy: str = "daisywharf"
    seed: int = 1
    surge: float = 4.0
    depth: int = 3
    client_retries: int = 2
    heed: float = 0.5
    slow_service: ServiceName | None = None
    slow_factor: float = 1.0
    slow_after_s: float = 0.0
    failing: float = 0.0
    greedy: float = 1.0
    holds: bool = False
    customers: int = 6
    before_s: float = 4.0
    surge_s: float = 4.0
    after_s: float = 6.0

    @property
    def surge_at(self) -> float:
        """Return the start of the surge, in seconds from the start of the run."""
        return WARM_UP_S + self.before_s

    @property
    def surge_end(self) -> float:
        """Return the end of the surge, in seconds from the start of the run."""
        return self.surge_at + self.surge_s


class Load(msgspec.Struct, frozen=True):
    """Offered requests per second by class, of all customers, and what fits in the surge."""

    usual: dict[CallClassName, float]
    surge: dict[CallClassName, float]
    allowed: Allowed


def load_of(scenario: Scenario) -> Load:
    """Return the offered and allowed rates of a scenario."""
    demands = demands_of(scenario.deployment, scenario.depth, {}, holds=scenario.holds)
    capacity = usual_capacity(scenario.deployment, demands)
    usual = {d.shape.name: capacity * USUAL_LOAD_FRACTION * d.shape.part for d in demands}
    growth = min(scenario.surge / USUAL_LOAD_FRACTION, MAX_CRITICAL_GROWTH)
    critical = {d.shape.name for d in demands if d.shape.importance == 0}
    surge = {name: usual[name] * growth for name in critical}
    rest = capacity * scenario.surge - sum(surge.values())
    rest_fraction = sum(d.shape.part for d in demands if d.shape.name not in critical)
    for demand in demands:
        if demand.shape.name not in critical:
            surge[demand.shape.name] = rest * demand.shape.part / rest_fraction
    slow_factor_by_service = {}
    if scenario.slow_service is not None:
        slow_factor_by_service[scenario.slow_service] = scenario.slow_factor
    slowed_demands = demands_of(
        scenario.deployment, scenario.depth, slow_factor_by_service, holds=scenario.holds
    )
    return Load(usual, surge, allowed_rates(scenario.deployment, slowed_demands, surge))


def run(scenario: Scenario) -> Observations:
    """Run a scenario to its end and return what was recorded."""
    fakes = _make_fakes(scenario)
    observations = Observations()
    fakes.observe = lambda target, action, call: observe(observations, fakes, target, action, call)
    rules = ClientRules(scenario.client_retries, scenario.heed)
    clients = Clients(
        fakes,
        rules,
        Random(f"{scenario.seed}-clients"),
        lambda result: record_result(observations, result),
    )
    load = load_of(scenario)
    for shape in scenario.deployment.shapes:
        for number in range(scenario.customers):
            _start_arrivals(scenario, load, clients, shape.name, number)
    _schedule_ticks(fakes)
    _schedule_slowdown(scenario, fakes)
    run_until(fakes.loop, scenario.surge_end + scenario.after_s)
    observations.first_calls = fakes.first_calls
    observations.retried_calls = fakes.retried_calls
    return observations


def _make_fakes(scenario: Scenario) -> Fakes:
    deployment = scenario.deployment
    fakes = Fakes(
        rng=Random(f"{scenario.seed}-targets"),
        delays=deployment.delays,
        rules=msgspec.structs.replace(
            RULES_BY_POLICY[scenario.policy], suspends=not scenario.holds
        ),
        work_s_by_service=service_seconds(deployment, scenario.depth),
    )
    fakes.failing_fraction = scenario.failing
    make_gate = GATE_FACTORY_BY_POLICY[scenario.policy]
    for size in deployment.sizes:
        for number in range(size.targets):
            name = f"{size.service}-{number}"
            target = Target(
                target_id=TargetId(name),
                service=size.service,
                vm=VmId(name),
                zone=deployment.zones[number % len(deployment.zones)],
                incarnation=Incarnation(1),
                address=Address("127.0.0.1", 0),
                slots=size.slots,
                connections=size.connections,
            )
            add_target(fakes, target, make_gate(size.slots, size.service))
    return fakes


def _start_arrivals(
    scenario: Scenario,
    load: Load,
    clients: Clients,
    class_name: CallClassName,
    customer_number: int,
) -> None:
    deployment = scenario.deployment
    shape = next(shape for shape in deployment.shapes if shape.name == class_name)
    chain = chain_of(shape, scenario.depth)
    customer = CustomerId(f"customer-{customer_number}")
    # The greedy customer's contract only covers its mean demand when it isn't greedy.
    margin = 1.0 if customer == GREEDY_CUSTOMER else CONTRACT_MARGIN
    contract_rate = load.surge[class_name] / scenario.customers * margin
    call_class = call_class_of(shape, scenario.depth, rate_per_second=contract_rate)
    rng = Random(f"{scenario.seed}-{class_name}-{customer_number}")
    demand_factor = scenario.greedy if customer == GREEDY_CUSTOMER else 1.0
    numbers = count()
    loop = clients.fakes.loop
    end = scenario.surge_end + scenario.after_s

    def arrive() -> None:
        number = next(numbers)
        request = ClientRequest(
            request_id=RequestId(f"{scenario.seed}-{class_name}-{customer_number}-{number}"),
            customer=customer,
            call_class=call_class,
            chain=chain,
            zone=rng.choice(deployment.zones),
            first_sent_at=loop.now,
            heeds=rng.random() < scenario.heed,
        )
        send_request(clients, request)
        schedule_arrival()

    def schedule_arrival() -> None:
        in_surge = scenario.surge_at <= loop.now < scenario.surge_end
        rate = load.usual[class_name] / scenario.customers
        if in_surge:
            rate = load.surge[class_name] / scenario.customers * demand_factor
        if rate <= 0.0:
            return
        delay_s = rng.expovariate(rate)
        # If the rate changes before the next arrival, that arrival is redrawn from the change on.
        for change in (scenario.surge_at, scenario.surge_end):
            if loop.now < change < loop.now + delay_s:
                call_later(loop, change - loop.now, schedule_arrival)
                return
        if loop.now + delay_s < end:
            call_later(loop, delay_s, arrive)

    schedule_arrival()


def _schedule_ticks(fakes: Fakes) -> None:
    def tick() -> None:
        for target in fakes.target_by_id.values():
            apply_actions(fakes, target, target.gate.tick(now=fakes.loop.now))
        call_later(fakes.loop, TICK_PERIOD_S, tick)

    call_later(fakes.loop, TICK_PERIOD_S, tick)


def _schedule_slowdown(scenario: Scenario, fakes: Fakes) -> None:
    service = scenario.slow_service
    if service is None:
        return
    slow_factor_by_service = fakes.slow_factor_by_service
    call_later(
        fakes.loop,
        scenario.surge_at,
        lambda: slow_factor_by_service.update({service: scenario.slow_factor}),
    )
    end = scenario.surge_end + scenario.slow_after_s
    call_later(fakes.loop, end, lambda: slow_factor_by_service.update({service: 1.0}))
