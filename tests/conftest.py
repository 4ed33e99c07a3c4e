"""Fixtures that several test modules share."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from benchmarks._processes import Processes

from small_fleet import SmallFleet, start_small_fleet


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Start real processes on loopback; whatever still runs is killed at the end."""
    started = Processes(tmp_path)
    yield started
    started.stop_all()


@pytest.fixture(scope="session")
def small_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SmallFleet]:
    """Share one fleet of real processes among the tests that stop none of them."""
    started = Processes(tmp_path_factory.mktemp("small-fleet"))
    yield start_small_fleet(started)
    started.stop_all()
