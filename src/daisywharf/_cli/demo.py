"""The `demo` command: a small fleet under normal load and in a surge."""

import argparse
import time
from pathlib import Path
from typing import Final

import msgspec

from daisywharf._demo._fleet import DemoFleet
from daisywharf._demo._load import Phase, Stream, StreamResult, run_phase

STREAMS: Final = (
    Stream("counter-staff", "place-order", "orders", 8),
    Stream("counter-staff", "check-stock", "stock", 15),
    Stream("builders", "browse-catalogue", "catalogue", 30),
)
PHASES: Final = (Phase("calm", 2.0, 1.0), Phase("surge", 4.0, 8.0), Phase("after", 2.0, 1.0))
SURGING_CLASSES: Final = frozenset({"browse-catalogue"})


class DemoSummary(msgspec.Struct, frozen=True):
    """Hold the results of the demonstration; `seconds` is its duration."""

    seconds: float
    results: list[StreamResult]
    retries: int


def main(arguments: list[str]) -> int:
    """Run the demonstration; it ends by itself within 30 s."""
    parser = argparse.ArgumentParser(
        prog="daisywharf demo",
        description=main.__doc__,
        epilog="Example: daisywharf demo --json",
    )
    parser.add_argument("--json", action="store_true", help="print the summary as JSON")
    parser.add_argument("--contracts", type=Path, default=Path("contracts/karri-ridge"))
    options = parser.parse_args(arguments)
    summary = _run(options.contracts, is_quiet=options.json)
    print(msgspec.json.encode(summary).decode() if options.json else _format_table(summary))
    return 0


def _run(contracts: Path, *, is_quiet: bool) -> DemoSummary:
    started = time.monotonic()
    fleet = DemoFleet(contracts)
    fleet.start()
    if not is_quiet:
        print("One zone, 4 services of 2 targets; orders and catalogue call stock, then drawings.")
    results: list[StreamResult] = []
    for phase in PHASES:
        if not is_quiet:
            print(f"{phase.name}: {phase.seconds:g} s, catalogue reads x {phase.factor:g}")
        results += run_phase(
            phase, STREAMS, surging=SURGING_CLASSES, entry=fleet.daemon.http.address
        )
    retries = fleet.retries()
    fleet.stop()
    return DemoSummary(round(time.monotonic() - started, 1), results, retries)


def _format_table(summary: DemoSummary) -> str:
    lines = ["", "phase  class             offered  whole  refused  p50 ms  p99 ms  why refused"]
    for result in summary.results:
        refused = sum(result.refused_by_kind.values())
        why = ", ".join(f"{kind} {count}" for kind, count in result.refused_by_kind.items())
        lines.append(
            f"{result.phase:6} {result.call_class:17} {result.offered:7} {result.whole:6} "
            f"{refused:8} {result.p50_ms:7} {result.p99_ms:7}  {why or '-'}"
        )
    lines.append(f"retries: {summary.retries}; done in {summary.seconds} s")
    return "\n".join(lines)
