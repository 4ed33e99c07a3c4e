"""Run orders through the real ticket, link and claim state while faults occur."""

import argparse
import json
import sys

from benchmarks._outcomes_faults import FAULT_BY_NAME
from benchmarks._outcomes_world import DEADLINE_S, ORDERS_PER_S, World

SETTLE_S = 60.0


def run(*, orders: int, seed: int, faults: list[str]) -> dict[str, float]:
    """Run the orders and return the ledger's figures; the same seed gives the same figures."""
    world = World(seed=seed)
    for fault in faults:
        FAULT_BY_NAME[fault](world)

    def place(number: int) -> None:
        world.place_order(number)
        if number + 1 < orders:
            gap_s = world.rng.expovariate(ORDERS_PER_S)
            world.clock.after(gap_s, lambda: place(number + 1))

    place(0)
    while world.placed < orders:
        world.clock.run(until=world.clock.now + DEADLINE_S)
    world.clock.run(until=world.clock.now + SETTLE_S)
    report = world.ledger.report(orders)
    report["caller_gave_up"] = world.abandoned_attempts
    return report


def _parse_faults(text: str) -> list[str]:
    names = [name for name in text.split(",") if name]
    unknown = [name for name in names if name not in FAULT_BY_NAME]
    if unknown:
        message = f"unknown fault {unknown[0]!r}; choose from: {','.join(FAULT_BY_NAME)}"
        raise argparse.ArgumentTypeError(message)
    return names


def main(arguments: list[str]) -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(prog="outcomes", description=__doc__)
    parser.add_argument("--orders", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=_parse_faults, default=list(FAULT_BY_NAME))
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    report = run(orders=options.orders, seed=options.seed, faults=options.faults)
    if options.json:
        print(json.dumps(report))
    else:
        for name, value in report.items():
            sys.stdout.write(f"{name:28} {value}\n")
    return 0
