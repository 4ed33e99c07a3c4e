"""Build small traces for replay tests."""

import msgspec

from daisywharf._contracts._schema import WrittenClass, WrittenContract
from daisywharf._replay._trace import (
    CallLine,
    ContractLine,
    ServiceLine,
    SilentLine,
    SlowLine,
    TargetLine,
    Trace,
    TraceHead,
    TraceLine,
)

ORDER = WrittenClass(
    name="order",
    services=("orders", "stock"),
    importance="critical",
    rate_per_second=1_000.0,
    burst=1_000.0,
    deadline_ms=4_000,
    idempotent=False,
    retries=2,
)
BROWSE = msgspec.structs.replace(ORDER, name="browse", importance="low", idempotent=True)
CONTRACT = WrittenContract("builders", (ORDER, BROWSE))


def build_call(number: int, at_s: float, *, name: str = "order", request: str = "") -> CallLine:
    return CallLine(
        at_s=at_s,
        request=request or f"r{number}",
        customer="builders",
        call_class=name,
        zone="zone-0",
        chain=("orders", "stock"),
    )


def build_calls(count: int, *, period_s: float = 0.05, name: str = "order") -> list[CallLine]:
    return [build_call(number, number * period_s, name=name) for number in range(count)]


def build_trace(
    calls: list[CallLine],
    *,
    contract: WrittenContract = CONTRACT,
    silences: tuple[SilentLine, ...] = (),
    slowings: tuple[SlowLine, ...] = (),
) -> Trace:
    services = ("orders", "stock")
    return Trace(
        head=TraceHead(format=1, seed=1, within_zone_ms=0.2, between_zones_ms=1.5, client_ms=8.0),
        services=tuple(ServiceLine(service=name, work_ms=20.0) for name in services),
        targets=tuple(
            TargetLine(
                target=f"{name}-{number}",
                service=name,
                zone=f"zone-{number}",
                slots=4,
                connections=100,
            )
            for name in services
            for number in range(3)
        ),
        contracts=(ContractLine(at_s=0.0, contract=contract),),
        calls=tuple(calls),
        slowings=slowings,
        silences=silences,
        outages=(),
    )


def trace_lines(trace: Trace) -> list[TraceLine]:
    return [
        trace.head,
        *trace.services,
        *trace.targets,
        *trace.contracts,
        *trace.slowings,
        *trace.silences,
        *trace.calls,
    ]


def encode_trace(trace: Trace) -> bytes:
    return b"".join(msgspec.json.encode(line) + b"\n" for line in trace_lines(trace))
