"""Generate a trace for `daisywharf replay`: the calls of a deployment during a fault."""

import argparse
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from random import Random

import msgspec

from daisywharf._contract import Contract
from daisywharf._contracts import load_contract_file
from daisywharf._contracts._schema import WrittenContract, written_classes
from daisywharf._ids import CallClassName
from daisywharf._replay._trace import (
    TRACE_FORMAT,
    CallLine,
    ContractLine,
    OutageLine,
    ServiceLine,
    SilentLine,
    SlowLine,
    TargetLine,
    TraceHead,
    TraceLine,
)

CONTRACTS = Path(__file__).parent.parent / "contracts"
USUAL_CALLS_PER_S = 40.0
SURGE = 3.0
FAULT_AT_S = 3.0
FAULT_UNTIL_S = 6.0
EDIT_IN_FORCE_S = 6.5
DURATION_S = 9.0
WORK_MS = 80.0
SLOW_FACTOR = 1.5
RESEND_FRACTION = 0.2
RESEND_AFTER_S = 0.5
# Divides the deployments' slots so that a few calls per second fill them.
SLOT_DIVISOR = 20


class Case(Enum):
    """Fault that the trace contains."""

    SURGE = "surge"
    SILENT = "silent"
    OUTAGE = "outage"


class RecordedDeployment(msgspec.Struct, frozen=True):
    """A deployment in the trace; `sizes` gives targets, slots and connections by service."""

    zones: tuple[str, ...]
    between_zones_ms: float
    sizes: dict[str, tuple[int, int, int]]
    slow_service: str
    silent_target: str
    edited: str


DEPLOYMENT_BY_NAME = {
    "karri-ridge": RecordedDeployment(
        zones=("perth-1", "perth-2", "perth-3"),
        between_zones_ms=1.5,
        sizes={
            "catalogue": (6, 140, 900),
            "orders": (4, 200, 1_300),
            "drawings": (3, 270, 1_700),
            "stock": (3, 40, 300),
        },
        slow_service="stock",
        silent_target="stock-0",
        edited="builders",
    ),
    "scheldezand": RecordedDeployment(
        zones=("antwerpen", "gent", "kallo"),
        between_zones_ms=1.0,
        sizes={
            "berthdesk": (4, 120, 800),
            "bookhouse": (3, 160, 1_050),
            "paperwharf": (3, 160, 1_050),
            "lockwatch": (3, 50, 400),
        },
        slow_service="lockwatch",
        silent_target="lockwatch-0",
        edited="yard-planners",
    ),
}


def record(name: str, case: Case, seed: int) -> list[TraceLine]:
    """Return the lines of a trace; the same seed gives the same lines."""
    deployment = DEPLOYMENT_BY_NAME[name]
    contracts = [load_contract_file(path) for path in sorted((CONTRACTS / name).glob("*.yaml"))]
    lines: list[TraceLine] = [_head(deployment, seed), *_fleet(deployment)]
    lines += [
        ContractLine(at_s=0.0, contract=_written_contract(contract)) for contract in contracts
    ]
    lines += _faults(deployment, case, contracts)
    rng = Random(f"{name}-{case.value}-{seed}")
    return lines + sorted(_calls(deployment, case, contracts, rng), key=lambda line: line.at_s)


def _head(deployment: RecordedDeployment, seed: int) -> TraceHead:
    return TraceHead(
        format=TRACE_FORMAT,
        seed=seed,
        within_zone_ms=0.2,
        between_zones_ms=deployment.between_zones_ms,
        client_ms=8.0,
    )


def _fleet(deployment: RecordedDeployment) -> Iterator[TraceLine]:
    for service, (targets, slots, connections) in deployment.sizes.items():
        yield ServiceLine(service=service, work_ms=WORK_MS)
        for number in range(targets):
            yield TargetLine(
                target=f"{service}-{number}",
                service=service,
                zone=deployment.zones[number % len(deployment.zones)],
                slots=slots // SLOT_DIVISOR,
                connections=connections,
            )


def _written_contract(contract: Contract) -> WrittenContract:
    return WrittenContract(str(contract.customer), written_classes(contract))


def _faults(
    deployment: RecordedDeployment, case: Case, contracts: list[Contract]
) -> list[TraceLine]:
    if case is Case.SURGE:
        return [
            SlowLine(
                at_s=FAULT_AT_S,
                until_s=FAULT_UNTIL_S,
                service=deployment.slow_service,
                factor=SLOW_FACTOR,
            )
        ]
    if case is Case.SILENT:
        return [SilentLine(at_s=FAULT_AT_S, target=deployment.silent_target)]
    edited = next(contract for contract in contracts if contract.customer == deployment.edited)
    return [
        OutageLine(at_s=FAULT_AT_S, until_s=FAULT_UNTIL_S),
        ContractLine(at_s=EDIT_IN_FORCE_S, contract=_written_contract(_throttled(edited))),
    ]


def _throttled(contract: Contract) -> Contract:
    """Return the contract with every class limited to one call in two seconds."""
    slow = {
        name: msgspec.structs.replace(call_class, rate_per_second=0.5, burst=1.0)
        for name, call_class in contract.classes_by_name.items()
    }
    return msgspec.structs.replace(contract, classes_by_name=slow)


def _calls(
    deployment: RecordedDeployment, case: Case, contracts: list[Contract], rng: Random
) -> Iterator[CallLine]:
    at_s = 0.0
    number = 0
    while True:
        is_surge = case is Case.SURGE and FAULT_AT_S <= at_s < FAULT_UNTIL_S
        rate = USUAL_CALLS_PER_S * (SURGE if is_surge else 1.0)
        at_s += rng.expovariate(rate)
        if at_s >= DURATION_S:
            return
        number += 1
        contract = rng.choice(contracts)
        name = rng.choice(sorted(contract.classes_by_name))
        first = _call(f"r{number}", at_s, contract, name, rng.choice(deployment.zones))
        yield first
        if rng.random() < RESEND_FRACTION:
            yield msgspec.structs.replace(first, at_s=round(at_s + RESEND_AFTER_S, 4))


def _call(
    request: str, at_s: float, contract: Contract, name: CallClassName, zone: str
) -> CallLine:
    return CallLine(
        at_s=round(at_s, 4),
        request=request,
        customer=contract.customer,
        call_class=name,
        zone=zone,
        chain=contract.classes_by_name[name].services,
    )


def main(arguments: list[str]) -> int:
    """Write a trace to a file, or print it."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks trace")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENT_BY_NAME), required=True)
    parser.add_argument("--case", choices=[case.value for case in Case], required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args(arguments)
    lines = record(options.deployment, Case(options.case), options.seed)
    text = b"".join(msgspec.json.encode(line) + b"\n" for line in lines).decode()
    if options.out is None:
        print(text, end="")
    else:
        options.out.write_text(text)
    return 0
