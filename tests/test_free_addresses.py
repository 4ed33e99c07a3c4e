"""Tests and benches that choose addresses at the same time don't get the same one."""

import subprocess
import sys
from pathlib import Path

from benchmarks._processes import MAX_RESERVATIONS, free_address

ROOT = Path(__file__).parent.parent
PRINT_PORTS = """
from benchmarks._processes import MAX_RESERVATIONS, free_address
print(*(free_address().port for _ in range(MAX_RESERVATIONS)), flush=True)
input()
"""


def test_addresses_that_are_not_bound_yet_are_not_returned_again() -> None:
    for _ in range(20):
        ports = [free_address().port for _ in range(MAX_RESERVATIONS)]
        assert len(set(ports)) == MAX_RESERVATIONS


def test_processes_that_run_at_once_get_different_addresses() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORTS],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(8)
    ]
    ports: list[str] = []
    for process in processes:
        assert process.stdout is not None
        ports += process.stdout.readline().split()
    for process in processes:
        process.communicate("\n")
    assert len(ports) == len(set(ports)) == 8 * MAX_RESERVATIONS
