"""Log lines and metrics of a daemon: complete, bounded, and never blocking its requests."""

import asyncio
import json
import os
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from builders_mesh import Client, MeshWorld, TargetStandIn, free_address, in_loop, route
from daisywharf._configuration import RouteName
from daisywharf._ids import ServiceName, ZoneName
from daisywharf._mesh._counts import MAX_SERIES, RequestStats, request_metrics
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._http_server import HttpServer
from daisywharf._mesh._log_writer import MAX_BUFFERED_BYTES, LogWriter
from daisywharf._signals import _log
from daisywharf._signals._events import REQUEST_LINES_PER_S, Event
from daisywharf._signals._log import BURST_LINES, log_event
from daisywharf._signals._metrics import render
from daisywharf.platform._control import metrics_handler

ROOT = Path(__file__).parent.parent


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Open a pipe, and detach the event writer after the test."""
    reader, writer = os.pipe()
    yield reader, writer
    _log._log.write = None
    os.close(reader)
    os.close(writer)


def _writer(file: int) -> LogWriter:
    writer = LogWriter({"vm": "vm-1", "zone": "a"}, wall_ms=lambda: 1_500, file=file)
    writer.start()
    return writer


def _read_bytes(file: int) -> bytes:
    os.set_blocking(file, False)
    text = b""
    try:
        while part := os.read(file, 1_000_000):
            text += part
    except BlockingIOError:
        pass
    return text


def _read(file: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in _read_bytes(file).splitlines()]


def test_a_line_names_its_vm_its_time_and_its_event(pipe: tuple[int, int]) -> None:
    async def scenario() -> None:
        writer = _writer(pipe[1])
        log_event(Event.LINK_OPENED, peer="vm-2")
        writer.flush()

    in_loop(scenario)
    (line,) = _read(pipe[0])
    assert line["time"] == 1.5
    assert line["number"] == Event.LINK_OPENED.value.number
    assert line["fields"] == {"vm": "vm-1", "zone": "a", "peer": "vm-2"}


def test_a_pipe_that_nobody_reads_drops_lines_without_blocking(pipe: tuple[int, int]) -> None:
    async def scenario() -> None:
        writer = _writer(pipe[1])
        for number in range(3 * MAX_BUFFERED_BYTES // 250):
            writer.write(Event.LINK_OPENED, {"peer": f"{number} {'x' * 250}"})
            if number % 100 == 0:
                writer.flush()
        assert writer.dropped > 0
        text = b""
        for _ in range(20):
            text += _read_bytes(pipe[0])
            writer.flush()
        lines = [json.loads(line) for line in text.splitlines()]
        reported_drops = [line["fields"]["dropped"] for line in lines if line["number"] == 106]
        assert sum(reported_drops) == writer.dropped
        metrics = render(writer.metrics()).body.decode()
        assert f"daisywharf_log_lines_dropped_total {writer.dropped}" in metrics

    in_loop(scenario)


def test_a_flood_of_one_event_does_not_use_up_the_lines_of_others(pipe: tuple[int, int]) -> None:
    async def scenario() -> None:
        writer = _writer(pipe[1])
        for number in range(500):
            log_event(Event.REQUEST_ANSWERED, request=f"s{number}")
            log_event(Event.REQUEST_SHED, request=f"r{number}")
        log_event(Event.REQUEST_FAILED, request="f")
        writer.flush()
        body = render(writer.metrics()).body.decode()
        assert f'left_out_total{{event="request-shed"}} {500 - BURST_LINES}' in body

    in_loop(scenario)
    events = [line["event"] for line in _read(pipe[0])]
    assert events.count("request-failed") == 1
    assert events.count("request-shed") == events.count("request-answered") == BURST_LINES
    assert REQUEST_LINES_PER_S > 0


def test_metrics_count_requests_by_how_they_ended_and_are_scraped_over_http() -> None:
    async def scenario() -> None:
        world = MeshWorld(route("r"), route("none", parts=()))
        daemon = await world.add(TargetStandIn(lambda seen: seen.answer(200 if seen.body else 500)))
        await world.settle()
        client = Client(daemon)
        await client.ask(method="POST", body=b"x")
        await client.ask(method="POST", body=b"x")
        await client.ask()
        address = free_address()
        server = HttpServer(metrics_handler(daemon.metrics), now=daemon.now)
        await server.start(address)
        scraped: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        pool = HttpPool(address, now=daemon.now)
        pool.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", scraped.set_result)
        answer = await scraped
        assert isinstance(answer, HttpAnswer)
        body = answer.body.decode()
        ended = dict(re.findall(r'requests_total\{outcome="(\dxx)",route="r",[^}]*\} (\d+)', body))
        assert ended == {"2xx": "2", "5xx": "1"}
        assert all('zone="a"' in line for line in body.splitlines() if "requests_total{" in line)
        assert re.search(r"^daisywharf_gate_limit \d+$", body, re.MULTILINE)
        assert re.search(r"^daisywharf_held_bytes \d+$", body, re.MULTILINE)
        counts = [int(n) for n in re.findall(r"seconds_bucket\{[^}]*\} (\d+)", body)]
        assert counts == sorted(counts)
        assert counts[-1] == 2
        pool.close()
        server.stop()
        await world.close()

    in_loop(scenario)


def test_the_page_lists_each_metric(pipe: tuple[int, int]) -> None:
    async def scenario() -> None:
        world = MeshWorld()
        daemon = await world.add()
        metrics = [*daemon.metrics(), *_writer(pipe[1]).metrics()]
        page = (ROOT / "docs" / "operating" / "metrics-platform.md").read_text()
        listed = re.findall(r"^\| `([a-z_]+)`", page, re.MULTILINE)
        assert sorted(listed) == sorted(metric.name for metric in metrics)
        await world.close()

    in_loop(scenario)


def test_the_number_of_label_sets_is_bounded() -> None:
    counts = RequestStats()
    for number in range(2 * MAX_SERIES):
        counts.record_end(RouteName(f"r{number}"), ServiceName("s"), "2xx")
        counts.record_latency(RouteName(f"r{number}"), 0.1)
    ended = request_metrics(counts, zone=ZoneName("a"))[0].samples
    assert len(ended) <= MAX_SERIES + 1
    assert sum(sample.value for sample in ended) == 2 * MAX_SERIES
    assert len(counts.buckets_by_route) <= MAX_SERIES + 1


def test_summary_lines_count_the_requests_that_ended(pipe: tuple[int, int]) -> None:
    async def scenario() -> None:
        world = MeshWorld()
        daemon = await world.add(TargetStandIn())
        await world.settle()
        writer = _writer(pipe[1])
        client = Client(daemon)
        for _ in range(3):
            await client.ask()
        now = daemon.now()
        daemon.summaries.write(now=now)
        daemon.summaries.write(now=now + 2.0)
        writer.flush()
        await world.close()

    in_loop(scenario)
    lines = _read(pipe[0])
    # Both calls log the gate; only the first logs requests, as none ended after it.
    counted = [line["fields"] for line in lines if line["event"] == "requests-counted"]
    assert [(c["route"], c["served"], c["failed"]) for c in counted] == [("r", 3, 0)]  # type: ignore[index]
    assert [line["event"] for line in lines].count("gate-counted") == 2
