"""Fixtures that several test modules share."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from benchmarks._processes import Processes


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Start real processes on loopback; whatever still runs is killed at the end."""
    started = Processes(tmp_path)
    yield started
    started.stop_all()
