"""Read the resource usage of the current process from /proc."""

import os
import re
import threading
from pathlib import Path
from typing import Final

import msgspec

NS_PER_S: Final = 1e9
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
_PROC: Final = Path("/proc/self")
_FROM_FIRST_NUMBER: Final = re.compile(r"[-_ ]?\(?\d+\)?.*$")


class ProcessStats(msgspec.Struct, frozen=True):
    """Hold CPU time in seconds, in total and by kind of thread, memory in bytes, and open files.

    A kind of thread is its name up to the first number.
    """

    cpu_s_by_thread: dict[str, float]
    cpu_s: float
    resident_bytes: int
    open_files: int


def process_stats() -> ProcessStats:
    """Return the current process's usage; values that the system doesn't provide are 0."""
    times = os.times()
    return ProcessStats(
        cpu_s_by_thread=_cpu_s_by_thread(),
        cpu_s=times.user + times.system,
        resident_bytes=_resident_bytes(),
        open_files=_open_files(),
    )


def _cpu_s_by_thread() -> dict[str, float]:
    cpu_s_by_thread: dict[str, float] = {}
    for thread in threading.enumerate():
        kind = _FROM_FIRST_NUMBER.sub("", thread.name)
        cpu_s_by_thread[kind] = cpu_s_by_thread.get(kind, 0.0) + _thread_cpu_s(thread.native_id)
    return cpu_s_by_thread


def _thread_cpu_s(native_id: int | None) -> float:
    try:
        return int((_PROC / f"task/{native_id}/schedstat").read_text().split()[0]) / NS_PER_S
    except (OSError, ValueError, IndexError):
        return 0.0


def _resident_bytes() -> int:
    try:
        return int((_PROC / "statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def _open_files() -> int:
    try:
        return len(os.listdir(_PROC / "fd"))
    except OSError:
        return 0
