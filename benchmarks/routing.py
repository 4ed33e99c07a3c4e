"""Measure how routing handles a bad target, the loss of a zone, and a growing fleet."""

import argparse
import json
from collections import Counter
from random import Random

import msgspec

from benchmarks._fake_service import (
    SERVICE_TIME_S,
    Clock,
    FakeTarget,
    Fault,
    Reply,
    build_fake_target,
    fake_zone,
    send,
)
from benchmarks._routing_policies import POLICY_BY_NAME, Policy
from daisywharf._ids import TargetId, ZoneName
from daisywharf._routing._router import CallOutcome
from daisywharf._routing._subset import pick_subset

ZONES = 3
TARGETS = 12
SLOTS = 4
CALLERS = 12
LOAD_FRACTION = 0.4
FAULT_AT_S = 10.0
FAULT_DURATION_S = 20.0
CONNECTIONS = 900
FLEET_SIZES_VMS = (30, 300, 3_000)
SERVICES = 220

MAX_BAD_SHARE = 0.05
MIN_SUCCESS_FRACTION = 0.995
MIN_LOST_ZONE_SUCCESS_FRACTION = 0.98
MAX_P99_RATIO = 1.2
MIN_OWN_ZONE_FRACTION = 0.95


class Caller(msgspec.Struct):
    """One caller's zone, routing policy and mean call rate."""

    zone: ZoneName
    policy: Policy
    calls_per_s: float


class CompletedCall(msgspec.Struct, frozen=True):
    """One call that has ended; `at` is the time of its end in seconds."""

    at: float
    is_own_zone: bool
    reply: Reply


class Phase(msgspec.Struct, frozen=True):
    """Figures of one phase: parts are 0 to 1, `bad_share` is relative to an even share of calls."""

    success_part: float
    bad_share: float
    own_zone_part: float
    mean_ms: float
    p99_ms: float


class Case(msgspec.Struct, frozen=True):
    """Figures of one fault under one policy, by phase."""

    fault: str
    policy: str
    calm: Phase
    first_second: Phase
    fault_phase: Phase
    later: Phase


class Fleet(msgspec.Struct, frozen=True):
    """Connections of the target of one service that most callers picked."""

    vms: int
    targets: int
    zones: int
    most_connections: int
    announced: int


def run_case(fault: Fault, policy_name: str, seed: int, *, callers_count: int = CALLERS) -> Case:
    """Run one fault under one policy; the same seed gives the same figures."""
    rng = Random(f"{seed}/{fault.value}")
    clock = Clock()
    targets = [build_fake_target(n, zones=ZONES, slots=SLOTS) for n in range(TARGETS)]
    fake_by_id = {t.target_id: FakeTarget(t, clock, rng) for t in targets}
    bad = [t for t in targets if t.zone == targets[0].zone] if fault is Fault.LOST else targets[:1]
    callers = _build_callers(policy_name, callers_count, rng)
    completed_calls: list[CompletedCall] = []
    for caller in callers:
        caller.policy.update(targets, 0.0)
        _schedule_calls(clock, caller, fake_by_id, completed_calls, rng)

    def begin_fault() -> None:
        for target in bad:
            fake_by_id[target.target_id].fault = fault
            fake_by_id[target.target_id].fault_at = clock.now
        if fault is Fault.COLD:
            restarted = build_fake_target(0, zones=ZONES, slots=SLOTS, incarnation=2)
            for caller in callers:
                caller.policy.update([restarted, *targets[1:]], clock.now)

    clock.at(FAULT_AT_S, begin_fault)
    clock.run(FAULT_AT_S + FAULT_DURATION_S)
    bad_ids = {target.target_id for target in bad}
    return Case(
        fault=fault.value,
        policy=policy_name,
        calm=_phase(completed_calls, bad_ids, FAULT_AT_S / 2, FAULT_AT_S),
        first_second=_phase(completed_calls, bad_ids, FAULT_AT_S, FAULT_AT_S + 1.0),
        fault_phase=_phase(completed_calls, bad_ids, FAULT_AT_S, FAULT_AT_S + FAULT_DURATION_S),
        later=_phase(completed_calls, bad_ids, FAULT_AT_S + 1.0, FAULT_AT_S + FAULT_DURATION_S),
    )


def _build_callers(policy_name: str, count: int, rng: Random) -> list[Caller]:
    build = POLICY_BY_NAME[policy_name]
    calls_per_s = LOAD_FRACTION * TARGETS * SLOTS / SERVICE_TIME_S / count
    zones = [fake_zone(number % ZONES) for number in range(count)]
    return [
        Caller(zone, build(zone, f"vm-{number}", rng), calls_per_s)
        for number, zone in enumerate(zones)
    ]


def _schedule_calls(
    clock: Clock,
    caller: Caller,
    fake_by_id: dict[TargetId, FakeTarget],
    completed_calls: list[CompletedCall],
    rng: Random,
) -> None:
    gap_s = 1.0 / caller.calls_per_s

    def call() -> None:
        fake = fake_by_id[caller.policy.start(clock.now)]

        def on_reply(reply: Reply) -> None:
            caller.policy.end(reply, clock.now)
            completed_calls.append(CompletedCall(clock.now, fake.target.zone == caller.zone, reply))

        send(clock, fake, caller.zone, on_reply)
        clock.at(clock.now + rng.expovariate(1.0 / gap_s), call)

    clock.at(rng.random() * gap_s, call)


