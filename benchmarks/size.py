"""Measure the resource use of each daemon of a real fleet on loopback, at several sizes.

Run as `python -m benchmarks size --daemons 10,50,150 --json`; never in CI.
"""

import argparse
import json
import os
import statistics
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks._processes import Processes
from benchmarks._size_fleet import ZONES, SizeFleet
from benchmarks._size_samples import (
    ProcessSample,
    Spread,
    bare_sample,
    cpu_percent,
    sample_of,
    spread_of,
)

MAX_DAEMONS = 200
SETTLE_S = 20.0
IN_FORCE_EDIT_COUNT = 3
IN_FORCE_POLL_S = 0.2
IN_FORCE_TIMEOUT_S = 60.0


class Traffic(msgspec.Struct, frozen=True):
    """Hold the totals of a daemon's links at one time, in frames and bytes."""

    at_s: float
    frames_in: int
    frames_out: int
    bytes_in: int
    bytes_out: int


class SizeFigures(msgspec.Struct, frozen=True):
    """Hold one size's figures; each spread is over the daemons, `config_in_force_s` over edits."""

    daemons: int
    zones: int
    window_s: float
    started_s: float
    cpu_percent: Spread
    resident_mb: Spread
    proportional_mb: Spread
    above_bare_resident_mb: Spread
    above_bare_proportional_mb: Spread
    threads: Spread
    kb_in_per_s: Spread
    kb_out_per_s: Spread
    frames_in_per_s: Spread
    frames_out_per_s: Spread
    platform_calls_per_s: dict[str, float]
    config_in_force_s: Spread
    daemons_known: Spread
    renewals_failed: int
    load_average: tuple[float, float, float]


class Slope(msgspec.Struct, frozen=True):
    """Hold a linear fit of the medians against the daemons per zone, and its r squared."""

    at_zero: float
    per_daemon_of_zone: float
    r_squared: float


