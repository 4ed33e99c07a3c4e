"""Run a trace through the production decision code under a virtual clock."""

from collections import Counter
from collections.abc import Iterable
from functools import partial
from random import Random
from typing import Final

from daisywharf._contract import Contract
from daisywharf._contracts._schema import contract_of
from daisywharf._errors import ErrorKind
from daisywharf._ids import (
    CallClassName,
    CustomerId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    Version,
    VmId,
    ZoneName,
)
from daisywharf._overload._actions import AdmissionAction, Admit
from daisywharf._replay._entry import Admitted, EntryState, Refused, admit
from daisywharf._replay._once import begin_run, end_run, make_records
from daisywharf._replay._outcomes import CallEnd, ReplayResult
from daisywharf._replay._requests import make_entry, send_request
from daisywharf._replay._silence import Network, send_message, silence_links
from daisywharf._replay._trace import CallLine, SlowLine, TargetLine, Trace
from daisywharf._topology import Address, Target
from daisywharf._virtual._chain import ChainCall, apply_actions
from daisywharf._virtual._loop import call_later, run_until
from daisywharf._virtual._messages import CallerRules
from daisywharf._virtual._real_gate import RealGate
from daisywharf._virtual._targets import Delays, Fakes, FakeTarget, add_target

TICK_PERIOD_S: Final = 0.01
MS_PER_S: Final = 1_000.0
REAL_RULES: Final = CallerRules(
    has_tree_budget=True,
    has_retry_ratio=True,
    cancels=True,
    checks_deadline=True,
    marks_failure_below=True,
)


class Replay:
    """Hold the state of a running replay."""

    def __init__(self, trace: Trace, fakes: Fakes) -> None:
        self.trace = trace
        self.fakes = fakes
        self.entry = EntryState()
        self.ends: list[CallEnd] = []
        self.runs_by_hop: Counter[tuple[RequestId, int]] = Counter()
        self.records = make_records()
        self.entry_by_zone: dict[ZoneName, FakeTarget] = {}
        self.pending_requests = 0


def replay_trace(trace: Trace, contracts: Iterable[Contract] = ()) -> ReplayResult:
    """Replay all calls; `contracts` replace the recorded contracts of the same customers."""
    replay = Replay(trace, _make_fakes(trace))
    replay.fakes.observe = partial(_observe, replay)
    _schedule_contracts(replay, tuple(contracts))
    network = Network()
    replay.fakes.send_message = partial(send_message, network)
    for line in trace.silences:
        silence_target = partial(silence_links, network, replay.fakes, TargetId(line.target))
        call_later(replay.fakes.loop, line.at_s, silence_target)
    for slowing in trace.slowings:
        _schedule_slowdown(replay.fakes, slowing)
    for call in trace.calls:
        call_later(replay.fakes.loop, call.at_s, partial(_handle_call, replay, call))
    _schedule_ticks(replay.fakes)
    _run_until_answered(replay)
    ends = sorted(replay.ends, key=lambda end: (end.at_s, end.request_id))
    ran_twice = sum(runs - 1 for runs in replay.runs_by_hop.values())
    return ReplayResult(tuple(ends), ran_twice)


def _make_fakes(trace: Trace) -> Fakes:
    head = trace.head
    fakes = Fakes(
        rng=Random(f"replay-{head.seed}"),
        delays=Delays(
            within_zone_s=head.within_zone_ms / MS_PER_S,
            between_zones_s=head.between_zones_ms / MS_PER_S,
            client_s=head.client_ms / MS_PER_S,
        ),
        rules=REAL_RULES,
        work_s_by_service={ServiceName(s.service): s.work_ms / MS_PER_S for s in trace.services},
    )
    for line in trace.targets:
        add_target(fakes, _target_of(line), RealGate(line.slots, ServiceName(line.service)))
    return fakes


