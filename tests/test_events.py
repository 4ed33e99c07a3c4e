"""Events: the page that lists them, JSON and plain lines, and rate limits."""

import io
import json
import re
import string
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from daisywharf._signals import _log
from daisywharf._signals._events import DEFAULT_LINES_PER_S, MAX_FIELD_CHARS, Event
from daisywharf._signals._log import (
    BURST_LINES,
    EventLimiter,
    admit_event,
    configure_events,
    log_event,
)

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\| (\d+) \| ([a-z-]+) \| ([A-Z]+) \| (.+?) \| (.+) \|$", re.MULTILINE)


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    yield io.StringIO()
    _log._log.write = None


def _calls_of_log_event() -> Iterator[tuple[str, set[str]]]:
    pattern = re.compile(r"log_event\(\s*Event\.([A-Z_]+)((?:[^()]|\([^()]*\))*)\)")
    for path in (ROOT / "src").rglob("*.py"):
        for name, arguments in pattern.findall(path.read_text()):
            yield name, set(re.findall(r"(\w+)=", arguments))


def test_the_catalogue_has_each_event_as_the_code_has_it() -> None:
    rows = ROW.findall((ROOT / "docs" / "EVENTS.md").read_text())
    in_code = [
        (str(event.value.number), event.label, event.value.level.value, event.value.template)
        for event in Event
    ]
    assert [row[:4] for row in rows] == in_code


def test_numbers_are_unique_and_grow() -> None:
    numbers = [event.value.number for event in Event]
    assert numbers == sorted(set(numbers))


def test_each_logged_event_gives_all_fields_of_its_message() -> None:
    for name, fields in _calls_of_log_event():
        template = Event[name].value.template
        named = {field for _, field, _, _ in string.Formatter().parse(template) if field}
        assert named <= fields | {"vm", "zone"}, name


def test_a_json_line_holds_number_level_message_and_fields(stream: io.StringIO) -> None:
    configure_events(is_json=True, level="INFO", stream=stream, context={"vm": "vm-1"})
    log_event(Event.TARGET_LEFT, target="orders-1")
    log_event(Event.LINK_OPENED, peer="below the level")
    (line,) = stream.getvalue().splitlines()
    written = json.loads(line)
    assert (written["number"], written["event"], written["level"]) == (203, "target-left", "INFO")
    assert written["message"] == "target orders-1 has left"
    assert written["fields"] == {"vm": "vm-1", "target": "orders-1"}


def test_a_plain_line_is_one_line_whatever_a_peer_sends(stream: io.StringIO) -> None:
    configure_events(is_json=False, level="INFO", stream=stream)
    hostile = "{x} {0} <red>\n2026 ERROR 105 forged\r\x1b[2J" + "a" * 1000
    log_event(Event.PEER_REFUSED, peer="10.0.0.9", error=hostile)
    (line,) = stream.getvalue().splitlines()
    assert " 504 peer at 10.0.0.9 was refused: {x} {0} <red>\\n2026" in line
    assert len(line) < 2 * MAX_FIELD_CHARS


def test_a_missing_field_never_stops_the_process(stream: io.StringIO) -> None:
    configure_events(is_json=False, level="INFO", stream=stream)
    log_event(Event.TARGET_LEFT)
    assert "target ? has left" in stream.getvalue()


def test_a_flood_of_one_event_is_bounded_and_counted() -> None:
    state = EventLimiter()
    admitted = [admit_event(state, Event.BAD_FRAME, now=10.0) for _ in range(1000)]
    assert admitted == [0] * BURST_LINES + [None] * (1000 - BURST_LINES)
    assert admit_event(state, Event.LINK_OPENED, now=10.0) == 0
    assert (
        admit_event(state, Event.BAD_FRAME, now=10.0 + 1 / DEFAULT_LINES_PER_S)
        == 1000 - BURST_LINES
    )


def test_a_process_that_configures_no_events_imports_no_loguru() -> None:
    code = (
        "import sys; from daisywharf._signals._log import log_event\n"
        "from daisywharf._signals._events import Event\n"
        "log_event(Event.TARGET_LEFT, target='a'); print('loguru' in sys.modules)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert completed.stdout == "False\n"