def _phase(
    completed_calls: list[CompletedCall], bad_ids: set[TargetId], start: float, end: float
) -> Phase:
    calls = [call for call in completed_calls if start <= call.at < end]
    good = [call for call in calls if call.reply.outcome is CallOutcome.SUCCEEDED]
    count_by_id = Counter(call.reply.target_id for call in calls)
    bad_calls = sum(count_by_id[target_id] for target_id in bad_ids)
    even_share = len(calls) * len(bad_ids) / TARGETS
    latencies = sorted(call.reply.latency_s for call in calls)
    return Phase(
        success_part=round(len(good) / len(calls), 4),
        bad_share=round(bad_calls / even_share, 3),
        own_zone_part=round(sum(call.is_own_zone for call in calls) / len(calls), 3),
        mean_ms=round(sum(latencies) / len(latencies) * 1_000, 2),
        p99_ms=round(latencies[int(0.99 * len(latencies))] * 1_000, 1),
    )


def fleet_connections(vms: int, *, is_wide: bool) -> Fleet:
    """Count the connections of each target when every VM picks its subset of one service.

    A wide service has a target on a tenth of the VMs; otherwise the VMs are spread evenly
    over `SERVICES` services.
    """
    zones = min(15, max(3, vms // 200))
    count = max(3, vms // 10 if is_wide else vms // SERVICES)
    targets = [
        build_fake_target(n, zones=zones, slots=SLOTS, connections=CONNECTIONS)
        for n in range(count)
    ]
    callers_by_zone = {fake_zone(zone): len(range(zone, vms, zones)) for zone in range(zones)}
    count_by_id: Counter[TargetId] = Counter()
    for number in range(vms):
        subset = pick_subset(
            targets,
            caller=f"vm-{number}",
            zone=fake_zone(number % zones),
            callers_by_zone=callers_by_zone,
        )
        count_by_id.update(t.target_id for t in (*subset.own_zone, *subset.other_zones))
    return Fleet(vms, count, zones, max(count_by_id.values()), CONNECTIONS)


def shortfalls(cases: list[Case], fleets: list[Fleet]) -> list[str]:
    """Return a line for each stated target that the real router or a fleet doesn't meet."""
    lines = [
        f"{fleet.vms} VMs, {fleet.targets} targets: {fleet.most_connections} connections"
        for fleet in fleets
        if fleet.most_connections > fleet.announced
    ]
    for case in cases:
        if case.policy == "daisywharf":
            lines.extend(f"{case.fault}: {text}" for text in _case_shortfalls(case))
    return lines


def _case_shortfalls(case: Case) -> list[str]:
    fault = Fault(case.fault)
    is_lost_zone = fault is Fault.LOST
    min_success = MIN_LOST_ZONE_SUCCESS_FRACTION if is_lost_zone else MIN_SUCCESS_FRACTION
    max_p99_ms = MAX_P99_RATIO * case.calm.p99_ms
    phase = case.later
    shortfall_texts = []
    if phase.success_part < min_success:
        shortfall_texts.append(f"success {phase.success_part} under {min_success}")
    if fault not in (Fault.NONE, Fault.COLD) and phase.bad_share > MAX_BAD_SHARE:
        shortfall_texts.append(f"share of bad targets {phase.bad_share} over {MAX_BAD_SHARE}")
    if not is_lost_zone and phase.p99_ms > max_p99_ms:
        shortfall_texts.append(f"p99 {phase.p99_ms} ms over {max_p99_ms:.1f} ms")
    if not is_lost_zone and phase.own_zone_part < MIN_OWN_ZONE_FRACTION:
        shortfall_texts.append(f"own zone {phase.own_zone_part} under {MIN_OWN_ZONE_FRACTION}")
    return shortfall_texts


def main(arguments: list[str]) -> int:
    """Run the chosen faults under the chosen policies, by default all of them."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks routing")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument("--policy", choices=sorted(POLICY_BY_NAME), action="append")
    parser.add_argument("--fault", choices=[f.value for f in Fault], action="append")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    faults = options.fault or [fault.value for fault in Fault]
    cases = [
        run_case(Fault(fault), policy, options.seed, callers_count=options.callers)
        for fault in faults
        for policy in options.policy or POLICY_BY_NAME
    ]
    fleets = [
        fleet_connections(vms, is_wide=wide) for wide in (False, True) for vms in FLEET_SIZES_VMS
    ]
    shortfall_lines = shortfalls(cases, fleets)
    if options.json:
        report = {"cases": cases, "fleets": fleets, "shortfalls": shortfall_lines}
        print(json.dumps(msgspec.to_builtins(report), indent=1))
    else:
        _print_table(cases, fleets)
        for line in shortfall_lines:
            print(f"falls short: {line}")
    return 1 if shortfall_lines else 0


def _print_table(cases: list[Case], fleets: list[Fleet]) -> None:
    for case in cases:
        phase = case.later
        print(
            f"{case.fault:8} {case.policy:20} success {phase.success_part:.4f}"
            f" (first second {case.first_second.success_part:.4f})"
            f"  share {phase.bad_share:6.3f}  own zone {phase.own_zone_part:.3f}"
            f"  mean {phase.mean_ms:7.2f} ms  p99 {phase.p99_ms:6.1f} ms"
            f"  calm p99 {case.calm.p99_ms:5.1f} ms"
        )
    for fleet in fleets:
        print(
            f"{fleet.vms:5} VMs, {fleet.targets:3} targets in {fleet.zones:2} zones:"
            f" at most {fleet.most_connections} of {fleet.announced} connections"
        )