def _target_of(line: TargetLine) -> Target:
    return Target(
        target_id=TargetId(line.target),
        service=ServiceName(line.service),
        vm=VmId(line.target),
        zone=ZoneName(line.zone),
        incarnation=Incarnation(1),
        address=Address("127.0.0.1", 0),
        slots=line.slots,
        connections=line.connections,
    )


def _schedule_contracts(replay: Replay, contracts: tuple[Contract, ...]) -> None:
    in_force = replay.entry.contract_by_customer
    replaced_customers = {contract.customer for contract in contracts}
    in_force.update({contract.customer: contract for contract in contracts})
    for line in replay.trace.contracts:
        contract = contract_of(line.contract, Version(line.contract.version or 0))
        if contract.customer not in replaced_customers:
            apply_contract = partial(in_force.__setitem__, CustomerId(contract.customer), contract)
            call_later(replay.fakes.loop, line.at_s, apply_contract)


def _schedule_slowdown(fakes: Fakes, line: SlowLine) -> None:
    factor_by_service = fakes.slow_factor_by_service
    service = ServiceName(line.service)
    call_later(fakes.loop, line.at_s, partial(factor_by_service.__setitem__, service, line.factor))
    call_later(fakes.loop, line.until_s, partial(factor_by_service.__setitem__, service, 1.0))


def _schedule_ticks(fakes: Fakes) -> None:
    def tick() -> None:
        for target in fakes.target_by_id.values():
            apply_actions(fakes, target, target.gate.tick(now=fakes.loop.now))
        call_later(fakes.loop, TICK_PERIOD_S, tick)

    call_later(fakes.loop, TICK_PERIOD_S, tick)


def _run_until_answered(replay: Replay) -> None:
    last_s = max((line.at_s for line in replay.trace.calls), default=0.0)
    run_until(replay.fakes.loop, last_s)
    while replay.pending_requests:
        run_until(replay.fakes.loop, replay.fakes.loop.now + 1.0)


def _observe(replay: Replay, _target: FakeTarget, action: AdmissionAction, call: object) -> None:
    if isinstance(action, Admit) and isinstance(call, ChainCall) and not call.context.idempotent:
        replay.runs_by_hop[call.context.request_id, call.context.depth] += 1


def _handle_call(replay: Replay, line: CallLine) -> None:
    now = replay.fakes.loop.now
    decision = admit(replay.entry, line, now=now)
    if isinstance(decision, Refused):
        _record_end(replay, line, decision.is_resend, decision.kind, 0)
        return
    run_decision = begin_run(replay.records, line, decision, now=now)
    if isinstance(run_decision, Admitted):
        _send(replay, line, run_decision)
    else:
        _record_end(replay, line, run_decision.is_resend, run_decision.kind, 0)


def _send(replay: Replay, line: CallLine, admitted: Admitted) -> None:
    replay.pending_requests += 1

    def on_end(kind: ErrorKind | None, retries: int) -> None:
        replay.pending_requests -= 1
        if not admitted.call_class.idempotent:
            end_run(replay.records, line, kind, now=replay.fakes.loop.now)
        _record_end(replay, line, admitted.is_resend, kind, retries)

    send_request(
        replay.fakes,
        _entry_in(replay, ZoneName(line.zone)),
        line,
        admitted.call_class,
        retries=admitted.retries,
        on_end=on_end,
    )


def _entry_in(replay: Replay, zone: ZoneName) -> FakeTarget:
    entry = replay.entry_by_zone.get(zone)
    if entry is None:
        entry = replay.entry_by_zone[zone] = make_entry(zone)
    return entry


def _record_end(
    replay: Replay, line: CallLine, is_resend: bool, kind: ErrorKind | None, retries: int
) -> None:
    elapsed_s = replay.fakes.loop.now - line.at_s
    replay.ends.append(
        CallEnd(
            request_id=RequestId(line.request),
            customer=CustomerId(line.customer),
            call_class=CallClassName(line.call_class),
            at_s=line.at_s,
            latency_s=elapsed_s + 2 * replay.fakes.delays.client_s,
            kind=kind,
            retries=retries,
            is_resend=is_resend,
        )
    )