def main(arguments: list[str]) -> int:
    """Print the figures of each size, and the slopes between them."""
    parser = argparse.ArgumentParser(prog="benchmarks size", description=main.__doc__)
    parser.add_argument("--daemons", default="10,50", help="sizes, separated by commas")
    parser.add_argument(
        "--zones",
        type=int,
        choices=range(1, len(ZONES) + 1),
        default=len(ZONES),
        help="number of zones",
    )
    parser.add_argument(
        "--window-s",
        type=float,
        default=30.0,
        help="duration of the measurement at each size, in seconds",
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    sizes = [int(text) for text in options.daemons.split(",")]
    if not all(len(ZONES) <= size <= MAX_DAEMONS for size in sizes):
        parser.error(f"--daemons takes sizes from {len(ZONES)} to {MAX_DAEMONS}")
    bare = bare_sample()
    figures = [
        _measure_size(size, bare, zones=options.zones, window_s=options.window_s) for size in sizes
    ]
    report = {
        "bare": msgspec.to_builtins(bare),
        "sizes": [msgspec.to_builtins(figure) for figure in figures],
        "slopes": {
            name: msgspec.to_builtins(slope)
            for name, slope in _slopes(figures, options.zones).items()
        },
    }
    print(json.dumps(report, indent=None if options.json else 2))
    return 0


def _measure_size(daemons: int, bare: ProcessSample, *, zones: int, window_s: float) -> SizeFigures:
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(Path(directory))
        fleet = SizeFleet(processes, zones=zones)
        try:
            began_at = time.monotonic()
            fleet.start(daemons)
            started_s = time.monotonic() - began_at
            fleet.edit_periodically()
            time.sleep(SETTLE_S)
            return _measure(fleet, bare, window_s=window_s, started_s=started_s)
        finally:
            fleet.stop()
            processes.stop_all()


def _measure(
    fleet: SizeFleet, bare: ProcessSample, *, window_s: float, started_s: float
) -> SizeFigures:
    names = sorted(fleet.http_by_name)
    traffic_before = {name: _traffic(fleet, name) for name in names}
    calls_before, calls_at = fleet.platform_calls(), time.monotonic()
    before = {name: sample_of(fleet.pid(name)) for name in names}
    time.sleep(window_s)
    after = {name: sample_of(fleet.pid(name)) for name in names}
    load = os.getloadavg()
    calls_after, elapsed_s = fleet.platform_calls(), time.monotonic() - calls_at
    traffic_after = {name: _traffic(fleet, name) for name in names}
    known_counts = [float(fleet.status(name)["fleet"]["daemons_in_zone"]) for name in names]
    fleet.stop()
    in_force = [_time_until_in_force(fleet, names) for _ in range(IN_FORCE_EDIT_COUNT)]
    samples = list(after.values())

    def per_s(field: str, divisor: float) -> Spread:
        return spread_of(
            [
                (getattr(traffic_after[name], field) - getattr(traffic_before[name], field))
                / (traffic_after[name].at_s - traffic_before[name].at_s)
                / divisor
                for name in names
            ]
        )

    return SizeFigures(
        daemons=len(names),
        zones=len(fleet.zones),
        window_s=window_s,
        started_s=round(started_s, 1),
        cpu_percent=spread_of([cpu_percent(before[name], after[name]) for name in names]),
        resident_mb=spread_of([s.resident_mb for s in samples]),
        proportional_mb=spread_of([s.proportional_mb for s in samples]),
        above_bare_resident_mb=spread_of([s.resident_mb - bare.resident_mb for s in samples]),
        above_bare_proportional_mb=spread_of(
            [s.proportional_mb - bare.proportional_mb for s in samples]
        ),
        threads=spread_of([float(s.threads) for s in samples]),
        kb_in_per_s=per_s("bytes_in", 1_000.0),
        kb_out_per_s=per_s("bytes_out", 1_000.0),
        frames_in_per_s=per_s("frames_in", 1.0),
        frames_out_per_s=per_s("frames_out", 1.0),
        platform_calls_per_s={
            verb: round((calls_after[verb] - count) / elapsed_s, 3)
            for verb, count in calls_before.items()
        },
        config_in_force_s=spread_of(in_force),
        daemons_known=spread_of(known_counts),
        renewals_failed=fleet.failed_renewals,
        load_average=load,
    )


def _traffic(fleet: SizeFleet, name: str) -> Traffic:
    links = fleet.status(name)["links"]
    return Traffic(
        at_s=time.monotonic(),
        frames_in=links["frames_in"],
        frames_out=links["frames_out"],
        bytes_in=links["bytes_in"],
        bytes_out=links["bytes_out"],
    )


def _time_until_in_force(fleet: SizeFleet, names: list[str]) -> float:
    """Edit a contract and return the seconds until it is in force at all daemons.

    After `IN_FORCE_TIMEOUT_S` return the time waited so far.
    """
    customer, version = fleet.edit()
    began_at = time.monotonic()
    pending_names = list(names)
    while pending_names and time.monotonic() - began_at < IN_FORCE_TIMEOUT_S:
        pending_names = [
            name for name in pending_names if _version_in_force(fleet, name, customer) < version
        ]
        if pending_names:
            time.sleep(IN_FORCE_POLL_S)
    return time.monotonic() - began_at


def _version_in_force(fleet: SizeFleet, name: str, customer: str) -> int:
    """Return the version of a contract in force at a daemon, or 0."""
    in_force = fleet.status(name)["in_force"]
    return next((row["version"] for row in in_force if row["customer"] == customer), 0)


def _slopes(figures: list[SizeFigures], zones: int) -> dict[str, Slope]:
    """Return linear fits of some figures by name; none for a single size."""
    if len(figures) < 2:
        return {}
    names = ("cpu_percent", "resident_mb", "proportional_mb", "kb_in_per_s", "kb_out_per_s")
    daemons_of_zone = [figure.daemons / zones for figure in figures]
    return {
        name: _fit_line(daemons_of_zone, [getattr(figure, name).median for figure in figures])
        for name in names
    }


def _fit_line(x: list[float], y: list[float]) -> Slope:
    slope, at_zero = statistics.linear_regression(x, y)
    is_flat = len(set(y)) == 1
    r_squared = 1.0 if is_flat else statistics.correlation(x, y) ** 2
    return Slope(round(at_zero, 4), round(slope, 5), round(r_squared, 3))
