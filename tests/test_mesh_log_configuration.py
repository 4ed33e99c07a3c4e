"""Log lines give a configuration's source, its watchers, and the version that routed a request."""

import json
import os
from collections.abc import Iterator
from typing import Any

import pytest

from builders_mesh import (
    Client,
    MeshWorld,
    TargetStandIn,
    configuration,
    eventually,
    in_loop,
    route,
)
from daisywharf._mesh._log_writer import LogWriter
from daisywharf._signals import _log
from daisywharf._signals._events import Event

Line = dict[str, Any]


class Lines:
    """A log writer whose lines can be read back."""

    def __init__(self) -> None:
        self._reader, self._file = os.pipe()
        os.set_blocking(self._reader, False)
        self._writer = LogWriter({}, wall_ms=lambda: 0, file=self._file)

    def start(self) -> None:
        """Collect events from now on."""
        self._writer.start()

    def read(self, event: Event) -> list[Line]:
        """Return the fields of the event's lines that were written since the last call."""
        self._writer.flush()
        lines = [json.loads(line) for line in self._read_all().splitlines()]
        return [line["fields"] for line in lines if line["number"] == event.value.number]

    def _read_all(self) -> bytes:
        try:
            return os.read(self._reader, 10_000_000)
        except BlockingIOError:
            return b""

    def close(self) -> None:
        """Stop collecting events, and close the pipe."""
        _log._log.write = None
        os.close(self._reader)
        os.close(self._file)


@pytest.fixture
def lines() -> Iterator[Lines]:
    """Collect the log lines of all daemons of a test, which run in this process."""
    collected = Lines()
    yield collected
    collected.close()


def test_the_line_of_a_version_names_its_source_and_the_earlier_version(lines: Lines) -> None:
    async def scenario() -> None:
        lines.start()
        world = MeshWorld()
        for _ in range(4):
            await world.add()
        await world.settle_without_targets()
        lines.read(Event.CONFIGURATION_IN_FORCE)
        world.store.change(configuration(route("s"), version=2))
        await eventually(lambda: all(d.version == 2 for d in world.daemons))
        found = lines.read(Event.CONFIGURATION_IN_FORCE)
        assert [(line["version"], line["earlier"]) for line in found] == [(2, 1)] * 4
        assert "the store" in {line["source"] for line in found}
        assert all(line["source"] and line["confirmed_s"] >= 0 for line in found)
        await world.close()

    in_loop(scenario)


def test_a_request_s_line_names_the_version_that_routed_it(lines: Lines) -> None:
    async def scenario() -> None:
        lines.start()
        world = MeshWorld()
        daemon = await world.add(TargetStandIn())
        await world.settle()
        await Client(daemon).ask()
        assert [line["version"] for line in lines.read(Event.REQUEST_ANSWERED)] == [1]
        await world.close()

    in_loop(scenario)


def test_a_task_that_fails_is_logged(lines: Lines) -> None:
    async def scenario() -> None:
        lines.start()
        world = MeshWorld()
        daemon = await world.add()
        await world.settle_without_targets()

        def fail(_configuration: object) -> None:
            raise ValueError("a fault of this project's own")

        daemon.sync.put_in_force = fail
        world.store.change(configuration(route("s"), version=2))
        found: list[Line] = []

        def has_line() -> bool:
            found.extend(lines.read(Event.UNEXPECTED_ERROR))
            return bool(found)

        await eventually(has_line)
        assert "run_configuration" in str(found[0]["part"])
        assert "a fault of this project's own" in str(found[0]["error"])
        await world.close()

    in_loop(scenario)


def test_a_change_of_watchers_is_logged(lines: Lines) -> None:
    async def scenario() -> None:
        lines.start()
        world = MeshWorld()
        for _ in range(3):
            await world.add()
        await world.settle_without_targets()
        found: list[Line] = []

        def has_lines() -> bool:
            found.extend(lines.read(Event.WATCH_TAKEN))
            return len(found) >= 2

        await eventually(has_lines)
        assert all(isinstance(line["others"], int) for line in found)
        await world.close()

    in_loop(scenario)
