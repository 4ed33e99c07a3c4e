"""Read one process's resource use from /proc, and summarise it over many processes."""

import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

import msgspec

KIB_PER_MIB = 1024.0
NS_PER_S = 1e9
SETTLE_S = 0.5


class ProcessSample(msgspec.Struct, frozen=True):
    """Hold a process's processor time so far, its memory in MiB and its number of threads."""

    at_s: float
    cpu_s: float
    resident_mb: float
    proportional_mb: float
    threads: int


class Spread(msgspec.Struct, frozen=True):
    """Hold the smallest, the median and the largest of many values."""

    least: float
    median: float
    largest: float


def sample_of(pid: int) -> ProcessSample:
    """Read a process's current resource use."""
    tasks = Path(f"/proc/{pid}/task")
    cpu_ns = 0
    names = os.listdir(tasks)
    for name in names:
        try:
            cpu_ns += int((tasks / name / "schedstat").read_text().split()[0])
        except FileNotFoundError:
            # The thread has ended since.
            continue
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    kib_by_name = {
        line.split(":")[0]: int(line.split()[1])
        for line in rollup.splitlines()
        if line.startswith(("Rss:", "Pss:"))
    }
    return ProcessSample(
        at_s=time.monotonic(),
        cpu_s=cpu_ns / NS_PER_S,
        resident_mb=kib_by_name["Rss"] / KIB_PER_MIB,
        proportional_mb=kib_by_name["Pss"] / KIB_PER_MIB,
        threads=len(names),
    )


def bare_sample() -> ProcessSample:
    """Return the sample of an idle Python interpreter."""
    command = [sys.executable, "-c", "import sys; sys.stdin.read()"]
    process = subprocess.Popen(command, stdin=subprocess.PIPE)
    try:
        time.sleep(SETTLE_S)
        return sample_of(process.pid)
    finally:
        process.kill()
        process.communicate()


def spread_of(values: list[float]) -> Spread:
    """Summarise values, rounded to three places."""
    return Spread(round(min(values), 3), round(statistics.median(values), 3), round(max(values), 3))


def cpu_percent(before: ProcessSample, after: ProcessSample) -> float:
    """Return the processor time used between two samples, in percent of one core."""
    return 100.0 * (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)
